"""HTTP server through which callers reach an entry."""

import asyncio
import time
import typing
from urllib import parse as url_parse

import loguru
from returns import result
from tornado import http1connection, httputil

from lentilgauge import clock, errors, metrics
from lentilgauge.callers import (
    account_metrics,
    answer_heads,
    body_intake,
    caller_server,
    connection_limits,
    connection_memory,
    idempotency,
    kinds,
    memory_account,
    reception,
    request_checks,
)
from lentilgauge.callers import request as request_module
from lentilgauge.links import error_messages, http_server, upstream_data
from lentilgauge.vms import entry as entry_module

#: Ratio of the HTTP library's size limits to the configured ones. The library's
#: are higher, so that most oversized requests still get a typed error answer.
_LIBRARY_LIMIT_FACTOR = 4
_UNMATCHED_KIND = 'unmatched'


def make_receiver(entry: entry_module.Entry) -> reception.Receiver:
    """Make the receiver of an entry's requests."""
    return reception.Receiver(
        account=entry.account,
        connections=entry.connections,
        now_ms=entry.now_ms,
        max_body_bytes=entry.section.body_limit_bytes,
    )


class Exchange(httputil.HTTPMessageDelegate):
    """One HTTP request and its answer, from the first header to the end.

    `kind` is the name of the matched kind, and `intake` the request's body
    while it is held. `answered` is set once an answer is written or the caller
    has disconnected; nothing is written after that. `written` is done once the
    answer is passed to the connection completely, or the connection is closed.
    """

    def __init__(
        self,
        *,
        entry: entry_module.Entry,
        connection: http1connection.HTTP1Connection,
    ) -> None:
        """Initialise an exchange before its request line is read."""
        self.entry = entry
        self.connection = connection
        self.start_line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.intake: body_intake.Intake | None = None
        self.kind = _UNMATCHED_KIND
        self.started_ns = time.monotonic_ns()
        self.answered = False
        self.task: asyncio.Task[None] | None = None
        self.written: asyncio.Future[None] | None = None
        self.answer_bytes = 0

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the request line and headers.

        Oversized requests, and bodies for which there is no memory, are refused
        here.
        """
        if isinstance(start_line, httputil.RequestStartLine):
            self.start_line = start_line
        self.headers = headers
        failure = request_checks.check_sizes(self.entry, headers)
        if failure is not None:
            answer_failure(self, failure)
            return
        received = reception.begin(
            make_receiver(self.entry),
            self.connection.stream,
            headers,
            drop=lambda: refuse_upload(self),
        )
        self.intake = received.intake
        if not received.has_room:
            refuse_upload(self)

    def data_received(self, chunk: bytes) -> None:
        """Add a chunk of the body, refusing a body over the size limit."""
        intake = None if self.answered else self.intake
        has_room = reception.add_chunk(
            self.entry.connections, self.connection.stream, intake, chunk
        )
        if not has_room:
            refuse_upload(self)
        elif intake is not None and (
            intake.received_bytes > self.entry.section.body_limit_bytes
        ):
            answer_failure(self, request_checks.make_body_failure(self.entry))

    def finish(self) -> None:
        """Start serving the request, which has arrived completely."""
        if not reception.complete(
            self.entry.connections, self.connection.stream
        ):
            self.on_connection_close()
        if self.answered:
            return
        if self.intake is not None:
            body_intake.complete(self.intake)
        self.connection.set_close_callback(self.on_connection_close)
        entry_module.begin_request(self.entry)
        self.task = asyncio.ensure_future(_serve(self))

    def on_connection_close(self) -> None:
        """Drop the answer, as the caller has disconnected."""
        self.answered = True
        if self.task is None:
            _end_intake(self)
        if self.written is not None:
            # The HTTP library may leave it pending.
            self.written.cancel()


class ExchangeFactory(httputil.HTTPServerConnectionDelegate):
    """Factory of an exchange for each request on a connection."""

    def __init__(self, *, entry: entry_module.Entry) -> None:
        """Initialise a factory of exchanges for an entry."""
        self.entry = entry

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Create the exchange for a connection's next request."""
        connection = typing.cast(http1connection.HTTP1Connection, request_conn)
        connection_limits.mark_kept(self.entry.connections, connection.stream)
        connection_memory.end_request(self.entry.account, connection.stream)
        return Exchange(entry=self.entry, connection=connection)


