"""State of the process that serves callers on a VM."""

import asyncio
import collections
import dataclasses
import random

from lentilgauge import clock, metrics
from lentilgauge.callers import admission, retry_after, retry_budget
from lentilgauge.contracts import grant_timing, ownership
from lentilgauge.links import http_client, peer_link, store_link, upstream_link
from lentilgauge.services import routes
from lentilgauge.upstreams import upstream_load, upstream_state
from lentilgauge.vms import state_cache as state_cache_module

#: A VM that hasn't been heard of for this long isn't counted as live.
PEER_TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the settings file sets for the process.

    `max_hold_ms` is the longest duration of a grant of keys. A cold
    upstream gets `cold_burst_factor` times its configured rate, plus
    `cold_slack` requests a second, from all VMs together. `retry_ratio`,
    `retry_window_ms` and `retry_extra` define the retry budget. `drain_ms` and
    `evacuate_ms` are the times allowed for moving the keys off a draining
    upstream and out of an evacuated failure domain; `stop_grace_ms` is the time
    allowed for stopping this process.
    """

    max_hold_ms: int
    cold_burst_factor: float
    cold_slack: float
    retry_ratio: float
    retry_window_ms: int
    retry_extra: float
    drain_ms: int
    evacuate_ms: int
    stop_grace_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamCounters:
    """Counters of one upstream since the last report.

    `slowness_sum` sums the relative execution times of the `executed` requests;
    `not_owner_refusals` counts refusals because the upstream doesn't own the
    key.
    """

    executed: int = 0
    slowness_sum: float = 0
    failed: int = 0
    not_owner_refusals: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class ReportCounters:
    """Requests by key and counters by upstream since the last report."""

    key_counter_by_service: dict[str, collections.Counter[int]] = (
        dataclasses.field(default_factory=dict)
    )
    counters_by_upstream: dict[str, UpstreamCounters] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowedTerm:
    """A term that a VM's process followed at `since_ms` or later."""

    term: int
    incarnation: str
    since_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Gateway:
    """Cached cluster state, peers, load and requests in flight of one process.

    `outage_reported_ms` is when this VM last reported a store outage to a
    granter. A process that has just started counts as having reported one,
    since its predecessor may have.

    While `draining`, the process is reported as not ready but still serves
    requests that arrive; once `closing`, it only finishes those in flight.
    """

    local_peer: peer_link.Peer
    seeds: tuple[str, ...]
    bootstrap: bool
    bounds: Bounds
    state_cache: state_cache_module.StateCache
    store: store_link.Store
    upstreams: upstream_link.UpstreamLink
    client: http_client.Client
    metrics: metrics.Metrics
    now_ms: clock.Clock
    random: random.Random
    upstream_loads: upstream_load.UpstreamLoads
    budget_by_service: dict[str, retry_budget.RetryBudget] = dataclasses.field(
        default_factory=dict,
    )
    admission_queue_by_service: dict[str, admission.AdmissionQueue] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    waiters_present: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event,
    )
    retry_schedule_by_service: dict[str, retry_after.RetrySchedule] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    report_counters: ReportCounters = dataclasses.field(
        default_factory=ReportCounters,
    )
    pending_reports: list[peer_link.Report] = dataclasses.field(
        default_factory=list
    )
    peer_by_vm: dict[str, peer_link.Peer] = dataclasses.field(
        default_factory=dict,
    )
    heard_ms_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    credits_by_route: dict[str, routes.Credits] = dataclasses.field(
        default_factory=dict,
    )
    labelled_routes: set[str] = dataclasses.field(default_factory=set)
    is_granter: bool = False
    outage_reported_ms: int = 0
    outage_reported_ms_by_vm: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    replied_ms_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    followed_term_by_vm: dict[str, FollowedTerm] = dataclasses.field(
        default_factory=dict,
    )
    takeover_requested: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event,
    )
    takeover_hold_ms: int = 0
    draining: bool = False
    closing: bool = False
    in_flight: int = 0
    exchange_tasks: set[asyncio.Task[None]] = dataclasses.field(
        default_factory=set
    )


def make_granter(gateway: Gateway) -> ownership.Granter:
    """Describe this process as the granter."""
    local_peer = gateway.local_peer
    return ownership.Granter(
        vm=local_peer.vm,
        address=local_peer.address,
        failure_domain=local_peer.failure_domain,
        incarnation=local_peer.incarnation,
    )


def record_peer(gateway: Gateway, peer: peer_link.Peer) -> None:
    """Record that another VM's process is alive."""
    if peer.vm == gateway.local_peer.vm:
        return
    gateway.peer_by_vm[peer.vm] = peer
    gateway.heard_ms_by_vm[peer.vm] = gateway.now_ms()


