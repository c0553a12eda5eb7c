"""Data protocol of upstreams: a caller's request with additional headers."""

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
#: Set to the reason by an upstream that has not executed the request.
NOT_RUN = 'X-Not-Run'

#: Headers that apply to a single connection (RFC 9110, section 7.6.1).
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
#: Headers towards upstreams that a caller can't set.
_RESERVED_HEADERS = (
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
    """One attempt to execute a request on an upstream.

    `headers` are the caller's without the reserved ones; each attempt sets
    the reserved ones in place. `slot_grant` is the grant under which the
    upstream has to own the request's slot.
    """

    request_id: str
    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    slot_grant: lease.SlotGrant
    timeout_ms: int
    idempotent: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Executed:
    """Complete reply of an upstream that executed the request."""

    status: int
    headers: httputil.HTTPHeaders
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Refusal by an upstream, which has not executed the request."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unanswered:
    """Attempt without a valid reply.

    Only some failures prove that the request was not executed.
    """

    failure: http_client.LinkFailure


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotSent:
    """Attempt that was abandoned before anything was sent."""

    failure: errors.Failure


Outcome = Executed | Refused | Unanswered | NotSent


def strip_hop_by_hop(headers: httputil.HTTPHeaders) -> None:
    """Remove hop-by-hop headers in place, and those listed in `Connection`."""
    for text in headers.get_list('Connection'):
        for token in text.split(','):
            headers.pop(token.strip(), None)
    for name in HOP_BY_HOP:
        headers.pop(name, None)


def strip_request_headers(headers: httputil.HTTPHeaders) -> None:
    """Remove in place the headers that callers can't send to upstreams."""
    strip_hop_by_hop(headers)
    for name in _RESERVED_HEADERS:
        headers.pop(name, None)


def _set_headers(dispatch: Dispatch) -> httputil.HTTPHeaders:
    """Set the headers of this attempt, replacing those of an earlier one."""
    headers = dispatch.headers
    headers[REQUEST_ID] = dispatch.request_id
    headers[SLOT] = str(dispatch.slot_grant.slot)
    headers[EPOCH] = str(dispatch.slot_grant.epoch)
    headers[DEADLINE_MS] = str(dispatch.timeout_ms)
    return headers


def _may_have_body(method: str) -> bool:
    return method in {'POST', 'PUT', 'DELETE', 'PATCH'}


async def send_dispatch(
    client: http_client.Client,
    upstream: catalog.Upstream,
    dispatch: Dispatch,
) -> Outcome:
    """Send one attempt and classify its outcome.

    A request that isn't idempotent is sent on a new connection and without
    curl's automatic retry.
    """
    call_result = await http_client.send_call(
        client,
        http_client.Call(
            method=dispatch.method,
            url=f'{upstream.base_url}{dispatch.target}',
            timeout_ms=dispatch.timeout_ms,
            body=dispatch.body if _may_have_body(dispatch.method) else None,
            headers=_set_headers(dispatch),
            send_once=not dispatch.idempotent,
            new_connection=not dispatch.idempotent,
        ),
    )
    if isinstance(call_result, result.Success):
        return classify_reply(dispatch, call_result.unwrap())
    return Unanswered(failure=call_result.failure())


def classify_reply(
    dispatch: Dispatch,
    reply: http_client.Reply,
) -> Outcome:
    """Classify a reply as an execution, a refusal or an invalid reply."""
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
