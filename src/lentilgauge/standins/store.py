"""Stand in for the platform's object store."""

import asyncio
import dataclasses

from lentilgauge.links import platform_messages


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Hold the faults that a test has asked for.

    `lose_answers` writes take effect while their answer is lost.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Accounting:
    """Count calls as the platform bills them; a watch counts as one."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Store:
    """Hold every object by name, with one revision over all."""

    by_name: dict[str, platform_messages.StoredObject] = dataclasses.field(
        default_factory=dict,
    )
    revision: int = 0
    faults: Faults = dataclasses.field(default_factory=Faults)
    accounting: Accounting = dataclasses.field(default_factory=Accounting)
    changed: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition,
    )


async def put_object(
    store: Store,
    name: str,
    message: platform_messages.PutMessage,
) -> platform_messages.StoredObject | None:
    """Update an object if its version is the expected one."""
    store.accounting.writes += 1
    found = store.by_name.get(name)
    version = 0 if found is None else found.version
    if version != message.expected_version:
        return None
    store.revision += 1
    stored = platform_messages.StoredObject(
        name=name,
        version=version + 1,
        revision=store.revision,
        body=message.body,
    )
    store.by_name[name] = stored
    async with store.changed:
        store.changed.notify_all()
    return stored


def list_changes(store: Store, after: int) -> platform_messages.ChangesMessage:
    """List the objects changed after a revision, oldest change first."""
    changed = [
        stored for stored in store.by_name.values() if stored.revision > after
    ]
    changed.sort(key=lambda stored: stored.revision)
    return platform_messages.ChangesMessage(
        revision=store.revision,
        changed=changed,
    )


async def wait_for_changes(
    store: Store,
    after: int,
    wait_seconds: float,
) -> platform_messages.ChangesMessage:
    """Wait until something changes after a revision or time runs out."""
    store.accounting.watches += 1
    if store.revision <= after:
        try:
            await asyncio.wait_for(_wait_past(store, after), wait_seconds)
        except TimeoutError:
            return list_changes(store, after)
    return list_changes(store, after)


async def _wait_past(store: Store, after: int) -> None:
    async with store.changed:
        await store.changed.wait_for(lambda: store.revision > after)
