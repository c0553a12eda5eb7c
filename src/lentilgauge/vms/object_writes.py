"""Write the platform's objects conditionally and update the replica."""

from collections.abc import Callable

import pydantic
from returns import result

from lentilgauge import errors
from lentilgauge.links import object_api, platform_messages, state_messages
from lentilgauge.services import slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import replica

#: Attempts at a change that conflicts with other writers. After the last
#: one, the next regular run of the calling task tries again.
_MAX_ATTEMPTS = 12

#: Returns the changed map, or `None` if there is nothing to change.
SlotMapChange = Callable[[slots.SlotMap], slots.SlotMap | None]


async def write_if_unchanged(
    controller: controller_module.Controller,
    name: str,
    body: pydantic.BaseModel,
) -> object_api.WriteResult:
    """Write an object if its version is still the known one.

    After a conflict, the replica gets the version that won.
    """
    update = object_api.Update(
        name=name,
        expected_version=replica.get_version(controller.replica, name),
        body=body.model_dump(mode='json'),
    )
    controller.metrics.count('platform_writes')
    write = await object_api.write_object(controller.platform_link, update)
    if isinstance(write, result.Success):
        await _store_in_replica(controller, write.unwrap())
    elif write.failure().kind is errors.ErrorKind.CONFLICT:
        controller.metrics.count('platform_conflicts')
        await refresh_object(controller, name)
    return write


async def refresh_object(
    controller: controller_module.Controller,
    name: str,
) -> bool:
    """Read an object into the replica; return whether the platform replied."""
    controller.metrics.count('platform_reads')
    response = await object_api.read_object(controller.platform_link, name)
    if not isinstance(response, result.Success):
        return False
    stored = response.unwrap()
    if stored is not None:
        await _store_in_replica(controller, stored)
    return True


async def _store_in_replica(
    controller: controller_module.Controller,
    stored: platform_messages.StoredObject,
) -> None:
    # The replica's revision stays as it is, since only a watch response shows
    # that no change before its revision was missed.
    await replica.apply_changes(controller.replica, (stored,), 0)


async def change_slot_map(
    controller: controller_module.Controller,
    service: str,
    change: SlotMapChange,
) -> None:
    """Apply a change to a service's slot map.

    Conflicts are retried at once. Any other failure is left to the next
    regular run of the calling task.
    """
    name = f'{state_messages.ASSIGNMENT_PREFIX}{service}'
    for _ in range(_MAX_ATTEMPTS):
        slot_map = controller.replica.slot_map_by_service.get(service)
        changed_map = None if slot_map is None else change(slot_map)
        if changed_map is None:
            return
        body = state_messages.pack_slot_map(
            changed_map,
            replica.get_write_ids(controller.replica, name),
        )
        write = await write_if_unchanged(controller, name, body)
        if isinstance(write, result.Success):
            return
        if write.failure().kind is not errors.ErrorKind.CONFLICT:
            return
