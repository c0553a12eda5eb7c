"""Serve callers of a gateway over HTTP."""

import asyncio
import dataclasses
import http
import time

import loguru
from returns import result
from tornado import http1connection, httpserver, httputil, netutil

from lentilgauge import clock, errors, events
from lentilgauge.callers import forwarding, gateway_request
from lentilgauge.links import (
    error_messages,
    http_server,
    upstream_data,
    upstream_link,
)
from lentilgauge.services import key_ranges, routes
from lentilgauge.vms import gateway as gateway_module

_BACKLOG = 1024
_MOST_BODY_BYTES = 67_108_864
_MOST_HEADER_BYTES = 65_536
_MOST_DIGITS = 9
_MS_DIGITS = 3
#: Callers may use an idle connection again for this long at least.
_IDLE_SECONDS = 30
#: They are kept this much longer than the operators' limit, so that callers
#: close first and no request crosses a close.
_IDLE_MARGIN = 1.25
#: A process that has just started knows a configuration about this much later.
_UNREADY_MS = 250
#: Routes with metrics of their own: a histogram takes some 30 KB.
_MOST_COUNTED_ROUTES = 40
_OTHER_ROUTES = 'other'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dialect:
    """Name the headers in which callers speak to a gateway."""

    request_id: str
    deadline_ms: str
    key: str
    not_forwarded: tuple[str, ...]


class Exchange(httputil.HTTPMessageDelegate):
    """Hold one request of a caller while it arrives and is answered."""

    def __init__(
        self,
        *,
        gateway: gateway_module.Gateway,
        dialect: Dialect,
        connection: httputil.HTTPConnection,
    ) -> None:
        """Start with nothing received."""
        self.gateway = gateway
        self.dialect = dialect
        self.connection = connection
        self.start_line: httputil.RequestStartLine | None = None
        self.headers = httputil.HTTPHeaders()
        self.chunks: list[bytes] = []
        self.arrived_ms = gateway.now_ms()
        self.started_ns = time.monotonic_ns()
        self.request: gateway_request.Request | None = None
        self.answered = False
        self.task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Keep what arrives first; the request's time starts now.

        The HTTP library makes the exchange when the connection falls idle.
        """
        self.arrived_ms = self.gateway.now_ms()
        self.started_ns = time.monotonic_ns()
        if isinstance(start_line, httputil.RequestStartLine):
            self.start_line = start_line
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Serve the request once it is whole.

        From now on the HTTP library tells of a close only if it is asked to.
        """
        if isinstance(self.connection, http1connection.HTTP1Connection):
            self.connection.set_close_callback(self.on_connection_close)
        self.task = asyncio.ensure_future(_serve(self))
        self.gateway.serving.add(self.task)
        self.task.add_done_callback(self.gateway.serving.discard)

    def on_connection_close(self) -> None:
        """End the work for a caller that has left."""
        self.answered = True
        if self.task is not None:
            self.task.cancel()


