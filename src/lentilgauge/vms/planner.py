"""Plan which slots move, as one of the live controllers at a time."""

from lentilgauge.links import state_messages
from lentilgauge.services import catalog, placement, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership, object_writes

_TICK_MS = 1000
#: How long the first placement waits for all upstreams to appear.
_FIRST_PLACEMENT_MS = 3000
#: Planning belongs to no failure domain.
_NOWHERE = ''


def is_planner(
    controller: controller_module.Controller,
    service: str,
) -> bool:
    """Tell whether planning a service falls to this VM.

    Two planners at once only lose races: each write is conditional.
    """
    chosen = placement.choose_controller(
        f'{state_messages.ASSIGNMENT_PREFIX}{service}',
        _NOWHERE,
        membership.list_live_domains(controller),
    )
    return chosen == controller.vm_id


def plan_changes(
    controller: controller_module.Controller,
    service: str,
    slot_map: slots.SlotMap,
) -> slots.SlotMap | None:
    """Plan the next changes of a slot map, `None` if it is as it should be.

    Vacant slots are placed at once; slots on upstreams that get no new work
    all start to move; the rest is evened out a few at a time.
    """
    weight_by_id = placement.list_eligible(
        controller.replica.config,
        service,
        slot_map,
    )
    if _waits_for_first(controller, service, slot_map, weight_by_id):
        return None
    vacant = slots.list_vacant_slots(slot_map)
    if vacant and weight_by_id:
        placed = placement.place_slots(slot_map, weight_by_id, vacant)
        return slots.change_owners(slot_map, placed)
    displaced = placement.list_displaced(slot_map, weight_by_id)
    if displaced and weight_by_id:
        placed = placement.place_slots(slot_map, weight_by_id, displaced)
        return slots.start_moves(slot_map, placed)
    free_moves = controller.section.moves_in_flight - len(slot_map.move_by_slot)
    moves = placement.plan_rebalance(slot_map, weight_by_id, free_moves)
    return slots.start_moves(slot_map, moves) if moves else None


def _waits_for_first(
    controller: controller_module.Controller,
    service: str,
    slot_map: slots.SlotMap,
    weight_by_id: placement.WeightById,
) -> bool:
    """Tell whether to wait for more upstreams before the first placement.

    A service starts with its upstreams appearing one by one: the first must
    not get all slots only to give most of them up again.
    """
    if any(slot_map.epoch_by_slot):
        return False
    deadline_ms = controller.first_placement_deadline_by_service.setdefault(
        service,
        controller.now_ms() + _FIRST_PLACEMENT_MS,
    )
    configured = [
        upstream
        for upstream in catalog.list_upstreams(
            controller.replica.config,
            service,
        )
        if catalog.accepts_new_work(controller.replica.config, upstream.id)
    ]
    complete = len(weight_by_id) == len(configured)
    return not complete and controller.now_ms() < deadline_ms


async def _create_slot_map(
    controller: controller_module.Controller,
    service: str,
    slot_count: int,
) -> None:
    body = state_messages.pack_slot_map(slots.make_slot_map(slot_count), [])
    await object_writes.write_model(
        controller,
        f'{state_messages.ASSIGNMENT_PREFIX}{service}',
        body,
    )


async def plan_service(
    controller: controller_module.Controller,
    service: str,
) -> None:
    """Plan one service once."""
    if not is_planner(controller, service):
        return
    if service not in controller.replica.slot_map_by_service:
        configured = controller.replica.config.service_by_name[service]
        await _create_slot_map(controller, service, configured.slot_count)
        return
    await object_writes.change_slot_map(
        controller,
        service,
        lambda slot_map: plan_changes(controller, service, slot_map),
    )


async def plan_services(controller: controller_module.Controller) -> None:
    """Plan all services for as long as the process lives."""
    while True:
        for service in list(controller.replica.config.service_by_name):
            await plan_service(controller, service)
        await controller_module.wait_for_change(controller, _TICK_MS)
