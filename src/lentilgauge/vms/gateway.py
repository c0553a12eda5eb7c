"""State of the gateway, the one process on each VM that serves callers."""

import asyncio
import collections
import dataclasses
import random

from lentilgauge import clock, metrics
from lentilgauge.callers import (
    admission,
    connection_limits,
    memory_account,
    retry_after,
    retry_budget,
)
from lentilgauge.contracts import grant_timing, ownership, quotas, store_eras
from lentilgauge.links import http_client, peer_link, store_link, upstream_link
from lentilgauge.services import routes
from lentilgauge.upstreams import suspicions, upstream_load, upstream_state
from lentilgauge.vms import configuration_age
from lentilgauge.vms import quota_state as quota_state_module
from lentilgauge.vms import report_counters as report_counters_module
from lentilgauge.vms import state_cache as state_cache_module

#: A VM that hasn't been heard of for this long isn't counted as live.
PEER_TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits and allowances from the process's settings file.

    `max_hold_ms` is the longest time for which a grant may let an upstream
    serve its keys. A cold upstream gets at most `cold_burst_factor` times its
    service's cold-start rate, plus `cold_slack` requests a second, from all
    VMs together. `retry_ratio`, `retry_window_ms` and `retry_extra` define the
    retry budget. `drain_ms` and `evacuate_ms` are the times allowed for moving
    the keys off a draining upstream and out of an evacuated failure domain;
    `stop_grace_ms` is the time allowed for stopping this process. With
    `strict_revoke` no API key is accepted later than `revoke_ms` after the
    store acknowledged its removal. `quota` bounds the requests of workspaces.
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
    strict_revoke: bool = False
    revoke_ms: int = 5000
    quota: quotas.QuotaBounds = quotas.DEFAULT_BOUNDS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FollowedTerm:
    """A term that a VM's process followed after `followed_after_ms`.

    `incarnation` identifies that process.
    """

    term: int
    incarnation: str
    followed_after_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Gateway:
    """Cached cluster state, peers, load and requests in flight of one process.

    `local_peer` describes this process as its peers see it, and `seeds` are the
    addresses of the VMs to contact first. `waiters_present` is set when a
    request has to wait for capacity. `credits_by_route` holds the state of each
    route's weighted round robin. `labelled_routes` names the routes that have a
    metric label of their own.

    `first_heard_ms_by_vm` is when this VM first heard of the process that it
    knows on each VM, and `heard_ms_by_vm` when it last did.
    `pending_reports` are the VMs' reports that this granter hasn't applied yet.
    `replied_ms_by_vm` is when this VM last replied to each follower, and
    `receipt` names the last reply that this VM has received as a follower.
    `known_term_by_vm` has the term that each VM's last question named.
    `suspicion_serial` counts the suspicions of restarts that are passed on, and
    `suspicion_serial_by_vm` has its value in the last reply to each follower.
    `takeover_pending` is whether this VM has sent the record of a term of its
    own to the store, and may become granter by the answer.
    `predecessor_term` is the term of the granter that asked this VM to take
    over, and `predecessor_hold_ms` how long its grants may still last, as of
    its request; 0 if that is unknown or no granter has asked. `replaced_ms` is
    when this VM's last term ended without a handover; 0 if none did.

    `outage_reported_ms` is when this VM last reported a store outage to a
    granter. A process that has just started counts as having reported one,
    since the process before it on the VM may have; so whoever makes the
    gateway sets this to the start time.

    `account` and `connections` count the memory and connections of callers.
    While `draining`, the process is reported as not ready but still serves
    requests that arrive, unless they could end after `stop_deadline_ms`; once
    `closing`, it accepts none. `in_flight` counts the requests that have
    arrived completely and aren't answered yet, and `exchange_tasks` serve those
    of them that have begun.
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
    account: memory_account.Account = dataclasses.field(
        default_factory=memory_account.Account
    )
    connections: connection_limits.Connections = dataclasses.field(
        default_factory=connection_limits.Connections
    )
    budget_by_service: dict[str, retry_budget.RetryBudget] = dataclasses.field(
        default_factory=dict,
    )
    admission_queue_by_service: dict[str, admission.AdmissionQueue] = (
        dataclasses.field(default_factory=dict)
    )
    waiters_present: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event,
    )
    retry_schedule_by_service: dict[str, retry_after.RetrySchedule] = (
        dataclasses.field(default_factory=dict)
    )
    report_counters: report_counters_module.ReportCounters = dataclasses.field(
        default_factory=report_counters_module.ReportCounters
    )
    pending_reports: list[peer_link.Report] = dataclasses.field(
        default_factory=list
    )
    peer_by_vm: dict[str, peer_link.Peer] = dataclasses.field(
        default_factory=dict,
    )
    heard_ms_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    first_heard_ms_by_vm: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    credits_by_route: dict[str, routes.Credits] = dataclasses.field(
        default_factory=dict
    )
    labelled_routes: set[str] = dataclasses.field(default_factory=set)
    is_granter: bool = False
    takeover_pending: bool = False
    outage_reported_ms: int = 0
    outage_reported_ms_by_vm: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    replied_ms_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    receipt: peer_link.ReplyReceipt | None = None
    suspicion_serial: int = 0
    suspicion_serial_by_vm: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    known_term_by_vm: dict[str, int] = dataclasses.field(default_factory=dict)
    followed_term_by_vm: dict[str, FollowedTerm] = dataclasses.field(
        default_factory=dict,
    )
    takeover_requested: asyncio.Event = dataclasses.field(
        default_factory=asyncio.Event
    )
    predecessor_term: int = 0
    predecessor_hold_ms: int = 0
    replaced_ms: int = 0
    quota_state: quota_state_module.QuotaState = dataclasses.field(
        default_factory=quota_state_module.QuotaState,
    )
    draining: bool = False
    stop_deadline_ms: int = 0
    closing: bool = False
    in_flight: int = 0
    exchange_tasks: set[asyncio.Task[None]] = dataclasses.field(
        default_factory=set
    )


def describe_as_granter(gateway: Gateway) -> ownership.Granter:
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
    known = gateway.peer_by_vm.get(peer.vm)
    if known is None or known.incarnation != peer.incarnation:
        gateway.first_heard_ms_by_vm[peer.vm] = gateway.now_ms()
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
    gateway.report_counters = report_counters_module.ReportCounters()
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
        leaving_by_upstream=dict(gateway.state_cache.leaving_incarnation_by_id),
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
) -> report_counters_module.UpstreamCounters:
    """Get an upstream's counters for the next report, creating them if new."""
    return gateway.report_counters.counters_by_upstream.setdefault(
        upstream_id,
        report_counters_module.UpstreamCounters(),
    )


