"""Hold the state of a VM's one process that serves callers."""

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

#: A VM that hasn't been heard of for so long no longer counts.
PEER_LAPSE_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Hold the figures that the users' settings bound the process with."""

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
    """Hold what was counted of one upstream since the last report."""

    executed: int = 0
    slowness: float = 0
    failed: int = 0
    moved: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Counts:
    """Hold what was counted since the last report to the granter."""

    count_by_key: dict[str, collections.Counter[int]] = dataclasses.field(
        default_factory=dict,
    )
    counted_by_upstream: dict[str, Counted] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Following:
    """Hold that a VM's process followed a term at a moment or later."""

    term: int
    incarnation: str
    since_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Gateway:
    """Hold what a VM knows, whom it knows and what it has in flight.

    `outage_told_ms` is when this VM last told a granter that the store is
    away; a process that has just started counts as if it had.

    While it is `leaving` it serves whoever still comes; once it is `closing`
    it only ends what it has begun.
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
    counts: Counts = dataclasses.field(default_factory=Counts)
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
    """Name this process as the granter."""
    me = gateway.me
    return ownership.Granter(
        vm=me.vm,
        address=me.address,
        failure_domain=me.failure_domain,
        incarnation=me.incarnation,
    )


def note_peer(gateway: Gateway, peer: peer_link.Peer) -> None:
    """Note that a VM's process lives."""
    if peer.vm == gateway.me.vm:
        return
    gateway.peer_by_vm[peer.vm] = peer
    gateway.heard_ms_by_vm[peer.vm] = gateway.now_ms()


def list_live_peers(gateway: Gateway) -> list[peer_link.Peer]:
    """List the other VMs that were heard of lately."""
    since_ms = gateway.now_ms() - PEER_LAPSE_MS
    return [
        peer
        for vm, peer in gateway.peer_by_vm.items()
        if gateway.heard_ms_by_vm[vm] >= since_ms
    ]


def take_report(gateway: Gateway) -> peer_link.Report:
    """Take what was counted since the last report."""
    counts = gateway.counts
    gateway.counts = Counts()
    return peer_link.Report(
        counts_by_service={
            service: list(counter.items())
            for service, counter in counts.count_by_key.items()
        },
        report_by_upstream={
            upstream_id: peer_link.UpstreamReport(
                executed=counted.executed,
                slowness=counted.slowness,
                failed=counted.failed,
                moved=counted.moved,
            )
            for upstream_id, counted in counts.counted_by_upstream.items()
        },
    )


def count_key(gateway: Gateway, service: str, key: int) -> None:
    """Count a request for a key."""
    counter = gateway.counts.count_by_key.setdefault(
        service,
        collections.Counter(),
    )
    counter[key] += 1


def get_counted(gateway: Gateway, upstream_id: str) -> Counted:
    """Get what is counted of an upstream, to add to it."""
    return gateway.counts.counted_by_upstream.setdefault(
        upstream_id,
        Counted(),
    )


def make_view(gateway: Gateway) -> peer_link.ViewMessage:
    """Say whom this VM holds for the granter, and when it last heard of it."""
    known = gateway.beliefs.ownership
    age_ms = (
        0 if gateway.grants else gateway.now_ms() - gateway.beliefs.fresh_ms
    )
    return peer_link.ViewMessage(
        peer=gateway.me,
        term=known.term,
        granter=known.granter,
        age_ms=age_ms,
        grants=gateway.grants,
    )


def count_vms(gateway: Gateway) -> int:
    """Count the VMs that share what upstreams can bear, this one included."""
    live = len(list_live_peers(gateway)) + 1
    return max(live, len(gateway.beliefs.ownership.vms))


def _find_service(gateway: Gateway, name: str) -> routes.Service | None:
    configuration = gateway.beliefs.configuration
    if configuration is None:
        return None
    return configuration.service_by_name.get(name)


def find_doubt_ms(gateway: Gateway, service: str) -> int:
    """Find how long an upstream that is back may be cold unannounced.

    While the store is away nobody can announce anything.
    """
    found = _find_service(gateway, service)
    cold_ms = 0 if found is None else found.cold_ms
    if measure_outage_age_ms(gateway) is None:
        return min(cold_ms, upstream_load.ANNOUNCED_MS)
    return cold_ms


def share_cold_rate(gateway: Gateway, upstream: roster.Upstream) -> float:
    """Find how many requests a second this VM may send a cold upstream."""
    service = _find_service(gateway, upstream.service)
    if service is None:
        return 0
    bounds = gateway.bounds
    rate = service.cold_per_second * bounds.cold_burst_factor
    vms = gateway.beliefs.ownership.vms
    if gateway.me.vm not in vms:
        # The granter has not counted this VM in yet.
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
    """Note that a VM follows a term.

    Its question may have been long on the way, but it was sent after the last
    answer had left here.
    """
    replied_ms = gateway.replied_ms_by_vm.get(peer.vm)
    if replied_ms is not None:
        gateway.followed_by_vm[peer.vm] = Following(
            term=term,
            incarnation=peer.incarnation,
            since_ms=replied_ms,
        )


def measure_outage_age_ms(gateway: Gateway) -> int | None:
    """Measure how long ago this VM told a granter of an outage."""
    age_ms = gateway.now_ms() - gateway.outage_told_ms
    return age_ms if age_ms < orders.OUTAGE_MEMORY_MS else None
