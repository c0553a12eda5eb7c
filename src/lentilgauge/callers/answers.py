"""Answers of a gateway to its callers, with their metrics and log lines."""

import asyncio
import time
import weakref

from tornado import httputil, iostream

from lentilgauge import clock, errors, events
from lentilgauge.callers import (
    answer_heads,
    connection_limits,
    connection_memory,
    gateway_request,
    memory_account,
    transfer_pace,
)
from lentilgauge.callers import exchange as exchange_module
from lentilgauge.links import (
    error_messages,
    http_server,
    upstream_data,
    upstream_link,
)
from lentilgauge.vms import gateway as gateway_module

_RETRY_AFTER_DECIMALS = 3
#: Maximum number of routes with their own metric label, as each route's
#: histogram takes about 30 KB. All further routes share one label.
_MAX_LABELLED_ROUTES = 40
_SHARED_ROUTE_LABEL = 'other'
#: Larger answers are written in pieces of this size, so that it is known
#: whether the caller reads.
_PIECE_BYTES = 65_536
#: A caller may send the rest of its body for this long after a refusal.
#: Closing a connection with unread bytes resets it, and the caller may lose the
#: refusal.
_LINGER_S = 2


def _record_metrics(exchange: exchange_module.Exchange, outcome: str) -> None:
    gateway_metrics = exchange.gateway.metrics
    labels = {'service': '', 'route': ''}
    if exchange.request is not None:
        labels['service'] = exchange.request.service
        labels['route'] = _assign_route_label(
            exchange.gateway, exchange.request
        )
    gateway_metrics.count('requests', **labels, outcome=outcome)
    duration_us = (time.monotonic_ns() - exchange.started_ns) / clock.NS_PER_US
    gateway_metrics.record_us('request_duration', '', duration_us, **labels)


def _assign_route_label(
    gateway: gateway_module.Gateway,
    request: gateway_request.Request,
) -> str:
    """Return a route's metric label, assigning it on the route's first use.

    Routes over the limit share one label.
    """
    labelled_routes = gateway.labelled_routes
    name = request.route.name
    if name not in labelled_routes:
        if len(labelled_routes) >= _MAX_LABELLED_ROUTES:
            return _SHARED_ROUTE_LABEL
        labelled_routes.add(name)
    return name


def log_answer(
    exchange: exchange_module.Exchange,
    event: events.Event,
    **fields: object,
) -> None:
    """Log a request's outcome.

    The log entry includes the current version of the configuration, and the
    current term and serial of the ownership.
    """
    gateway = exchange.gateway
    state_cache = gateway.state_cache
    configuration = state_cache.configuration
    request_fields: dict[str, object] = {
        'id': exchange.headers.get(exchange.dialect.request_id, ''),
    }
    if exchange.request is not None:
        request_fields = gateway_request.make_log_fields(
            exchange.request,
            gateway.now_ms(),
        )
    events.log_event(
        event,
        version=None if configuration is None else configuration.version,
        term=state_cache.ownership.term,
        serial=state_cache.ownership.serial,
        **request_fields,
        **fields,
    )


def answer_executed(
    exchange: exchange_module.Exchange,
    outcome: upstream_link.Outcome,
) -> None:
    """Forward an upstream's complete answer to the caller."""
    _record_metrics(exchange, 'executed')
    log_answer(
        exchange,
        events.Event.REQUEST_ANSWERED,
        status=outcome.status,
    )
    headers = outcome.headers or httputil.HTTPHeaders()
    upstream_data.strip_hop_by_hop(headers)
    write_answer(exchange, outcome.status, headers, outcome.body)


def answer_failure(
    exchange: exchange_module.Exchange,
    failure: errors.Failure,
    retry_after_ms: int = 0,
) -> None:
    """Answer a caller with a typed error message."""
    _record_metrics(exchange, failure.kind)
    error_response = errors.RESPONSE_BY_KIND[failure.kind]
    not_run = error_response.execution_claim is errors.ExecutionClaim.NOT_RUN
    log_answer(
        exchange,
        events.Event.REQUEST_REFUSED
        if not_run
        else events.Event.REQUEST_FAILED,
        kind=failure.kind,
        detail=failure.detail,
        status=error_response.status,
        retry_after_ms=retry_after_ms,
    )
    dialect = exchange.dialect
    request_id = exchange.headers.get(dialect.request_id, '')
    message = error_messages.ErrorMessage(
        kind=failure.kind,
        detail=failure.detail,
        ran=error_response.execution_claim,
        request_id=request_id,
    )
    headers = httputil.HTTPHeaders({'Content-Type': http_server.JSON_TYPE})
    if request_id:
        headers[dialect.request_id] = request_id
    if error_response.is_retryable:
        seconds = clock.to_seconds(retry_after_ms)
        headers['Retry-After'] = str(round(seconds, _RETRY_AFTER_DECIMALS))
    if failure.kind is errors.ErrorKind.UNAUTHENTICATED:
        headers['WWW-Authenticate'] = 'Bearer'
    body = message.model_dump_json().encode()
    write_answer(exchange, error_response.status, headers, body)


