"""Replicate the platform's objects and what they say."""

import asyncio
import dataclasses
from collections.abc import Iterable, Mapping

from lentilgauge.links import platform, platform_messages, state_messages
from lentilgauge.services import catalog, configuration, slots

_ASSIGNMENT = state_messages.ASSIGNMENT_PREFIX
_TERM = state_messages.TERM_PREFIX
_VM = state_messages.VM_PREFIX


@dataclasses.dataclass(slots=True, kw_only=True)
class Replica:
    """Hold the latest known version of every object, parsed.

    Up to `revision` nothing is missing; objects learned of otherwise can be
    newer. `serial` counts what was taken on, in this replica's own order.
    `confirmed_ms` is the last moment, in this process's clock, at which
    nothing newer was known to the platform.
    """

    object_by_name: dict[str, platform_messages.StoredObject] = (
        dataclasses.field(default_factory=dict)
    )
    revision: int = 0
    serial: int = 0
    serial_by_name: dict[str, int] = dataclasses.field(default_factory=dict)
    confirmed_ms: int | None = None
    config: catalog.Catalog = dataclasses.field(default_factory=catalog.Catalog)
    slot_map_by_service: dict[str, slots.SlotMap] = dataclasses.field(
        default_factory=dict,
    )
    kept_by_service: dict[str, Mapping[str, list[int]]] = dataclasses.field(
        default_factory=dict,
    )
    term_by_upstream: dict[str, state_messages.TermBody] = dataclasses.field(
        default_factory=dict,
    )
    vm_by_id: dict[str, state_messages.VmBody] = dataclasses.field(
        default_factory=dict,
    )
    changed: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition,
    )


def get_version(replica: Replica, name: str) -> int:
    """Return the known version of an object, 0 if there is none."""
    found = replica.object_by_name.get(name)
    return 0 if found is None else found.version


def get_write_ids(replica: Replica, name: str) -> list[str]:
    """Return the ids of an object's latest writes."""
    found = replica.object_by_name.get(name)
    return [] if found is None else platform.list_write_ids(found.body)


def take_object(
    replica: Replica,
    stored: platform_messages.StoredObject,
) -> bool:
    """Take an object on unless it is no newer than the known one."""
    if stored.version <= get_version(replica, stored.name):
        return False
    _parse_object(replica, stored)
    replica.object_by_name[stored.name] = stored
    replica.serial += 1
    replica.serial_by_name[stored.name] = replica.serial
    return True


def _parse_object(
    replica: Replica,
    stored: platform_messages.StoredObject,
) -> None:
    name = stored.name
    if name == configuration.OBJECT_NAME:
        replica.config = configuration.make_catalog(
            stored.version,
            configuration.ConfigurationModel.model_validate(stored.body),
        )
    elif name.startswith(_ASSIGNMENT):
        service = name.removeprefix(_ASSIGNMENT)
        body = state_messages.AssignmentBody.model_validate(stored.body)
        slot_map = state_messages.unpack_slot_map(stored.version, body)
        replica.slot_map_by_service[service] = slot_map
        # Each renewal asks for this: it must not scan all slots every time.
        replica.kept_by_service[service] = slots.group_kept_slots(slot_map)
    elif name.startswith(_TERM):
        upstream_id = name.removeprefix(_TERM)
        replica.term_by_upstream[upstream_id] = (
            state_messages.TermBody.model_validate(stored.body)
        )
    elif name.startswith(_VM):
        replica.vm_by_id[name.removeprefix(_VM)] = (
            state_messages.VmBody.model_validate(stored.body)
        )


async def take_changes(
    replica: Replica,
    changed: Iterable[platform_messages.StoredObject],
    revision: int,
) -> None:
    """Take changed objects on and wake whoever waits for them."""
    taken = [stored for stored in changed if take_object(replica, stored)]
    replica.revision = max(replica.revision, revision)
    if taken:
        await wake(replica)


async def wake(replica: Replica) -> None:
    """Wake everyone who waits for a change."""
    async with replica.changed:
        replica.changed.notify_all()


def list_changes(
    replica: Replica,
    after: int,
) -> list[platform_messages.StoredObject]:
    """List the objects taken on after a serial, in that order."""
    names = [
        name
        for name, serial in replica.serial_by_name.items()
        if serial > after
    ]
    names.sort(key=lambda name: replica.serial_by_name[name])
    return [replica.object_by_name[name] for name in names]


async def wait_for_change(replica: Replica, wait_seconds: float) -> None:
    """Wait for the next change, or until the time has passed."""
    try:
        await asyncio.wait_for(_wait_notified(replica), wait_seconds)
    except TimeoutError:
        return


async def _wait_notified(replica: Replica) -> None:
    async with replica.changed:
        await replica.changed.wait()
