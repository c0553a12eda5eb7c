"""Call HTTP peers through curl and type what went wrong."""

import contextlib
import dataclasses
import enum
import http
from collections.abc import Awaitable, Callable

import pycurl
from returns import result
from tornado import httputil

from lentilgauge.links import transfers

#: curl gives up by itself long before it has sent a call this often.
_MOST_SENDS = 100
#: How long a kept connection may lie idle before another is opened.
DEFAULT_KEEP_S = 4
#: What curl would send although nobody asked for it.
_CURLS_OWN_HEADERS = ('User-Agent', 'Accept', 'Content-Type', 'Expect')
#: What a reader of header lines returns to end the transfer.
_REFUSE_LINE = 0
#: The peer sent bytes that are no answer, more or fewer than announced, or an
#: answer to another call.
_INVALID_CODES = frozenset(
    (
        pycurl.E_UNSUPPORTED_PROTOCOL,
        pycurl.E_FTP_WEIRD_SERVER_REPLY,
        pycurl.E_WRITE_ERROR,
    ),
)


class LinkFailure(enum.StrEnum):
    """Say how a call failed.

    `NOT_REACHED` means that no connection was made in time.
    """

    NOT_CONNECTED = 'not_connected'
    NOT_REACHED = 'not_reached'
    TIMED_OUT = 'timed_out'
    BROKEN = 'broken'
    INVALID = 'invalid'


#: The failures that prove that the peer saw nothing of the call.
NOTHING_SENT = frozenset((LinkFailure.NOT_CONNECTED, LinkFailure.NOT_REACHED))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Describe one HTTP call.

    `send_once` keeps curl from sending the call again by itself, as it does
    where a kept connection turns out to be dead. `fresh` takes no kept
    connection. A kept one is used within `keep_s` seconds of its last use
    only; the peer closes it at some time of its own choosing. `target` is the
    request target as sent, where it isn't the URL's own. `answered_by` is a
    header with the text that it has in the answer, if it is there at all: an
    answer with another text is to another call, and ends the connection.
    """

    method: str
    url: str
    timeout_ms: int
    body: bytes | None = None
    headers: httputil.HTTPHeaders | None = None
    send_once: bool = False
    fresh: bool = False
    keep_s: int = DEFAULT_KEEP_S
    target: str = ''
    answered_by: tuple[str, str] | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Hold a whole answer."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


CallResult = result.Result[Reply, LinkFailure]


Send = Callable[[Call], Awaitable[CallResult]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Client:
    """Hold the function through which a process sends its calls."""

    send: Send


def make_client() -> Client:
    """Make a curl client of its own for this process's loop."""
    driver = transfers.make_transfers()

    async def send(call: Call) -> CallResult:
        return await _send_through(driver, call)

    return Client(send=send)


@dataclasses.dataclass(slots=True, kw_only=True)
class Receiving:
    """Hold what has come of one answer, and how often the call was sent."""

    sends: int = 0
    lines: list[bytes] = dataclasses.field(default_factory=list)
    chunks: list[bytes] = dataclasses.field(default_factory=list)


def _make_send_check(
    receiving: Receiving,
    *,
    send_once: bool,
) -> Callable[..., int]:
    """Make the function that curl asks before each send.

    It asks also where it sends again by itself because a kept connection
    turned out dead. On a kept connection nobody can tell whether a dead peer
    had read the call, so what must be sent once is refused a second send.
    """
    most_sends = 1 if send_once else _MOST_SENDS

    def allow_send(*_: object) -> int:
        receiving.sends += 1
        if receiving.sends > most_sends:
            return int(pycurl.PREREQFUNC_ABORT)
        return int(pycurl.PREREQFUNC_OK)

    return allow_send


