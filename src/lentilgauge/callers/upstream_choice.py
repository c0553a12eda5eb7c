"""Choose a gateway request's upstream, or queue it until one has capacity."""

import asyncio

from lentilgauge.callers import admission, gateway_request
from lentilgauge.services import key_ranges, routes
from lentilgauge.upstreams import (
    pool_choice,
    suspicions,
    upstream_load,
    upstream_state,
)
from lentilgauge.vms import admission_queues
from lentilgauge.vms import gateway as gateway_module

#: Longest wait for capacity as a share of the route's target latency. After
#: a longer wait the answer would miss the target anyway.
MAX_WAIT_SHARE = 0.6
#: An attempt is worthwhile only with at least this much time remaining.
MIN_REMAINING_MS = 15
#: A draining or evacuated upstream receives requests for its keys during this
#: share of the configured drain or evacuation time, until the keys have another
#: owner.
_DRAIN_TIME_SHARE = 0.6


async def acquire_upstream(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
) -> upstream_state.Upstream | None:
    """Reserve capacity on an upstream, queueing the request if none is free.

    Return `None` if no upstream has capacity in time. The calling code
    releases the capacity by decrementing `in_flight` of the upstream's load.
    """
    wait_queue = admission_queues.get_admission_queue(gateway, request.service)
    deadline_ms = min(
        request.deadline_ms - MIN_REMAINING_MS,
        request.arrived_ms + int(request.route.target_ms * MAX_WAIT_SHARE),
    )
    upstream = None
    if gateway.now_ms() >= deadline_ms or not _must_wait(
        gateway, request, wait_queue
    ):
        upstream = try_reserve_upstream(gateway, request)
    if upstream is not None:
        return upstream
    if max(gateway.now_ms(), _find_backoff_end_ms(gateway, request)) >= (
        deadline_ms
    ):
        return None
    waiter = admission.Waiter(
        rank=gateway_request.get_rank(request),
        deadline_ms=deadline_ms,
        reserve_capacity=lambda: try_reserve_upstream(gateway, request),
        upstream_future=asyncio.get_running_loop().create_future(),
        workspace=request.workspace.name if request.workspace else '',
    )
    admission.add_waiter(wait_queue, waiter)
    gateway.waiters_present.set()
    try:
        return await asyncio.shield(waiter.upstream_future)
    except asyncio.CancelledError:
        _release_reservation(gateway, waiter)
        raise
    finally:
        admission.remove_waiter(wait_queue, waiter)


def release_upstream(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
    upstream: upstream_state.Upstream,
) -> None:
    """Release the capacity that a request has, and admit those that wait."""
    load = upstream_load.get_load(gateway.upstream_loads, upstream.id)
    load.in_flight -= 1
    admission_queues.admit_waiters(gateway, request.service)


def _must_wait(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
    wait_queue: admission.AdmissionQueue,
) -> bool:
    """Return whether free capacity belongs to a waiter of another workspace.

    In a keyed service waiters may wait for another upstream than this request's
    alone, so they keep no other request waiting.
    """
    if request.workspace is None or _is_keyed(gateway, request.service):
        return False
    return admission.has_earlier_turn(
        wait_queue,
        gateway_request.get_rank(request),
        request.workspace.name,
    )


def _is_keyed(gateway: gateway_module.Gateway, service_name: str) -> bool:
    configuration = gateway.state_cache.configuration
    if configuration is None:
        return False
    service = configuration.service_by_name.get(service_name)
    return service is not None and service.keyed


def _release_reservation(
    gateway: gateway_module.Gateway,
    waiter: admission.Waiter,
) -> None:
    """Release capacity that was reserved just as the request was cancelled."""
    if waiter.upstream_future.done() and not waiter.upstream_future.cancelled():
        upstream = waiter.upstream_future.result()
        if upstream is not None:
            upstream_load.get_load(
                gateway.upstream_loads, upstream.id
            ).in_flight -= 1
    waiter.upstream_future.cancel()


def try_reserve_upstream(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
) -> upstream_state.Upstream | None:
    """Choose an upstream with free capacity and reserve a part of it."""
    configuration = gateway.state_cache.configuration
    if configuration is None:
        return None
    service = configuration.service_by_name.get(request.service)
    if service is None:
        return None
    now_ms = gateway.now_ms()
    if service.keyed:
        upstream = _find_owner(gateway, request, now_ms)
    else:
        upstream = _find_least_loaded(gateway, request, service, now_ms)
    if upstream is not None:
        load = upstream_load.get_load(gateway.upstream_loads, upstream.id)
        _record_choice(request, upstream, load, now_ms)
        may_be_cold = _may_be_cold(gateway, upstream, load.reachability)
        upstream_load.record_sent(load, now_ms, cold=may_be_cold)
    return upstream


