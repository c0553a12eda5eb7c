"""curl transfers on the process's event loop.

Tornado's curl client can't abort a transfer and configures a handle anew for
each one. Here a cancelled transfer closes its connection at once, so that the
upstream notices that the caller has disconnected, and handles are reused.
"""

import asyncio
import dataclasses
import socket
import struct
from collections.abc import Callable

import pycurl

from lentilgauge import clock

#: Size of curl's connection pool; each entry VM is connected to some tens of
#: upstreams and as many peers.
MAX_POOLED_CONNECTIONS = 1000
#: Unused handles that are kept for reuse.
MAX_IDLE_HANDLES = 200
#: Socket option by which closing a connection resets it: on, for 0 s.
_NO_LINGER = struct.pack('ii', 1, 0)

HandleSetup = Callable[[pycurl.Curl], None]
#: Counts the bytes that replies take while they are received. It gets those of
#: the reply so far and those added, or freed if negative, and returns whether
#: the reply may take them.
ReplyCounter = Callable[[int, int], bool]


def count_nothing(_reply_bytes: int, _change_bytes: int) -> bool:
    """Let replies take what they need."""
    return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TransferEnd:
    """End of a transfer: curl's error code and the HTTP status.

    Code 0 means that the body is complete, whatever the HTTP status; the head
    may be cut. `sent_bytes` counts the bytes of the request's head, not of its
    body, that were handed to the operating system.
    """

    code: int
    status: int
    sent_bytes: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class TransferDriver:
    """Running transfers, idle handles and their links to the event loop.

    `watched_descriptors` are the sockets registered with the event loop, and
    `buffered_bytes` is what the replies of running transfers take.
    """

    multi: pycurl.CurlMulti
    end_future_by_handle: dict[pycurl.Curl, asyncio.Future[TransferEnd]] = (
        dataclasses.field(default_factory=dict)
    )
    idle_handles: list[pycurl.Curl] = dataclasses.field(default_factory=list)
    watched_descriptors: set[int] = dataclasses.field(default_factory=set)
    timer: asyncio.TimerHandle | None = None
    buffered_bytes: int = 0
    count_reply: ReplyCounter = count_nothing


def encode_text(text: str) -> bytes:
    """Encode header text as it was received; other text as UTF-8."""
    try:
        return text.encode('latin-1')
    except UnicodeEncodeError:
        return text.encode('utf-8')


def reset_on_close(descriptor: int, _purpose: int) -> int:
    """Set up a new connection so that it is reset when it is closed."""
    connection = socket.socket(fileno=descriptor)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    # curl goes on using the descriptor.
    connection.detach()
    return int(pycurl.SOCKOPT_OK)


def make_driver(
    max_pooled_connections: int = MAX_POOLED_CONNECTIONS,
) -> TransferDriver:
    """Create a driver for transfers on the running loop."""
    multi = pycurl.CurlMulti()
    transfer_driver = TransferDriver(multi=multi)
    multi.setopt(pycurl.M_MAXCONNECTS, max_pooled_connections)
    multi.setopt(
        pycurl.M_SOCKETFUNCTION,
        lambda event, descriptor, *_: _register_socket(
            transfer_driver, event, descriptor
        ),
    )
    multi.setopt(
        pycurl.M_TIMERFUNCTION,
        lambda delay_ms: _set_timer(transfer_driver, delay_ms),
    )
    return transfer_driver


def _register_socket(
    transfer_driver: TransferDriver, event: int, descriptor: int
) -> None:
    """Watch a socket for the events that curl waits for, if any."""
    loop = asyncio.get_running_loop()
    if descriptor in transfer_driver.watched_descriptors:
        loop.remove_reader(descriptor)
        loop.remove_writer(descriptor)
        transfer_driver.watched_descriptors.discard(descriptor)
    if event == pycurl.POLL_REMOVE:
        return
    transfer_driver.watched_descriptors.add(descriptor)
    if event & pycurl.POLL_IN:
        loop.add_reader(
            descriptor,
            _process_event,
            transfer_driver,
            descriptor,
            pycurl.CSELECT_IN,
        )
    if event & pycurl.POLL_OUT:
        loop.add_writer(
            descriptor,
            _process_event,
            transfer_driver,
            descriptor,
            pycurl.CSELECT_OUT,
        )


def _set_timer(transfer_driver: TransferDriver, delay_ms: int) -> None:
    if transfer_driver.timer is not None:
        transfer_driver.timer.cancel()
        transfer_driver.timer = None
    if delay_ms >= 0:
        transfer_driver.timer = asyncio.get_running_loop().call_later(
            clock.to_seconds(delay_ms),
            _process_event,
            transfer_driver,
            pycurl.SOCKET_TIMEOUT,
            0,
        )


def _process_event(
    transfer_driver: TransferDriver, descriptor: int, event_mask: int
) -> None:
    """Let curl process a socket event or a timeout; resolve ended transfers."""
    transfer_driver.multi.socket_action(descriptor, event_mask)
    messages_left = 1
    while messages_left:
        messages_left, succeeded, failed = transfer_driver.multi.info_read()
        for curl in succeeded:
            _resolve_transfer(transfer_driver, curl, 0)
        for curl, code, _ in failed:
            _resolve_transfer(transfer_driver, curl, code)


def _resolve_transfer(
    transfer_driver: TransferDriver, curl: pycurl.Curl, code: int
) -> None:
    end_future = transfer_driver.end_future_by_handle.get(curl)
    if end_future is not None and not end_future.done():
        status = curl.getinfo(pycurl.RESPONSE_CODE)
        sent_bytes = curl.getinfo(pycurl.REQUEST_SIZE)
        end_future.set_result(
            TransferEnd(code=code, status=status, sent_bytes=sent_bytes)
        )


async def run_transfer(
    transfer_driver: TransferDriver, set_up_handle: HandleSetup
) -> TransferEnd:
    """Run one transfer; cancellation closes its connection.

    A transfer with text that curl doesn't take, such as a NUL in an address,
    ends before anything is sent.
    """
    curl = (
        transfer_driver.idle_handles.pop()
        if transfer_driver.idle_handles
        else pycurl.Curl()
    )
    try:
        set_up_handle(curl)
    except (ValueError, pycurl.error):
        _recycle_handle(transfer_driver, curl)
        return TransferEnd(code=pycurl.E_URL_MALFORMAT, status=0)
    end_future: asyncio.Future[TransferEnd] = (
        asyncio.get_running_loop().create_future()
    )
    transfer_driver.end_future_by_handle[curl] = end_future
    transfer_driver.multi.add_handle(curl)
    try:
        return await end_future
    finally:
        transfer_driver.end_future_by_handle.pop(curl)
        transfer_driver.multi.remove_handle(curl)
        _recycle_handle(transfer_driver, curl)


def _recycle_handle(transfer_driver: TransferDriver, curl: pycurl.Curl) -> None:
    curl.reset()
    if len(transfer_driver.idle_handles) < MAX_IDLE_HANDLES:
        transfer_driver.idle_handles.append(curl)
    else:
        curl.close()


def close_driver(transfer_driver: TransferDriver) -> None:
    """Close all connections and idle handles."""
    _set_timer(transfer_driver, -1)
    for curl in transfer_driver.idle_handles:
        curl.close()
    transfer_driver.idle_handles.clear()
    transfer_driver.multi.close()
