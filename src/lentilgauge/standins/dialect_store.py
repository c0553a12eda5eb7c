"""Stand in for the users' store, in their dialect, with its faults."""

import asyncio
import contextlib
import dataclasses
import http
import json
import time

from tornado import httputil

from lentilgauge import clock
from lentilgauge.standins import dialect_server

_WRITES = frozenset(('POST', 'PUT'))
#: How much later a write is carried out whose answer was lost.
_LATE_SECONDS = 1.5
_NONSENSE = ('items', 7, None)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Hold how the store misbehaves now.

    `down` refuses everything; `silent` answers nothing; `lose_writes` carries
    writes out without an answer, or with `late` some time afterwards;
    `nonsense` is answered to everything, in good form.
    """

    down: bool = False
    silent: bool = False
    silent_watches: bool = False
    slow_ms: int = 0
    lose_writes: bool = False
    late: bool = False
    nonsense: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreEvent:
    """Hold one change for the watches."""

    revision: int
    kind: str
    stored: dict[str, object]
    removed: bool


class Store(dialect_server.StandIn):
    """Keep objects with revisions, watches and conditions."""

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self.revision = 1
        self.object_by_place: dict[tuple[str, str], dict[str, object]] = {}
        self.events: list[StoreEvent] = []
        self.forgotten = 0
        self.changed = asyncio.Event()
        self.faults = StoreFaults()
        self.calls = 0

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object as the operator or an upstream does."""
        self.revision += 1
        stored: dict[str, object] = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        self.object_by_place[kind, name] = stored
        self._note(kind, stored, removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        stored = self.object_by_place.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._note(kind, stored, removed=True)

    def forget_history(self) -> None:
        """Drop all changes so far: watches from before have to read again."""
        self.forgotten = self.revision
        self.events.clear()
        self._wake()

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> dialect_server.Answer | None:
        """Answer as the users' store does."""
        self.calls += 1
        if self.faults.slow_ms:
            await asyncio.sleep(clock.to_seconds(self.faults.slow_ms))
        if self.faults.silent:
            return None
        if self.faults.down:
            return dialect_server.Answer(
                status=http.HTTPStatus.SERVICE_UNAVAILABLE
            )
        if self.faults.nonsense:
            return dialect_server.Answer(body=_NONSENSE)
        kind, _, name = request.path.removeprefix('/objects/').partition('/')
        if request.method in _WRITES:
            return await self._answer_write(kind, name, request)
        if 'watch' in request.arguments:
            return await self._watch(kind, request)
        listed = [
            stored
            for (held, _), stored in self.object_by_place.items()
            if held == kind
        ]
        return dialect_server.Answer(
            body={'items': listed, 'hasMore': False, 'at': self.revision},
        )

    async def _answer_write(
        self,
        kind: str,
        name: str,
        request: httputil.HTTPServerRequest,
    ) -> dialect_server.Answer | None:
        given = json.loads(request.body)
        if not self.faults.lose_writes:
            return self._write_object(kind, name, given)
        if self.faults.late:
            asyncio.get_running_loop().call_later(
                _LATE_SECONDS,
                self._write_object,
                kind,
                name,
                given,
            )
        else:
            self._write_object(kind, name, given)
        dialect_server.cut_connection(request)
        return None

    def _write_object(
        self,
        kind: str,
        name: str,
        given: dict[str, object],
    ) -> dialect_server.Answer:
        """Create or replace an object under its condition."""
        metadata = given['metadata']
        assert isinstance(metadata, dict)  # ruff: ignore[assert]
        name = name or metadata['name']
        known = self.object_by_place.get((kind, name))
        revision = 0
        if known is not None:
            known_metadata = known['metadata']
            assert isinstance(known_metadata, dict)  # ruff: ignore[assert]
            revision = known_metadata['revision']
        if metadata.get('revision', 0) != revision:
            return dialect_server.Answer(
                status=http.HTTPStatus.CONFLICT, body=known
            )
        self.put(kind, name, given['spec'])
        return dialect_server.Answer(body=self.object_by_place[kind, name])

    def _note(
        self,
        kind: str,
        stored: dict[str, object],
        *,
        removed: bool,
    ) -> None:
        self.events.append(
            StoreEvent(
                revision=self.revision,
                kind=kind,
                stored=stored,
                removed=removed,
            ),
        )
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _watch(
        self,
        kind: str,
        request: httputil.HTTPServerRequest,
    ) -> dialect_server.Answer:
        """Answer with what has changed, once there is something."""
        mark = int(request.arguments['watch'][0])
        wait_ms = int(request.arguments['waitMs'][0])
        deadline = time.monotonic() + clock.to_seconds(wait_ms)
        while time.monotonic() < deadline:
            if mark < self.forgotten:
                return dialect_server.Answer(status=http.HTTPStatus.GONE)
            events = self._list_events(kind, mark)
            if events:
                return dialect_server.Answer(
                    body={'events': events, 'at': self.revision},
                )
            await self._wait_for_change(deadline)
        return dialect_server.Answer(body={'events': [], 'at': mark})

    async def _wait_for_change(self, deadline: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self.changed.wait(),
                max(deadline - time.monotonic(), 0),
            )

    def _list_events(self, kind: str, mark: int) -> list[dict[str, object]]:
        if self.faults.silent_watches:
            return []
        return [
            {'object': event.stored, 'removed': event.removed}
            for event in self.events
            if event.kind == kind and event.revision > mark
        ]