def make_view(gateway: Gateway, held_ms: int = 0) -> peer_link.ViewMessage:
    """Describe the granter that this VM knows, and when it was last heard of.

    The request for the view arrived `held_ms` ago.

    On the granter itself, the age of that information is 0. A VM that may
    become granter by an answer under way says that it grants.
    """
    current = gateway.state_cache.ownership
    now_ms = gateway.now_ms()
    age_ms = (
        0
        if gateway.is_granter
        else now_ms - gateway.state_cache.granter_heard_ms
    )
    state_lag_ms = peer_link.UNKNOWN_LAG_MS
    if gateway.state_cache.state_current_ms:
        state_age_ms = now_ms - gateway.state_cache.state_current_ms
        state_lag_ms = max(state_age_ms - age_ms, 0)
    return peer_link.ViewMessage(
        peer=gateway.local_peer,
        term=current.term,
        granter=current.granter,
        age_ms=age_ms,
        grants=gateway.is_granter or gateway.takeover_pending,
        state_lag_ms=state_lag_ms,
        configuration_age_ms=configuration_age.compute_age_ms(
            gateway.state_cache, held_ms
        ),
        fence_limit=store_eras.bound_fences(current),
    )


def count_vms(gateway: Gateway) -> int:
    """Count the VMs that share the upstreams' capacity, including this one.

    Return the larger of two numbers: the live VMs, and the VMs named in the
    ownership.
    """
    live = len(list_live_peers(gateway)) + 1
    return max(live, len(gateway.state_cache.ownership.vms))


def _find_service(gateway: Gateway, name: str) -> routes.Service | None:
    configuration = gateway.state_cache.configuration
    if configuration is None:
        return None
    return configuration.service_by_name.get(name)


def get_unannounced_cold_ms(gateway: Gateway, service: str) -> int:
    """Return for how long this VM may not know that an upstream is cold.

    A restarted upstream announces its cold start through the store. During a
    store outage the announcement can't arrive, so this VM may not know of the
    cold start for as long as it lasts.
    """
    found_service = _find_service(gateway, service)
    cold_ms = 0 if found_service is None else found_service.cold_start_ms
    if get_outage_report_age_ms(gateway) is None:
        return min(cold_ms, suspicions.ANNOUNCEMENT_DELAY_MS)
    return cold_ms


def get_cold_share(
    gateway: Gateway, upstream: upstream_state.Upstream
) -> float:
    """Return how many requests a second this VM may send a cold upstream."""
    service = _find_service(gateway, upstream.service)
    if service is None:
        return 0
    bounds = gateway.bounds
    rate = service.cold_start_requests_per_second * bounds.cold_burst_factor
    vms = gateway.state_cache.ownership.vms
    if gateway.local_peer.vm not in vms:
        # The granter hasn't yet given this VM a share of the cold-start rate.
        return 0
    return upstream_load.divide_cold_rate(
        rate + bounds.cold_slack,
        len(vms),
        vms.index(gateway.local_peer.vm),
    )


def record_followed_term(
    gateway: Gateway, message: peer_link.FollowMessage
) -> None:
    """Record that a VM follows a term.

    The VM's request may have been delayed in transit, and so may others that
    the VM has given up since. But the VM sent it after it had received the
    reply that it names. So the VM followed the term at some time after that
    reply, whose time is recorded instead of the time of the request's arrival.
    A VM of an earlier version names no reply.
    """
    gateway.known_term_by_vm[message.peer.vm] = message.term
    receipt = message.receipt
    if receipt is None or (
        receipt.incarnation != gateway.local_peer.incarnation
    ):
        return
    gateway.followed_term_by_vm[message.peer.vm] = FollowedTerm(
        term=message.term,
        incarnation=message.peer.incarnation,
        followed_after_ms=receipt.replied_ms,
    )


def record_outage_report(
    gateway: Gateway, message: peer_link.FollowMessage
) -> None:
    """Record when a VM last reported an outage; the request may be late."""
    if message.outage_age_ms is None:
        return
    vm = message.peer.vm
    gateway.outage_reported_ms_by_vm[vm] = max(
        gateway.now_ms() - message.outage_age_ms,
        gateway.outage_reported_ms_by_vm.get(vm, 0),
    )


def get_outage_report_age_ms(gateway: Gateway) -> int | None:
    """Return how long ago this VM reported a store outage to a granter.

    `None` means that the last report is so old that it no longer matters for
    grants.
    """
    age_ms = gateway.now_ms() - gateway.outage_reported_ms
    return age_ms if age_ms < grant_timing.OUTAGE_REPORT_TTL_MS else None