class Acceptor(httputil.HTTPServerConnectionDelegate):
    """Make an exchange for each request that arrives."""

    def __init__(
        self,
        *,
        gateway: gateway_module.Gateway,
        dialect: Dialect,
    ) -> None:
        """Serve callers for a gateway."""
        self.gateway = gateway
        self.dialect = dialect

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Start an exchange."""
        return Exchange(
            gateway=self.gateway,
            dialect=self.dialect,
            connection=request_conn,
        )


async def _serve(exchange: Exchange) -> None:
    gateway = exchange.gateway
    gateway.in_flight += 1
    try:
        await _serve_received(exchange)
    except asyncio.CancelledError:
        if exchange.answered:
            _log_answer(exchange, events.Event.REQUEST_LEFT)
            return
        _answer_failure(
            exchange,
            errors.Failure(
                kind=errors.ErrorKind.UPSTREAM_TIMEOUT,
                detail='this gateway ends, the request may have run',
            ),
        )
    except Exception:
        # The caller must not wait for an answer that will never come.
        loguru.logger.exception('a request failed')
        _answer_failure(
            exchange,
            errors.Failure(
                kind=errors.ErrorKind.INTERNAL,
                detail='the request failed inside the gateway',
            ),
        )
    finally:
        gateway.in_flight -= 1


def end_exchanges(gateway: gateway_module.Gateway) -> None:
    """Answer all who still wait, as the process must end now."""
    for task in tuple(gateway.serving):
        task.cancel()


async def _serve_received(exchange: Exchange) -> None:
    if exchange.gateway.closing:
        _answer_failure(
            exchange,
            errors.Failure(
                kind=errors.ErrorKind.LEAVING,
                detail='this gateway stops, others serve',
            ),
        )
        return
    read = _read_request(exchange)
    if not isinstance(read, result.Success):
        _answer_failure(exchange, read.failure(), _UNREADY_MS)
        return
    request: gateway_request.Request = read.unwrap()
    exchange.request = request
    served = await forwarding.forward(exchange.gateway, request)
    if isinstance(served, result.Success):
        _answer_executed(exchange, served.unwrap())
        return
    refusal: forwarding.Refusal = served.failure()
    _answer_failure(exchange, refusal.failure, refusal.retry_after_ms)


def _fail(
    kind: errors.ErrorKind,
    detail: str,
) -> result.Result[gateway_request.Request, errors.Failure]:
    return result.Failure(errors.Failure(kind=kind, detail=detail))


def _read_request(
    exchange: Exchange,
) -> result.Result[gateway_request.Request, errors.Failure]:
    configuration = exchange.gateway.beliefs.configuration
    if configuration is None:
        return _fail(
            errors.ErrorKind.CONFIGURATION_STALE,
            'no configuration is known yet',
        )
    if exchange.start_line is None:
        return _fail(errors.ErrorKind.BAD_REQUEST, 'there is no request line')
    host = exchange.headers.get('Host', '').partition(':')[0]
    path = exchange.start_line.path.partition('?')[0]
    route = routes.find_route(configuration, host, path)
    if route is None:
        return _fail(
            errors.ErrorKind.NO_SUCH_KIND,
            f'no route matches {host}{path}',
        )
    return _make_request(exchange, exchange.start_line, route)


def _make_request(
    exchange: Exchange,
    start_line: httputil.RequestStartLine,
    route: routes.Route,
) -> result.Result[gateway_request.Request, errors.Failure]:
    headers = exchange.headers
    dialect = exchange.dialect
    left_ms = _read_number(headers.get(dialect.deadline_ms, ''))
    if left_ms is None:
        left_ms = route.timeout_ms
    key = _read_number(headers.get(dialect.key, ''))
    if key is not None and key > key_ranges.LAST_KEY:
        return _fail(errors.ErrorKind.BAD_KEY, 'the key is out of range')
    request_id = headers.get(dialect.request_id, '')
    upstream_data.strip_hop_by_hop(headers)
    for name in dialect.not_forwarded:
        headers.pop(name, None)
    gateway = exchange.gateway
    return result.Success(
        gateway_request.Request(
            id=request_id,
            route=route,
            service=routes.choose_service(
                route,
                gateway.credits_by_route.setdefault(route.name, {}),
            ),
            key=key,
            method=start_line.method,
            target=start_line.path,
            headers=headers,
            body=b''.join(exchange.chunks),
            arrived_ms=exchange.arrived_ms,
            deadline_ms=exchange.arrived_ms + min(left_ms, route.timeout_ms),
        ),
    )


def _read_number(text: str) -> int | None:
    """Read a plain number of bounded length."""
    if text.isascii() and text.isdigit() and len(text) <= _MOST_DIGITS:
        return int(text)
    return None


def _count(exchange: Exchange, outcome: str) -> None:
    counted = exchange.gateway.metrics
    place = {'service': '', 'route': ''}
    if exchange.request is not None:
        place['service'] = exchange.request.service
        place['route'] = _name_route(exchange.gateway, exchange.request)
    counted.count('requests', **place, outcome=outcome)
    span_us = (time.monotonic_ns() - exchange.started_ns) / clock.NS_PER_US
    counted.record_us('request_duration', '', span_us, **place)


def _name_route(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
) -> str:
    """Name a route for metrics; beyond a number all are one."""
    known = gateway.counted_routes
    name = request.route.name
    if name not in known:
        if len(known) >= _MOST_COUNTED_ROUTES:
            return _OTHER_ROUTES
        known.add(name)
    return name


def _log_answer(
    exchange: Exchange,
    event: events.Event,
    **fields: object,
) -> None:
    """Log what a request got, with the versions that decided on it."""
    gateway = exchange.gateway
    believed = gateway.beliefs
    configuration = believed.configuration
    described: dict[str, object] = {
        'id': exchange.headers.get(exchange.dialect.request_id, ''),
    }
    if exchange.request is not None:
        described = gateway_request.describe(
            exchange.request,
            gateway.now_ms(),
        )
    events.record(
        event,
        version=None if configuration is None else configuration.version,
        term=believed.ownership.term,
        serial=believed.ownership.serial,
        **described,
        **fields,
    )


def _answer_executed(
    exchange: Exchange,
    outcome: upstream_link.Outcome,
) -> None:
    """Pass an upstream's whole answer on to the caller."""
    _count(exchange, 'executed')
    _log_answer(
        exchange,
        events.Event.REQUEST_ANSWERED,
        status=outcome.status,
    )
    headers = outcome.headers or httputil.HTTPHeaders()
    upstream_data.strip_hop_by_hop(headers)
    _write(exchange, outcome.status, headers, outcome.body)


