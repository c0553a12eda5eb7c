"""HTTP server through which callers reach a gateway."""

import asyncio
import time
import typing

import loguru
from returns import result
from tornado import http1connection, httputil

from lentilgauge import errors, events
from lentilgauge.callers import (
    account_metrics,
    answers,
    authentication,
    body_intake,
    caller_server,
    configured_limits,
    connection_limits,
    connection_memory,
    forwarding,
    gateway_request,
    memory_account,
    reception,
)
from lentilgauge.callers import exchange as exchange_module
from lentilgauge.links import upstream_data
from lentilgauge.services import key_ranges, routes
from lentilgauge.vms import gateway as gateway_module

_MAX_BODY_BYTES = 67_108_864
#: While no configuration is known.
_MAX_HEADER_BYTES = 65_536
#: The HTTP library's limit on heads relative to the configured one, which may
#: be understood without the request line.
_HEADER_LIMIT_FACTOR = 2
_MAX_NUMBER_DIGITS = 9
#: `Retry-After` delay while no configuration is known; a process that has just
#: started receives one within about this time.
_UNREADY_RETRY_MS = 250


def make_receiver(gateway: gateway_module.Gateway) -> reception.Receiver:
    """Make the receiver of a gateway's requests."""
    return reception.Receiver(
        account=gateway.account,
        connections=gateway.connections,
        now_ms=gateway.now_ms,
        max_body_bytes=_MAX_BODY_BYTES,
    )


class ServedExchange(exchange_module.Exchange):
    """Exchange whose request is served once it has arrived completely."""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the request line and headers, and restart the timing.

        The HTTP library creates the exchange as soon as the connection is
        idle, which may be long before its request arrives. A request for which
        there is no memory is refused here.
        """
        self.arrived_ms = self.gateway.now_ms()
        self.started_ns = time.monotonic_ns()
        if isinstance(start_line, httputil.RequestStartLine):
            self.start_line = start_line
        self.headers = headers
        received = reception.begin(
            make_receiver(self.gateway),
            self.connection.stream,
            headers,
            drop=lambda: answers.drop_request(self),
            is_unsent=lambda: exchange_module.is_unsent(self),
        )
        self.intake = received.intake
        if not received.has_room:
            answers.refuse_upload(self)

    def data_received(self, chunk: bytes) -> None:
        """Add a chunk of the body, unless the request was refused."""
        has_room = reception.add_chunk(
            self.gateway.connections,
            self.connection.stream,
            self.intake,
            chunk,
        )
        if not has_room:
            answers.refuse_upload(self)

    def finish(self) -> None:
        """Start serving the request, which has arrived completely.

        From here on the HTTP library reports a closed connection only through
        a close callback.
        """
        if not reception.complete(
            self.gateway.connections, self.connection.stream
        ):
            self.on_connection_close()
            return
        if self.stage is exchange_module.Stage.REFUSED:
            answers.finish_refused(self)
            return
        self.stage = exchange_module.Stage.SERVING
        if self.intake is not None:
            body_intake.complete(self.intake)
        self.connection.set_close_callback(self.on_connection_close)
        self.gateway.in_flight += 1
        head = self.gateway.account.head_by_stream.get(self.connection.stream)
        self.task = asyncio.ensure_future(_serve(self))
        self.task.add_done_callback(lambda task: _end_serving(self, task, head))

    def on_connection_close(self) -> None:
        """Cancel the request of a caller that has disconnected."""
        if self.stage is not exchange_module.Stage.WRITING:
            self.stage = exchange_module.Stage.GONE
        if self.written is not None:
            # The HTTP library may leave it pending.
            self.written.cancel()
        if self.task is None:
            exchange_module.end_intake(self)
        else:
            self.task.cancel()


class ExchangeFactory(httputil.HTTPServerConnectionDelegate):
    """Factory of an exchange for each request on a connection."""

    def __init__(
        self,
        *,
        gateway: gateway_module.Gateway,
        dialect: exchange_module.Dialect,
    ) -> None:
        """Initialise a factory of exchanges for a gateway."""
        self.gateway = gateway
        self.dialect = dialect

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Create the exchange for a connection's next request."""
        connection = typing.cast(http1connection.HTTP1Connection, request_conn)
        connection_limits.mark_kept(self.gateway.connections, connection.stream)
        connection_memory.end_request(self.gateway.account, connection.stream)
        return ServedExchange(
            gateway=self.gateway, dialect=self.dialect, connection=connection
        )


