"""Local replica of the objects in the platform's store.

The objects are the configuration, the slot assignments of services, the lease
terms of upstreams and the VMs. The replica keeps their bodies parsed.
"""

import asyncio
import dataclasses
from collections.abc import Iterable, Mapping

from lentilgauge.links import object_api, platform_messages, state_messages
from lentilgauge.services import catalog, configuration, slots

_ASSIGNMENT_PREFIX = state_messages.ASSIGNMENT_PREFIX
_TERM_PREFIX = state_messages.TERM_PREFIX
_VM_PREFIX = state_messages.VM_PREFIX


@dataclasses.dataclass(slots=True, kw_only=True)
class Replica:
    """The latest known version of every object.

    The replica includes every change up to `revision`, but objects received
    by other means than the watch may be newer. `serial` numbers the changes
    in the order in which this replica applied them. `confirmed_ms` is the
    last time, on this process's clock, at which the platform had nothing
    newer. `config` is the catalog made from the configuration.
    `unclaimed_slots_by_service` maps each service's upstreams to the slots that
    they own and whose move, if one is pending, nobody has claimed.
    `apply_changes` notifies `change_condition` once for all changes that it
    applied.
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
    unclaimed_slots_by_service: dict[str, Mapping[str, list[int]]] = (
        dataclasses.field(
            default_factory=dict,
        )
    )
    term_by_upstream: dict[str, state_messages.TermBody] = dataclasses.field(
        default_factory=dict,
    )
    vm_by_id: dict[str, state_messages.VmBody] = dataclasses.field(
        default_factory=dict,
    )
    change_condition: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition,
    )


def get_version(replica: Replica, name: str) -> int:
    """Return the known version of an object, 0 if the object is unknown."""
    stored = replica.object_by_name.get(name)
    return 0 if stored is None else stored.version


def get_write_ids(replica: Replica, name: str) -> list[str]:
    """Return the ids of the latest writes to an object.

    By these a writer recognises a write of its own that got no reply.
    """
    stored = replica.object_by_name.get(name)
    return [] if stored is None else object_api.list_write_ids(stored.body)


def apply_object(
    replica: Replica,
    stored: platform_messages.StoredObject,
) -> bool:
    """Store an object if it is newer; return whether it was.

    The calling code notifies the tasks that wait for changes.
    """
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
    elif name.startswith(_ASSIGNMENT_PREFIX):
        service = name.removeprefix(_ASSIGNMENT_PREFIX)
        body = state_messages.AssignmentBody.model_validate(stored.body)
        slot_map = state_messages.unpack_slot_map(stored.version, body)
        replica.slot_map_by_service[service] = slot_map
        # Grouped here so that lease renewals need not scan all slots each time.
        replica.unclaimed_slots_by_service[service] = (
            slots.group_unclaimed_slots(slot_map)
        )
    elif name.startswith(_TERM_PREFIX):
        upstream_id = name.removeprefix(_TERM_PREFIX)
        replica.term_by_upstream[upstream_id] = (
            state_messages.TermBody.model_validate(stored.body)
        )
    elif name.startswith(_VM_PREFIX):
        replica.vm_by_id[name.removeprefix(_VM_PREFIX)] = (
            state_messages.VmBody.model_validate(stored.body)
        )


async def apply_changes(
    replica: Replica,
    changed_objects: Iterable[platform_messages.StoredObject],
    revision: int,
) -> None:
    """Store changed objects and notify the tasks that wait for changes."""
    newer_objects = [
        stored for stored in changed_objects if apply_object(replica, stored)
    ]
    replica.revision = max(replica.revision, revision)
    if newer_objects:
        await notify_waiters(replica)


async def notify_waiters(replica: Replica) -> None:
    """Notify all tasks that wait for a change."""
    async with replica.change_condition:
        replica.change_condition.notify_all()


def list_changes(
    replica: Replica,
    after_serial: int,
) -> list[platform_messages.StoredObject]:
    """List the objects changed after a serial, in the order of changes."""
    names = [
        name
        for name, serial in replica.serial_by_name.items()
        if serial > after_serial
    ]
    names.sort(key=lambda name: replica.serial_by_name[name])
    return [replica.object_by_name[name] for name in names]


async def wait_for_change(replica: Replica, timeout_seconds: float) -> None:
    """Wait for the next change or until the timeout."""
    try:
        await asyncio.wait_for(_wait_until_notified(replica), timeout_seconds)
    except TimeoutError:
        return


async def _wait_until_notified(replica: Replica) -> None:
    async with replica.change_condition:
        await replica.change_condition.wait()
