"""Stand-in for the platform's object store that gateways use."""

import asyncio
import contextlib
import dataclasses
import http
import json
import time

from tornado import httputil

from lentilgauge import clock
from lentilgauge.platform import headers as header_names
from lentilgauge.standins import standin_server

_WRITES = frozenset(('POST', 'PUT'))
#: Delay until a write takes effect under `delay_writes`.
_LATE_WRITE_SECONDS = 1.5
_MALFORMED_BODY = ('items', 7, None)


@dataclasses.dataclass(slots=True, kw_only=True)
class StoreFaults:
    """Faults that the store shows at present.

    `down` refuses every request, `unresponsive` answers none and `delay_ms`
    delays all; `silent_watches` reports no changes. `lose_write_answers`
    executes writes and closes their connections without an answer; with
    `delay_writes` they take effect only after a delay. `malformed_answers`
    answers every request with valid JSON of a wrong shape.
    """

    down: bool = False
    unresponsive: bool = False
    silent_watches: bool = False
    delay_ms: int = 0
    lose_write_answers: bool = False
    delay_writes: bool = False
    malformed_answers: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreCopy:
    """Objects of the store at a revision, to which it may be returned."""

    revision: int
    object_by_kind_and_name: dict[tuple[str, str], dict[str, object]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StoreEvent:
    """Change of one object, as watches report it."""

    revision: int
    kind: str
    stored: dict[str, object]
    removed: bool


class Store(standin_server.StandInServer):
    """Object store with revisions, conditional writes and watches."""

    def __init__(self) -> None:
        """Start with no objects."""
        super().__init__()
        self.revision = 1
        self.era = 0
        self.object_by_kind_and_name: dict[
            tuple[str, str],
            dict[str, object],
        ] = {}
        self.events: list[StoreEvent] = []
        self.compacted_revision = 0
        self.change_event = asyncio.Event()
        self.faults = StoreFaults()
        self.request_count = 0

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object unconditionally, as an operator or upstream."""
        self.revision += 1
        stored: dict[str, object] = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        self.object_by_kind_and_name[kind, name] = stored
        self._add_event(kind, stored, removed=False)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        stored = self.object_by_kind_and_name.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self._add_event(kind, stored, removed=True)

    def compact_history(self) -> None:
        """Discard all events; watches from an earlier revision get 410 Gone.

        Their clients have to list the objects again.
        """
        self.compacted_revision = self.revision
        self.events.clear()
        self._notify_watches()

    async def answer(
        self,
        request: httputil.HTTPServerRequest,
    ) -> standin_server.Answer | None:
        """Answer a list, a watch or a write, under the present faults."""
        self.request_count += 1
        if self.faults.delay_ms:
            await asyncio.sleep(clock.to_seconds(self.faults.delay_ms))
        if self.faults.unresponsive:
            return None
        if self.faults.down:
            return standin_server.Answer(
                status=http.HTTPStatus.SERVICE_UNAVAILABLE
            )
        if self.faults.malformed_answers:
            return standin_server.Answer(body=_MALFORMED_BODY)
        kind, _, name = request.path.removeprefix('/objects/').partition('/')
        if request.method in _WRITES:
            return await self._answer_write(kind, name, request)
        if 'watch' in request.arguments:
            return await self._watch(kind, request)
        listed = [
            stored
            for (stored_kind, _), stored in self.object_by_kind_and_name.items()
            if stored_kind == kind
        ]
        return standin_server.Answer(
            body={'items': listed, 'hasMore': False, 'at': self.revision},
        )

    async def _answer_write(
        self,
        kind: str,
        name: str,
        request: httputil.HTTPServerRequest,
    ) -> standin_server.Answer | None:
        submitted = json.loads(request.body)
        if not self.faults.lose_write_answers:
            return self._write_object(kind, name, submitted)
        if self.faults.delay_writes:
            asyncio.get_running_loop().call_later(
                _LATE_WRITE_SECONDS,
                self._write_object,
                kind,
                name,
                submitted,
            )
        else:
            self._write_object(kind, name, submitted)
        standin_server.close_connection(request)
        return None

    def _write_object(
        self,
        kind: str,
        name: str,
        submitted: dict[str, object],
    ) -> standin_server.Answer:
        """Create or replace an object if its revision is the expected one."""
        metadata = submitted['metadata']
        assert isinstance(metadata, dict)  # ruff: ignore[assert]
        name = name or metadata['name']
        current = self.object_by_kind_and_name.get((kind, name))
        revision = 0
        if current is not None:
            current_metadata = current['metadata']
            assert isinstance(current_metadata, dict)  # ruff: ignore[assert]
            revision = current_metadata['revision']
        if metadata.get('revision', 0) != revision:
            return standin_server.Answer(
                status=http.HTTPStatus.CONFLICT, body=current
            )
        self.put(kind, name, submitted['spec'])
        return standin_server.Answer(
            body=self.object_by_kind_and_name[kind, name],
        )

    def _add_event(
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
        self._notify_watches()

    def _notify_watches(self) -> None:
        self.change_event.set()
        self.change_event = asyncio.Event()

    async def _watch(
        self,
        kind: str,
        request: httputil.HTTPServerRequest,
    ) -> standin_server.Answer:
        """Answer with later events, or with none when the wait is over."""
        from_revision = int(request.arguments['watch'][0])
        wait_ms = int(request.arguments['waitMs'][0])
        deadline = time.monotonic() + clock.to_seconds(wait_ms)
        while time.monotonic() < deadline:
            if not self.compacted_revision <= from_revision <= self.revision:
                return standin_server.Answer(status=http.HTTPStatus.GONE)
            events = self._list_events(kind, from_revision)
            if events:
                return standin_server.Answer(
                    body={'events': events, 'at': self.revision},
                )
            await self._wait_for_change(deadline)
        return standin_server.Answer(body={'events': [], 'at': from_revision})

    async def _wait_for_change(self, deadline: float) -> None:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                self.change_event.wait(),
                max(deadline - time.monotonic(), 0),
            )

    def _list_events(
        self,
        kind: str,
        from_revision: int,
    ) -> list[dict[str, object]]:
        if self.faults.silent_watches:
            return []
        return [
            {'object': event.stored, 'removed': event.removed}
            for event in self.events
            if event.kind == kind and event.revision > from_revision
        ]


def copy_objects(store: Store) -> StoreCopy:
    """Copy a store's objects, for `restore`."""
    return StoreCopy(
        revision=store.revision,
        object_by_kind_and_name=dict(store.object_by_kind_and_name),
    )


def restore(store: Store, store_copy: StoreCopy) -> None:
    """Return a store to an older copy, which begins a new era.

    Writes since the copy are lost and their revisions assigned again. Watches
    from a revision that the copy doesn't have get 410 Gone.
    """
    store.revision = store_copy.revision
    store.object_by_kind_and_name = dict(store_copy.object_by_kind_and_name)
    set_era(store, store.era + 1)
    store.compact_history()


def set_era(store: Store, era: int) -> None:
    """Set the era that all answers of a store name from now on."""
    store.era = era
    store.common_headers[header_names.STORE_ERA] = str(era)
