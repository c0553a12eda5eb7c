"""Object store of the platform stand-in, with revisions and watches."""

import asyncio
import dataclasses

from lentilgauge.links import platform_messages


@dataclasses.dataclass(slots=True, kw_only=True)
class Faults:
    """Faults that a test has set.

    `down` leaves requests unanswered, `delay_ms` delays them, and
    `lose_answers` is the number of next writes that take effect without an
    answer.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Accounting:
    """Numbers of calls as the platform bills them; a watch is one call."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Store:
    """Objects by name, with one revision counter for all of them."""

    object_by_name: dict[str, platform_messages.StoredObject] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    revision: int = 0
    faults: Faults = dataclasses.field(default_factory=Faults)
    accounting: Accounting = dataclasses.field(default_factory=Accounting)
    change_condition: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition,
    )


async def put_object(
    store: Store,
    name: str,
    message: platform_messages.PutMessage,
) -> platform_messages.StoredObject | None:
    """Write an object if its version is the expected one.

    Return the stored object, or nothing if the version differs. An object that
    doesn't exist has version 0.
    """
    store.accounting.writes += 1
    current = store.object_by_name.get(name)
    version = 0 if current is None else current.version
    if version != message.expected_version:
        return None
    store.revision += 1
    stored = platform_messages.StoredObject(
        name=name,
        version=version + 1,
        revision=store.revision,
        body=message.body,
    )
    store.object_by_name[name] = stored
    async with store.change_condition:
        store.change_condition.notify_all()
    return stored


def list_changes(store: Store, after: int) -> platform_messages.ChangesMessage:
    """List the objects changed after a revision, in order of revision."""
    changed = [
        stored
        for stored in store.object_by_name.values()
        if stored.revision > after
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
    """Return the changes after a revision; wait for one if there are none.

    After `wait_seconds` the list returned may be empty.
    """
    store.accounting.watches += 1
    if store.revision <= after:
        try:
            await asyncio.wait_for(
                _wait_for_revision_after(store, after),
                wait_seconds,
            )
        except TimeoutError:
            return list_changes(store, after)
    return list_changes(store, after)


async def _wait_for_revision_after(store: Store, after: int) -> None:
    async with store.change_condition:
        await store.change_condition.wait_for(lambda: store.revision > after)
