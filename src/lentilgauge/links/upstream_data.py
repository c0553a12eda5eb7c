"""Speak the data protocol of upstreams: headers around a caller's request."""

import dataclasses
import http

from returns import result
from tornado import httputil

from lentilgauge import errors
from lentilgauge.contracts import lease
from lentilgauge.links import http_client
from lentilgauge.services import catalog

REQUEST_ID = 'X-Request-Id'
SLOT = 'X-Slot'
EPOCH = 'X-Slot-Epoch'
DEADLINE_MS = 'X-Deadline-Ms'
IDEMPOTENCY_KEY = 'Idempotency-Key'
#: An upstream sets this on an answer that says "not run", with the reason.
NOT_RUN = 'X-Not-Run'

#: Headers that end at one connection, by RFC 9110 section 7.6.1.
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)
#: Headers that the system alone sets towards upstreams.
_OWN = (
    REQUEST_ID,
    SLOT,
    EPOCH,
    DEADLINE_MS,
    NOT_RUN,
    'Host',
    'Content-Length',
    'Expect',
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Describe one attempt to run a request on an upstream.

    `headers` are the caller's, stripped; the attempt sets its own in place.
    """

    request_id: str
    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    wanted: lease.SlotGrant
    timeout_ms: int
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Executed:
    """Hold the whole answer of an upstream that ran the request."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Say why an upstream did not run the request."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unanswered:
    """Say how an attempt failed; only some failures prove "not run"."""

    failure: http_client.LinkFailure


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """Say why an attempt was given up before anything was sent."""

    failure: errors.Failure


Outcome = Executed | Refused | Unanswered | NotSent


def strip_hop_by_hop(headers: httputil.HTTPHeaders) -> None:
    """Drop hop-by-hop headers in place, also those `Connection` names."""
    for text in headers.get_list('Connection'):
        for token in text.split(','):
            headers.pop(token.strip(), None)
    for name in HOP_BY_HOP:
        headers.pop(name, None)


def strip_request_headers(headers: httputil.HTTPHeaders) -> None:
    """Drop in place what must not pass from a caller to an upstream."""
    strip_hop_by_hop(headers)
    for name in _OWN:
        headers.pop(name, None)


def _set_headers(dispatch: Dispatch) -> httputil.HTTPHeaders:
    """Set the headers of one attempt over those of the last."""
    headers = dispatch.headers
    headers[REQUEST_ID] = dispatch.request_id
    headers[SLOT] = str(dispatch.wanted.slot)
    headers[EPOCH] = str(dispatch.wanted.epoch)
    headers[DEADLINE_MS] = str(dispatch.timeout_ms)
    return headers


def _may_have_body(method: str) -> bool:
    return method in {'POST', 'PUT', 'DELETE', 'PATCH'}


async def send_dispatch(
    client: http_client.Client,
    upstream: catalog.Upstream,
    dispatch: Dispatch,
) -> Outcome:
    """Send one attempt and classify what became of it.

    A request that isn't idempotent is sent once, whatever curl would do.
    """
    sent = await http_client.send_call(
        client,
        http_client.Call(
            method=dispatch.method,
            url=f'{upstream.base_url}{dispatch.target}',
            timeout_ms=dispatch.timeout_ms,
            body=dispatch.body if _may_have_body(dispatch.method) else None,
            headers=_set_headers(dispatch),
            send_once=not dispatch.idempotent,
            fresh=not dispatch.idempotent,
        ),
    )
    if isinstance(sent, result.Success):
        return classify_reply(dispatch, sent.unwrap())
    return Unanswered(failure=sent.failure())


def classify_reply(
    dispatch: Dispatch,
    reply: http_client.Reply,
) -> Outcome:
    """Tell an execution from a refusal and from an answer not ours."""
    if reply.headers.get(REQUEST_ID) != dispatch.request_id:
        return Unanswered(failure=http_client.LinkFailure.INVALID)
    reason = reply.headers.get(NOT_RUN)
    if reason is not None:
        if reply.status < http.HTTPStatus.BAD_REQUEST:
            return Unanswered(failure=http_client.LinkFailure.INVALID)
        return Refused(reason=reason)
    return Executed(
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
    )
