"""HTTP client on top of curl that classifies transport failures."""

import dataclasses
import enum
import http
from collections.abc import Awaitable, Callable

import pycurl
from returns import result
from tornado import httputil

from lentilgauge.links import curl_transfers, reply_heads

#: Never reached: curl gives up after far fewer attempts to send a call.
_UNLIMITED_SENDS = 100
#: A pooled connection that was idle for longer isn't reused.
DEFAULT_MAX_IDLE_S = 4
#: Headers that curl adds by default.
_CURL_DEFAULT_HEADERS = ('User-Agent', 'Accept', 'Content-Type', 'Expect')
#: Bytes of one reply's body; the largest usual ones have about 1 MB.
MAX_REPLY_BYTES = 12_582_912
#: Bytes of all replies that a client is receiving; VMs have 200 to 300 MB.
MAX_BUFFERED_BYTES = 33_554_432
#: Bytes that a call may hold before any of its reply is counted: the longest
#: line that curl collects, 100 KiB, and what the kernel receives, 64 KiB.
UNSEEN_REPLY_BYTES = 167_936
#: curl errors for a reply that isn't HTTP, whose body length differs from the
#: announced one, that takes too much memory, or that belongs to another call.
_INVALID_REPLY_CODES = frozenset(
    (
        pycurl.E_UNSUPPORTED_PROTOCOL,
        pycurl.E_FTP_WEIRD_SERVER_REPLY,
        pycurl.E_WRITE_ERROR,
    ),
)
#: curl errors that may occur between connecting and sending.
_UNSENT_CODES = frozenset((pycurl.E_SEND_ERROR, pycurl.E_OPERATION_TIMEDOUT))


class LinkFailure(enum.StrEnum):
    """Transport failure of a call.

    `NOT_CONNECTED` means that connecting failed, `NOT_REACHED` that it timed
    out; in both cases nothing was sent. `UNSENT` means that a connection failed
    or time ran out before anything was sent on it. `TIMED_OUT` means that no
    complete reply arrived in time, `BROKEN` that the connection failed after
    the call was sent, and `INVALID` that the reply can't be used.
    """

    NOT_CONNECTED = 'not_connected'
    NOT_REACHED = 'not_reached'
    UNSENT = 'unsent'
    TIMED_OUT = 'timed_out'
    BROKEN = 'broken'
    INVALID = 'invalid'


#: Failures to connect: the peer has not received the call.
NOT_SENT_FAILURES = frozenset(
    (LinkFailure.NOT_CONNECTED, LinkFailure.NOT_REACHED)
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One HTTP request with its connection options.

    `send_once` prevents curl's automatic retry when a pooled connection turns
    out to be dead. With `new_connection` no pooled connection is used.
    Otherwise a pooled connection is reused only within `max_idle_s` seconds of
    its last use, because the peer may close an idle one at any time. `target`
    overrides the request target derived from the URL. A connection that is made
    with `reset_on_close` ends with a reset, so that a call that was given up
    isn't delivered later, if a partition holds it up. `expected_reply_header`
    is the name and expected value of a reply header. A reply that has the
    header with another value belongs to a different call, so the call fails as
    `INVALID` and the connection is closed; a reply without the header is
    accepted.
    """

    method: str
    url: str
    timeout_ms: int
    body: bytes | None = dataclasses.field(default=None, repr=False)
    headers: httputil.HTTPHeaders | None = None
    send_once: bool = False
    new_connection: bool = False
    max_idle_s: int = DEFAULT_MAX_IDLE_S
    target: str = ''
    reset_on_close: bool = False
    expected_reply_header: tuple[str, str] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Complete HTTP reply."""

    status: int
    headers: httputil.HTTPHeaders
    #: Not in the representation, as the store's objects may have API keys.
    body: bytes = dataclasses.field(repr=False)


CallResult = result.Result[Reply, LinkFailure]


Send = Callable[[Call], Awaitable[CallResult]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Client:
    """HTTP client; its `send` function determines the transport."""

    send: Send


def make_client(
    count_reply: curl_transfers.ReplyCounter = curl_transfers.count_nothing,
    max_pooled_connections: int = curl_transfers.MAX_POOLED_CONNECTIONS,
) -> Client:
    """Create a client with its own connection pool on the running loop.

    `count_reply` is called for each call, and for the parts of its reply as
    they are received.
    """
    driver = curl_transfers.make_driver(max_pooled_connections)
    driver.count_reply = count_reply

    async def send(call: Call) -> CallResult:
        return await _send_through(driver, call)

    return Client(send=send)


def _make_send_callback(
    partial_reply: reply_heads.PartialReply,
    *,
    send_once: bool,
) -> Callable[..., int]:
    """Make the callback that curl invokes before each send.

    curl invokes it for automatic retries on dead pooled connections too. The
    peer may have read the call before such a connection died, so a call that
    must be sent only once isn't retried.
    """
    max_sends = 1 if send_once else _UNLIMITED_SENDS

    def allow_send(*_: object) -> int:
        partial_reply.send_count += 1
        if partial_reply.send_count > max_sends:
            return int(pycurl.PREREQFUNC_ABORT)
        return int(pycurl.PREREQFUNC_OK)

    return allow_send


def _make_byte_counter(
    partial_reply: reply_heads.PartialReply,
    driver: curl_transfers.TransferDriver,
) -> Callable[[int], bool]:
    """Make the function that takes memory for a reply, if there is enough.

    A reply may take no more than it leaves to the client's other replies, so
    that the large ones fail and small ones don't.
    """

    def take_bytes(added_bytes: int) -> bool:
        reply_bytes = partial_reply.counted_bytes + added_bytes
        free_bytes = MAX_BUFFERED_BYTES - driver.buffered_bytes - added_bytes
        if reply_bytes > free_bytes:
            return False
        if not driver.count_reply(reply_bytes, added_bytes):
            return False
        driver.buffered_bytes += added_bytes
        partial_reply.counted_bytes = reply_bytes
        return True

    return take_bytes


def _make_body_callback(
    partial_reply: reply_heads.PartialReply,
    take_bytes: Callable[[int], bool],
) -> Callable[[bytes], int]:
    """Make the callback that buffers the body, or aborts the transfer."""

    def buffer_chunk(chunk: bytes) -> int:
        body_bytes = partial_reply.body.tell() + len(chunk)
        if body_bytes > MAX_REPLY_BYTES or not take_bytes(len(chunk)):
            return reply_heads.ABORT_TRANSFER
        return partial_reply.body.write(chunk)

    return buffer_chunk


def _list_header_lines(call: Call) -> list[bytes]:
    """List the call's header lines, without the headers that curl adds.

    A line that ends after the colon makes curl omit that default header.
    """
    headers = call.headers or httputil.HTTPHeaders()
    request_lines = [f'{name}: {text}' for name, text in headers.get_all()]
    request_lines.extend(
        f'{name}:' for name in _CURL_DEFAULT_HEADERS if name not in headers
    )
    return [curl_transfers.encode_text(line) for line in request_lines]


def _set_body(curl: pycurl.Curl, call: Call) -> None:
    if call.method == http.HTTPMethod.HEAD:
        curl.setopt(pycurl.NOBODY, 1)
        return
    if call.body is not None:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, call.body)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)


