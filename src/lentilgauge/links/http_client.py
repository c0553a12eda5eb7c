"""Call HTTP peers through the curl client and type what went wrong."""

import dataclasses
import enum
from collections.abc import Callable

import pycurl
from returns import result
from tornado import curl_httpclient, httpclient, httputil

from lentilgauge import clock

#: Every transfer of one process goes through one client with this bound.
MAX_TRANSFERS = 4000
#: curl gives up by itself long before it has sent a call this often.
_MOST_SENDS = 100


class LinkFailure(enum.StrEnum):
    """Say how a call failed.

    Only `NOT_CONNECTED` proves that the peer saw nothing.
    """

    NOT_CONNECTED = 'not_connected'
    TIMED_OUT = 'timed_out'
    BROKEN = 'broken'
    INVALID = 'invalid'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """Describe one HTTP call.

    `send_once` keeps curl from sending the call again by itself, as it does
    where a kept connection turns out to be dead.
    """

    method: str
    url: str
    timeout_ms: int
    body: bytes | None = None
    headers: httputil.HTTPHeaders | None = None
    send_once: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Hold a whole answer."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


CallResult = result.Result[Reply, LinkFailure]


def make_client() -> httpclient.AsyncHTTPClient:
    """Make a curl client of its own for this process's loop."""
    return curl_httpclient.CurlAsyncHTTPClient(
        force_instance=True,
        max_clients=MAX_TRANSFERS,
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class Sends:
    """Count how often curl began to send one call."""

    count: int = 0


def _make_preparation(
    sends: Sends,
    *,
    send_once: bool,
) -> Callable[[pycurl.Curl], None]:
    """Make the function that prepares curl for one call.

    curl asks before it sends on any connection, also where it does so again
    by itself because a kept connection turned out dead. On a kept connection
    nobody can tell whether a dead peer had read the call, so what must be
    sent once goes on a fresh one: if there is no peer, nothing was sent.
    """
    most_sends = 1 if send_once else _MOST_SENDS

    def allow_send(*_: object) -> int:
        sends.count += 1
        if sends.count > most_sends:
            return int(pycurl.PREREQFUNC_ABORT)
        return int(pycurl.PREREQFUNC_OK)

    def prepare(curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.PREREQFUNCTION, allow_send)
        curl.setopt(pycurl.FRESH_CONNECT, int(send_once))
        curl.setopt(pycurl.TCP_NODELAY, 1)

    return prepare


def _make_request(call: Call, sends: Sends) -> httpclient.HTTPRequest:
    timeout = clock.to_seconds(call.timeout_ms)
    return httpclient.HTTPRequest(
        call.url,
        method=call.method,
        headers=call.headers,
        body=call.body,
        connect_timeout=timeout,
        request_timeout=timeout,
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
        prepare_curl_callback=_make_preparation(
            sends,
            send_once=call.send_once,
        ),
    )


def classify_failure(failed: Exception, sends: Sends) -> LinkFailure:
    """Map curl's error to a link failure."""
    if not sends.count:
        return LinkFailure.NOT_CONNECTED
    code = getattr(failed, 'errno', None)
    if code == pycurl.E_OPERATION_TIMEDOUT:
        return LinkFailure.TIMED_OUT
    return LinkFailure.BROKEN


async def send_call(
    client: httpclient.AsyncHTTPClient,
    call: Call,
) -> CallResult:
    """Send a call; an HTTP error status is a reply, not a failure."""
    sends = Sends()
    try:
        response = await client.fetch(
            _make_request(call, sends),
            raise_error=False,
        )
    except curl_httpclient.CurlError as failed:
        return result.Failure(classify_failure(failed, sends))
    return result.Success(
        Reply(
            status=response.code,
            headers=response.headers,
            body=response.body,
        ),
    )
