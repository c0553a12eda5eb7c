"""Stand-in for an upstream that gateways grant keys and send requests to."""

import asyncio
import collections
import dataclasses
import http
import json
import time
from collections.abc import Callable

from tornado import httputil

from lentilgauge import clock
from lentilgauge.platform import headers
from lentilgauge.standins import key_holds, standin_server

#: Factor on the length of a hold, for an upstream whose clock runs slow.
_CLOCK_DRIFT_FACTOR = 1.02
_CONCURRENCY = 2
_QUEUE_LIMIT = 8
_GRANT_PATH = '/grant'
_ORDER_PATHS = frozenset((_GRANT_PATH, '/release'))
#: Announced address that stands for the server's own.
_OWN_ADDRESS = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """Request that an upstream starts to execute.

    `headers` are those with which it arrived.
    """

    upstream: str
    request_id: str
    target: str
    key: int | None
    deadline_ms: int
    headers: httputil.HTTPHeaders = dataclasses.field(
        default_factory=httputil.HTTPHeaders
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Callbacks:
    """Callbacks for requests and grants; they get the upstream's name first.

    `request_arrived` and `pause_requested`, which is for a refusal that asks
    for a pause, get the request's id; `grant_accepted` gets the hold.
    """

    execution_started: Callable[[Execution], None] = lambda _: None
    request_arrived: Callable[[str, str], None] = lambda *_: None
    pause_requested: Callable[[str, str], None] = lambda *_: None
    grant_accepted: Callable[[str, key_holds.Hold], None] = lambda *_: None


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Faults that an upstream shows at present.

    `refuses_requests` refuses requests unexecuted; `loses_answers` executes
    them and closes their connections. `ignores_orders` neither executes nor
    answers orders; `delays_grants` executes grants after a delay and doesn't
    answer them; `accepts_any_id` executes orders for other ids. With
    `duplicates_answers` each answer to a request is sent a second time,
    refusals too. With `leaving` all answers say that the process is leaving.
    Unless `retry_after_seconds` is 0, requests are refused, and a pause of that
    length is asked for.
    """

    refuses_requests: bool = False
    loses_answers: bool = False
    duplicates_answers: bool = False
    ignores_orders: bool = False
    delays_grants: bool = False
    accepts_any_id: bool = False
    leaving: bool = False
    retry_after_seconds: float = 0


def change_faults(upstream: 'Upstream', faults: UpstreamFaults) -> None:
    """Change an upstream's faults, but not whose orders it executes.

    One process either checks the ids of orders or doesn't: rejecting an order
    for another id says that it has executed none.
    """
    upstream.faults = dataclasses.replace(
        faults, accepts_any_id=upstream.faults.accepts_any_id
    )


def _parse_order(order: dict[str, object], expires_at: float) -> key_holds.Hold:
    return key_holds.Hold(
        start=int(str(order['startKey'])),
        end=int(str(order['target'])),
        fence=int(str(order['fence'])),
        expires_at=expires_at,
    )


def _make_notice(faults: UpstreamFaults) -> dict[str, str]:
    """Make the header with which answers say that a process is leaving."""
    return {headers.LEAVING: '1'} if faults.leaving else {}


class Upstream(standin_server.StandInServer):
    """Upstream that executes requests, if sharded only on keys it holds.

    `executed_requests` lists the id and the body of each request executed.
    While the event `finish_allowed` is cleared, requests in execution don't
    finish.
    """

    def __init__(
        self,
        name: str,
        *,
        sharded: bool,
        callbacks: Callbacks | None = None,
        execution_ms: float = 0,
    ) -> None:
        """Start listening, with no holds.

        With `sharded` it refuses requests whose key it doesn't hold.
        """
        super().__init__()
        self.name = name
        self.sharded = sharded
        self.callbacks = callbacks or Callbacks()
        self.execution_ms = execution_ms
        self.hold_table = key_holds.HoldTable()
        self.executed_requests: list[tuple[str, bytes]] = []
        self._running_by_key: collections.Counter[int | None] = (
            collections.Counter()
        )
        self._queued = 0
        self._request_finished = asyncio.Event()
        self._execution_slots = asyncio.Semaphore(_CONCURRENCY)
        self.finish_allowed = asyncio.Event()
        self.finish_allowed.set()
        self.faults = UpstreamFaults()
        self.incarnation_ms = time.time_ns() // clock.NS_PER_MS
        self.announced_address = _OWN_ADDRESS
        self.failure_domain = 'z1'
        self.cold_until_seconds = time.monotonic()

    def make_announcement(
        self, service: str, state: str = 'ready'
    ) -> dict[str, object]:
        """Make the store entry with which the upstream announces itself."""
        cold_left_seconds = max(self.cold_until_seconds - time.monotonic(), 0)
        return {
            'service': service,
            'address': self.announced_address or self.address,
            'zone': self.failure_domain,
            'version': 'v1',
            'slots': _CONCURRENCY,
            'state': state,
            'coldLeft': f'{int(cold_left_seconds * clock.MS_PER_SECOND)}ms',
            'sequence': 1,
            'born': self.incarnation_ms,
        }

    def restart(self, cold_seconds: float = 0) -> None:
        """Start a new incarnation under the same id, without holds or tokens.

        Connections of the one before are closed.
        """
        self.incarnation_ms = max(
            time.time_ns() // clock.NS_PER_MS,
            self.incarnation_ms + 1,
        )
        self.cold_until_seconds = time.monotonic() + cold_seconds
        self.hold_table = key_holds.HoldTable()
        self.end_process()

    def holds_key(self, key: int) -> bool:
        """Return whether an unexpired hold covers a key."""
        return key_holds.holds_key(self.hold_table, key, time.monotonic())

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> standin_server.Answer | None:
        """Answer an order or a request."""
        expected_instance = request.headers.get(headers.EXPECTED_INSTANCE)
        is_misdirected = expected_instance not in {None, self.name}
        if request.path in _ORDER_PATHS:
            if is_misdirected and not self.faults.accepts_any_id:
                return standin_server.Answer(
                    status=http.HTTPStatus.MISDIRECTED_REQUEST
                )
            return await self._answer_order(request)
        refusal_headers = self._make_headers(request)
        refusal_headers[headers.NOT_EXECUTED] = '1'
        if is_misdirected:
            return standin_server.Answer(
                status=http.HTTPStatus.MISDIRECTED_REQUEST,
                headers=refusal_headers,
                duplicated=self.faults.duplicates_answers,
            )
        request_id = refusal_headers[headers.REQUEST_ID]
        self.callbacks.request_arrived(self.name, request_id)
        if self.faults.retry_after_seconds:
            self.callbacks.pause_requested(self.name, request_id)
            refusal_headers[headers.RETRY_AFTER] = (
                f'{self.faults.retry_after_seconds:.3f}'
            )
        if self.faults.refuses_requests or self.faults.retry_after_seconds:
            return standin_server.Answer(
                status=http.HTTPStatus.SERVICE_UNAVAILABLE,
                headers=refusal_headers,
                duplicated=self.faults.duplicates_answers,
            )
        if self._queued >= _QUEUE_LIMIT:
            standin_server.close_connection(request)
            return None
        self._queued += 1
        try:
            await self._execution_slots.acquire()
        finally:
            self._queued -= 1
        try:
            return await self._execute(request, refusal_headers)
        finally:
            self._execution_slots.release()

    async def _execute(
        self,
        request: httputil.HTTPServerRequest,
        refusal_headers: dict[str, str],
    ) -> standin_server.Answer | None:
        """Execute a request that left the queue, if its key is held then."""
        key_text = request.headers.get(headers.SHARD_KEY)
        key = None if key_text is None or not self.sharded else int(key_text)
        if key is not None and not self.holds_key(key):
            return standin_server.Answer(
                status=http.HTTPStatus.MISDIRECTED_REQUEST,
                headers=refusal_headers,
                duplicated=self.faults.duplicates_answers,
            )
        echoed_id = refusal_headers[headers.REQUEST_ID]
        self.callbacks.execution_started(
            Execution(
                upstream=self.name,
                request_id=echoed_id,
                target=request.path,
                key=key,
                deadline_ms=int(request.headers.get(headers.DEADLINE_MS, '0')),
                headers=request.headers,
            ),
        )
        self.executed_requests.append((echoed_id, request.body))
        self._running_by_key[key] += 1
        try:
            await asyncio.sleep(clock.to_seconds(self.execution_ms))
            await self.finish_allowed.wait()
        finally:
            self._running_by_key[key] -= 1
            self._request_finished.set()
            self._request_finished = asyncio.Event()
        if self.faults.loses_answers:
            standin_server.close_connection(request)
            return None
        return standin_server.Answer(
            body={'by': self.name, 'path': request.path, 'id': echoed_id},
            headers={
                **self._make_headers(request),
                headers.SEAL: f'seal-{self.name}',
            },
            duplicated=self.faults.duplicates_answers,
        )

    def _make_headers(
        self,
        request: httputil.HTTPServerRequest,
    ) -> dict[str, str]:
        """Echo the request's id and report the load."""
        running = _CONCURRENCY - getattr(self._execution_slots, '_value', 0)
        return {
            headers.REQUEST_ID: request.headers.get(headers.REQUEST_ID, ''),
            headers.LOAD: f'{running},{self._queued},{_CONCURRENCY},100',
            **_make_notice(self.faults),
        }

    async def _answer_order(
        self,
        request: httputil.HTTPServerRequest,
    ) -> standin_server.Answer | None:
        if self.faults.ignores_orders:
            return None
        order = json.loads(request.body)
        received_at = time.monotonic()
        if self.faults.delays_grants and request.path == _GRANT_PATH:
            asyncio.get_running_loop().call_later(
                clock.to_seconds(self.execution_ms) + 1,
                self._accept_late_grant,
                self.hold_table,
                order,
                received_at,
            )
            return None
        if request.path == _GRANT_PATH:
            return self._accept_grant(order, received_at)
        return await self._release_keys(order)

    def _accept_late_grant(
        self,
        hold_table: key_holds.HoldTable,
        order: dict[str, object],
        received_at: float,
    ) -> None:
        """Accept a grant, unless the process that received it has ended."""
        if hold_table is self.hold_table:
            self._accept_grant(order, received_at)

    def _accept_grant(
        self,
        order: dict[str, object],
        received_at: float,
    ) -> standin_server.Answer:
        hold_ms = float(str(order['hold_time']).removesuffix('ms'))
        expires_at = (
            received_at + clock.to_seconds(hold_ms) * _CLOCK_DRIFT_FACTOR
        )
        hold = _parse_order(order, expires_at)
        if not key_holds.accept_grant(self.hold_table, hold):
            return standin_server.Answer(status=http.HTTPStatus.CONFLICT)
        self.callbacks.grant_accepted(self.name, hold)
        return standin_server.Answer(headers=_make_notice(self.faults))

    async def _release_keys(
        self,
        order: dict[str, object],
    ) -> standin_server.Answer:
        """Release keys; answer when no request in execution uses them."""
        released = _parse_order(order, 0)
        key_holds.release_keys(self.hold_table, released)
        while self._has_requests_on(released):
            await self._request_finished.wait()
        return standin_server.Answer(headers={headers.HANDOVER: 'warm'})

    def _has_requests_on(self, key_range: key_holds.Hold) -> bool:
        return any(
            count
            and key is not None
            and key_range.start <= key <= key_range.end
            for key, count in self._running_by_key.items()
        )
