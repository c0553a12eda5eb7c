"""Play the store, for the model of granting."""

import asyncio
import functools
from typing import TYPE_CHECKING

import msgspec
from returns import result

from lentilgauge.links import store_link

if TYPE_CHECKING:
    from tests import granting_world


class ModelStore:
    """Keep the record, and the topics as the world has them."""

    def __init__(self, world: 'granting_world.World') -> None:
        """Start with nothing recorded."""
        self.world = world
        self.revision = 1
        self.document: store_link.Document | None = None
        self.away: set[str] = set()
        self.lose: float = 0

    def make_link(self, vm: str) -> store_link.Store:
        """Make the functions through which a VM reaches the store."""
        return store_link.Store(
            list_topic=functools.partial(self.list_topic, vm),
            watch_topic=functools.partial(self.watch_topic, vm),
            read_record=functools.partial(self.read_record, vm),
            write_record=functools.partial(self.write_record, vm),
        )

    async def reach(self, vm: str, patience_seconds: float = 0.3) -> bool:
        """Tell whether a VM's call gets through."""
        await asyncio.sleep(0.004)
        if vm not in self.away and 'all' not in self.away:
            return True
        await asyncio.sleep(patience_seconds)
        return False

    async def list_topic(
        self,
        vm: str,
        topic: store_link.Topic,
    ) -> store_link.ListingResult:
        """Read a topic."""
        if not await self.reach(vm):
            return result.Failure(store_link.Failure.REFUSED)
        return result.Success(
            store_link.Listing(
                mark=self.revision,
                document_by_name=self.world.list_documents(topic),
            ),
        )

    async def watch_topic(
        self,
        vm: str,
        topic: store_link.Topic,
        mark: int,
        wait_ms: int,
    ) -> store_link.ChangesResult:
        """Wait for changes; whoever sees one has to read the topic again."""
        for _ in range(wait_ms // 50):
            if not await self.reach(vm, 0):
                return result.Failure(store_link.Failure.UNKNOWN)
            found = self.world.list_documents(topic)
            if any(one.revision > mark for one in found.values()):
                return result.Failure(store_link.Failure.HISTORY_GONE)
            await asyncio.sleep(0.05)
        return result.Success(
            store_link.Changes(mark=self.revision, changes=()),
        )

    async def read_record(self, vm: str) -> store_link.RecordResult:
        """Read the record."""
        if not await self.reach(vm):
            return result.Failure(store_link.Failure.REFUSED)
        return result.Success(
            store_link.RecordReading(
                mark=self.revision,
                document=self.document,
            ),
        )

    async def write_record(
        self,
        vm: str,
        body: object,
        revision: int,
    ) -> store_link.WriteResult:
        """Replace the record, perhaps late and unanswered."""
        if not await self.reach(vm, 0):
            return result.Failure(store_link.Failure.REFUSED)
        if self.world.random.random() < self.lose:
            self.world.later(
                self.world.random.uniform(0, 3),
                self.write,
                body,
                revision,
            )
            await asyncio.sleep(1)
            return result.Failure(store_link.Failure.UNKNOWN)
        written = self.write(body, revision)
        if written is None:
            return result.Failure(store_link.Failure.CONFLICT)
        return result.Success(written)

    def write(self, body: object, revision: int) -> store_link.Document | None:
        """Replace the record if its revision is the given one."""
        known = 0 if self.document is None else self.document.revision
        if known != revision:
            return None
        self.revision += 1
        self.document = store_link.Document(
            name='record',
            revision=self.revision,
            body=msgspec.to_builtins(body),
        )
        return self.document
