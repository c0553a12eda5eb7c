"""Test slots whose move is under way when the platform goes out of reach."""

import unittest
from collections.abc import Callable
from unittest import mock
from urllib import parse as url_parse

from lentilgauge.links import (
    http_client,
    platform_messages,
    relay_link,
    state_messages,
)
from lentilgauge.services import slots
from lentilgauge.vms import (
    controller,
    object_writes,
    planner,
    platform_watch,
    renewals,
    slot_moves,
    terms,
)
from tests import controller_model

_MOVED_SLOT = 0
_ASSIGNMENT = f'{state_messages.ASSIGNMENT_PREFIX}{controller_model.SERVICE}'


async def start_model() -> controller_model.Model:
    """Start a model, configure it and let it settle."""
    model = controller_model.Model(controller_count=4, upstream_count=3)
    await model.configure()
    await model.run_all_controllers(12)
    return model


def find_owner(model: controller_model.Model) -> str:
    """Find the recorded owner of the slot that moves."""
    slot_map = model.controllers[0].replica.slot_map_by_service[
        controller_model.SERVICE
    ]
    return slot_map.owner_by_slot[_MOVED_SLOT]


def find_granter(model: controller_model.Model) -> controller.Controller:
    """Find the controller that grants the lease of the slot's owner."""
    owner = find_owner(model)
    return next(
        candidate
        for candidate in model.controllers
        if terms.holds_term(candidate, owner)
    )


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


def cut_platform(model: controller_model.Model) -> None:
    """Put the platform out of reach of all controllers."""
    for vm_controller in model.controllers:
        model.network.cut_links.add(
            (vm_controller.vm_id, controller_model.PLATFORM)
        )


def read_recorded_move(
    model: controller_model.Model,
) -> state_messages.MoveBody | None:
    """Read the pending move of the slot from the store."""
    body = state_messages.AssignmentBody.model_validate(
        model.store.object_by_name[_ASSIGNMENT].body
    )
    return body.move_by_slot.get(_MOVED_SLOT)


def completes_move(call: http_client.Call) -> bool:
    """Check whether a call is a write of a slot map without the move."""
    name = url_parse.urlsplit(call.url).path.removeprefix('/objects/')
    if call.method != 'PUT' or name != _ASSIGNMENT:
        return False
    message = platform_messages.PutMessage.model_validate_json(call.body or b'')
    body = state_messages.AssignmentBody.model_validate(message.body)
    return _MOVED_SLOT not in body.move_by_slot


def cut_platform_before(
    model: controller_model.Model,
    source: str,
    is_last: Callable[[http_client.Call], bool],
) -> None:
    """Put the platform out of reach just before a call of a controller."""
    deliver = model.network.deliver

    async def deliver_or_cut(
        sender: str, call: http_client.Call
    ) -> http_client.CallResult:
        if sender == source and is_last(call):
            model.network.deliver = deliver
            cut_platform(model)
        return await deliver(sender, call)

    model.network.deliver = deliver_or_cut


def delay_completion(
    model: controller_model.Model, granter: controller.Controller
) -> None:
    """Delay the next write of a controller that completes the move."""
    deliver = model.network.deliver

    async def deliver_or_delay(
        sender: str, call: http_client.Call
    ) -> http_client.CallResult:
        if sender == granter.vm_id and completes_move(call):
            model.network.deliver = deliver
            model.network.delay_next_message_to.add(controller_model.PLATFORM)
        return await deliver(sender, call)

    model.network.deliver = deliver_or_delay


