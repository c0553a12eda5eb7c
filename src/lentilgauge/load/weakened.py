"""Run a gateway with one rule disabled, to test that a soak detects it."""

import sys
import types
from collections.abc import Callable, Mapping

from lentilgauge import errors
from lentilgauge.callers import forwarding, upstream_choice
from lentilgauge.links import reply_heads, upstream_link
from lentilgauge.platform import program, upstream_adapter
from lentilgauge.upstreams import upstream_load, upstream_state
from lentilgauge.vms import cached_topics, granter_state, key_orders
from lentilgauge.vms import state_cache as state_cache_module


def _replace(module: types.ModuleType, name: str, function: object) -> None:
    setattr(module, name, function)


def _retry_unsafe_failures() -> None:
    """Retry any failed request, even one that an upstream may have executed."""
    _replace(
        forwarding,
        '_may_repeat',
        lambda *arguments: (
            arguments[1].attempts < arguments[1].route.max_attempts
        ),
    )


def _report_lost_as_refused() -> None:
    """Report requests whose outcome is unknown as not executed."""
    make_failure = getattr(forwarding, '_make_failure')  # ruff: ignore[get-attr-with-constant]
    uncertain_kinds = {
        errors.ErrorKind.UPSTREAM_LOST,
        errors.ErrorKind.UPSTREAM_TIMEOUT,
    }

    def misreport(
        kind: errors.ErrorKind, detail: str
    ) -> forwarding.ForwardResult:
        uncertain = kind in uncertain_kinds
        forward_result: forwarding.ForwardResult = make_failure(
            errors.ErrorKind.UPSTREAM_REFUSED if uncertain else kind, detail
        )
        return forward_result

    _replace(forwarding, '_make_failure', misreport)


def _grant_without_release() -> None:
    """Grant keys without waiting until their earlier holders release them."""

    async def skip_release(*_: object) -> None:
        """Return at once, even if the earlier holder hasn't released."""

    _replace(key_orders, '_wait_until_released', skip_release)


def _ignore_cold_start() -> None:
    """Send upstreams in cold start as many requests as warm ones."""
    _replace(upstream_load, 'allows_cold', lambda *_: True)
    _replace(upstream_load, 'has_room', lambda *_: True)


def _ignore_draining() -> None:
    """Keep sending to draining upstreams and to evacuated failure domains."""
    _replace(upstream_state, 'accepts_work', lambda *_: True)
    _replace(upstream_choice, '_may_still_send', lambda *_: True)


def _keep_first_configuration() -> None:
    """Ignore every configuration after the first."""
    apply_configuration = getattr(state_cache_module, '_adopt_configuration')  # ruff: ignore[get-attr-with-constant]

    def apply_first(
        cache: state_cache_module.StateCache,
        cached_topic: cached_topics.CachedTopic,
    ) -> None:
        if cache.configuration is None:
            apply_configuration(cache, cached_topic)

    _replace(state_cache_module, '_adopt_configuration', apply_first)


def _accept_any_reply() -> None:
    """Accept any reply on a connection as the answer to its request.

    Two places compare a reply's request id: the HTTP client, which aborts the
    transfer, and the adapter.
    """
    _replace(reply_heads, '_is_mismatched', lambda *_: False)
    find_proof = getattr(upstream_adapter, '_find_proof')  # ruff: ignore[get-attr-with-constant]

    def assume_executed(attempt: object, reply: object) -> upstream_link.Proof:
        proof: upstream_link.Proof = find_proof(attempt, reply)
        if proof is upstream_link.Proof.UNKNOWN:
            return upstream_link.Proof.EXECUTED
        return proof

    _replace(upstream_adapter, '_find_proof', assume_executed)


def _repeat_tokens() -> None:
    """Send all grants, renewals too, under the last token allocated."""

    def repeat_fence(state: granter_state.GranterState) -> int:
        return state.ownership.next_fence - 1

    _replace(granter_state, 'take_fence', repeat_fence)


def _ignore_departures() -> None:
    """Go by the store alone, whatever upstreams say in their answers."""
    _replace(state_cache_module, 'note_leaving', lambda *_: None)


def _ignore_pauses() -> None:
    """Send to upstreams that want no requests for some time."""
    _replace(upstream_load, 'back_off', lambda *_: None)


WEAKENINGS: Mapping[str, Callable[[], None]] = types.MappingProxyType(
    {
        'repeats': _retry_unsafe_failures,
        'refusals': _report_lost_as_refused,
        'owners': _grant_without_release,
        'cold': _ignore_cold_start,
        'leaving': _ignore_draining,
        'configuration': _keep_first_configuration,
        'answers': _accept_any_reply,
        'tokens': _repeat_tokens,
        'departures': _ignore_departures,
        'pauses': _ignore_pauses,
    }
)


if __name__ == '__main__':
    WEAKENINGS[sys.argv[1]]()
    program.main()
