"""HTTP server through which callers reach an entry."""

import asyncio
import http
import time
from urllib import parse as url_parse

import loguru
from returns import result
from tornado import httpserver, httputil, netutil

from lentilgauge import clock, errors, metrics
from lentilgauge.callers import idempotency, kinds
from lentilgauge.callers import request as request_module
from lentilgauge.links import error_messages, http_server, upstream_data
from lentilgauge.vms import entry as entry_module

_BACKLOG = 2048
#: Ratio of the HTTP library's size limits to the configured ones. The library's
#: are higher, so that most oversized requests still get a typed error answer.
_LIBRARY_LIMIT_FACTOR = 4
_UNMATCHED_KIND = 'unmatched'
#: Further digits of a deadline are ignored. A number of nine digits without
#: leading zeros already exceeds the longest timeout of a kind, one day.
_MAX_DEADLINE_DIGITS = 9


class Exchange(httputil.HTTPMessageDelegate):
    """One HTTP request and its answer, from the first header to the end.

    `kind` is the name of the matched kind and `size` the number of body bytes
    received so far. `answered` is set once an answer is written or the caller
    has disconnected; nothing is written after that.
    """

    def __init__(
        self,
        *,
        entry: entry_module.Entry,
        connection: httputil.HTTPConnection,
    ) -> None:
        """Initialise an exchange before its request line is read."""
        self.entry = entry
        self.connection = connection
        self.start_line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.size = 0
        self.kind = _UNMATCHED_KIND
        self.started_ns = time.monotonic_ns()
        self.answered = False
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the request line and headers, refusing oversized requests."""
        if isinstance(start_line, httputil.RequestStartLine):
            self.start_line = start_line
        self.headers = headers
        failure = check_sizes(self.entry, headers)
        if failure is not None:
            answer_failure(self, failure)

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, refusing a body over the size limit."""
        self.size += len(chunk)
        if self.answered:
            return
        if self.size > self.entry.section.body_limit_bytes:
            answer_failure(self, _make_body_failure(self.entry))
            return
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Start serving the request, which has arrived completely."""
        if not self.answered:
            self.task = asyncio.ensure_future(_serve(self))

    def on_connection_close(self) -> None:
        """Drop the answer, as the caller has disconnected."""
        self.answered = True


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
        return Exchange(entry=self.entry, connection=request_conn)


def _make_body_failure(entry: entry_module.Entry) -> errors.Failure:
    return errors.Failure(
        kind=errors.ErrorKind.BODY_TOO_LARGE,
        detail=f'the body exceeds {entry.section.body_limit_bytes} bytes',
    )


def check_sizes(
    entry: entry_module.Entry,
    headers: httputil.HTTPHeaders,
) -> errors.Failure | None:
    """Check the size of the headers and of the body by `Content-Length`."""
    limit = entry.section.header_limit_bytes
    size = sum(len(name) + len(text) for name, text in headers.get_all())
    if size > limit:
        return errors.Failure(
            kind=errors.ErrorKind.HEADERS_TOO_LARGE,
            detail=f'the headers exceed {limit} bytes',
        )
    length = headers.get('Content-Length', '')
    # The HTTP library rejects any other value as ambiguous framing.
    is_number = length.isascii() and length.isdigit()
    if is_number and int(length) > entry.section.body_limit_bytes:
        return _make_body_failure(entry)
    return None


def _check_freshness(entry: entry_module.Entry) -> errors.Failure | None:
    if not entry_module.is_fresh(entry):
        return errors.Failure(
            kind=errors.ErrorKind.CONFIGURATION_STALE,
            detail='this entry cannot confirm its configuration as current',
        )
    return None


def parse_deadline_ms(
    entry: entry_module.Entry,
    kind_timeout_ms: int,
    headers: httputil.HTTPHeaders,
) -> result.Result[int, errors.Failure]:
    """Return the request's deadline on this process's monotonic clock.

    The deadline header has the milliseconds that the caller allows. The kind's
    timeout is the maximum, and applies if the header is missing.
    """
    deadline_text = headers.get(upstream_data.DEADLINE_MS)
    if deadline_text is None:
        return result.Success(entry.now_ms() + kind_timeout_ms)
    if not (deadline_text.isascii() and deadline_text.isdigit()):
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_REQUEST,
                detail=f'header {upstream_data.DEADLINE_MS} is not a number',
            ),
        )
    digits = deadline_text.lstrip('0') or '0'
    allowed_ms = min(int(digits[:_MAX_DEADLINE_DIGITS]), kind_timeout_ms)
    return result.Success(entry.now_ms() + allowed_ms)


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
    deadline = parse_deadline_ms(
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
            body=b''.join(exchange.chunks),
        ),
    )


async def _serve(exchange: Exchange) -> None:
    entry = exchange.entry
    entry_module.begin_request(entry)
    try:
        await _serve_request(exchange)
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
        entry_module.end_request(entry)


async def _serve_request(exchange: Exchange) -> None:
    stale_failure = _check_freshness(exchange.entry)
    if stale_failure is not None:
        answer_failure(exchange, stale_failure)
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
    headers['Content-Length'] = str(len(body))
    if exchange.entry.leaving:
        headers['Connection'] = 'close'
    start_line = httputil.ResponseStartLine(
        'HTTP/1.1',
        status,
        http.HTTPStatus(status).phrase,
    )
    exchange.connection.write_headers(start_line, headers, body)
    exchange.connection.finish()


def start_caller_server(
    entry: entry_module.Entry,
    *,
    address: str,
) -> httpserver.HTTPServer:
    """Start the HTTP server for callers."""
    section = entry.section
    server = httpserver.HTTPServer(
        ExchangeFactory(entry=entry),
        max_body_size=section.body_limit_bytes * _LIBRARY_LIMIT_FACTOR,
        max_header_size=section.header_limit_bytes * _LIBRARY_LIMIT_FACTOR,
    )
    server.add_sockets(
        netutil.bind_sockets(section.port, address, backlog=_BACKLOG),
    )
    return server