def _record_choice(
    request: gateway_request.Request,
    upstream: upstream_state.Upstream,
    load: upstream_load.UpstreamLoad,
    now_ms: int,
) -> None:
    """Record what the choice was based on, for the log."""
    request.upstream = upstream.id
    request.chosen_ms = now_ms
    request.estimated_queue = upstream_load.estimate_queue(load, now_ms)
    request.load_report_age_ms = None
    if load.reported_load is not None:
        request.load_report_age_ms = now_ms - load.reported_ms


def _find_owner(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
    now_ms: int,
) -> upstream_state.Upstream | None:
    """Find the owner of the request's key, if it has free capacity."""
    upstream = _find_holder(gateway, request)
    if upstream is None or not _may_still_send(gateway, upstream, now_ms):
        return None
    return upstream if _has_capacity(gateway, upstream, now_ms) else None


def _find_holder(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> upstream_state.Upstream | None:
    """Find the announced holder of the request's key.

    A request without a key may run on any holder of the service.
    """
    range_table = gateway.state_cache.ownership.table_by_service.get(
        request.service
    )
    if range_table is None:
        return None
    key = request.key
    if key is None:
        key = gateway.random.randint(
            key_ranges.FIRST_KEY,
            key_ranges.LAST_KEY,
        )
    key_range = key_ranges.find_range(range_table, key)
    if key_range is None or not key_range.served:
        return None
    return gateway.state_cache.upstream_by_id.get(key_range.holder)


def _find_backoff_end_ms(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> int:
    """Return until when the holder of the request's key wants nothing, or 0.

    A request without a key, and any other in a pool, has other choices.
    """
    if request.key is None:
        return 0
    upstream = _find_holder(gateway, request)
    if upstream is None:
        return 0
    load = upstream_load.get_load(gateway.upstream_loads, upstream.id)
    return upstream_load.get_backoff_end_ms(upstream, load)


def _may_still_send(
    gateway: gateway_module.Gateway,
    upstream: upstream_state.Upstream,
    now_ms: int,
) -> bool:
    """Check whether the owner of a key may still receive requests for it.

    An upstream that is draining or in an evacuated failure domain may receive
    them for a limited time only, any other without limit. If it is both, each
    limit holds.
    """
    return all(
        now_ms < since_ms + int(limit_ms * _DRAIN_TIME_SHARE)
        for since_ms, limit_ms in _list_departures(gateway, upstream)
    )


def _list_departures(
    gateway: gateway_module.Gateway,
    upstream: upstream_state.Upstream,
) -> list[tuple[int, int]]:
    """List since when an upstream is to be left, each with the time allowed."""
    state_cache = gateway.state_cache
    draining_since_ms = state_cache.draining_since_ms_by_id.get(upstream.id)
    evacuated_since_ms = state_cache.evacuated_since_ms_by_domain.get(
        upstream.failure_domain
    )
    departures = (
        (draining_since_ms, gateway.bounds.drain_ms),
        (evacuated_since_ms, gateway.bounds.evacuate_ms),
    )
    return [
        (since_ms, limit_ms)
        for since_ms, limit_ms in departures
        if since_ms is not None
    ]


def _has_capacity(
    gateway: gateway_module.Gateway,
    upstream: upstream_state.Upstream,
    now_ms: int,
) -> bool:
    load = upstream_load.get_load(gateway.upstream_loads, upstream.id)
    if not upstream_load.has_room(upstream, load, now_ms):
        return False
    if not _may_be_cold(gateway, upstream, load.reachability):
        return True
    max_per_second = gateway_module.get_cold_share(gateway, upstream)
    return upstream_load.allows_cold(load, now_ms, max_per_second)


def _may_be_cold(
    gateway: gateway_module.Gateway,
    upstream: upstream_state.Upstream,
    reachability: suspicions.Reachability,
) -> bool:
    """Check whether an upstream is, or may be, in cold start.

    A restarted upstream may be cold before its announcement has arrived.
    """
    now_ms = gateway.now_ms()
    state_current_ms = gateway.state_cache.state_current_ms
    suspicions.check_news(reachability, state_current_ms, now_ms)
    if upstream.cold_until_ms > now_ms:
        return True
    return suspicions.is_outdated(
        reachability, state_current_ms
    ) or suspicions.is_suspect(upstream, reachability, now_ms)


def _find_least_loaded(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
    service: routes.Service,
    now_ms: int,
) -> upstream_state.Upstream | None:
    """Find the upstream that is expected to serve the request best."""
    state_cache = gateway.state_cache
    candidates = [
        upstream
        for upstream in state_cache.upstream_by_id.values()
        if upstream.service == service.name
        and upstream_state.accepts_work(upstream, state_cache.evacuated_domains)
        and upstream.id not in request.excluded_upstream_ids
        and _has_capacity(gateway, upstream, now_ms)
    ]
    if not candidates:
        return None
    return pool_choice.choose_upstream(
        gateway.upstream_loads, candidates, request.route.target_ms, now_ms
    )
