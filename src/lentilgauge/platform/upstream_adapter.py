"""Adapter for the protocol between the platform and its upstreams."""

import functools
import http
import math
import re

import msgspec
from returns import result
from tornado import httputil

from lentilgauge import clock, events
from lentilgauge.links import http_client, upstream_data, upstream_link
from lentilgauge.platform import durations, headers

_WRONG_UPSTREAM_STATUS = http.HTTPStatus.MISDIRECTED_REQUEST
#: Callers take these for a promise that the request wasn't executed.
_NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
#: Methods whose requests are sent with a body even if it is empty.
_BODY_METHODS = frozenset(('POST', 'PUT', 'PATCH'))
_GRANT_PATH = '/grant'
_RELEASE_PATH = '/release'
#: The fields of `headers.LOAD` but for the execution time, which is optional.
_REQUIRED_LOAD_FIELDS = 3
_USUAL_PERCENT = 100
#: Bounded, as Python refuses to convert thousands of digits.
_LOAD_NUMBER = re.compile(r'[0-9]{1,9}')
_LEAVING_FLAG = '1'
_RETRY_AFTER = re.compile(r'[0-9]{1,9}(\.[0-9]{1,9})?')
#: Longest time for which an upstream is left alone at its request.
_MAX_RETRY_AFTER_S = 600
#: Unreadable header texts that are remembered, so that each is logged once.
_MAX_LOGGED_TEXTS = 100
_MAX_LOGGED_LENGTH = 80
#: Handover data is kept, uncounted, until its keys are granted again.
_MAX_HANDOVER_LENGTH = 4096