async def deliver_completion_late(model: controller_model.Model) -> list[str]:
    """Delay the write that completes a move, and keep its controller from news.

    Returns the slots that had two owners at any time.
    """
    granter = find_granter(model)
    delay_completion(model, granter)
    await start_move(model)
    # Without other moves, which would change the slot map.
    stop_planner = mock.patch.object(planner, 'plan_changes', return_value=None)
    stop_planner.start()
    while not model.network.delayed_messages:
        await model.run_all_controllers()
    model.network.cut_links.add((granter.vm_id, controller_model.PLATFORM))
    model.network.cut_links.add((controller_model.PLATFORM, granter.vm_id))
    model.network.loses_answer = lambda source, call: (
        source == granter.vm_id and relay_link.CHANGES_PATH in call.url
    )
    await model.run_all_controllers(15)
    model.release_message()
    doubly_owned: list[str] = []
    for _ in range(20):
        await model.run_all_controllers()
        doubly_owned += model.list_doubly_owned_slots()
    stop_planner.stop()
    return doubly_owned


def retain_sent(lease_state, slot_map, _now_ms):
    """List the slots of moves that a sent write may complete."""
    outgoing_moves = slots.map_outgoing_moves(slot_map, lease_state.upstream_id)
    return [
        slot
        for slot, slot_move in outgoing_moves.items()
        if slot_move.number in lease_state.sent_version_by_move
    ]


async def give_up_slot(model: controller_model.Model) -> None:
    """Run until the owner gave the moving slot up, before that is recorded."""
    with mock.patch.object(slot_moves, 'list_given_up_moves', return_value={}):
        while model.list_owners(_MOVED_SLOT):
            await model.run_all_controllers()


async def confirm_without_reading(vm_controller, name):
    """Read slot maps only, and take other objects for unchanged."""
    return name != _ASSIGNMENT or await _REFRESH_OBJECT(vm_controller, name)


_REFRESH_OBJECT = object_writes.refresh_object


async def move_unseen_by_successor(model: controller_model.Model) -> list[str]:
    """Move a slot after its granter was replaced without hearing of it.

    Its successor has read the slot map before the move started, and grants by
    it. Returns the slots that had two owners then.
    """
    granter = find_granter(model)
    owner = granter.replica.config.upstream_by_id[find_owner(model)]
    successor, target_granter = (
        next(
            candidate
            for candidate in model.controllers
            if candidate is not granter
            and bool(candidate.lease_state_by_upstream) is has_leases
        )
        for has_leases in (False, True)
    )
    model.network.cut_links.add((successor.vm_id, granter.vm_id))
    await model.run_job(terms.open_term(successor, owner.id))
    target_id = next(iter(target_granter.lease_state_by_upstream))
    await object_writes.change_slot_map(
        target_granter,
        controller_model.SERVICE,
        lambda latest: slots.start_moves(latest, {_MOVED_SLOT: target_id}),
    )
    await object_writes.refresh_object(granter, _ASSIGNMENT)
    target = granter.replica.config.upstream_by_id[target_id]
    for _ in range(6):
        await model.run_job(renewals.renew_once(granter, owner))
        await model.run_job(slot_moves.advance_moves(granter, owner))
        await model.run_job(platform_watch.watch_once(target_granter, 0))
        await model.run_job(renewals.renew_once(target_granter, target))
        model.advance(100)
    doubly_owned: list[str] = []
    for _ in range(3):
        await model.run_job(renewals.renew_once(successor, owner))
        doubly_owned += model.list_doubly_owned_slots()
        model.advance(300)
    return doubly_owned


