"""Test slots whose move is under way when the platform goes out of reach."""

import unittest

from lentilgauge.services import slots
from lentilgauge.vms import object_writes, platform_watch
from tests import controller_model

_MOVED_SLOT = 0


async def start_move(model: controller_model.Model) -> None:
    """Start the move of a slot and let all controllers know of it."""
    planner = model.controllers[0]
    slot_map = planner.replica.slot_map_by_service[controller_model.SERVICE]
    owner = slot_map.owner_by_slot[_MOVED_SLOT]
    target = next(name for name in model.upstreams if name != owner)
    await object_writes.change_slot_map(
        planner,
        controller_model.SERVICE,
        lambda latest: slots.start_moves(latest, {_MOVED_SLOT: target}),
    )
    for vm_controller in model.controllers:
        await model.run_job(platform_watch.watch_once(vm_controller, 0))


class OutageAmidMoveTest(unittest.IsolatedAsyncioTestCase):
    """An outage of the platform that begins while a slot moves."""

    async def test_a_moving_slot_stays_served_through_an_outage(self) -> None:
        """Guard against a slot given up whose move the outage stops."""
        model = controller_model.Model(controller_count=4, upstream_count=3)
        await model.configure()
        await model.run_all_controllers(12)
        await start_move(model)
        for vm_controller in model.controllers:
            model.network.cut_links.add(
                (vm_controller.vm_id, controller_model.PLATFORM)
            )
        # Until the outage is noticed, the slot may be on its way.
        await model.run_all_controllers(30)
        for _ in range(30):
            await model.run_all_controllers()
            self.assertEqual(model.list_doubly_owned_slots(), [])
            self.assertEqual(
                model.count_served_slots(), controller_model.SLOT_COUNT
            )
        model.close()