class OrderMessage(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Grant or release of a range of keys, both ends included.

    `start` is the first key and `target` the last; `fence` is the fencing
    token, and `hold_time` how long the grant is held.
    """

    start: int = msgspec.field(name='startKey')
    target: int
    fence: int
    hold_time: str = ''
    handover: str = ''


def make_link(client: http_client.Client) -> upstream_link.UpstreamLink:
    """Make the functions that send requests and orders to upstreams."""

    async def send_attempt(
        attempt: upstream_link.Attempt,
    ) -> upstream_link.Outcome:
        return await _send_attempt(client, attempt)

    async def grant_keys(
        order: upstream_link.KeyOrder,
    ) -> upstream_link.KeyReply:
        return await _send_order(client, order, _GRANT_PATH)

    async def release_keys(
        order: upstream_link.KeyOrder,
    ) -> upstream_link.KeyReply:
        return await _send_order(client, order, _RELEASE_PATH)

    return upstream_link.UpstreamLink(
        send_attempt=send_attempt,
        grant_keys=grant_keys,
        release_keys=release_keys,
    )


async def _send_attempt(
    client: http_client.Client,
    attempt: upstream_link.Attempt,
) -> upstream_link.Outcome:
    request_headers = attempt.headers
    request_headers[headers.DEADLINE_MS] = str(attempt.remaining_ms)
    request_headers[headers.EXPECTED_INSTANCE] = attempt.upstream.id
    has_body = bool(attempt.body) or attempt.method in _BODY_METHODS
    call_result = await http_client.send_call(
        client,
        http_client.Call(
            method=attempt.method,
            url=attempt.upstream.base_url,
            target=attempt.target,
            timeout_ms=attempt.remaining_ms,
            body=attempt.body if has_body else None,
            headers=request_headers,
            send_once=True,
            new_connection=attempt.new_connection,
            reset_on_close=True,
            expected_reply_header=(headers.REQUEST_ID, attempt.request_id),
        ),
    )
    if isinstance(call_result, result.Success):
        return _make_outcome(attempt, call_result.unwrap())
    return upstream_link.Outcome(
        proof=_classify_failure(call_result.failure()),
    )


def _classify_failure(failure: http_client.LinkFailure) -> upstream_link.Proof:
    if failure in http_client.NOT_SENT_FAILURES:
        return upstream_link.Proof.NOT_SENT
    if failure is http_client.LinkFailure.UNSENT:
        return upstream_link.Proof.UNSENT
    if failure is http_client.LinkFailure.TIMED_OUT:
        return upstream_link.Proof.TIMED_OUT
    return upstream_link.Proof.UNKNOWN


def _make_outcome(
    attempt: upstream_link.Attempt,
    reply: http_client.Reply,
) -> upstream_link.Outcome:
    """Convert a reply to an outcome, with the content if it was executed."""
    proof = _find_proof(attempt, reply)
    # Another process than the expected one says nothing of that one.
    leaving = proof is not upstream_link.Proof.MOVED and is_leaving(
        reply.headers
    )
    retry_after_ms = 0
    if reply.status == http.HTTPStatus.SERVICE_UNAVAILABLE:
        retry_after_ms = parse_retry_after_ms(reply.headers)
    if proof is upstream_link.Proof.UNKNOWN:
        return upstream_link.Outcome(
            proof=proof, leaving=leaving, retry_after_ms=retry_after_ms
        )
    is_executed = proof is upstream_link.Proof.EXECUTED
    return upstream_link.Outcome(
        proof=proof,
        status=reply.status,
        headers=reply.headers if is_executed else None,
        body=reply.body if is_executed else b'',
        load=parse_load(reply.headers),
        leaving=leaving,
        retry_after_ms=retry_after_ms,
    )


def is_leaving(reply_headers: httputil.HTTPHeaders) -> bool:
    """Return whether an upstream says that it will end soon."""
    text = reply_headers.get(headers.LEAVING)
    if text is not None and text != _LEAVING_FLAG:
        _log_unreadable(headers.LEAVING, text)
    return text == _LEAVING_FLAG


def parse_retry_after_ms(reply_headers: httputil.HTTPHeaders) -> int:
    """Parse for how long an upstream wants no requests; 0 if it doesn't say.

    A time that is too long is bounded. A date or anything else is ignored.
    """
    text = reply_headers.get(headers.RETRY_AFTER)
    if text is None:
        return 0
    if _RETRY_AFTER.fullmatch(text) is None:
        _log_unreadable(headers.RETRY_AFTER, text)
        return 0
    seconds = min(float(text), _MAX_RETRY_AFTER_S)
    return math.ceil(seconds * clock.MS_PER_SECOND)


def _read_handover(reply_headers: httputil.HTTPHeaders) -> str:
    """Read the handover data of a release; empty if there is too much."""
    handover: str = reply_headers.get(headers.HANDOVER, '')
    if len(handover) <= _MAX_HANDOVER_LENGTH:
        return handover
    _log_unreadable(headers.HANDOVER, handover)
    return ''


def _log_unreadable(header: str, text: str) -> None:
    """Log the begin of an unreadable header, each once."""
    _log_once(header, text[:_MAX_LOGGED_LENGTH])


@functools.lru_cache(maxsize=_MAX_LOGGED_TEXTS)
def _log_once(header: str, text: str) -> None:
    events.log_event(events.Event.HEADER_UNREADABLE, header=header, text=text)


def _find_proof(
    attempt: upstream_link.Attempt,
    reply: http_client.Reply,
) -> upstream_link.Proof:
    reply_request_id = reply.headers.get(headers.REQUEST_ID, '')
    if reply_request_id != attempt.request_id:
        # The reply belongs to an earlier request or to none, so that even a
        # refusal says nothing about this request.
        return upstream_link.Proof.UNKNOWN
    if reply.status == _WRONG_UPSTREAM_STATUS:
        return upstream_link.Proof.MOVED
    if reply.headers.get(headers.NOT_EXECUTED) is not None:
        return upstream_link.Proof.REFUSED
    if reply.status in _NOT_RUN_STATUSES:
        return upstream_link.Proof.UNKNOWN
    succeeded = reply.status < http.HTTPStatus.MULTIPLE_CHOICES
    if succeeded and headers.SEAL not in reply.headers:
        return upstream_link.Proof.UNKNOWN
    return upstream_link.Proof.EXECUTED


def parse_load(
    reply_headers: httputil.HTTPHeaders,
) -> upstream_link.Load | None:
    """Parse the load that an upstream reports; `None` if missing or invalid."""
    text = reply_headers.get(headers.LOAD, '')
    load_fields = [load_field.strip() for load_field in text.split(',')]
    if len(load_fields) < _REQUIRED_LOAD_FIELDS:
        return None
    if not all(_LOAD_NUMBER.fullmatch(field) for field in load_fields):
        return None
    numbers = [int(load_field) for load_field in load_fields]
    percent = (*numbers, _USUAL_PERCENT)[_REQUIRED_LOAD_FIELDS]
    running, waiting, concurrency = numbers[:_REQUIRED_LOAD_FIELDS]
    return upstream_link.Load(
        running=running,
        waiting=waiting,
        concurrency=concurrency,
        slowness=percent / _USUAL_PERCENT,
    )


async def _send_order(
    client: http_client.Client,
    order: upstream_link.KeyOrder,
    path: str,
) -> upstream_link.KeyReply:
    """Send a grant or a release; a release uses a new connection.

    On a pooled connection a duplicate reply to an earlier request could still
    arrive. It would be mistaken for the upstream's confirmation that no request
    for the keys is running any more.
    """
    message = OrderMessage(
        start=order.start,
        target=order.end,
        fence=order.fence,
        hold_time=durations.format_duration(order.hold_ms)
        if order.hold_ms
        else '',
        handover=order.handover,
    )
    call_result = await http_client.send_call(
        client,
        http_client.Call(
            method='POST',
            url=f'{order.upstream.base_url}{path}',
            timeout_ms=order.timeout_ms,
            body=msgspec.json.encode(message),
            headers=httputil.HTTPHeaders(
                {
                    'Content-Type': 'application/json',
                    headers.EXPECTED_INSTANCE: order.upstream.id,
                },
            ),
            send_once=True,
            new_connection=path == _RELEASE_PATH,
            reset_on_close=True,
            # The reply to an order has no request id, so a reply that has one
            # belongs to some caller's request.
            expected_reply_header=(headers.REQUEST_ID, ''),
        ),
    )
    if not isinstance(call_result, result.Success):
        return upstream_link.KeyReply(
            answer=_classify_order_failure(call_result.failure()),
        )
    return _classify_order_reply(call_result.unwrap())


def _classify_order_failure(
    failure: http_client.LinkFailure,
) -> upstream_link.OrderAnswer:
    if failure is http_client.LinkFailure.NOT_CONNECTED:
        return upstream_link.OrderAnswer.UNREACHABLE
    return upstream_link.OrderAnswer.SILENT


def _classify_order_reply(reply: http_client.Reply) -> upstream_link.KeyReply:
    if headers.REQUEST_ID in reply.headers or headers.SEAL in reply.headers:
        # The reply belongs to some caller's request.
        return upstream_link.KeyReply(answer=upstream_link.OrderAnswer.SILENT)
    if reply.status == _WRONG_UPSTREAM_STATUS:
        return upstream_link.KeyReply(answer=upstream_link.OrderAnswer.REPLACED)
    leaving = is_leaving(reply.headers)
    if reply.status == http.HTTPStatus.OK:
        return upstream_link.KeyReply(
            answer=upstream_link.OrderAnswer.ACCEPTED,
            handover=_read_handover(reply.headers),
            leaving=leaving,
        )
    if reply.status == http.HTTPStatus.CONFLICT:
        return upstream_link.KeyReply(
            answer=upstream_link.OrderAnswer.FENCED, leaving=leaving
        )
    return upstream_link.KeyReply(
        answer=upstream_link.OrderAnswer.BAD, leaving=leaving
    )


#: Headers of a caller's request that are not forwarded to upstreams.
NOT_FORWARDED = (*upstream_data.HOP_BY_HOP, 'Content-Length', 'Expect')