async def _serve(exchange: exchange_module.Exchange) -> None:
    if exchange.task is not None:
        # From here on it can be aborted: a task that is cancelled before its
        # first step runs no part of its code, and so wouldn't answer.
        exchange.gateway.exchange_tasks.add(exchange.task)
    try:
        await _serve_request(exchange)
        await answers.wait_until_written(exchange)
    except asyncio.CancelledError:
        if exchange.stage is exchange_module.Stage.GONE:
            answers.log_answer(exchange, events.Event.REQUEST_LEFT)
        if exchange.stage > exchange_module.Stage.SERVING:
            return
        failure = _describe_abort(exchange)
        answers.answer_failure(exchange, failure, failure.retry_after_ms)
    except Exception:
        # Without an answer the caller would wait until its timeout.
        loguru.logger.exception('unhandled error while serving a request')
        answers.answer_failure(
            exchange,
            errors.Failure(
                kind=errors.ErrorKind.INTERNAL,
                detail='internal error of the gateway',
            ),
        )


def _end_serving(
    exchange: exchange_module.Exchange,
    task: asyncio.Task[None],
    head: memory_account.Holding | None,
) -> None:
    """Free what a request has held, also if its task never began."""
    gateway = exchange.gateway
    exchange_module.end_intake(exchange)
    if head is not None:
        memory_account.release(gateway.account, head)
    gateway.exchange_tasks.discard(task)
    gateway.in_flight -= 1


def _describe_abort(exchange: exchange_module.Exchange) -> errors.Failure:
    """Describe why a request ends with the process, or for lack of memory.

    One that still waits for an upstream hasn't run, so its caller may retry.
    """
    request = exchange.request
    if exchange.stage is exchange_module.Stage.DROPPED:
        return memory_account.SHORTAGE
    if request is None or not request.attempts:
        return errors.Failure(
            kind=errors.ErrorKind.LEAVING,
            detail='this gateway is stopping; other gateways are serving',
        )
    return errors.Failure(
        kind=errors.ErrorKind.UPSTREAM_TIMEOUT,
        detail='this gateway is stopping; the request may have run',
    )


def abort_exchanges(gateway: gateway_module.Gateway) -> None:
    """Cancel all requests in flight before the process exits.

    Each of them is answered with an error. Those that have just been read
    refuse themselves while the gateway is closing.
    """
    for task in tuple(gateway.exchange_tasks):
        task.cancel()


