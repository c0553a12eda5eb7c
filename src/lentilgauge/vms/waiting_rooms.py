"""Wait queues of requests, and retry times for refused callers."""

from lentilgauge.callers import returning, waiting
from lentilgauge.vms import gateway as gateway_module


def get_room(
    gateway: gateway_module.Gateway, service: str
) -> waiting.WaitingRoom:
    """Get the wait queue of a service, creating it if new."""
    return gateway.room_by_service.setdefault(service, waiting.WaitingRoom())


def get_returns(
    gateway: gateway_module.Gateway, service: str
) -> returning.Returns:
    """Get the state behind a service's retry times, creating it if new."""
    return gateway.returns_by_service.setdefault(service, returning.Returns())


def admit_waiters(gateway: gateway_module.Gateway, service: str) -> None:
    """Expire a service's waiting requests and admit those that now fit."""
    room = gateway.room_by_service.get(service)
    if room is not None and room.waiters:
        waiting.expire_waiters(room, gateway.now_ms())
        waiting.admit_waiters(room)


def has_waiters(gateway: gateway_module.Gateway) -> bool:
    """Return whether any request waits for an upstream."""
    return any(room.waiters for room in gateway.room_by_service.values())


def admit_all_waiters(gateway: gateway_module.Gateway) -> None:
    """Expire and admit the waiting requests of all services."""
    for service in gateway.room_by_service:
        admit_waiters(gateway, service)
