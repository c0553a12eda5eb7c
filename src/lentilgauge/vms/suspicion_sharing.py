"""Pass suspicions of restarted upstreams on between VMs.

Followers report to the granter which upstreams they can't reach. The granter
passes that on unless another VM has had an answer of late: then it is the
follower's link that fails, or the upstream is full. At rest nothing is sent.
"""

from collections.abc import Iterator, Mapping

from lentilgauge.links import peer_link
from lentilgauge.upstreams import suspicions, upstream_load, upstream_state
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import state_cache as state_cache_module


def _list_suspects(
    gateway: gateway_module.Gateway,
) -> Iterator[tuple[str, suspicions.Reachability]]:
    """List upstreams with a suspicion, and forget those without."""
    upstream_loads = gateway.upstream_loads
    now_ms = gateway.now_ms()
    for upstream_id in tuple(upstream_loads.suspect_ids):
        load = upstream_load.get_load(upstream_loads, upstream_id)
        reachability = load.reachability
        until_ms = max(reachability.own.until_ms, reachability.shared.until_ms)
        if now_ms < until_ms:
            yield upstream_id, reachability
        else:
            upstream_loads.suspect_ids.discard(upstream_id)


def _pack(
    suspicion: suspicions.Suspicion, now_ms: int, *, failing: bool
) -> peer_link.SuspicionMessage | None:
    if suspicion.incarnation is None or now_ms >= suspicion.until_ms:
        return None
    return peer_link.SuspicionMessage(
        incarnation=suspicion.incarnation,
        remaining_ms=suspicion.until_ms - now_ms,
        failing=failing,
    )


def pack_own(
    gateway: gateway_module.Gateway,
) -> dict[str, peer_link.SuspicionMessage]:
    """Pack what this VM suspects from its own failed connections.

    Failures in a single burst aren't passed on.
    """
    now_ms = gateway.now_ms()
    packed = {}
    for upstream_id, reachability in _list_suspects(gateway):
        failing = suspicions.is_failing(reachability)
        if not failing and reachability.connect_failures:
            continue
        message = _pack(reachability.own, now_ms, failing=failing)
        if message is not None:
            packed[upstream_id] = message
    return packed


def adopt_shared(
    gateway: gateway_module.Gateway,
    suspicion_by_upstream: Mapping[str, peer_link.SuspicionMessage],
) -> bool:
    """Adopt other VMs' suspicions; return whether any is new."""
    now_ms = gateway.now_ms()
    is_any_new = False
    for upstream_id, message in suspicion_by_upstream.items():
        load = upstream_load.get_load(gateway.upstream_loads, upstream_id)
        gateway.upstream_loads.suspect_ids.add(upstream_id)
        is_any_new |= suspicions.adopt(
            load.reachability,
            suspicions.Suspicion(
                incarnation=message.incarnation,
                until_ms=now_ms + message.remaining_ms,
            ),
            now_ms,
        )
    return is_any_new


def apply_report(
    gateway: gateway_module.Gateway, message: peer_link.FollowMessage
) -> None:
    """Adopt a follower's suspicions, and this granter's own, if plausible."""
    now_ms = gateway.now_ms()
    receipt = message.receipt
    reported_after_ms = 0
    if (
        receipt is not None
        and receipt.incarnation == gateway.local_peer.incarnation
    ):
        reported_after_ms = receipt.replied_ms
    for answering_id, counters in message.report.report_by_upstream.items():
        if counters.executed:
            load = upstream_load.get_load(gateway.upstream_loads, answering_id)
            reachability = load.reachability
            reachability.answered_ms = now_ms
            reachability.news_ms = max(reachability.news_ms, reported_after_ms)
    for reported in (message.suspicion_by_upstream, pack_own(gateway)):
        _pass_on(gateway, reported)


def suspect_returned(
    gateway: gateway_module.Gateway, upstream: upstream_state.Upstream
) -> None:
    """Suspect an upstream that this granter's orders reach again.

    It gets keys before callers' requests could show a restart to any VM.
    """
    suspect_ms = gateway_module.get_unannounced_cold_ms(
        gateway, upstream.service
    )
    suspicion = peer_link.SuspicionMessage(
        incarnation=upstream.incarnation, remaining_ms=suspect_ms, failing=True
    )
    _pass_on(gateway, {upstream.id: suspicion})


def _pass_on(
    gateway: gateway_module.Gateway,
    suspicion_by_upstream: Mapping[str, peer_link.SuspicionMessage],
) -> None:
    """Adopt the suspicions that are plausible; tell followers of new ones."""
    plausible = {
        upstream_id: suspicion
        for upstream_id, suspicion in suspicion_by_upstream.items()
        if _is_plausible(gateway, upstream_id, suspicion)
    }
    if adopt_shared(gateway, plausible):
        gateway.suspicion_serial += 1
        state_cache_module.notify_change(gateway.state_cache)


def _is_plausible(
    gateway: gateway_module.Gateway,
    upstream_id: str,
    suspicion: peer_link.SuspicionMessage,
) -> bool:
    """Check whether an upstream may really have restarted.

    An upstream that can't be reached must not have answered any other VM; one
    that answers again must have been suspected before.
    """
    now_ms = gateway.now_ms()
    load = upstream_load.get_load(gateway.upstream_loads, upstream_id)
    reachability = load.reachability
    if suspicion.failing:
        return suspicions.is_unanswering(reachability, now_ms)
    return (
        reachability.shared.incarnation == suspicion.incarnation
        and now_ms < reachability.shared.until_ms
    )


def has_news(gateway: gateway_module.Gateway, vm: str) -> bool:
    """Return whether there are suspicions that a follower doesn't know."""
    return gateway.suspicion_serial > gateway.suspicion_serial_by_vm.get(vm, 0)


def pack_shared(
    gateway: gateway_module.Gateway, vm: str
) -> dict[str, peer_link.SuspicionMessage]:
    """Pack the suspicions that this VM passes on to a follower."""
    now_ms = gateway.now_ms()
    gateway.suspicion_serial_by_vm[vm] = gateway.suspicion_serial
    packed = {
        upstream_id: _pack(reachability.shared, now_ms, failing=False)
        for upstream_id, reachability in _list_suspects(gateway)
    }
    return {
        upstream_id: message
        for upstream_id, message in packed.items()
        if message is not None
    }
