"""Change the platform's objects by conditional update, and learn of it."""

from collections.abc import Callable

import pydantic
from returns import result

from lentilgauge import errors
from lentilgauge.links import platform, platform_messages, state_messages
from lentilgauge.services import slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import replica

#: A change that loses this many races is tried again at the next tick.
_MAX_RACES = 12

#: Return the changed map, or `None` where there is nothing to change.
SlotMapChange = Callable[[slots.SlotMap], slots.SlotMap | None]


async def write_model(
    controller: controller_module.Controller,
    name: str,
    body: pydantic.BaseModel,
) -> platform.WriteResult:
    """Write an object over the version we know; a loser learns the winner."""
    change = platform.Change(
        name=name,
        expected_version=replica.get_version(controller.replica, name),
        body=body.model_dump(mode='json'),
    )
    controller.metrics.count('platform_writes')
    written = await platform.write_object(controller.platform, change)
    if isinstance(written, result.Success):
        await _take(controller, written.unwrap())
    elif written.failure().kind is errors.ErrorKind.CONFLICT:
        controller.metrics.count('platform_conflicts')
        await refresh_object(controller, name)
    return written


async def refresh_object(
    controller: controller_module.Controller,
    name: str,
) -> bool:
    """Read an object from the platform and take it on, if it answers."""
    controller.metrics.count('platform_reads')
    read = await platform.read_object(controller.platform, name)
    if not isinstance(read, result.Success):
        return False
    found = read.unwrap()
    if found is not None:
        await _take(controller, found)
    return True


async def _take(
    controller: controller_module.Controller,
    stored: platform_messages.StoredObject,
) -> None:
    # The revision stays: only a watch answer proves that we missed nothing.
    await replica.take_changes(controller.replica, (stored,), 0)


async def change_slot_map(
    controller: controller_module.Controller,
    service: str,
    change: SlotMapChange,
) -> None:
    """Apply a change to a service's slot map; what fails is tried later."""
    name = f'{state_messages.ASSIGNMENT_PREFIX}{service}'
    for _ in range(_MAX_RACES):
        slot_map = controller.replica.slot_map_by_service.get(service)
        changed = None if slot_map is None else change(slot_map)
        if changed is None:
            return
        body = state_messages.pack_slot_map(
            changed,
            replica.get_write_ids(controller.replica, name),
        )
        written = await write_model(controller, name, body)
        if isinstance(written, result.Success):
            return
        if written.failure().kind is not errors.ErrorKind.CONFLICT:
            return
