"""Speak the platform's dialect to upstreams."""

import http

import msgspec
from returns import result
from tornado import httputil

from lentilgauge.links import http_client, upstream_data, upstream_link
from lentilgauge.platform import headers, spans

_MISDIRECTED = http.HTTPStatus.MISDIRECTED_REQUEST
_WITH_BODY = frozenset(('POST', 'PUT', 'PATCH'))
_GRANT_PATH = '/grant'
_RELEASE_PATH = '/release'
_LOAD_FIGURES = 3
_USUAL_PERCENT = 100


class GrantMessage(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Carry a grant: its keys with both ends, and how long it holds.

    `target` is the last key; `fence` is the fencing token.
    """

    start: int = msgspec.field(name='startKey')
    target: int
    fence: int
    hold_time: str = ''
    handover: str = ''


def make_link(client: http_client.Client) -> upstream_link.UpstreamLink:
    """Make the functions that reach upstreams."""

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
    sent_headers = attempt.headers
    sent_headers[headers.DEADLINE_MS] = str(attempt.left_ms)
    sent_headers[headers.EXPECTED_INSTANCE] = attempt.upstream.id
    has_body = bool(attempt.body) or attempt.method in _WITH_BODY
    sent = await http_client.send_call(
        client,
        http_client.Call(
            method=attempt.method,
            url=attempt.upstream.base_url,
            target=attempt.target,
            timeout_ms=attempt.left_ms,
            body=attempt.body if has_body else None,
            headers=sent_headers,
            send_once=True,
            answered_by=(headers.REQUEST_ID, attempt.request_id),
        ),
    )
    if isinstance(sent, result.Success):
        return _judge_reply(attempt, sent.unwrap())
    return upstream_link.Outcome(proof=_judge_failure(sent.failure()))


def _judge_failure(failure: http_client.LinkFailure) -> upstream_link.Proof:
    if failure in http_client.NOTHING_SENT:
        return upstream_link.Proof.NOT_SENT
    if failure is http_client.LinkFailure.TIMED_OUT:
        return upstream_link.Proof.TIMED_OUT
    return upstream_link.Proof.UNKNOWN


def _judge_reply(
    attempt: upstream_link.Attempt,
    reply: http_client.Reply,
) -> upstream_link.Outcome:
    """Tell an execution from a refusal and from an answer not ours."""
    proof = _find_proof(attempt, reply)
    if proof is upstream_link.Proof.UNKNOWN:
        return upstream_link.Outcome(proof=proof)
    return upstream_link.Outcome(
        proof=proof,
        status=reply.status,
        headers=reply.headers,
        body=reply.body,
        load=read_load(reply.headers),
    )


def _find_proof(
    attempt: upstream_link.Attempt,
    reply: http_client.Reply,
) -> upstream_link.Proof:
    answered_id = reply.headers.get(headers.REQUEST_ID, '')
    if answered_id != attempt.request_id:
        # A late answer to an earlier request, or bytes of no request: even a
        # refusal is none of this one.
        return upstream_link.Proof.UNKNOWN
    if reply.status == _MISDIRECTED:
        return upstream_link.Proof.MOVED
    if reply.headers.get(headers.NOT_EXECUTED) is not None:
        return upstream_link.Proof.REFUSED
    succeeded = reply.status < http.HTTPStatus.MULTIPLE_CHOICES
    if succeeded and headers.SEAL not in reply.headers:
        return upstream_link.Proof.UNKNOWN
    return upstream_link.Proof.EXECUTED


def read_load(
    received: httputil.HTTPHeaders,
) -> upstream_link.Load | None:
    """Read an upstream's word on its load; `None` if there is none."""
    text = received.get(headers.LOAD, '')
    figures = [figure.strip() for figure in text.split(',')]
    if not all(figure.isdigit() for figure in figures):
        return None
    numbers = [int(figure) for figure in figures]
    if len(numbers) < _LOAD_FIGURES:
        return None
    percent = (*numbers, _USUAL_PERCENT)[_LOAD_FIGURES]
    running, waiting, slots = numbers[:_LOAD_FIGURES]
    return upstream_link.Load(
        running=running,
        waiting=waiting,
        concurrency=slots,
        slowness=percent / _USUAL_PERCENT,
    )


async def _send_order(
    client: http_client.Client,
    order: upstream_link.KeyOrder,
    path: str,
) -> upstream_link.KeyReply:
    """Send an order; a release goes on a fresh connection.

    On a kept one a second answer to an earlier request may still come, and
    would pass for the word that no work is left on the keys.
    """
    message = GrantMessage(
        start=order.start,
        target=order.end,
        fence=order.fence,
        hold_time=spans.write_span(order.hold_ms) if order.hold_ms else '',
        handover=order.handover,
    )
    sent = await http_client.send_call(
        client,
        http_client.Call(
            method='POST',
            url=f'{order.upstream.base_url}{path}',
            timeout_ms=order.timeout_ms,
            body=msgspec.json.encode(message),
            headers=httputil.HTTPHeaders(
                {'Content-Type': 'application/json'},
            ),
            send_once=True,
            fresh=path == _RELEASE_PATH,
            answered_by=(headers.REQUEST_ID, ''),
        ),
    )
    if not isinstance(sent, result.Success):
        return upstream_link.KeyReply(answer=_judge_silence(sent.failure()))
    return _read_order_reply(sent.unwrap())


def _judge_silence(
    failure: http_client.LinkFailure,
) -> upstream_link.GrantAnswer:
    if failure is http_client.LinkFailure.NOT_CONNECTED:
        return upstream_link.GrantAnswer.UNREACHABLE
    return upstream_link.GrantAnswer.SILENT


def _read_order_reply(reply: http_client.Reply) -> upstream_link.KeyReply:
    if headers.REQUEST_ID in reply.headers or headers.SEAL in reply.headers:
        # It answers a caller's request, whichever that was.
        return upstream_link.KeyReply(answer=upstream_link.GrantAnswer.SILENT)
    if reply.status == http.HTTPStatus.OK:
        return upstream_link.KeyReply(
            answer=upstream_link.GrantAnswer.ACCEPTED,
            handover=reply.headers.get(headers.HANDOVER, ''),
        )
    if reply.status == http.HTTPStatus.CONFLICT:
        return upstream_link.KeyReply(answer=upstream_link.GrantAnswer.FENCED)
    return upstream_link.KeyReply(answer=upstream_link.GrantAnswer.BAD)


NOT_FORWARDED = (*upstream_data.HOP_BY_HOP, 'Content-Length', 'Expect')
