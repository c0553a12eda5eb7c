"""Run a gateway with one rule weakened, to see that a soak catches it."""

import sys
import types
from collections.abc import Callable, Mapping

from lentilgauge import errors
from lentilgauge.callers import choosing, forwarding
from lentilgauge.links import upstream_link
from lentilgauge.platform import program, upstreams
from lentilgauge.upstreams import roster, upstream_load
from lentilgauge.vms import beliefs, key_orders


def _replace(module: types.ModuleType, name: str, function: object) -> None:
    setattr(module, name, function)


def _repeat_anything() -> None:
    """Send again whatever failed, also what may have run."""
    _replace(
        forwarding,
        '_may_repeat',
        lambda *given: given[1].attempts < given[1].route.most_attempts,
    )


def _call_failures_refusals() -> None:
    """Tell callers that what was lost has not run."""
    refuse = getattr(forwarding, '_refuse')  # ruff: ignore[get-attr-with-constant]

    def lie(kind: errors.ErrorKind, detail: str) -> forwarding.Served:
        lost = kind is errors.ErrorKind.UPSTREAM_LOST
        told = errors.ErrorKind.UPSTREAM_REFUSED if lost else kind
        served: forwarding.Served = refuse(told, detail)
        return served

    _replace(forwarding, '_refuse', lie)


def _wait_for_nobody() -> None:
    """Grant keys without freeing them of their earlier holders."""

    async def free_nothing(*_: object) -> None:
        """Let the earlier holder be."""

    _replace(key_orders, '_free_range', free_nothing)


def _forget_the_cold() -> None:
    """Send upstreams in cold start as much as any."""
    _replace(upstream_load, 'allows_cold', lambda *_: True)
    _replace(upstream_load, 'has_room', lambda *_: True)


def _forget_the_leaving() -> None:
    """Go on sending to upstreams that leave and to emptied domains."""
    _replace(roster, 'accepts_work', lambda *_: True)
    _replace(choosing, '_may_still_send', lambda *_: True)


def _keep_the_first_configuration() -> None:
    """Take no configuration after the first."""
    adopt = getattr(beliefs, '_adopt_configuration')  # ruff: ignore[get-attr-with-constant]

    def adopt_once(known: beliefs.Beliefs, section: beliefs.Section) -> None:
        if known.configuration is None:
            adopt(known, section)

    _replace(beliefs, '_adopt_configuration', adopt_once)


def _pass_any_answer_on() -> None:
    """Take whatever comes on a connection for the answer."""
    judge = getattr(upstreams, '_find_proof')  # ruff: ignore[get-attr-with-constant]

    def trust(attempt: object, reply: object) -> upstream_link.Proof:
        found: upstream_link.Proof = judge(attempt, reply)
        if found is upstream_link.Proof.UNKNOWN:
            return upstream_link.Proof.EXECUTED
        return found

    _replace(upstreams, '_find_proof', trust)


WEAKENINGS: Mapping[str, Callable[[], None]] = types.MappingProxyType(
    {
        'repeats': _repeat_anything,
        'refusals': _call_failures_refusals,
        'owners': _wait_for_nobody,
        'cold': _forget_the_cold,
        'leaving': _forget_the_leaving,
        'configuration': _keep_the_first_configuration,
        'answers': _pass_any_answer_on,
    }
)


if __name__ == '__main__':
    WEAKENINGS[sys.argv[1]]()
    program.main()
