"""Check that gateways follow what upstreams say of themselves in a soak.

An upstream's answer may say that its process is leaving, or ask the VM that it
refuses to send nothing for some time. Moments are seconds on the monotonic
clock.
"""

import dataclasses
from collections.abc import Mapping

from lentilgauge.standins import gateway_upstream

#: Requests that cross a refusal on their way don't count.
_CROSSING_SECONDS = 0.5
_MAX_REQUESTS_IN_PAUSE = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class Pause:
    """Time for which an upstream's process wants no requests from a VM.

    `request_count` counts those that came all the same.
    """

    incarnation_ms: int
    told_at: float
    ends_at: float
    request_count: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Notices:
    """What upstreams have told each VM.

    Both are keyed by the VM and the upstream's id. `departures` has the process
    that said that it is leaving, by its start in Unix milliseconds, and when
    the VM first passed on an answer that said so.
    """

    departures: dict[tuple[str, str], tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    pauses: dict[tuple[str, str], Pause] = dataclasses.field(
        default_factory=dict
    )


def note_departure(
    notices: Notices,
    vm: str,
    upstream: gateway_upstream.Upstream,
    now: float,
) -> None:
    """Note an answer that says that an upstream's process is leaving."""
    incarnation_ms = upstream.incarnation_ms
    told = notices.departures.get((vm, upstream.name))
    if upstream.faults.leaving and (told is None or told[0] != incarnation_ms):
        notices.departures[vm, upstream.name] = (incarnation_ms, now)


def note_refusal(
    notices: Notices,
    vm: str,
    upstream: gateway_upstream.Upstream,
    now: float,
) -> None:
    """Note a refusal that asks a VM for a pause."""
    notices.pauses.setdefault(
        (vm, upstream.name),
        Pause(
            incarnation_ms=upstream.incarnation_ms,
            told_at=now,
            ends_at=now + upstream.faults.retry_after_seconds,
        ),
    )


def check_departure(
    notices: Notices,
    vm: str,
    upstream: gateway_upstream.Upstream,
    *,
    sent_at: float,
    undisturbed_since: Mapping[str, float],
    bound_seconds: float,
) -> bool:
    """Return whether a request that a caller sent came too late.

    A VM that was disturbed since it was told is excused.
    """
    told = notices.departures.get((vm, upstream.name))
    if told is None or told[0] != upstream.incarnation_ms:
        return False
    if undisturbed_since.get(vm, 0) > told[1]:
        return False
    return sent_at > told[1] + bound_seconds


def check_arrival(
    notices: Notices,
    vm: str,
    upstream: gateway_upstream.Upstream,
    now: float,
    undisturbed_since: Mapping[str, float],
) -> bool:
    """Count a request that arrives; return whether it is one too many."""
    pause = notices.pauses.get((vm, upstream.name))
    if pause is None:
        return False
    ended = now >= pause.ends_at
    if ended or pause.incarnation_ms != upstream.incarnation_ms:
        notices.pauses.pop((vm, upstream.name))
        return False
    is_excused = undisturbed_since.get(vm, 0) > pause.told_at
    if is_excused or now < pause.told_at + _CROSSING_SECONDS:
        return False
    pause.request_count += 1
    return pause.request_count > _MAX_REQUESTS_IN_PAUSE
