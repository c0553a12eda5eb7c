"""Plan the placement and moves of slots, on one controller per service."""

from lentilgauge.links import state_messages
from lentilgauge.services import catalog, placement, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership, object_writes

_PLAN_INTERVAL_MS = 1000
#: Longest wait for all upstreams before the first placement.
_FIRST_PLACEMENT_WAIT_MS = 3000
#: The planner of a service has no failure domain to avoid.
_NO_DOMAIN = ''


def is_planner(
    controller: controller_module.Controller,
    service: str,
) -> bool:
    """Check whether this VM plans a service.

    Two VMs may briefly both do so. That is safe, since writes are
    conditional and the later of two conflicting ones is refused.
    """
    planner_id = placement.choose_controller(
        f'{state_messages.ASSIGNMENT_PREFIX}{service}',
        _NO_DOMAIN,
        membership.map_live_domains(controller),
    )
    return planner_id == controller.vm_id


def plan_changes(
    controller: controller_module.Controller,
    service: str,
    slot_map: slots.SlotMap,
) -> slots.SlotMap | None:
    """Plan the next changes of a slot map, `None` if none are needed.

    Vacant slots are placed first, all at once. Next, all slots whose owner
    gets no new work start to move. Otherwise the load is rebalanced by a
    few moves at a time.
    """
    weight_by_id = placement.weigh_eligible_upstreams(
        controller.replica.config,
        service,
        slot_map,
    )
    if _must_wait_for_upstreams(controller, service, slot_map, weight_by_id):
        return None
    vacant_slots = slots.list_vacant_slots(slot_map)
    if vacant_slots and weight_by_id:
        new_owner_by_slot = placement.place_slots(
            slot_map, weight_by_id, vacant_slots
        )
        return slots.change_owners(slot_map, new_owner_by_slot)
    misplaced_slots = placement.list_misplaced_slots(slot_map, weight_by_id)
    if misplaced_slots and weight_by_id:
        new_owner_by_slot = placement.place_slots(
            slot_map, weight_by_id, misplaced_slots
        )
        return slots.start_moves(slot_map, new_owner_by_slot)
    free_moves = controller.section.moves_in_flight - len(slot_map.move_by_slot)
    planned_moves = placement.plan_rebalance(slot_map, weight_by_id, free_moves)
    return slots.start_moves(slot_map, planned_moves) if planned_moves else None


def _must_wait_for_upstreams(
    controller: controller_module.Controller,
    service: str,
    slot_map: slots.SlotMap,
    weight_by_id: placement.WeightById,
) -> bool:
    """Check whether the first placement must wait for more upstreams.

    At a service's start its upstreams become available one by one. Without
    a wait, the first would get all slots and soon give up most of them. The
    wait is limited, and its time begins with the first call for the service.
    """
    if any(slot_map.epoch_by_slot):
        return False
    deadline_ms = controller.first_placement_deadline_ms_by_service.setdefault(
        service,
        controller.now_ms() + _FIRST_PLACEMENT_WAIT_MS,
    )
    expected_upstreams = [
        upstream
        for upstream in catalog.list_upstreams(
            controller.replica.config,
            service,
        )
        if catalog.accepts_new_work(controller.replica.config, upstream.id)
    ]
    all_available = len(weight_by_id) == len(expected_upstreams)
    return not all_available and controller.now_ms() < deadline_ms


async def _create_slot_map(
    controller: controller_module.Controller,
    service: str,
    slot_count: int,
) -> None:
    body = state_messages.pack_slot_map(slots.make_slot_map(slot_count), [])
    await object_writes.write_if_unchanged(
        controller,
        f'{state_messages.ASSIGNMENT_PREFIX}{service}',
        body,
    )


async def plan_service_once(
    controller: controller_module.Controller,
    service: str,
) -> None:
    """Plan one service once if this VM is its planner."""
    if not is_planner(controller, service):
        return
    if service not in controller.replica.slot_map_by_service:
        service_settings = controller.replica.config.service_by_name[service]
        await _create_slot_map(controller, service, service_settings.slot_count)
        return
    await object_writes.change_slot_map(
        controller,
        service,
        lambda slot_map: plan_changes(controller, service, slot_map),
    )


async def keep_planning_services(
    controller: controller_module.Controller,
) -> None:
    """Plan all services until the task is cancelled."""
    while True:
        for service in list(controller.replica.config.service_by_name):
            await plan_service_once(controller, service)
        await controller_module.wait_for_change(controller, _PLAN_INTERVAL_MS)
