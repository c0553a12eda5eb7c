"""Serve callers over HTTP."""

import asyncio
import http
import time
from urllib import parse as url_parse

import loguru
from returns import result
from tornado import httpserver, httputil, netutil

from lentilgauge import clock, errors, metrics
from lentilgauge.callers import kinds, repetition
from lentilgauge.callers import request as request_module
from lentilgauge.links import error_messages, http_server, upstream_data
from lentilgauge.vms import entry as entry_module

_BACKLOG = 2048
#: The HTTP library's own limits stand above ours, so that most requests
#: that are too large get a typed answer.
_HEADROOM = 4
_NO_KIND = 'unmatched'
_MOST_DEADLINE_DIGITS = 9


class Exchange(httputil.HTTPMessageDelegate):
    """Hold one request of a caller while it arrives and is answered."""

    def __init__(
        self,
        *,
        entry: entry_module.Entry,
        connection: httputil.HTTPConnection,
    ) -> None:
        """Start with nothing received."""
        self.entry = entry
        self.connection = connection
        self.start_line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.size = 0
        self.kind = _NO_KIND
        self.started_ns = time.monotonic_ns()
        self.answered = False
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Check sizes as early as they are known."""
        if isinstance(start_line, httputil.RequestStartLine):
            self.start_line = start_line
        self.headers = headers
        failure = check_sizes(self.entry, headers)
        if failure is not None:
            answer_failure(self, failure)

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, up to the limit."""
        self.size += len(chunk)
        if self.answered:
            return
        if self.size > self.entry.section.body_limit_bytes:
            answer_failure(self, _make_body_failure(self.entry))
            return
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Serve the request once it is whole."""
        if not self.answered:
            self.task = asyncio.ensure_future(_serve(self))

    def on_connection_close(self) -> None:
        """Note that nobody waits for the answer any more."""
        self.answered = True


class Acceptor(httputil.HTTPServerConnectionDelegate):
    """Make an exchange for each request that arrives."""

    def __init__(self, *, entry: entry_module.Entry) -> None:
        """Serve callers for an entry."""
        self.entry = entry

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Start an exchange."""
        return Exchange(entry=self.entry, connection=request_conn)


def _make_body_failure(entry: entry_module.Entry) -> errors.Failure:
    return errors.Failure(
        kind=errors.ErrorKind.BODY_TOO_LARGE,
        detail=f'the body is over {entry.section.body_limit_bytes} bytes',
    )


def check_sizes(
    entry: entry_module.Entry,
    headers: httputil.HTTPHeaders,
) -> errors.Failure | None:
    """Find whether headers or the announced body are too large."""
    limit = entry.section.header_limit_bytes
    size = sum(len(name) + len(text) for name, text in headers.get_all())
    if size > limit:
        return errors.Failure(
            kind=errors.ErrorKind.HEADERS_TOO_LARGE,
            detail=f'the headers are over {limit} bytes',
        )
    length = headers.get('Content-Length', '')
    # Any other text is ambiguous framing, which the HTTP library refuses.
    plain = length.isascii() and length.isdigit()
    if plain and int(length) > entry.section.body_limit_bytes:
        return _make_body_failure(entry)
    return None


def _find_refusal(entry: entry_module.Entry) -> errors.Failure | None:
    if not entry_module.is_fresh(entry):
        return errors.Failure(
            kind=errors.ErrorKind.CONFIGURATION_STALE,
            detail='this entry cannot confirm its configuration',
        )
    return None


def _read_deadline_ms(
    entry: entry_module.Entry,
    kind_timeout_ms: int,
    headers: httputil.HTTPHeaders,
) -> result.Result[int, errors.Failure]:
    """Return the deadline in this process's clock."""
    given = headers.get(upstream_data.DEADLINE_MS)
    if given is None:
        return result.Success(entry.now_ms() + kind_timeout_ms)
    if not (given.isascii() and given.isdigit()):
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_REQUEST,
                detail=f'header {upstream_data.DEADLINE_MS} is no number',
            ),
        )
    span_ms = min(int(given[:_MOST_DEADLINE_DIGITS]), kind_timeout_ms)
    return result.Success(entry.now_ms() + span_ms)