def _make_line_reader(
    receiving: Receiving,
    answered_by: tuple[str, str] | None,
) -> Callable[[bytes], int | None]:
    """Make the function that keeps the header lines of the last answer.

    It refuses the line of an answer to another call, so that curl closes the
    connection: what comes next on it would be as foreign.
    """
    name, text = answered_by or ('', '')
    start = f'{name}:'.lower().encode()

    def read_line(line: bytes) -> int | None:
        if line.startswith(b'HTTP/'):
            # An interim answer came before: only the final one counts.
            receiving.lines.clear()
            return None
        if name and line.lower().startswith(start):
            given = line.partition(b':')[2].strip()
            if given != text.encode():
                return _REFUSE_LINE
        if line.strip():
            receiving.lines.append(line)
        return None

    return read_line


def _list_header_lines(call: Call) -> list[str]:
    """List the headers as sent; an empty one keeps curl's own out."""
    headers = call.headers or httputil.HTTPHeaders()
    lines = [f'{name}: {text}' for name, text in headers.get_all()]
    lines.extend(
        f'{name}:' for name in _CURLS_OWN_HEADERS if name not in headers
    )
    return lines


def _set_body(curl: pycurl.Curl, call: Call) -> None:
    if call.method == http.HTTPMethod.HEAD:
        curl.setopt(pycurl.NOBODY, 1)
        return
    if call.body is not None:
        curl.setopt(pycurl.POST, 1)
        curl.setopt(pycurl.POSTFIELDS, call.body)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)


def _set_place(curl: pycurl.Curl, call: Call) -> None:
    curl.setopt(pycurl.URL, call.url)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.PATH_AS_IS, 1)
    if call.target:
        curl.setopt(pycurl.REQUEST_TARGET, call.target)


def _set_bounds(curl: pycurl.Curl, call: Call) -> None:
    timeout_ms = max(call.timeout_ms, 1)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.TIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, timeout_ms)
    curl.setopt(pycurl.FRESH_CONNECT, int(call.fresh))
    curl.setopt(pycurl.MAXAGE_CONN, call.keep_s)
    curl.setopt(pycurl.TCP_NODELAY, 1)


def _make_preparation(
    call: Call,
    receiving: Receiving,
) -> transfers.Preparation:
    """Make the function that sets a handle up for one call."""

    def prepare(curl: pycurl.Curl) -> None:
        _set_place(curl, call)
        curl.setopt(pycurl.HTTPHEADER, _list_header_lines(call))
        curl.setopt(
            pycurl.PREREQFUNCTION,
            _make_send_check(receiving, send_once=call.send_once),
        )
        curl.setopt(
            pycurl.HEADERFUNCTION,
            _make_line_reader(receiving, call.answered_by),
        )
        curl.setopt(pycurl.WRITEFUNCTION, receiving.chunks.append)
        _set_bounds(curl, call)
        _set_body(curl, call)

    return prepare


def classify_failure(code: int, sends: int) -> LinkFailure:
    """Map curl's error to a link failure."""
    if not sends:
        if code == pycurl.E_OPERATION_TIMEDOUT:
            return LinkFailure.NOT_REACHED
        return LinkFailure.NOT_CONNECTED
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return LinkFailure.TIMED_OUT
    if code in _INVALID_CODES:
        return LinkFailure.INVALID
    return LinkFailure.BROKEN


def _read_headers(receiving: Receiving) -> httputil.HTTPHeaders:
    headers = httputil.HTTPHeaders()
    for line in receiving.lines:
        # An unreadable line names no header that could be passed on.
        with contextlib.suppress(httputil.HTTPInputError, ValueError):
            headers.parse_line(line.decode('latin-1'))
    return headers


async def send_call(client: Client, call: Call) -> CallResult:
    """Send a call; an HTTP error status is a reply, not a failure."""
    return await client.send(call)


async def _send_through(driver: transfers.Transfers, call: Call) -> CallResult:
    receiving = Receiving()
    ended = await transfers.run_transfer(
        driver,
        _make_preparation(call, receiving),
    )
    if ended.code:
        return result.Failure(classify_failure(ended.code, receiving.sends))
    return result.Success(
        Reply(
            status=ended.status,
            headers=_read_headers(receiving),
            body=b''.join(receiving.chunks),
        ),
    )
