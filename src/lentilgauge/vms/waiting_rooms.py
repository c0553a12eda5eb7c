"""Let requests wait at a VM, and invite back whom it refuses."""

from lentilgauge.callers import returning, waiting
from lentilgauge.vms import gateway as gateway_module


def get_room(
    gateway: gateway_module.Gateway, service: str
) -> waiting.WaitingRoom:
    """Get where a service's requests wait."""
    return gateway.room_by_service.setdefault(service, waiting.WaitingRoom())


def get_returns(
    gateway: gateway_module.Gateway, service: str
) -> returning.Returns:
    """Get how a service's refused callers are invited back."""
    return gateway.returns_by_service.setdefault(service, returning.Returns())


def admit_waiters(gateway: gateway_module.Gateway, service: str) -> None:
    """Give room on a service's upstreams to those who wait for it."""
    room = gateway.room_by_service.get(service)
    if room is not None and room.waiters:
        waiting.expire_waiters(room, gateway.now_ms())
        waiting.admit_waiters(room)


def has_waiters(gateway: gateway_module.Gateway) -> bool:
    """Tell whether any request waits for room."""
    return any(room.waiters for room in gateway.room_by_service.values())


def admit_all_waiters(gateway: gateway_module.Gateway) -> None:
    """Look for room for all who wait."""
    for service in gateway.room_by_service:
        admit_waiters(gateway, service)
