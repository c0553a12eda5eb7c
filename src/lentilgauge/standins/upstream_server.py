"""Serve the upstream stand-in: data, grants, load, journal and faults."""

import asyncio
import dataclasses
import http
import json
import secrets

import pydantic
from returns import result
from tornado import httpserver, httputil, netutil

from lentilgauge.contracts import holder, lease
from lentilgauge.links import (
    http_server,
    upstream_control,
    upstream_data,
    upstream_messages,
)
from lentilgauge.standins import upstream as upstream_module

_BACKLOG = 1024
_FAR_MS = 60_000
_INCARNATION_BYTES = 6


class LoadMessage(pydantic.BaseModel):
    """Report an upstream's load."""

    running: int
    queued: int
    warmth: float


class FaultsMessage(pydantic.BaseModel):
    """Ask the stand-in to misbehave."""

    close_unanswered: int = 0
    cut_bodies: int = 0
    wrong_ids: int = 0
    slow_factor: float = 1
    turn_cold: bool = False
    leaving: bool = False


def make_control_routes(
    upstream: upstream_module.Upstream,
) -> http_server.Routes:
    """Make the routes for controllers and tests."""

    async def take_grant(request: http_server.Request) -> http_server.Response:
        message = upstream_messages.GrantMessage.model_validate_json(
            request.body,
        )
        if not upstream.shape.checks_tokens:
            # It takes anyone's word, and keeps no count of deadlines.
            return http_server.respond(_make_reply(upstream, None))
        accepted = holder.accept_grant(
            upstream.held,
            upstream_messages.unpack_grant(message),
            upstream.now_ms(),
        )
        refusal = None
        if not isinstance(accepted, result.Success):
            refusal = accepted.failure()
        return http_server.respond(_make_reply(upstream, refusal))

    async def get_load(request: http_server.Request) -> http_server.Response:
        return http_server.respond(
            LoadMessage(
                running=upstream.running,
                queued=upstream.waiting,
                warmth=upstream_module.find_warmth(upstream),
            ),
        )

    async def set_faults(request: http_server.Request) -> http_server.Response:
        message = FaultsMessage.model_validate_json(request.body)
        _set_faults(upstream, message)
        return http_server.respond(message)

    return {
        http_server.Route('POST', upstream_control.GRANT_PATH): take_grant,
        http_server.Route('GET', '/control/load'): get_load,
        http_server.Route('POST', '/control/faults'): set_faults,
    }


def _make_reply(
    upstream: upstream_module.Upstream,
    refusal: lease.GrantRefusal | None,
) -> upstream_messages.GrantReplyMessage:
    token = upstream.held.token
    return upstream_messages.GrantReplyMessage(
        incarnation=upstream.held.incarnation,
        clock_ms=upstream.now_ms(),
        refusal=refusal,
        term=token.term,
        sequence=token.sequence,
        busy_slots=upstream_module.list_busy_slots(upstream),
        queued=upstream.waiting,
        running=upstream.running,
    )


def _set_faults(
    upstream: upstream_module.Upstream,
    message: FaultsMessage,
) -> None:
    upstream.faults = upstream_module.Faults(
        close_unanswered=message.close_unanswered,
        cut_bodies=message.cut_bodies,
        wrong_ids=message.wrong_ids,
        slow_factor=message.slow_factor,
    )
    upstream.leaving = message.leaving
    if message.turn_cold:
        upstream_module.turn_cold(upstream)