def list_live_peers(gateway: Gateway) -> list[peer_link.Peer]:
    """List the other VMs that were heard of within the peer timeout."""
    oldest_ms = gateway.now_ms() - PEER_TIMEOUT_MS
    return [
        peer
        for vm, peer in gateway.peer_by_vm.items()
        if gateway.heard_ms_by_vm[vm] >= oldest_ms
    ]


def collect_report(gateway: Gateway) -> peer_link.Report:
    """Make a report from the counters and reset them."""
    counters = gateway.report_counters
    gateway.report_counters = ReportCounters()
    return peer_link.Report(
        counts_by_service={
            service: list(key_counter.items())
            for service, key_counter in counters.key_counter_by_service.items()
        },
        report_by_upstream={
            upstream_id: peer_link.UpstreamReport(
                executed=upstream_counters.executed,
                slowness=upstream_counters.slowness_sum,
                failed=upstream_counters.failed,
                moved=upstream_counters.not_owner_refusals,
            )
            for upstream_id, upstream_counters in (
                counters.counters_by_upstream.items()
            )
        },
    )


def count_key(gateway: Gateway, service: str, key: int) -> None:
    """Count one request for a key."""
    key_counter = gateway.report_counters.key_counter_by_service.setdefault(
        service,
        collections.Counter(),
    )
    key_counter[key] += 1


def get_upstream_counters(
    gateway: Gateway, upstream_id: str
) -> UpstreamCounters:
    """Get an upstream's counters for the next report, creating them if new."""
    return gateway.report_counters.counters_by_upstream.setdefault(
        upstream_id,
        UpstreamCounters(),
    )


def make_view(gateway: Gateway) -> peer_link.ViewMessage:
    """Describe the granter that this VM knows, and when it last heard of it.

    The granter itself reports an age of 0.
    """
    current = gateway.state_cache.ownership
    age_ms = (
        0
        if gateway.is_granter
        else gateway.now_ms() - gateway.state_cache.granter_heard_ms
    )
    return peer_link.ViewMessage(
        peer=gateway.local_peer,
        term=current.term,
        granter=current.granter,
        age_ms=age_ms,
        grants=gateway.is_granter,
    )


def count_vms(gateway: Gateway) -> int:
    """Count the VMs that share the upstreams' capacity, including this one.

    It is the larger of the numbers of live VMs and of VMs in the ownership.
    """
    live = len(list_live_peers(gateway)) + 1
    return max(live, len(gateway.state_cache.ownership.vms))


def _find_service(gateway: Gateway, name: str) -> routes.Service | None:
    configuration = gateway.state_cache.configuration
    if configuration is None:
        return None
    return configuration.service_by_name.get(name)


def get_unannounced_cold_ms(gateway: Gateway, service: str) -> int:
    """Return how long a restarted upstream may be cold before it is known.

    During a store outage no announcement can arrive, so the upstream may stay
    unknown for its whole cold start.
    """
    found_service = _find_service(gateway, service)
    cold_ms = 0 if found_service is None else found_service.cold_start_ms
    if get_outage_report_age_ms(gateway) is None:
        return min(cold_ms, upstream_load.ANNOUNCEMENT_DELAY_MS)
    return cold_ms


def get_cold_share(
    gateway: Gateway, upstream: upstream_state.Upstream
) -> float:
    """Return the requests per second this VM may send a cold upstream."""
    service = _find_service(gateway, upstream.service)
    if service is None:
        return 0
    bounds = gateway.bounds
    rate = service.cold_start_requests_per_second * bounds.cold_burst_factor
    vms = gateway.state_cache.ownership.vms
    if gateway.local_peer.vm not in vms:
        # The granter has not yet included this VM in the division.
        return 0
    return upstream_load.divide_cold_rate(
        rate + bounds.cold_slack,
        len(vms),
        vms.index(gateway.local_peer.vm),
    )


def record_followed_term(
    gateway: Gateway,
    peer: peer_link.Peer,
    term: int,
) -> None:
    """Record that a VM follows a term.

    Its request may have been delayed in transit, but it was sent after the
    previous reply had left this VM. So the time of that reply is recorded, not
    the time of arrival.
    """
    replied_ms = gateway.replied_ms_by_vm.get(peer.vm)
    if replied_ms is not None:
        gateway.followed_term_by_vm[peer.vm] = FollowedTerm(
            term=term,
            incarnation=peer.incarnation,
            since_ms=replied_ms,
        )


def get_outage_report_age_ms(gateway: Gateway) -> int | None:
    """Return how long ago this VM reported a store outage to a granter.

    `None` means that the last report is older than a VM has to remember.
    """
    age_ms = gateway.now_ms() - gateway.outage_reported_ms
    return age_ms if age_ms < grant_timing.OUTAGE_REPORT_TTL_MS else None
