"""Choose the upstream for a request, and let it wait for room there."""

import asyncio

from lentilgauge.callers import gateway_request, waiting
from lentilgauge.services import key_ranges, routes
from lentilgauge.upstreams import roster, upstream_load
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import waiting_rooms

#: Share of the objective for which a request may wait for room: longer, and
#: what it gets would be late anyway.
WAIT_SHARE = 0.6
#: What is left of the time must be this long for a sending to be worth it.
LEAST_LEFT_MS = 15
#: An upstream that is seen to leave still gets its keys' requests for this
#: share of the time that the users allow, until the keys are elsewhere.
_LEAVING_SHARE = 0.6


async def acquire_upstream(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
) -> roster.Upstream | None:
    """Take a place on an upstream, or wait for one as long as it is worth."""
    upstream = choose_upstream(gateway, request)
    room = waiting_rooms.get_room(gateway, request.service)
    if upstream is not None:
        return upstream
    deadline_ms = min(
        request.deadline_ms - LEAST_LEFT_MS,
        request.arrived_ms + int(request.route.target_ms * WAIT_SHARE),
    )
    if gateway.now_ms() >= deadline_ms:
        return None
    waiter = waiting.Waiter(
        rank=request.route.rank,
        deadline_ms=deadline_ms,
        choose=lambda: choose_upstream(gateway, request),
        chosen=asyncio.get_running_loop().create_future(),
    )
    waiting.add_waiter(room, waiter)
    gateway.waiting_began.set()
    try:
        return await asyncio.shield(waiter.chosen)
    except asyncio.CancelledError:
        _return_place(gateway, waiter)
        raise
    finally:
        waiting.remove_waiter(room, waiter)


def _return_place(
    gateway: gateway_module.Gateway,
    waiter: waiting.Waiter,
) -> None:
    """Give back a place that was found just as the caller left."""
    if waiter.chosen.done() and not waiter.chosen.cancelled():
        upstream = waiter.chosen.result()
        if upstream is not None:
            upstream_load.get_load(gateway.loads, upstream.id).in_flight -= 1
    waiter.chosen.cancel()


def choose_upstream(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
) -> roster.Upstream | None:
    """Choose an upstream with room and take a place there."""
    configuration = gateway.beliefs.configuration
    if configuration is None:
        return None
    service = configuration.service_by_name.get(request.service)
    if service is None:
        return None
    now_ms = gateway.now_ms()
    if service.keyed:
        upstream = _find_holder(gateway, request, now_ms)
    else:
        upstream = _find_least_loaded(gateway, request, service, now_ms)
    if upstream is not None:
        load = upstream_load.get_load(gateway.loads, upstream.id)
        _note_choice(request, upstream, load, now_ms)
        cold = _may_be_cold(upstream, load, now_ms)
        upstream_load.note_sent(load, now_ms, cold=cold)
    return upstream


def _note_choice(
    request: gateway_request.Request,
    upstream: roster.Upstream,
    load: upstream_load.UpstreamLoad,
    now_ms: int,
) -> None:
    """Keep what the choice went by, for the log."""
    request.upstream = upstream.id
    request.chosen_ms = now_ms
    request.queue = upstream_load.estimate_queue(load, now_ms)
    request.told_age_ms = None
    if load.told is not None:
        request.told_age_ms = now_ms - load.told_ms


def _find_holder(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
    now_ms: int,
) -> roster.Upstream | None:
    """Find the upstream that holds the request's key, if it has room."""
    table = gateway.beliefs.ownership.table_by_service.get(request.service)
    if table is None:
        return None
    key = request.key
    if key is None:
        # Without a key any holder will do.
        key = gateway.random.randint(
            key_ranges.FIRST_KEY,
            key_ranges.LAST_KEY,
        )
    found = key_ranges.find_range(table, key)
    if found is None or not found.served:
        return None
    upstream = gateway.beliefs.upstream_by_id.get(found.holder)
    if upstream is None or not _may_still_send(gateway, upstream, now_ms):
        return None
    return upstream if _has_place(gateway, upstream, now_ms) else None


def _may_still_send(
    gateway: gateway_module.Gateway,
    upstream: roster.Upstream,
    now_ms: int,
) -> bool:
    """Tell whether a holder may get requests while it leaves."""
    beliefs = gateway.beliefs
    if upstream.failure_domain in beliefs.evacuated:
        since_ms = beliefs.evacuated_ms_by_domain[upstream.failure_domain]
        allowed_ms = gateway.bounds.evacuate_ms
    else:
        since_ms = beliefs.leaving_ms_by_id.get(upstream.id, now_ms)
        allowed_ms = gateway.bounds.drain_ms
    return now_ms < since_ms + int(allowed_ms * _LEAVING_SHARE)


def _has_place(
    gateway: gateway_module.Gateway,
    upstream: roster.Upstream,
    now_ms: int,
) -> bool:
    load = upstream_load.get_load(gateway.loads, upstream.id)
    if not upstream_load.has_room(upstream, load, now_ms):
        return False
    if not _may_be_cold(upstream, load, now_ms):
        return True
    share = gateway_module.share_cold_rate(gateway, upstream)
    return upstream_load.allows_cold(load, now_ms, share)


def _may_be_cold(
    upstream: roster.Upstream,
    load: upstream_load.UpstreamLoad,
    now_ms: int,
) -> bool:
    """Tell whether an upstream is cold, or may be and can't have said so."""
    if upstream.warm_ms > now_ms:
        return True
    return upstream_load.is_doubted(upstream, load, now_ms)


def _find_least_loaded(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
    service: routes.Service,
    now_ms: int,
) -> roster.Upstream | None:
    """Find the upstream that would be done first."""
    beliefs = gateway.beliefs
    fitting = [
        upstream
        for upstream in beliefs.upstream_by_id.values()
        if upstream.service == service.name
        and roster.accepts_work(upstream, beliefs.evacuated)
        and upstream.id not in request.avoided
        and _has_place(gateway, upstream, now_ms)
    ]
    if not fitting:
        return None
    return min(
        fitting,
        key=lambda each: upstream_load.estimate_finish_ms(
            gateway.loads,
            each,
            now_ms,
        ),
    )
