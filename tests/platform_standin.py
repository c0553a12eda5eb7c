"""Stand in for the users' store and upstreams, in their dialect."""

import asyncio
import dataclasses
import json
import time
from collections.abc import Mapping

from tornado import httpserver, httputil, netutil, testing

from lentilgauge.platform import headers

_KEEP_EVENTS = 1000
_DRIFT = 1.02


@dataclasses.dataclass(slots=True, kw_only=True)
class Answer:
    """Hold an answer; none at all leaves the caller waiting."""

    status: int = 200
    body: object = None
    headers: Mapping[str, str] = dataclasses.field(default_factory=dict)


class StandIn:
    """Listen on a port of its own and answer by a method."""

    def __init__(self) -> None:
        """Listen at once."""
        probe, port = testing.bind_unused_port()
        probe.close()
        self.port = port
        self.server = httpserver.HTTPServer(self._receive)
        self.server.add_sockets(netutil.bind_sockets(port, '127.0.0.1'))
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Where it listens."""
        return f'127.0.0.1:{self.port}'

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> Answer | None:
        """Answer one request."""
        raise NotImplementedError

    async def close(self) -> None:
        """Stop listening."""
        self.server.stop()
        for task in tuple(self.tasks):
            task.cancel()
        await self.server.close_all_connections()

    def _receive(self, request: httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._answer(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _answer(self, request: httputil.HTTPServerRequest) -> None:
        answer = await self.answer(request)
        connection = request.connection
        assert connection is not None
        if answer is None:
            return
        body = json.dumps(answer.body).encode()
        fields = httputil.HTTPHeaders({'Content-Length': str(len(body))})
        for name, text in answer.headers.items():
            fields[name] = text
        connection.write_headers(
            httputil.ResponseStartLine('HTTP/1.1', answer.status, 'X'),
            fields,
            body,
        )
        connection.finish()


class Store(StandIn):
    """Keep objects with revisions, watches and conditions."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict[str, object]] = {}
        self.events: list[tuple[int, str, dict[str, object], bool]] = []
        self.changed = asyncio.Event()
        self.down = False
        self.silent_watches = False
        self.calls = 0

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator or an upstream does."""
        self.revision += 1
        stored = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        self.objects[kind, name] = stored
        self.note(kind, stored, removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self.revision += 1
        self.note(kind, self.objects.pop((kind, name)), removed=True)

    def note(
        self,
        kind: str,
        stored: dict[str, object],
        *,
        removed: bool,
    ) -> None:
        """Tell the watches."""
        self.events.append((self.revision, kind, stored, removed))
        self.changed.set()
        self.changed = asyncio.Event()

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> Answer | None:
        """Answer as the users' store does."""
        self.calls += 1
        if self.down:
            return Answer(status=503)
        kind, _, name = request.path.removeprefix('/objects/').partition('/')
        if request.method in {'POST', 'PUT'}:
            return self.write(kind, name, json.loads(request.body))
        if 'watch' in request.arguments:
            return await self.watch(kind, request)
        items = [
            stored for (held, _), stored in self.objects.items() if held == kind
        ]
        return Answer(
            body={'items': items, 'hasMore': False, 'at': self.revision},
        )

    def write(self, kind: str, name: str, given: dict) -> Answer:
        """Create or replace an object under its condition."""
        name = name or given['metadata']['name']
        known = self.objects.get((kind, name))
        revision = known['metadata']['revision'] if known else 0
        if given['metadata'].get('revision', 0) != revision:
            return Answer(status=409, body=known)
        self.put(kind, name, given['spec'])
        return Answer(body=self.objects[kind, name])

    async def watch(
        self,
        kind: str,
        request: httputil.HTTPServerRequest,
    ) -> Answer:
        """Answer with what has changed, once there is something."""
        mark = int(request.arguments['watch'][0])
        wait = int(request.arguments['waitMs'][0]) / 1000
        deadline = time.monotonic() + wait
        while time.monotonic() < deadline:
            events = [
                {'object': stored, 'removed': removed}
                for revision, held, stored, removed in self.events
                if held == kind and revision > mark
            ]
            if events and not self.silent_watches:
                return Answer(body={'events': events, 'at': self.revision})
            try:
                await asyncio.wait_for(
                    self.changed.wait(),
                    deadline - time.monotonic(),
                )
            except TimeoutError:
                break
        return Answer(body={'events': [], 'at': mark})


