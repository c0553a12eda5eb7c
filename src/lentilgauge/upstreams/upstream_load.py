"""Load of each upstream as seen by this VM, and limits on requests to it.

The limits protect upstreams of low concurrency from heavy load: a full
upstream resets connections, and the requests on them may have been executed.
Every VM sees only a part of the traffic, so each relies on the load that the
upstream reported with its last answer and on what it has sent since.
"""

import collections
import dataclasses
import math

from lentilgauge.links import upstream_link
from lentilgauge.upstreams import suspicions, upstream_state

#: Most requests running and queued on an upstream per unit of its concurrency:
#: further ones would wait there for longer than callers do.
MAX_REQUESTS_PER_CONCURRENCY = 3
#: Most requests of this VM on an upstream whose load is unknown.
UNKNOWN_LOAD_LIMIT = 2
#: How long a load that an upstream reported is used.
LOAD_REPORT_TTL_MS = 150
#: How long an upstream that couldn't be reached gets no requests.
UNREACHABLE_SUSPEND_MS = 300
#: How long an upstream that refused because it was full gets no requests.
FULL_SUSPEND_MS = 40
#: Longest time for which an upstream that reset a connection gets no requests.
_MAX_RESET_SUSPEND_MS = 200
#: Added to the estimate for an upstream in another failure domain, as traffic
#: between domains is expensive.
_CROSS_DOMAIN_COST_MS = 60
#: Weight of the newest sample in an upstream's mean latency.
_LATENCY_WEIGHT = 0.1
#: Weight of the newest sample in a route's baseline latency.
_BASELINE_WEIGHT = 0.02
#: Requests to a cold upstream are counted over this time: its rate is limited
#: per second.
_COLD_WINDOW_MS = 1000
#: Subtracted from the rate of a cold upstream.
_COLD_MARGIN_PER_SECOND = 2


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamLoad:
    """This VM's view of one upstream's load.

    `in_flight` counts this VM's unanswered requests to it, including those
    about to be sent. `reported_load` is the load that the upstream last
    reported, at `reported_ms`, and `sent_since_report` counts the requests sent
    to it since. `mean_latency_ms` is the moving average of its execution times.
    Until `suspended_until_ms` it gets no requests, and until `backoff_end_ms`
    the process that asked for that, `backoff_incarnation`. `reachability` tells
    whether it may have restarted. `cold_sent_ms` has the times of recent
    requests sent to it in cold start, and `warm_sent_ms` those of others since
    the last connection failure: its cold start may be announced late.
    """

    in_flight: int = 0
    reported_load: upstream_link.Load | None = None
    reported_ms: int = 0
    sent_since_report: int = 0
    mean_latency_ms: float = 80
    suspended_until_ms: int = 0
    backoff_end_ms: int = 0
    backoff_incarnation: int = 0
    reachability: suspicions.Reachability = dataclasses.field(
        default_factory=suspicions.Reachability,
    )
    cold_sent_ms: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque,
    )
    warm_sent_ms: collections.deque[int] = dataclasses.field(
        default_factory=collections.deque,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamLoads:
    """Load of each upstream, and the baseline latency of each route.

    `failure_domain` is that of this VM. A baseline is a moving average of the
    execution times of a route's requests on all upstreams. `suspect_ids` has
    the upstreams that are suspected of a restart, and at times others.
    """

    failure_domain: str
    load_by_id: dict[str, UpstreamLoad] = dataclasses.field(
        default_factory=dict,
    )
    baseline_ms_by_route: dict[str, float] = dataclasses.field(
        default_factory=dict,
    )
    suspect_ids: set[str] = dataclasses.field(default_factory=set)


def get_load(upstream_loads: UpstreamLoads, upstream_id: str) -> UpstreamLoad:
    """Get the load of an upstream, creating it if new."""
    load = upstream_loads.load_by_id.get(upstream_id)
    if load is None:
        load = UpstreamLoad()
        upstream_loads.load_by_id[upstream_id] = load
    return load


def estimate_queue(load: UpstreamLoad, now_ms: int) -> int:
    """Estimate how many requests are running and queued on an upstream.

    Without a recent report these are the requests of this VM alone.
    """
    reported = load.reported_load
    if reported is None or now_ms - load.reported_ms > LOAD_REPORT_TTL_MS:
        return load.in_flight
    return max(
        reported.running + reported.waiting + load.sent_since_report,
        load.in_flight,
    )


def has_room(
    upstream: upstream_state.Upstream,
    load: UpstreamLoad,
    now_ms: int,
) -> bool:
    """Return whether an upstream may be sent one more request.

    It may not while it is suspended or has as many as its load allows.
    """
    if now_ms < max(
        load.suspended_until_ms, get_backoff_end_ms(upstream, load)
    ):
        return False
    reported = load.reported_load
    if reported is None or now_ms - load.reported_ms > LOAD_REPORT_TTL_MS:
        return load.in_flight < UNKNOWN_LOAD_LIMIT
    limit = MAX_REQUESTS_PER_CONCURRENCY * upstream.concurrency
    return estimate_queue(load, now_ms) < limit


def suspend_after_reset(
    upstream: upstream_state.Upstream, load: UpstreamLoad, now_ms: int
) -> None:
    """Send nothing until an upstream that is full has freed a place.

    A full upstream resets connections. It frees a place about once in its mean
    latency divided by its concurrency. A request sent sooner is reset as well.
    """
    freeing_ms = load.mean_latency_ms / upstream.concurrency
    load.suspended_until_ms = max(
        load.suspended_until_ms,
        now_ms + round(min(freeing_ms, _MAX_RESET_SUSPEND_MS)),
    )


def back_off(
    upstream: upstream_state.Upstream,
    load: UpstreamLoad,
    end_ms: int,
) -> None:
    """Send nothing to this process of an upstream until a time."""
    earlier_end_ms = get_backoff_end_ms(upstream, load)
    load.backoff_incarnation = upstream.incarnation
    load.backoff_end_ms = max(earlier_end_ms, end_ms)


def get_backoff_end_ms(
    upstream: upstream_state.Upstream, load: UpstreamLoad
) -> int:
    """Return until when this process of an upstream wants nothing, or 0."""
    if load.backoff_incarnation != upstream.incarnation:
        return 0
    return load.backoff_end_ms


def allows_cold(
    load: UpstreamLoad,
    now_ms: int,
    max_per_second: float,
) -> bool:
    """Return whether this VM may send one more request to a cold upstream.

    `max_per_second` is this VM's share of the upstream's rate.
    """
    _forget_old(load, now_ms)
    recent = len(load.cold_sent_ms) + len(load.warm_sent_ms)
    return recent < max_per_second


def _forget_old(load: UpstreamLoad, now_ms: int) -> None:
    """Forget requests that were sent before the cold window."""
    for sent_ms in (load.cold_sent_ms, load.warm_sent_ms):
        while sent_ms and sent_ms[0] <= now_ms - _COLD_WINDOW_MS:
            sent_ms.popleft()


def divide_cold_rate(rate: float, vm_count: int, vm_index: int) -> float:
    """Return one VM's share of a cold upstream's rate, in requests per second.

    If there is less than one request for each VM, only the first VMs, in an
    order that all VMs agree on, may send to it.
    """
    total = max(math.floor(rate) - _COLD_MARGIN_PER_SECOND, 1)
    if total >= vm_count:
        return total // vm_count
    return 1 if vm_index < total else 0


def estimate_completion_ms(
    upstream_loads: UpstreamLoads,
    upstream: upstream_state.Upstream,
    now_ms: int,
) -> float:
    """Estimate how long one more request would take, queueing included."""
    load = get_load(upstream_loads, upstream.id)
    queue = estimate_queue(load, now_ms)
    rounds = max(queue + 1 - upstream.concurrency, 0) / upstream.concurrency
    slowness = 1 if load.reported_load is None else load.reported_load.slowness
    domain_cost_ms = 0
    if upstream.failure_domain != upstream_loads.failure_domain:
        domain_cost_ms = _CROSS_DOMAIN_COST_MS
    return load.mean_latency_ms * (slowness + rounds) + domain_cost_ms


def record_sent(load: UpstreamLoad, now_ms: int, *, cold: bool) -> None:
    """Count a request that is about to be sent to an upstream."""
    load.in_flight += 1
    load.sent_since_report += 1
    _forget_old(load, now_ms)
    sent_ms = load.cold_sent_ms if cold else load.warm_sent_ms
    sent_ms.append(now_ms)


def forget_warm(load: UpstreamLoad) -> None:
    """Forget requests that an upstream got before it couldn't be reached.

    If it restarts, they went to its previous incarnation.
    """
    load.warm_sent_ms.clear()


def record_reported_load(
    load: UpstreamLoad,
    reported: upstream_link.Load | None,
    now_ms: int,
) -> None:
    """Store a load that an upstream reported, if there is one."""
    if reported is not None:
        load.reported_load = reported
        load.reported_ms = now_ms
        load.sent_since_report = 0


def record_execution_time(load: UpstreamLoad, took_ms: float) -> None:
    """Add an execution time, queueing included, to the mean latency."""
    load.mean_latency_ms += (took_ms - load.mean_latency_ms) * _LATENCY_WEIGHT


def measure_slowness(
    upstream_loads: UpstreamLoads, route: str, took_ms: float
) -> float:
    """Return an execution time relative to the route's baseline.

    Both include queueing: an upstream that makes callers wait should own fewer
    keys, whether it is slow or overloaded. The time also updates the baseline,
    a moving average.
    """
    baseline_ms = upstream_loads.baseline_ms_by_route.get(route, took_ms)
    baseline_ms += (took_ms - baseline_ms) * _BASELINE_WEIGHT
    upstream_loads.baseline_ms_by_route[route] = baseline_ms
    return took_ms / max(baseline_ms, 1)