def _read_request(
    exchange: Exchange,
    start_line: httputil.RequestStartLine,
) -> result.Result[request_module.CallerRequest, errors.Failure]:
    entry = exchange.entry
    target = start_line.path
    path = target.partition('?')[0]
    if not path.startswith('/'):
        path = url_parse.urlsplit(target).path
        target = path
    matched = kinds.match_request(
        entry.templates_by_shape,
        start_line.method,
        path,
        exchange.headers,
    )
    if not isinstance(matched, result.Success):
        return result.Failure(matched.failure())
    match = matched.unwrap()
    exchange.kind = match.kind.name
    deadline = _read_deadline_ms(
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
        await _serve_received(exchange)
    except Exception:
        # The caller must not wait for an answer that will never come.
        loguru.logger.exception('a request failed')
        answer_failure(
            exchange,
            errors.Failure(
                kind=errors.ErrorKind.INTERNAL,
                detail='the request failed inside the entry',
            ),
        )
    finally:
        entry_module.end_request(entry)


async def _serve_received(exchange: Exchange) -> None:
    refusal = _find_refusal(exchange.entry)
    if refusal is not None:
        answer_failure(exchange, refusal)
        return
    if exchange.start_line is None:
        return
    read = _read_request(exchange, exchange.start_line)
    if not isinstance(read, result.Success):
        answer_failure(exchange, read.failure())
        return
    request = read.unwrap()
    served = await repetition.serve_once(exchange.entry, request)
    if isinstance(served, result.Success):
        answer_executed(exchange, request, served.unwrap())
        return
    answer_failure(exchange, served.failure(), request.id)


def _count(exchange: Exchange, outcome: str) -> None:
    counted: metrics.Metrics = exchange.entry.metrics
    counted.count('requests', f'{exchange.kind}/{outcome}')
    span_us = (time.monotonic_ns() - exchange.started_ns) / clock.NS_PER_US
    counted.record_us('request', exchange.kind, span_us)


def answer_executed(
    exchange: Exchange,
    request: request_module.CallerRequest,
    executed: upstream_data.Executed,
) -> None:
    """Pass an upstream's whole answer on to the caller."""
    _count(exchange, 'executed')
    headers = executed.headers
    upstream_data.strip_hop_by_hop(headers)
    headers[upstream_data.REQUEST_ID] = request.id
    _write(exchange, executed.status, headers, executed.body)


def answer_failure(
    exchange: Exchange,
    failure: errors.Failure,
    request_id: str = '',
) -> None:
    """Answer a caller with a typed error."""
    _count(exchange, failure.kind)
    answer = errors.ANSWERS[failure.kind]
    message = error_messages.ErrorMessage(
        kind=failure.kind,
        detail=failure.detail,
        ran=answer.ran,
        request_id=request_id or entry_module.make_request_id(exchange.entry),
    )
    headers = httputil.HTTPHeaders(
        {
            'Content-Type': http_server.JSON_TYPE,
            upstream_data.REQUEST_ID: message.request_id,
        }
    )
    if answer.retry_after:
        headers['Retry-After'] = '1'
    body = message.model_dump_json().encode()
    _write(exchange, answer.status, headers, body)


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
    """Listen for callers."""
    section = entry.section
    server = httpserver.HTTPServer(
        Acceptor(entry=entry),
        max_body_size=section.body_limit_bytes * _HEADROOM,
        max_header_size=section.header_limit_bytes * _HEADROOM,
    )
    server.add_sockets(
        netutil.bind_sockets(section.port, address, backlog=_BACKLOG),
    )
    return server