def write_answer(
    exchange: exchange_module.Exchange,
    status: int,
    headers: httputil.HTTPHeaders,
    body: bytes,
) -> None:
    """Begin to write an answer, unless there is one or the caller is gone."""
    if exchange.stage > exchange_module.Stage.SERVING:
        return
    body = answer_heads.set_length(exchange.start_line, headers, body)
    is_early = exchange.stage is exchange_module.Stage.RECEIVING
    is_dropped = exchange.stage is exchange_module.Stage.DROPPED
    if is_early or is_dropped or exchange.gateway.draining:
        headers['Connection'] = 'close'
        connection_limits.mark_ending(
            exchange.gateway.connections, exchange.connection.stream
        )
    elif len(body) <= _PIECE_BYTES and connection_limits.retire(
        exchange.gateway.connections, exchange.connection.stream
    ):
        headers['Connection'] = 'close'
    start_line = httputil.ResponseStartLine(
        'HTTP/1.1',
        status,
        answer_heads.get_reason_phrase(status),
    )
    connection = exchange.connection
    if is_early:
        exchange.stage = exchange_module.Stage.REFUSED
        exchange.written = connection.write_headers(start_line, headers, body)
        exchange_module.end_intake(exchange)
        _linger(exchange)
        return
    exchange.stage = exchange_module.Stage.WRITING
    held_bytes = answer_heads.count_bytes(headers, body)
    if len(body) > _PIECE_BYTES:
        header_future = connection.write_headers(start_line, headers)
        exchange.written = asyncio.ensure_future(
            _write_pieces(exchange, header_future, body, held_bytes)
        )
        return
    exchange.written = connection.write_headers(start_line, headers, body)
    connection.finish()
    if is_dropped:
        exchange.written.add_done_callback(lambda _: connection.close())
    if not exchange.written.done():
        holding = _hold_reply(exchange, held_bytes)
        exchange.written.add_done_callback(
            lambda _: memory_account.release(exchange.gateway.account, holding)
        )


def _linger(exchange: exchange_module.Exchange) -> None:
    """Discard the rest of a refused body for some time, then close.

    A caller that waits for permission to send its body sends none. A long head
    isn't kept for that time.
    """
    head_bytes = connection_memory.estimate_bytes(exchange.headers)
    is_long = head_bytes > memory_account.SMALL_BYTES
    if is_long or 'Expect' in exchange.headers:
        exchange.connection.finish()
        return
    # The timer must not keep the exchange of a caller that has left.
    asyncio.get_running_loop().call_later(
        _LINGER_S, _end_linger, weakref.ref(exchange)
    )


def _end_linger(reference: weakref.ref[exchange_module.Exchange]) -> None:
    exchange = reference()
    if exchange is not None and (
        exchange.stage is exchange_module.Stage.REFUSED
    ):
        # The HTTP library closes the connection, as the body isn't complete.
        exchange.connection.finish()


def finish_refused(exchange: exchange_module.Exchange) -> None:
    """End an exchange whose body arrived completely after its refusal."""
    exchange.stage = exchange_module.Stage.WRITING
    exchange.connection.finish()
    if exchange.written is not None:
        exchange.written.add_done_callback(
            lambda _: exchange.connection.close()
        )


def _hold_reply(
    exchange: exchange_module.Exchange, held_bytes: int
) -> memory_account.Holding:
    """Count an answer that the caller hasn't read yet."""
    gateway = exchange.gateway

    def close_connection() -> None:
        gateway.metrics.count('memory_closed', memory_account.Kind.REPLIES)
        log_answer(exchange, events.Event.READER_DROPPED)
        stream = exchange.connection.stream
        connection_limits.close_connection(gateway.connections, stream)
        stream.close()

    now_ms = gateway.now_ms()
    holding = memory_account.Holding(
        kind=memory_account.Kind.REPLIES,
        held_bytes=held_bytes,
        moved_ms=now_ms,
        pace=transfer_pace.Pace(since_ms=now_ms),
        drop=close_connection,
    )
    memory_account.hold(gateway.account, holding)
    return holding


async def _write_pieces(
    exchange: exchange_module.Exchange,
    header_future: asyncio.Future[None],
    body: bytes,
    held_bytes: int,
) -> None:
    """Write a large answer as the caller reads it."""
    gateway = exchange.gateway
    holding = _hold_reply(exchange, held_bytes)
    try:
        await header_future
        await _write_each(exchange, holding, body)
    except (iostream.StreamClosedError, asyncio.CancelledError):
        # The caller has disconnected. An error that the task kept would keep
        # the answer, too, in a cycle.
        return
    finally:
        memory_account.release(gateway.account, holding)


async def _write_each(
    exchange: exchange_module.Exchange,
    holding: memory_account.Holding,
    body: bytes,
) -> None:
    connection = exchange.connection
    body_view = memoryview(body)
    for start in range(0, len(body), _PIECE_BYTES):
        piece = body_view[start : start + _PIECE_BYTES]
        await connection.write(piece)  # type: ignore[arg-type]
        memory_account.mark_progress(
            holding, len(piece), exchange.gateway.now_ms()
        )
    connection.finish()


def refuse_upload(exchange: exchange_module.Exchange) -> None:
    """Refuse a request for lack of memory before it has arrived.

    It is also called for uploads that are dropped for others.
    """
    if exchange.stage is not exchange_module.Stage.RECEIVING:
        return
    exchange.gateway.metrics.count('memory_closed', memory_account.Kind.UPLOADS)
    answer_failure(
        exchange,
        memory_account.SHORTAGE,
        memory_account.SHORTAGE.retry_after_ms,
    )


def drop_request(exchange: exchange_module.Exchange) -> None:
    """Refuse a request whose memory is needed for others.

    Its body is incomplete, or it waits and has been sent to no upstream.
    """
    if exchange.task is None:
        refuse_upload(exchange)
    if exchange.task is None or not exchange_module.is_unsent(exchange):
        return
    exchange.gateway.metrics.count(
        'memory_closed', memory_account.Kind.REQUESTS
    )
    exchange.stage = exchange_module.Stage.DROPPED
    exchange.task.cancel()


async def wait_until_written(exchange: exchange_module.Exchange) -> None:
    """Wait until an answer is written or the caller is gone."""
    # The body is needed no longer, while the answer may take long to write.
    exchange_module.end_intake(exchange)
    written = exchange.written
    if written is not None and not written.done():
        await asyncio.wait((written,))