class Upstream(StandIn):
    """Run requests on keys that are granted; keep a journal."""

    def __init__(self, name: str, *, keyed: bool) -> None:
        """Start holding nothing."""
        super().__init__()
        self.name = name
        self.keyed = keyed
        self.holds: list[tuple[int, int, int, float]] = []
        self.seen = 0
        self.ran: list[tuple[str, bytes]] = []
        self.work = asyncio.Event()
        self.work.set()
        self.refuses = False
        self.drops = False
        self.ignores_orders = False

    def entry(self, service: str, state: str = 'ready') -> dict[str, object]:
        """Describe it as upstreams announce themselves."""
        return {
            'service': service,
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 2,
            'state': state,
            'coldLeft': '0ms',
            'sequence': 1,
            'born': 1_700_000_000_000,
        }

    def holds_key(self, key: int) -> bool:
        """Tell whether it holds a key now."""
        now = time.monotonic()
        return any(
            start <= key <= end and until > now
            for start, end, _, until in self.holds
        )

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> Answer | None:
        """Answer an order or a request."""
        if request.path in {'/grant', '/release'}:
            if self.ignores_orders:
                return None
            return self.obey(request.path, json.loads(request.body))
        echoed = request.headers.get(headers.REQUEST_ID, '')
        told = {headers.REQUEST_ID: echoed, headers.LOAD: '1,0,2,100'}
        refused = {**told, headers.NOT_EXECUTED: '1'}
        if self.refuses:
            return Answer(status=503, headers=refused)
        key = request.headers.get(headers.SHARD_KEY)
        if self.keyed and key is not None and not self.holds_key(int(key)):
            return Answer(status=421, headers=refused)
        self.ran.append((echoed, request.body))
        await self.work.wait()
        if self.drops:
            stream = getattr(request.connection, 'stream', None)
            assert stream is not None
            stream.close()
            return None
        return Answer(
            body={'by': self.name, 'path': request.path},
            headers={**told, headers.SEAL: f'seal-{self.name}'},
        )

    def obey(self, path: str, order: dict) -> Answer:
        """Take keys, or give them back."""
        start, end = order['startKey'], order['target']
        if path == '/release':
            self.seen = max(self.seen, order['fence'])
            self.holds = [
                hold for hold in self.holds if hold[1] < start or hold[0] > end
            ]
            return Answer(headers={headers.HANDOVER: 'warm'})
        hold_ms = int(order['hold_time'].removesuffix('ms'))
        until = time.monotonic() + hold_ms / 1000 * _DRIFT
        self.holds = [
            hold for hold in self.holds if hold[1] < start or hold[0] > end
        ]
        self.holds.append((start, end, order['fence'], until))
        return Answer()


def make_configuration(version: int) -> dict[str, object]:
    """Make a configuration of a keyed and a pooled service."""
    routes = [
        {
            'name': name,
            'host': 'a.example',
            'pathPrefix': f'/{name}/',
            'kind': kind,
            'timeout': '1500ms',
            'targetLatency': '300ms',
            'priority': 1,
            'service': service,
            'maxAttempts': 2,
        }
        for name, kind, service in (
            ('read', 'safe', 'keyed'),
            ('write', 'unsafe', 'keyed'),
            ('pool', 'unsafe', 'pooled'),
        )
    ]
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': 'keyed',
                'healthPath': '/health',
                'maxConns': 50,
                'cold': '3s',
                'coldPerS': 5,
                'sharding': True,
                'warm': '3s',
            },
            {
                'name': 'pooled',
                'healthPath': '/health',
                'maxConns': 50,
                'cold': '3s',
                'coldPerS': 5,
            },
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 1048576,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    }
