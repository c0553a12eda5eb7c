"""Hold what this VM has on each upstream, and choose where work goes.

This answers heavy load on upstreams with few places: a full one resets
connections, and what it was sent may then have run. Every VM sees a part of
the traffic only, so each goes by what the last answer said of the upstream's
load and by what it has sent since.
"""

import collections
import dataclasses
import math

from lentilgauge.links import upstream_link
from lentilgauge.upstreams import roster

#: Requests that an upstream is sent at most, for each it runs at once; more
#: would wait there for longer than callers do.
ROOM_EACH = 3
#: Requests of this VM on one upstream, where its load is not known.
BLIND_LIMIT = 2
#: An upstream's word on its load is believed for this long.
LOAD_LAPSE_MS = 150
#: How long an upstream that couldn't be reached is passed over.
SUSPEND_MS = 300
#: An announcement goes round within this time, if the store is at hand.
ANNOUNCED_MS = 1000
#: Connections in a row that must fail before an upstream may have ended.
_DOUBTING_FAILURES = 2
#: How long one that refused for want of room is passed over.
FULL_MS = 40
#: An upstream in another failure domain counts as this much slower: bytes
#: between domains are dear.
_FAR_COST_MS = 60
_NEWEST_SHARE = 0.1
#: How much the newest time counts in what is usual for a route.
_USUAL_SHARE = 0.02
_COLD_WINDOW_MS = 1000
_COLD_MARGIN = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamLoad:
    """Hold this VM's view of one upstream's load.

    `sent` counts what went there since it last told its load. `answer_ms` is
    the moving average of its answers' time. `unreachable` counts connections
    in a row that could not be made; its start `doubted_life` may have ended,
    and until `doubt_end_ms` another may be cold without having said so.
    """

    in_flight: int = 0
    told: upstream_link.Load | None = None
    told_ms: int = 0
    sent: int = 0
    answer_ms: float = 80
    suspended_ms: int = 0
    unreachable: int = 0
    doubted_life: int | None = None
    doubt_end_ms: int = 0
    cold_sent_ms: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Loads:
    """Hold the load of each upstream, and how long routes usually take."""

    failure_domain: str
    load_by_id: dict[str, UpstreamLoad] = dataclasses.field(
        default_factory=dict,
    )
    usual_ms_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict,
    )


def get_load(loads: Loads, upstream_id: str) -> UpstreamLoad:
    """Get the load of an upstream."""
    load = loads.load_by_id.get(upstream_id)
    if load is None:
        load = UpstreamLoad()
        loads.load_by_id[upstream_id] = load
    return load


def estimate_queue(load: UpstreamLoad, now_ms: int) -> int:
    """Estimate how many requests an upstream has now."""
    told = load.told
    if told is None or now_ms - load.told_ms > LOAD_LAPSE_MS:
        return load.in_flight
    return max(told.running + told.waiting + load.sent, load.in_flight)


def has_room(
    upstream: roster.Upstream,
    load: UpstreamLoad,
    now_ms: int,
) -> bool:
    """Tell whether an upstream may be sent one more request."""
    if now_ms < load.suspended_ms:
        return False
    told = load.told
    if told is None or now_ms - load.told_ms > LOAD_LAPSE_MS:
        return load.in_flight < BLIND_LIMIT
    most = ROOM_EACH * upstream.concurrency
    return estimate_queue(load, now_ms) < most


def allows_cold(load: UpstreamLoad, now_ms: int, share: float) -> bool:
    """Tell whether an upstream in cold start may get one more from here.

    `share` is how many requests a second this VM may send it.
    """
    sent_ms = load.cold_sent_ms
    while sent_ms and sent_ms[0] <= now_ms - _COLD_WINDOW_MS:
        sent_ms.popleft()
    return len(sent_ms) < share


def share_cold_rate(rate: float, vms: int, position: int) -> float:
    """Divide what a cold upstream bears in a second among the VMs.

    Where it bears less than one from each, only the first VMs in an order
    that all agree on may send to it.
    """
    whole = max(math.floor(rate) - _COLD_MARGIN, 1)
    if whole >= vms:
        return whole // vms
    return 1 if position < whole else 0


def estimate_finish_ms(
    loads: Loads,
    upstream: roster.Upstream,
    now_ms: int,
) -> float:
    """Estimate when one more request would be done, from now."""
    load = get_load(loads, upstream.id)
    queue = estimate_queue(load, now_ms)
    turns = max(queue + 1 - upstream.concurrency, 0) / upstream.concurrency
    slowness = 1 if load.told is None else load.told.slowness
    far = 0
    if upstream.failure_domain != loads.failure_domain:
        far = _FAR_COST_MS
    return load.answer_ms * (slowness + turns) + far


def note_sent(load: UpstreamLoad, now_ms: int, *, cold: bool) -> None:
    """Count a request that goes to an upstream."""
    load.in_flight += 1
    load.sent += 1
    if cold:
        load.cold_sent_ms.append(now_ms)


def note_told(
    load: UpstreamLoad,
    told: upstream_link.Load | None,
    now_ms: int,
) -> None:
    """Take an upstream's word on its load."""
    if told is not None:
        load.told = told
        load.told_ms = now_ms
        load.sent = 0


def note_unreachable(
    load: UpstreamLoad,
    life: int,
    doubt_end_ms: int,
) -> None:
    """Note that no connection could be made; the second puts it in doubt."""
    load.unreachable += 1
    if load.unreachable >= _DOUBTING_FAILURES:
        load.doubted_life = life
        load.doubt_end_ms = doubt_end_ms


def note_reached(load: UpstreamLoad, doubt_end_ms: int) -> None:
    """Note an answer; until the end it may be cold unannounced."""
    if load.unreachable >= _DOUBTING_FAILURES:
        load.doubt_end_ms = doubt_end_ms
    load.unreachable = 0


def is_doubted(
    upstream: roster.Upstream,
    load: UpstreamLoad,
    now_ms: int,
) -> bool:
    """Tell whether an upstream may have started anew without saying so yet.

    One that crashed and comes back under its id, cold, takes requests before
    its announcement has gone round: what is known is of its earlier start.
    The doubt ends with time alone, as a VM without a share of the cold rate
    would else never find out.
    """
    return load.doubted_life == upstream.life and now_ms < load.doubt_end_ms


def note_executed(load: UpstreamLoad, took_ms: float) -> None:
    """Take the time of an execution, waiting included."""
    load.answer_ms += (took_ms - load.answer_ms) * _NEWEST_SHARE


def measure_slowness(loads: Loads, route: str, took_ms: float) -> float:
    """Measure an execution's time, waiting included, against the usual.

    The waiting belongs to it: an upstream that makes callers wait should have
    fewer keys, whether its speed or its load is why.
    """
    usual_ms = loads.usual_ms_by_route.get(route, took_ms)
    usual_ms += (took_ms - usual_ms) * _USUAL_SHARE
    loads.usual_ms_by_route[route] = usual_ms
    return took_ms / max(usual_ms, 1)
