"""Stand in for the users' upstreams, in their dialect, with their faults."""

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
from lentilgauge.standins import dialect_holds, dialect_server

#: The clock that measures holds may run this much slow.
_DRIFT = 1.02
_SLOTS = 2
_QUEUE = 8
_GRANT = '/grant'
_ORDERS = frozenset((_GRANT, '/release'))
_ANY_ADDRESS = ''


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Begun:
    """Describe a request that an upstream begins to work on."""

    upstream: str
    request_id: str
    target: str
    key: int | None
    deadline_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Told:
    """Hold whom an upstream tells what it does, as it does it."""

    begun: Callable[[Begun], None] = lambda _: None
    granted: Callable[[str, dialect_holds.Hold], None] = lambda *_: None


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamFaults:
    """Hold how an upstream misbehaves now.

    `drops` runs requests and closes their connections; `extra` answers each
    twice; `late_orders` carries orders out without an answer, later.
    """

    refuses: bool = False
    drops: bool = False
    extra: bool = False
    ignores_orders: bool = False
    late_orders: bool = False


def _read_span(order: dict[str, object], until: float) -> dialect_holds.Hold:
    """Read the keys and the token of an order."""
    return dialect_holds.Hold(
        start=int(str(order['startKey'])),
        end=int(str(order['target'])),
        fence=int(str(order['fence'])),
        until=until,
    )