def _read_work(
    upstream: upstream_module.Upstream,
    received: httputil.HTTPServerRequest,
) -> upstream_module.Work:
    headers = received.headers
    span_ms = int(headers.get(upstream_data.DEADLINE_MS, str(_FAR_MS)))
    return upstream_module.Work(
        request_id=headers.get(upstream_data.REQUEST_ID, ''),
        idempotency_key=headers.get(upstream_data.IDEMPOTENCY_KEY, ''),
        path=f'{received.method} {received.uri}',
        wanted=lease.SlotGrant(
            int(headers.get(upstream_data.SLOT, str(holder.NO_SLOT))),
            int(headers.get(upstream_data.EPOCH, '0')),
        ),
        deadline_ms=upstream.now_ms() + span_ms,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    """Hold what the upstream writes back for one request."""

    status: http.HTTPStatus
    headers: httputil.HTTPHeaders
    body: bytes


def _make_body(
    upstream: upstream_module.Upstream,
    work: upstream_module.Work,
    received: httputil.HTTPServerRequest,
) -> bytes:
    answer = {
        'upstream': upstream.shape.upstream_id,
        'request_id': work.request_id,
        'path': work.path,
        'echo': received.body.decode('utf-8', 'replace'),
        'headers': sorted(received.headers),
    }
    return json.dumps(answer).encode()


def _make_answer(
    upstream: upstream_module.Upstream,
    work: upstream_module.Work,
    received: httputil.HTTPServerRequest,
    refusal: lease.RunRefusal | None,
) -> _Reply:
    headers = httputil.HTTPHeaders(
        {
            upstream_data.REQUEST_ID: work.request_id,
            'Content-Type': http_server.JSON_TYPE,
        }
    )
    if refusal is not None:
        headers[upstream_data.NOT_RUN] = refusal
        return _Reply(
            status=http.HTTPStatus.SERVICE_UNAVAILABLE,
            headers=headers,
            body=b'{}',
        )
    if upstream.faults.wrong_ids > 0:
        upstream.faults.wrong_ids -= 1
        headers[upstream_data.REQUEST_ID] = 'another'
    return _Reply(
        status=http.HTTPStatus.OK,
        headers=headers,
        body=_make_body(upstream, work, received),
    )


def _close(received: httputil.HTTPServerRequest) -> None:
    """Close the caller's connection without another byte."""
    connection = received.connection
    stream = getattr(connection, 'stream', None)
    if stream is not None:
        stream.close()


def _write(received: httputil.HTTPServerRequest, reply: _Reply) -> None:
    connection = received.connection
    if connection is None:
        return
    reply.headers['Content-Length'] = str(len(reply.body))
    start_line = httputil.ResponseStartLine(
        'HTTP/1.1',
        reply.status,
        reply.status.phrase,
    )
    connection.write_headers(start_line, reply.headers, reply.body)
    connection.finish()


def _cut(received: httputil.HTTPServerRequest, reply: _Reply) -> None:
    """Write half of the body and close."""
    connection = received.connection
    if connection is None:
        return
    reply.headers['Content-Length'] = str(len(reply.body))
    start_line = httputil.ResponseStartLine('HTTP/1.1', reply.status, 'OK')
    half = reply.body[: len(reply.body) // 2]
    written = connection.write_headers(start_line, reply.headers, half)
    written.add_done_callback(lambda _: _close(received))


async def _serve_data(
    upstream: upstream_module.Upstream,
    received: httputil.HTTPServerRequest,
) -> None:
    work = _read_work(upstream, received)
    refusal = await upstream_module.execute(upstream, work)
    faults = upstream.faults
    if refusal is None and faults.close_unanswered > 0:
        faults.close_unanswered -= 1
        _close(received)
        return
    reply = _make_answer(upstream, work, received, refusal)
    if refusal is None and faults.cut_bodies > 0:
        faults.cut_bodies -= 1
        _cut(received, reply)
        return
    _write(received, reply)


async def _serve_cancellable(
    upstream: upstream_module.Upstream,
    received: httputil.HTTPServerRequest,
) -> None:
    try:
        await _serve_data(upstream, received)
    except asyncio.CancelledError:
        _close(received)


def start_upstream(
    shape: upstream_module.Shape,
    *,
    address: str,
    port: int,
    seed: int,
    journal_path: str = '',
) -> httpserver.HTTPServer:
    """Start one upstream stand-in."""
    upstream = upstream_module.make_upstream(
        shape,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        seed=seed,
        journal_path=journal_path,
    )
    answer_control = http_server.make_callback(make_control_routes(upstream))
    running: set[asyncio.Task[None]] = set()

    def accept_request(received: httputil.HTTPServerRequest) -> None:
        if received.path.startswith('/control/'):
            answer_control(received)
            return
        task = asyncio.ensure_future(_serve_cancellable(upstream, received))
        running.add(task)
        task.add_done_callback(running.discard)

    server = httpserver.HTTPServer(accept_request)
    server.add_sockets(netutil.bind_sockets(port, address, backlog=_BACKLOG))
    return server