class OutageAmidMoveTest(unittest.IsolatedAsyncioTestCase):
    """An outage of the platform that begins while a slot moves."""

    async def check_served_after_outage_is_noticed(
        self, model: controller_model.Model
    ) -> None:
        """Check that all slots are served again and none by two upstreams."""
        # Until the outage is noticed, the slot may be on its way.
        for _ in range(30):
            await model.run_all_controllers()
            self.assertEqual(model.list_doubly_owned_slots(), [])
        for _ in range(30):
            await model.run_all_controllers()
            self.assertEqual(model.list_doubly_owned_slots(), [])
            self.assertEqual(
                model.count_served_slots(), controller_model.SLOT_COUNT
            )

    async def check_move_is_completed(
        self, model: controller_model.Model, owner: str
    ) -> None:
        """Check that the slot moves once the platform is back."""
        model.network.cut_links.clear()
        for _ in range(20):
            await model.run_all_controllers()
            self.assertEqual(model.list_doubly_owned_slots(), [])
        self.assertIsNone(read_recorded_move(model))
        self.assertEqual(len(model.list_owners(_MOVED_SLOT)), 1)
        self.assertNotEqual(model.list_owners(_MOVED_SLOT), [owner])

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

    async def test_a_slot_is_given_back_if_its_claim_cannot_be_checked(
        self,
    ) -> None:
        """Guard against a claimed slot that the outage leaves unserved."""
        model = await start_model()
        owner = find_owner(model)
        term_name = f'{state_messages.TERM_PREFIX}{owner}'

        def reads_term(call: http_client.Call) -> bool:
            name = url_parse.urlsplit(call.url).path.removeprefix('/objects/')
            move = read_recorded_move(model)
            claimed = move is not None and move.term != slots.UNCLAIMED
            return claimed and call.method == 'GET' and name == term_name

        cut_platform_before(model, find_granter(model).vm_id, reads_term)
        await start_move(model)
        await self.check_served_after_outage_is_noticed(model)
        await self.check_move_is_completed(model, owner)
        model.close()

    async def test_a_slot_given_up_is_given_back_in_an_outage(self) -> None:
        """Guard against a slot given up whose completion was never sent."""
        model = await start_model()
        owner = find_owner(model)
        await start_move(model)
        await give_up_slot(model)
        cut_platform(model)
        await self.check_served_after_outage_is_noticed(model)
        await self.check_move_is_completed(model, owner)
        model.close()

    async def test_a_completion_under_way_keeps_the_slot_from_its_owner(
        self,
    ) -> None:
        model = await start_model()
        owner = find_owner(model)
        self.assertEqual(await deliver_completion_late(model), [])
        model.network.loses_answer = lambda _source, _call: False
        await self.check_move_is_completed(model, owner)
        model.close()

    async def test_granting_amid_a_completion_is_detected(self) -> None:
        model = await start_model()
        with mock.patch.object(slot_moves, 'list_retained_slots', retain_sent):
            self.assertNotEqual(await deliver_completion_late(model), [])
        model.close()

    async def test_an_earlier_terms_completion_is_refused_after_a_claim(
        self,
    ) -> None:
        """Guard against a late completion by a controller that was replaced."""
        model = await start_model()
        granter = find_granter(model)
        owner = granter.replica.config.upstream_by_id[find_owner(model)]
        await start_move(model)
        await give_up_slot(model)
        delay_completion(model, granter)
        await model.run_job(slot_moves.advance_moves(granter, owner))
        self.assertTrue(model.network.delayed_messages)
        model.controllers.remove(granter)
        model.network.routes_by_name.pop(granter.vm_id)
        for _ in range(40):
            await model.run_all_controllers()
            self.assertEqual(model.list_doubly_owned_slots(), [])
        model.release_message()
        await self.check_move_is_completed(model, owner.id)
        self.assertEqual(
            model.count_served_slots(), controller_model.SLOT_COUNT
        )
        model.close()

    async def test_a_replaced_granter_without_the_news_completes_no_move(
        self,
    ) -> None:
        """Guard against a move that a later term's controller didn't read."""
        model = await start_model()
        self.assertEqual(await move_unseen_by_successor(model), [])
        model.network.cut_links.clear()
        await model.run_all_controllers(20)
        self.assertEqual(model.list_doubly_owned_slots(), [])
        self.assertEqual(
            model.count_served_slots(), controller_model.SLOT_COUNT
        )
        model.close()

    async def test_moving_by_an_unchecked_claim_is_detected(self) -> None:
        model = await start_model()
        with mock.patch.object(
            object_writes, 'refresh_object', confirm_without_reading
        ):
            self.assertNotEqual(await move_unseen_by_successor(model), [])
        model.close()