class Upstream(dialect_server.StandIn):
    """Run requests on keys that are granted; keep a journal."""

    def __init__(
        self,
        name: str,
        *,
        keyed: bool,
        told: Told | None = None,
        work_ms: float = 0,
    ) -> None:
        """Start holding nothing."""
        super().__init__()
        self.name = name
        self.keyed = keyed
        self.told = told or Told()
        self.work_ms = work_ms
        self.holdings = dialect_holds.Holdings()
        self.ran: list[tuple[str, bytes]] = []
        self._running: collections.Counter[int | None] = collections.Counter()
        self._waiting = 0
        self._finished = asyncio.Event()
        self._places = asyncio.Semaphore(_SLOTS)
        self.work = asyncio.Event()
        self.work.set()
        self.faults = UpstreamFaults()
        self.born_ms = time.time_ns() // clock.NS_PER_MS
        self.announced = _ANY_ADDRESS
        self.failure_domain = 'z1'
        self.warm_seconds = time.monotonic()

    def entry(self, service: str, state: str = 'ready') -> dict[str, object]:
        """Describe it as upstreams announce themselves."""
        cold_ms = max(self.warm_seconds - time.monotonic(), 0)
        return {
            'service': service,
            'address': self.announced or self.address,
            'zone': self.failure_domain,
            'version': 'v1',
            'slots': _SLOTS,
            'state': state,
            'coldLeft': f'{int(cold_ms * clock.MS_PER_SECOND)}ms',
            'sequence': 1,
            'born': self.born_ms,
        }

    def restart(self, cold_seconds: float = 0) -> None:
        """Start again under the same id, knowing nothing of before."""
        self.born_ms = max(time.time_ns() // clock.NS_PER_MS, self.born_ms + 1)
        self.warm_seconds = time.monotonic() + cold_seconds
        self.holdings = dialect_holds.Holdings()
        for task in tuple(self.tasks):
            task.cancel()

    def holds_key(self, key: int) -> bool:
        """Tell whether it holds a key now."""
        return dialect_holds.holds_key(self.holdings, key, time.monotonic())

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> dialect_server.Answer | None:
        """Answer an order or a request."""
        if request.path in _ORDERS:
            return await self._answer_order(request)
        expected = request.headers.get(headers.EXPECTED_INSTANCE)
        refused = self._describe(request)
        refused[headers.NOT_EXECUTED] = '1'
        if expected not in {None, self.name}:
            return dialect_server.Answer(
                status=http.HTTPStatus.MISDIRECTED_REQUEST, headers=refused
            )
        if self.faults.refuses:
            return dialect_server.Answer(
                status=http.HTTPStatus.SERVICE_UNAVAILABLE, headers=refused
            )
        if self._waiting >= _QUEUE:
            dialect_server.cut_connection(request)
            return None
        self._waiting += 1
        try:
            await self._places.acquire()
        finally:
            self._waiting -= 1
        try:
            return await self._run(request, refused)
        finally:
            self._places.release()

    async def _run(
        self,
        request: httputil.HTTPServerRequest,
        refused: dict[str, str],
    ) -> dialect_server.Answer | None:
        """Run a request whose turn has come."""
        text = request.headers.get(headers.SHARD_KEY)
        key = None if text is None or not self.keyed else int(text)
        if key is not None and not self.holds_key(key):
            return dialect_server.Answer(
                status=http.HTTPStatus.MISDIRECTED_REQUEST, headers=refused
            )
        echoed = refused[headers.REQUEST_ID]
        self.told.begun(
            Begun(
                upstream=self.name,
                request_id=echoed,
                target=request.path,
                key=key,
                deadline_ms=int(request.headers.get(headers.DEADLINE_MS, '0')),
            ),
        )
        self.ran.append((echoed, request.body))
        self._running[key] += 1
        try:
            await asyncio.sleep(clock.to_seconds(self.work_ms))
            await self.work.wait()
        finally:
            self._running[key] -= 1
            self._finished.set()
            self._finished = asyncio.Event()
        if self.faults.drops:
            dialect_server.cut_connection(request)
            return None
        return dialect_server.Answer(
            body={'by': self.name, 'path': request.path, 'id': echoed},
            headers={
                **self._describe(request),
                headers.SEAL: f'seal-{self.name}',
            },
            extra=self.faults.extra,
        )

    def _describe(
        self,
        request: httputil.HTTPServerRequest,
    ) -> dict[str, str]:
        """Echo the request's id, and tell the load."""
        running = _SLOTS - getattr(self._places, '_value', 0)
        return {
            headers.REQUEST_ID: request.headers.get(headers.REQUEST_ID, ''),
            headers.LOAD: f'{running},{self._waiting},{_SLOTS},100',
        }

    async def _answer_order(
        self,
        request: httputil.HTTPServerRequest,
    ) -> dialect_server.Answer | None:
        if self.faults.ignores_orders:
            return None
        order = json.loads(request.body)
        arrived = time.monotonic()
        if self.faults.late_orders and request.path == _GRANT:
            asyncio.get_running_loop().call_later(
                clock.to_seconds(self.work_ms) + 1,
                self._take_keys,
                order,
                arrived,
            )
            return None
        if request.path == _GRANT:
            return self._take_keys(order, arrived)
        return await self._give_back(order)

    def _take_keys(
        self,
        order: dict[str, object],
        arrived: float,
    ) -> dialect_server.Answer:
        hold_ms = float(str(order['hold_time']).removesuffix('ms'))
        until = arrived + clock.to_seconds(hold_ms) * _DRIFT
        taken = _read_span(order, until)
        if not dialect_holds.take_keys(self.holdings, taken):
            return dialect_server.Answer(status=http.HTTPStatus.CONFLICT)
        self.told.granted(self.name, taken)
        return dialect_server.Answer()

    async def _give_back(
        self,
        order: dict[str, object],
    ) -> dialect_server.Answer:
        """Answer once no work is left on the keys."""
        freed = _read_span(order, 0)
        dialect_holds.free_keys(self.holdings, freed)
        while self._works_on(freed):
            await self._finished.wait()
        return dialect_server.Answer(headers={headers.HANDOVER: 'warm'})

    def _works_on(self, span: dialect_holds.Hold) -> bool:
        return any(
            number and key is not None and span.start <= key <= span.end
            for key, number in self._running.items()
        )