def _end_intake(exchange: Exchange) -> None:
    if exchange.intake is not None:
        body_intake.end(exchange.intake)
        exchange.intake = None


def refuse_upload(exchange: Exchange) -> None:
    """Refuse a request for lack of memory before it has arrived.

    It is also called for uploads that are dropped for others.
    """
    if exchange.answered or exchange.task is not None:
        return
    exchange.entry.metrics.count('memory_closed', memory_account.Kind.UPLOADS)
    answer_failure(
        exchange,
        errors.Failure(
            kind=errors.ErrorKind.MEMORY_SHORT,
            detail='this entry has no memory for the request at present',
        ),
    )


def _parse_request(
    exchange: Exchange,
    start_line: httputil.RequestStartLine,
) -> result.Result[request_module.CallerRequest, errors.Failure]:
    entry = exchange.entry
    target = start_line.path
    path = target.partition('?')[0]
    if not path.startswith('/'):
        path = url_parse.urlsplit(target).path
        target = path
    match_result = kinds.match_request(
        entry.templates_by_shape,
        start_line.method,
        path,
        exchange.headers,
    )
    if not isinstance(match_result, result.Success):
        return result.Failure(match_result.failure())
    match = match_result.unwrap()
    exchange.kind = match.kind.name
    deadline = request_checks.parse_deadline_ms(
        entry,
        match.kind.timeout_ms,
        exchange.headers,
    )
    upstream_data.strip_request_headers(exchange.headers)
    return deadline.map(
        lambda deadline_ms: request_module.CallerRequest(
            id=entry_module.make_request_id(entry),
            kind=match.kind,
            key=match.key,
            deadline_ms=deadline_ms,
            method=start_line.method,
            target=target,
            headers=exchange.headers,
            body=_take_body(exchange),
        ),
    )


def _take_body(exchange: Exchange) -> bytes:
    if exchange.intake is None:
        return b''
    return body_intake.take_body(exchange.intake)


async def _serve(exchange: Exchange) -> None:
    try:
        await _serve_request(exchange)
        await _wait_until_written(exchange)
    except Exception:
        # Without an answer the caller would wait until its timeout.
        loguru.logger.exception('unhandled error while serving a request')
        answer_failure(
            exchange,
            errors.Failure(
                kind=errors.ErrorKind.INTERNAL,
                detail='internal error of the entry',
            ),
        )
    finally:
        _end_intake(exchange)
        entry_module.end_request(exchange.entry)


async def _serve_request(exchange: Exchange) -> None:
    failure = request_checks.check_readiness(
        exchange.entry, exchange.connection.stream
    )
    if failure is not None:
        answer_failure(exchange, failure)
        return
    if exchange.start_line is None:
        return
    parsed = _parse_request(exchange, exchange.start_line)
    if not isinstance(parsed, result.Success):
        answer_failure(exchange, parsed.failure())
        return
    request = parsed.unwrap()
    serve_result = await idempotency.serve_once(exchange.entry, request)
    if isinstance(serve_result, result.Success):
        answer_executed(exchange, request, serve_result.unwrap())
        return
    answer_failure(exchange, serve_result.failure(), request.id)


def _record_metrics(exchange: Exchange, outcome: str) -> None:
    entry_metrics: metrics.Metrics = exchange.entry.metrics
    entry_metrics.count('requests', f'{exchange.kind}/{outcome}')
    duration_us = (time.monotonic_ns() - exchange.started_ns) / clock.NS_PER_US
    entry_metrics.record_us('request', exchange.kind, duration_us)


