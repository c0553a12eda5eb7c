"""Reserve loopback ports for processes that will listen on them."""

import socket
from collections.abc import Iterable

LOOPBACK = '127.0.0.1'


def _reserve_port() -> socket.socket:
    """Bind a free port, so that only a server that asks for it can share it.

    A server that allows the reuse of addresses can listen on it meanwhile. No
    outgoing connection gets it, and nobody who asks for any free port.
    """
    reservation = socket.socket()
    reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reservation.bind((LOOPBACK, 0))
    return reservation


def reserve_ports(names: Iterable[str]) -> dict[str, socket.socket]:
    """Reserve a port for each name, until its socket is closed."""
    return {name: _reserve_port() for name in names}


def map_ports(reservation_by_name: dict[str, socket.socket]) -> dict[str, int]:
    """Map the names to their reserved ports."""
    return {
        name: reservation.getsockname()[1]
        for name, reservation in reservation_by_name.items()
    }


def free_ports(reservation_by_name: dict[str, socket.socket]) -> None:
    """End the reservations."""
    for reservation in reservation_by_name.values():
        reservation.close()
