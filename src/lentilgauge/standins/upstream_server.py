"""HTTP server of the upstream stand-in: requests, grants, load, faults."""

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

_BACKLOG_CONNECTIONS = 1024
_DEFAULT_REMAINING_MS = 60_000
_INCARNATION_BYTES = 6


class LoadMessage(pydantic.BaseModel):
    """Load of an upstream; `warmth` is 0 when cold and 1 when warm."""

    running: int
    queued: int
    warmth: float


class FaultsMessage(pydantic.BaseModel):
    """Faults that the stand-in has to show.

    `close_unanswered`, `cut_bodies` and `wrong_ids` are numbers of next answers
    to drop, truncate or label with another request's id; `slow_factor`
    multiplies execution times. `turn_cold` resets the warm-up, and `leaving`
    makes the upstream refuse requests.
    """

    close_unanswered: int = 0
    cut_bodies: int = 0
    wrong_ids: int = 0
    slow_factor: float = 1
    turn_cold: bool = False
    leaving: bool = False


def make_control_routes(
    upstream: upstream_module.Upstream,
) -> http_server.Routes:
    """Make the routes that controllers and tests call."""

    async def answer_grant(
        request: http_server.Request,
    ) -> http_server.Response:
        message = upstream_messages.GrantMessage.model_validate_json(
            request.body,
        )
        if not upstream.profile.checks_tokens:
            # Such an upstream accepts any grant and tracks no deadline.
            return http_server.respond(_make_grant_reply(upstream, None))
        grant_acceptance = holder.accept_grant(
            upstream.lease_holder,
            upstream_messages.unpack_grant(message),
            upstream.now_ms(),
        )
        refusal = None
        if not isinstance(grant_acceptance, result.Success):
            refusal = grant_acceptance.failure()
        return http_server.respond(_make_grant_reply(upstream, refusal))

    async def get_load(request: http_server.Request) -> http_server.Response:
        return http_server.respond(
            LoadMessage(
                running=upstream.running,
                queued=upstream.waiting,
                warmth=upstream_module.compute_warmth(upstream),
            ),
        )

    async def set_faults(request: http_server.Request) -> http_server.Response:
        message = FaultsMessage.model_validate_json(request.body)
        _set_faults(upstream, message)
        return http_server.respond(message)

    return {
        http_server.Route('POST', upstream_control.GRANT_PATH): answer_grant,
        http_server.Route('GET', '/control/load'): get_load,
        http_server.Route('POST', '/control/faults'): set_faults,
    }


def _make_grant_reply(
    upstream: upstream_module.Upstream,
    refusal: lease.GrantRefusal | None,
) -> upstream_messages.GrantReplyMessage:
    token = upstream.lease_holder.token
    return upstream_messages.GrantReplyMessage(
        incarnation=upstream.lease_holder.incarnation,
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
        upstream_module.reset_warmth(upstream)


def _parse_request(
    upstream: upstream_module.Upstream,
    http_request: httputil.HTTPServerRequest,
) -> upstream_module.DataRequest:
    headers = http_request.headers
    remaining_ms = int(
        headers.get(upstream_data.DEADLINE_MS, str(_DEFAULT_REMAINING_MS))
    )
    return upstream_module.DataRequest(
        request_id=headers.get(upstream_data.REQUEST_ID, ''),
        idempotency_key=headers.get(upstream_data.IDEMPOTENCY_KEY, ''),
        path=f'{http_request.method} {http_request.uri}',
        slot_grant=lease.SlotGrant(
            int(headers.get(upstream_data.SLOT, str(holder.NO_SLOT))),
            int(headers.get(upstream_data.EPOCH, '0')),
        ),
        deadline_ms=upstream.now_ms() + remaining_ms,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Reply:
    """Response to one request."""

    status: http.HTTPStatus
    headers: httputil.HTTPHeaders
    body: bytes


def _make_body(
    upstream: upstream_module.Upstream,
    data_request: upstream_module.DataRequest,
    http_request: httputil.HTTPServerRequest,
) -> bytes:
    fields = {
        'upstream': upstream.profile.upstream_id,
        'request_id': data_request.request_id,
        'path': data_request.path,
        'echo': http_request.body.decode('utf-8', 'replace'),
        'headers': sorted(http_request.headers),
    }
    return json.dumps(fields).encode()


def _make_data_reply(
    upstream: upstream_module.Upstream,
    data_request: upstream_module.DataRequest,
    http_request: httputil.HTTPServerRequest,
    refusal: lease.RunRefusal | None,
) -> _Reply:
    headers = httputil.HTTPHeaders(
        {
            upstream_data.REQUEST_ID: data_request.request_id,
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
        body=_make_body(upstream, data_request, http_request),
    )


def _close_connection(http_request: httputil.HTTPServerRequest) -> None:
    """Close the caller's connection without sending anything more."""
    connection = http_request.connection
    stream = getattr(connection, 'stream', None)
    if stream is not None:
        stream.close()


def _send_reply(
    http_request: httputil.HTTPServerRequest, reply: _Reply
) -> None:
    connection = http_request.connection
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


def _send_truncated_reply(
    http_request: httputil.HTTPServerRequest, reply: _Reply
) -> None:
    """Send half of the body, then close the connection."""
    connection = http_request.connection
    if connection is None:
        return
    reply.headers['Content-Length'] = str(len(reply.body))
    start_line = httputil.ResponseStartLine('HTTP/1.1', reply.status, 'OK')
    half = reply.body[: len(reply.body) // 2]
    written = connection.write_headers(start_line, reply.headers, half)
    written.add_done_callback(lambda _: _close_connection(http_request))


async def _serve_data(
    upstream: upstream_module.Upstream,
    http_request: httputil.HTTPServerRequest,
) -> None:
    data_request = _parse_request(upstream, http_request)
    refusal = await upstream_module.execute(upstream, data_request)
    faults = upstream.faults
    if refusal is None and faults.close_unanswered > 0:
        faults.close_unanswered -= 1
        _close_connection(http_request)
        return
    reply = _make_data_reply(upstream, data_request, http_request, refusal)
    if refusal is None and faults.cut_bodies > 0:
        faults.cut_bodies -= 1
        _send_truncated_reply(http_request, reply)
        return
    _send_reply(http_request, reply)


async def _serve_cancellable(
    upstream: upstream_module.Upstream,
    http_request: httputil.HTTPServerRequest,
) -> None:
    """Serve a request; close its connection if the task is cancelled."""
    try:
        await _serve_data(upstream, http_request)
    except asyncio.CancelledError:
        _close_connection(http_request)


def start_upstream(
    profile: upstream_module.UpstreamProfile,
    *,
    address: str,
    port: int,
    seed: int,
    journal_path: str = '',
) -> httpserver.HTTPServer:
    """Start an upstream stand-in on the running event loop."""
    upstream = upstream_module.make_upstream(
        profile,
        incarnation=secrets.token_hex(_INCARNATION_BYTES),
        seed=seed,
        journal_path=journal_path,
    )
    serve_control = http_server.make_request_callback(
        make_control_routes(upstream)
    )
    data_tasks: set[asyncio.Task[None]] = set()

    def accept_request(http_request: httputil.HTTPServerRequest) -> None:
        if http_request.path.startswith('/control/'):
            serve_control(http_request)
            return
        task = asyncio.ensure_future(_serve_cancellable(upstream, http_request))
        data_tasks.add(task)
        task.add_done_callback(data_tasks.discard)

    server = httpserver.HTTPServer(accept_request)
    server.add_sockets(
        netutil.bind_sockets(port, address, backlog=_BACKLOG_CONNECTIONS)
    )
    return server