def answer_executed(
    exchange: Exchange,
    request: request_module.CallerRequest,
    executed: upstream_data.Executed,
) -> None:
    """Forward an upstream's complete answer to the caller."""
    _record_metrics(exchange, 'executed')
    headers = executed.headers
    upstream_data.strip_hop_by_hop(headers)
    headers[upstream_data.REQUEST_ID] = request.id
    _write(exchange, executed.status, headers, executed.body)


def answer_failure(
    exchange: Exchange,
    failure: errors.Failure,
    request_id: str = '',
) -> None:
    """Answer a caller with a typed error message."""
    _record_metrics(exchange, failure.kind)
    error_response = errors.RESPONSE_BY_KIND[failure.kind]
    message = error_messages.ErrorMessage(
        kind=failure.kind,
        detail=failure.detail,
        ran=error_response.execution_claim,
        request_id=request_id or entry_module.make_request_id(exchange.entry),
    )
    headers = httputil.HTTPHeaders(
        {
            'Content-Type': http_server.JSON_TYPE,
            upstream_data.REQUEST_ID: message.request_id,
        }
    )
    if error_response.is_retryable:
        headers['Retry-After'] = '1'
    body = message.model_dump_json().encode()
    _write(exchange, error_response.status, headers, body)


def _write(
    exchange: Exchange,
    status: int,
    headers: httputil.HTTPHeaders,
    body: bytes,
) -> None:
    if exchange.answered:
        return
    exchange.answered = True
    body = answer_heads.set_length(exchange.start_line, headers, body)
    is_early = exchange.task is None
    if is_early:
        _end_intake(exchange)
    if is_early or exchange.entry.leaving:
        headers['Connection'] = 'close'
        connection_limits.mark_ending(
            exchange.entry.connections, exchange.connection.stream
        )
    start_line = httputil.ResponseStartLine(
        'HTTP/1.1',
        status,
        answer_heads.get_reason_phrase(status),
    )
    exchange.answer_bytes = answer_heads.count_bytes(headers, body)
    exchange.written = exchange.connection.write_headers(
        start_line, headers, body
    )
    exchange.connection.finish()


async def _wait_until_written(exchange: Exchange) -> None:
    """Wait until an answer is written or the caller is gone.

    The answer is counted meanwhile.
    """
    _end_intake(exchange)
    written = exchange.written
    if written is None or written.done():
        return
    account = exchange.entry.account
    holding = memory_account.Holding(
        kind=memory_account.Kind.REPLIES,
        held_bytes=exchange.answer_bytes,
        moved_ms=exchange.entry.now_ms(),
        drop=lambda: _close_connection(exchange),
    )
    memory_account.hold(account, holding)
    try:
        await asyncio.wait((written,))
    finally:
        memory_account.release(account, holding)


def _close_connection(exchange: Exchange) -> None:
    """Close the connection of a caller that doesn't read its answer."""
    stream = exchange.connection.stream
    connection_limits.close_connection(exchange.entry.connections, stream)
    stream.close()


def start_caller_server(
    entry: entry_module.Entry,
    *,
    address: str,
) -> caller_server.CallerServer:
    """Start the HTTP server for callers."""
    section = entry.section
    server = caller_server.CallerServer.make(
        ExchangeFactory(entry=entry),
        entry.connections,
        entry.account,
        entry.now_ms,
        max_body_size=section.body_limit_bytes * _LIBRARY_LIMIT_FACTOR,
        max_header_size=section.header_limit_bytes * _LIBRARY_LIMIT_FACTOR,
    )
    account_metrics.add_gauges(entry.metrics, entry.account, entry.connections)
    entry.connections.report_eviction = lambda: entry.metrics.count(
        'caller_connections_evicted'
    )
    caller_server.listen(
        server,
        address=address,
        port=section.port,
        limits_buffers=bool(entry.account.limit_bytes),
    )
    return server