def _may_outlast_stop(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> bool:
    """Return whether a request could be cut by the end of the process."""
    if gateway.closing:
        return True
    return gateway.draining and request.deadline_ms > gateway.stop_deadline_ms


def _is_ending(exchange: exchange_module.Exchange) -> bool:
    """Return whether an earlier answer was announced as the last."""
    return exchange.connection.stream in exchange.gateway.connections.ending


async def _serve_request(exchange: exchange_module.Exchange) -> None:
    parsed = _parse_request(exchange)
    if not isinstance(parsed, result.Success):
        failure: errors.Failure = parsed.failure()
        answers.answer_failure(
            exchange, failure, failure.retry_after_ms or _UNREADY_RETRY_MS
        )
        return
    request: gateway_request.Request = parsed.unwrap()
    exchange.request = request
    if _is_ending(exchange) or _may_outlast_stop(exchange.gateway, request):
        answers.answer_failure(
            exchange,
            errors.Failure(
                kind=errors.ErrorKind.LEAVING,
                detail='this gateway is stopping; other gateways are serving',
            ),
        )
        return
    forward_result = await forwarding.forward(exchange.gateway, request)
    request.body = b''
    if isinstance(forward_result, result.Success):
        answers.answer_executed(exchange, forward_result.unwrap())
        return
    forward_failure: forwarding.ForwardFailure = forward_result.failure()
    answers.answer_failure(
        exchange, forward_failure.failure, forward_failure.retry_after_ms
    )


def _fail(
    kind: errors.ErrorKind,
    detail: str,
) -> result.Result[gateway_request.Request, errors.Failure]:
    return result.Failure(errors.Failure(kind=kind, detail=detail))


def _parse_request(
    exchange: exchange_module.Exchange,
) -> result.Result[gateway_request.Request, errors.Failure]:
    configuration = exchange.gateway.state_cache.configuration
    if configuration is None:
        return _fail(
            errors.ErrorKind.CONFIGURATION_STALE,
            'no configuration has been received yet',
        )
    if exchange.start_line is None:
        return _fail(
            errors.ErrorKind.BAD_REQUEST, 'the request line is missing'
        )
    host = exchange.headers.get('Host', '').partition(':')[0]
    path = exchange.start_line.path.partition('?')[0]
    route = routes.find_route(configuration, host, path)
    if route is None:
        return _fail(
            errors.ErrorKind.NO_SUCH_KIND,
            f'no route matches {host}{path}',
        )
    return _build_request(exchange, exchange.start_line, route)


def _build_request(
    exchange: exchange_module.Exchange,
    start_line: httputil.RequestStartLine,
    route: routes.Route,
) -> result.Result[gateway_request.Request, errors.Failure]:
    headers = exchange.headers
    dialect = exchange.dialect
    requested_ms = _parse_number(headers.get(dialect.deadline_ms, ''))
    if requested_ms is None:
        requested_ms = route.timeout_ms
    key = _parse_number(headers.get(dialect.key, ''))
    if key is not None and key > key_ranges.LAST_KEY:
        return _fail(errors.ErrorKind.BAD_KEY, 'the key is out of range')
    request_id = headers.get(dialect.request_id, '')
    upstream_data.strip_hop_by_hop(headers)
    for name in dialect.not_forwarded:
        headers.pop(name, None)
    identified = authentication.authenticate(
        exchange.gateway, headers, route, dialect.workspace
    )
    if not isinstance(identified, result.Success):
        return result.Failure(identified.failure())
    identity: authentication.Identity = identified.unwrap()
    return result.Success(
        gateway_request.Request(
            id=request_id,
            route=route,
            service=routes.choose_service(
                route,
                exchange.gateway.credits_by_route.setdefault(route.name, {}),
            ),
            key=key,
            method=start_line.method,
            target=start_line.path,
            headers=headers,
            body=_take_body(exchange),
            arrived_ms=exchange.arrived_ms,
            deadline_ms=exchange.arrived_ms
            + min(requested_ms, route.timeout_ms),
            workspace=identity.workspace,
            key_digest=identity.key_digest,
        ),
    )


def _take_body(exchange: exchange_module.Exchange) -> bytes:
    if exchange.intake is None:
        return b''
    return body_intake.take_body(exchange.intake)


def _parse_number(text: str) -> int | None:
    """Parse an unsigned decimal number of bounded length."""
    if text.isascii() and text.isdigit() and len(text) <= _MAX_NUMBER_DIGITS:
        return int(text)
    return None


def _report_eviction(gateway: gateway_module.Gateway) -> None:
    """Count and log a connection that is closed for a new one."""
    gateway.metrics.count('caller_connections_evicted')
    events.log_event(
        events.Event.CONNECTION_EVICTED, limit=gateway.connections.limit
    )


def start_gateway_server(
    gateway: gateway_module.Gateway,
    dialect: exchange_module.Dialect,
    *,
    address: str,
    port: int,
) -> caller_server.CallerServer:
    """Start the HTTP server for callers."""
    server = caller_server.CallerServer.make(
        ExchangeFactory(gateway=gateway, dialect=dialect),
        gateway.connections,
        gateway.account,
        gateway.now_ms,
        max_body_size=_MAX_BODY_BYTES,
        max_header_size=_MAX_HEADER_BYTES,
        idle_seconds=configured_limits.MIN_IDLE_SECONDS,
    )
    configured_limits.follow_configuration(gateway, server)
    account_metrics.add_gauges(
        gateway.metrics, gateway.account, gateway.connections
    )
    gateway.connections.report_eviction = lambda: _report_eviction(gateway)
    caller_server.listen(
        server,
        address=address,
        port=port,
        limits_buffers=bool(gateway.account.limit_bytes),
    )
    return server