def _set_address(curl: pycurl.Curl, call: Call) -> None:
    curl.setopt(pycurl.URL, curl_transfers.encode_text(call.url))
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.PATH_AS_IS, 1)
    if call.target:
        curl.setopt(
            pycurl.REQUEST_TARGET, curl_transfers.encode_text(call.target)
        )


def _set_connection_options(curl: pycurl.Curl, call: Call) -> None:
    timeout_ms = max(call.timeout_ms, 1)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.FRESH_CONNECT, int(call.new_connection))
    curl.setopt(pycurl.MAXAGE_CONN, call.max_idle_s)
    curl.setopt(pycurl.TCP_NODELAY, 1)
    if call.reset_on_close:
        curl.setopt(pycurl.SOCKOPTFUNCTION, curl_transfers.reset_on_close)


def _make_setup(
    call: Call,
    partial_reply: reply_heads.PartialReply,
    driver: curl_transfers.TransferDriver,
) -> curl_transfers.HandleSetup:
    """Make the function that configures a curl handle for one call."""
    take_bytes = _make_byte_counter(partial_reply, driver)

    def set_up_handle(curl: pycurl.Curl) -> None:
        _set_address(curl, call)
        curl.setopt(pycurl.HTTPHEADER, _list_header_lines(call))
        curl.setopt(
            pycurl.PREREQFUNCTION,
            _make_send_callback(partial_reply, send_once=call.send_once),
        )
        curl.setopt(
            pycurl.HEADERFUNCTION,
            reply_heads.make_header_callback(
                partial_reply, call.expected_reply_header, take_bytes
            ),
        )
        curl.setopt(
            pycurl.WRITEFUNCTION,
            _make_body_callback(partial_reply, take_bytes),
        )
        _set_connection_options(curl, call)
        _set_body(curl, call)

    return set_up_handle


def classify_failure(
    transfer_end: curl_transfers.TransferEnd, send_count: int
) -> LinkFailure:
    """Map the end of a transfer after some number of sends to a failure.

    Without a send, or with one of which the operating system has taken no byte,
    the peer has not received the call.
    """
    code = transfer_end.code
    if not send_count:
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return LinkFailure.NOT_REACHED
        return LinkFailure.NOT_CONNECTED
    if (
        send_count == 1
        and code in _UNSENT_CODES
        and not transfer_end.sent_bytes
    ):
        return LinkFailure.UNSENT
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return LinkFailure.TIMED_OUT
    if code in _INVALID_REPLY_CODES:
        return LinkFailure.INVALID
    return LinkFailure.BROKEN


async def send_call(client: Client, call: Call) -> CallResult:
    """Send a call; a reply with an error status is a success as well."""
    return await client.send(call)


async def _send_through(
    driver: curl_transfers.TransferDriver, call: Call
) -> CallResult:
    partial_reply = reply_heads.PartialReply()
    driver.count_reply(0, UNSEEN_REPLY_BYTES)
    try:
        transfer_end = await curl_transfers.run_transfer(
            driver,
            _make_setup(call, partial_reply, driver),
        )
    finally:
        counted_bytes = partial_reply.counted_bytes
        driver.buffered_bytes -= counted_bytes
        driver.count_reply(0, -counted_bytes - UNSEEN_REPLY_BYTES)
    if transfer_end.code:
        return result.Failure(
            classify_failure(transfer_end, partial_reply.send_count),
        )
    if (
        not partial_reply.final_status
        or partial_reply.final_status != transfer_end.status
    ):
        # curl takes a connection that closes within a head for its end.
        return result.Failure(LinkFailure.BROKEN)
    return result.Success(
        Reply(
            status=transfer_end.status,
            headers=reply_heads.read_headers(partial_reply),
            body=partial_reply.body.getvalue(),
        ),
    )
