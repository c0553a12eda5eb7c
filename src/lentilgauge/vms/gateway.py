"""State of a VM's one process that serves callers."""

import asyncio
import collections
import dataclasses
import random

from lentilgauge import clock, metrics
from lentilgauge.callers import retry_budget, returning, waiting
from lentilgauge.contracts import orders, ownership
from lentilgauge.links import http_client, peer_link, store_link, upstream_link
from lentilgauge.services import routes
from lentilgauge.upstreams import roster, upstream_load
from lentilgauge.vms import beliefs as beliefs_module

#: A VM that hasn't been heard of for this long isn't counted as live.
PEER_TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the users' settings set for the process.

    `hold_ms` is the longest lease on keys that may be granted. A cold upstream
    gets `cold_burst_factor` times its configured rate, plus `cold_slack`
    requests a second, from all VMs together. `retry_ratio`, `retry_window_ms`
    and `retry_extra` define the retry budget. `drain_ms` and `evacuate_ms` are
    the times allowed for moving the keys off a draining upstream and out of an
    evacuated failure domain; `grace_ms` is the time allowed for stopping this
    process.
    """

    hold_ms: int
    cold_burst_factor: float
    cold_slack: float
    retry_ratio: float
    retry_window_ms: int
    retry_extra: float
    drain_ms: int
    evacuate_ms: int
    grace_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Counted:
    """Counters of one upstream since the last report.

    `slowness` sums the relative execution times of the `executed` requests;
    `moved` counts refusals because the upstream doesn't own the key.
    """

    executed: int = 0
    slowness: float = 0
    failed: int = 0
    moved: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class ReportCounters:
    """Requests by key and counters by upstream since the last report."""

    key_counter_by_service: dict[str, collections.Counter[int]] = (
        dataclasses.field(default_factory=dict)
    )
    counters_by_upstream: dict[str, Counted] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Following:
    """A term that a VM's process followed at `since_ms` or later."""

    term: int
    incarnation: str
    since_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Gateway:
    """Cached cluster state, peers, load and requests in flight of one process.

    `outage_told_ms` is when this VM last reported a store outage to a granter.
    A process that has just started counts as having reported one, since its
    predecessor may have.

    While `leaving`, the process is reported as not ready but still serves
    requests that arrive; once `closing`, it only finishes those in flight.
    """

    me: peer_link.Peer
    seeds: tuple[str, ...]
    first_start: bool
    bounds: Bounds
    beliefs: beliefs_module.Beliefs
    store: store_link.Store
    upstreams: upstream_link.UpstreamLink
    client: http_client.Client
    metrics: metrics.Metrics
    now_ms: clock.Clock
    random: random.Random
    loads: upstream_load.Loads
    budget_by_service: dict[str, retry_budget.RetryBudget] = dataclasses.field(
        default_factory=dict,
    )
    room_by_service: dict[str, waiting.WaitingRoom] = dataclasses.field(
        default_factory=dict,
    )
    waiting_began: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event,
    )
    returns_by_service: dict[str, returning.Returns] = dataclasses.field(
        default_factory=dict,
    )
    report_counters: ReportCounters = dataclasses.field(
        default_factory=ReportCounters,
    )
    reports: list[peer_link.Report] = dataclasses.field(default_factory=list)
    peer_by_vm: dict[str, peer_link.Peer] = dataclasses.field(
        default_factory=dict,
    )
    heard_ms_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    credits_by_route: dict[str, routes.Credits] = dataclasses.field(
        default_factory=dict,
    )
    counted_routes: set[str] = dataclasses.field(default_factory=set)
    grants: bool = False
    outage_told_ms: int = 0
    outage_ms_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    replied_ms_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    followed_by_vm: dict[str, Following] = dataclasses.field(
        default_factory=dict,
    )
    asked_to_lead: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event,
    )
    lead_hold_ms: int = 0
    leaving: bool = False
    closing: bool = False
    in_flight: int = 0
    serving: set[asyncio.Task[None]] = dataclasses.field(default_factory=set)


def make_granter(gateway: Gateway) -> ownership.Granter:
    """Describe this process as the granter."""
    local_peer = gateway.me
    return ownership.Granter(
        vm=local_peer.vm,
        address=local_peer.address,
        failure_domain=local_peer.failure_domain,
        incarnation=local_peer.incarnation,
    )


def note_peer(gateway: Gateway, peer: peer_link.Peer) -> None:
    """Record that another VM's process is alive."""
    if peer.vm == gateway.me.vm:
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


def take_report(gateway: Gateway) -> peer_link.Report:
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
                slowness=upstream_counters.slowness,
                failed=upstream_counters.failed,
                moved=upstream_counters.moved,
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


def get_counted(gateway: Gateway, upstream_id: str) -> Counted:
    """Get an upstream's counters for the next report, creating them if new."""
    return gateway.report_counters.counters_by_upstream.setdefault(
        upstream_id,
        Counted(),
    )


def make_view(gateway: Gateway) -> peer_link.ViewMessage:
    """Describe the granter that this VM knows, and when it last heard of it.

    The granter itself reports an age of 0.
    """
    current = gateway.beliefs.ownership
    age_ms = (
        0 if gateway.grants else gateway.now_ms() - gateway.beliefs.fresh_ms
    )
    return peer_link.ViewMessage(
        peer=gateway.me,
        term=current.term,
        granter=current.granter,
        age_ms=age_ms,
        grants=gateway.grants,
    )


def count_vms(gateway: Gateway) -> int:
    """Count the VMs that share the upstreams' capacity, including this one.

    The larger of the live VMs and those of the recorded ownership counts.
    """
    live = len(list_live_peers(gateway)) + 1
    return max(live, len(gateway.beliefs.ownership.vms))


def _find_service(gateway: Gateway, name: str) -> routes.Service | None:
    configuration = gateway.beliefs.configuration
    if configuration is None:
        return None
    return configuration.service_by_name.get(name)


def find_doubt_ms(gateway: Gateway, service: str) -> int:
    """Return how long a restarted upstream may be cold before it is known.

    During a store outage no announcement can arrive, so it may be for the
    whole of the service's cold start.
    """
    found_service = _find_service(gateway, service)
    cold_ms = 0 if found_service is None else found_service.cold_ms
    if measure_outage_age_ms(gateway) is None:
        return min(cold_ms, upstream_load.ANNOUNCED_MS)
    return cold_ms


def share_cold_rate(gateway: Gateway, upstream: roster.Upstream) -> float:
    """Return the requests per second this VM may send a cold upstream."""
    service = _find_service(gateway, upstream.service)
    if service is None:
        return 0
    bounds = gateway.bounds
    rate = service.cold_per_second * bounds.cold_burst_factor
    vms = gateway.beliefs.ownership.vms
    if gateway.me.vm not in vms:
        # The granter has not yet included this VM in the division.
        return 0
    return upstream_load.share_cold_rate(
        rate + bounds.cold_slack,
        len(vms),
        vms.index(gateway.me.vm),
    )


def note_following(
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
        gateway.followed_by_vm[peer.vm] = Following(
            term=term,
            incarnation=peer.incarnation,
            since_ms=replied_ms,
        )


def measure_outage_age_ms(gateway: Gateway) -> int | None:
    """Return how long ago this VM reported a store outage to a granter.

    `None` means that the last report is older than a VM has to remember.
    """
    age_ms = gateway.now_ms() - gateway.outage_told_ms
    return age_ms if age_ms < orders.OUTAGE_MEMORY_MS else None