def _answer_failure(
    exchange: Exchange,
    failure: errors.Failure,
    retry_after_ms: int = 0,
) -> None:
    """Answer a caller with a typed error."""
    _count(exchange, failure.kind)
    answer = errors.ANSWERS[failure.kind]
    refused = answer.ran is errors.Ran.NOT_RUN
    _log_answer(
        exchange,
        events.Event.REQUEST_REFUSED
        if refused
        else events.Event.REQUEST_FAILED,
        kind=failure.kind,
        detail=failure.detail,
        status=answer.status,
        retry_after_ms=retry_after_ms,
    )
    dialect = exchange.dialect
    request_id = exchange.headers.get(dialect.request_id, '')
    message = error_messages.ErrorMessage(
        kind=failure.kind,
        detail=failure.detail,
        ran=answer.ran,
        request_id=request_id,
    )
    headers = httputil.HTTPHeaders({'Content-Type': http_server.JSON_TYPE})
    if request_id:
        headers[dialect.request_id] = request_id
    if answer.retry_after:
        seconds = clock.to_seconds(retry_after_ms)
        headers['Retry-After'] = str(round(seconds, _MS_DIGITS))
    body = message.model_dump_json().encode()
    _write(exchange, answer.status, headers, body)


def _find_phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return 'Unknown'


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
    if exchange.gateway.leaving:
        headers['Connection'] = 'close'
    start_line = httputil.ResponseStartLine(
        'HTTP/1.1',
        status,
        _find_phrase(status),
    )
    exchange.connection.write_headers(start_line, headers, body)
    exchange.connection.finish()


def _follow_limits(
    gateway: gateway_module.Gateway,
    server: httpserver.HTTPServer,
) -> None:
    """Keep idle connections for as long as the operators let callers."""

    def adopt() -> None:
        configuration = gateway.beliefs.configuration
        if configuration is None:
            return
        idle_seconds = clock.to_seconds(configuration.idle_timeout_ms)
        server.conn_params.header_timeout = max(
            idle_seconds * _IDLE_MARGIN,
            _IDLE_SECONDS,
        )

    gateway.beliefs.listeners.append(adopt)


def start_gateway_server(
    gateway: gateway_module.Gateway,
    dialect: Dialect,
    *,
    address: str,
    port: int,
) -> httpserver.HTTPServer:
    """Listen for callers."""
    server = httpserver.HTTPServer(
        Acceptor(gateway=gateway, dialect=dialect),
        max_body_size=_MOST_BODY_BYTES,
        max_header_size=_MOST_HEADER_BYTES,
        idle_connection_timeout=_IDLE_SECONDS,
    )
    _follow_limits(gateway, server)
    server.add_sockets(netutil.bind_sockets(port, address, backlog=_BACKLOG))
    return server
