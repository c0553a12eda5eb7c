"""Drive curl's transfers on the process's one loop.

The HTTP library's own wrapper of curl can't end a transfer early and sets up
each handle anew. Here a cancelled transfer closes its connection at once, so
an upstream learns that its caller has left, and handles are used again.
"""

import asyncio
import dataclasses
from collections.abc import Callable

import pycurl

from lentilgauge import clock

#: Connections that curl keeps for later use; each entry VM speaks to some
#: tens of upstreams and as many peers.
MAX_KEPT_CONNECTIONS = 1000
#: Handles that are kept for later use.
MAX_IDLE_HANDLES = 200

Preparation = Callable[[pycurl.Curl], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ended:
    """Say how a transfer ended; code 0 is a whole answer."""

    code: int
    status: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Transfers:
    """Hold the transfers under way and the handles at rest."""

    multi: pycurl.CurlMulti
    future_by_curl: dict[pycurl.Curl, asyncio.Future[Ended]] = (
        dataclasses.field(default_factory=dict)
    )
    idle: list[pycurl.Curl] = dataclasses.field(default_factory=list)
    watched: set[int] = dataclasses.field(default_factory=set)
    timer: asyncio.TimerHandle | None = None


def make_transfers() -> Transfers:
    """Make the driver for the running loop."""
    multi = pycurl.CurlMulti()
    transfers = Transfers(multi=multi)
    multi.setopt(pycurl.M_MAXCONNECTS, MAX_KEPT_CONNECTIONS)
    multi.setopt(
        pycurl.M_SOCKETFUNCTION,
        lambda event, descriptor, *_: _watch(transfers, event, descriptor),
    )
    multi.setopt(
        pycurl.M_TIMERFUNCTION,
        lambda span_ms: _set_timer(transfers, span_ms),
    )
    return transfers


def _watch(transfers: Transfers, event: int, descriptor: int) -> None:
    """Listen on a socket as curl asks."""
    loop = asyncio.get_running_loop()
    if descriptor in transfers.watched:
        loop.remove_reader(descriptor)
        loop.remove_writer(descriptor)
        transfers.watched.discard(descriptor)
    if event == pycurl.POLL_REMOVE:
        return
    transfers.watched.add(descriptor)
    if event & pycurl.POLL_IN:
        loop.add_reader(
            descriptor,
            _act,
            transfers,
            descriptor,
            pycurl.CSELECT_IN,
        )
    if event & pycurl.POLL_OUT:
        loop.add_writer(
            descriptor,
            _act,
            transfers,
            descriptor,
            pycurl.CSELECT_OUT,
        )


def _set_timer(transfers: Transfers, span_ms: int) -> None:
    if transfers.timer is not None:
        transfers.timer.cancel()
        transfers.timer = None
    if span_ms >= 0:
        transfers.timer = asyncio.get_running_loop().call_later(
            clock.to_seconds(span_ms),
            _act,
            transfers,
            pycurl.SOCKET_TIMEOUT,
            0,
        )


def _act(transfers: Transfers, descriptor: int, mask: int) -> None:
    """Let curl go on, and report what has ended."""
    transfers.multi.socket_action(descriptor, mask)
    left = 1
    while left:
        left, done, failed = transfers.multi.info_read()
        for curl in done:
            _settle(transfers, curl, 0)
        for curl, code, _ in failed:
            _settle(transfers, curl, code)


def _settle(transfers: Transfers, curl: pycurl.Curl, code: int) -> None:
    ended = transfers.future_by_curl.get(curl)
    if ended is not None and not ended.done():
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        ended.set_result(Ended(code=code, status=status))


async def run_transfer(transfers: Transfers, prepare: Preparation) -> Ended:
    """Run one transfer; being cancelled closes its connection."""
    curl = transfers.idle.pop() if transfers.idle else pycurl.Curl()
    prepare(curl)
    ended: asyncio.Future[Ended] = asyncio.get_running_loop().create_future()
    transfers.future_by_curl[curl] = ended
    transfers.multi.add_handle(curl)
    try:
        return await ended
    finally:
        transfers.future_by_curl.pop(curl)
        transfers.multi.remove_handle(curl)
        _keep_handle(transfers, curl)


def _keep_handle(transfers: Transfers, curl: pycurl.Curl) -> None:
    curl.reset()
    if len(transfers.idle) < MAX_IDLE_HANDLES:
        transfers.idle.append(curl)
    else:
        curl.close()


def close_transfers(transfers: Transfers) -> None:
    """Close all connections and handles."""
    _set_timer(transfers, -1)
    for curl in transfers.idle:
        curl.close()
    transfers.idle.clear()
    transfers.multi.close()
