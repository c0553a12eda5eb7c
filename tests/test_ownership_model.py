"""Tests of exclusive ownership in a model that runs the real controllers."""

import asyncio
import dataclasses
import unittest
from unittest import mock
from urllib import parse as url_parse

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lentilgauge.contracts import holder, lessor
from lentilgauge.links import http_client, state_messages
from lentilgauge.services import slots
from lentilgauge.standins import store as store_module
from lentilgauge.vms import object_writes, terms, witnesses
from tests import controller_model

CONTROLLER_COUNT = 4
UPSTREAM_COUNT = 3
_LEASE_MS = 1500

numbers = st.integers(0, CONTROLLER_COUNT - 1)
upstream_numbers = st.integers(0, UPSTREAM_COUNT - 1)
controller_names = st.sampled_from(
    [f'10.0.0.{number + 1}' for number in range(CONTROLLER_COUNT)],
)
upstream_names = upstream_numbers.map(controller_model.name_upstream)
any_names = st.one_of(
    controller_names,
    upstream_names,
    st.just(controller_model.PLATFORM),
)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Random faults of links and nodes while controllers run.

    Messages are lost or delayed, the time advances without work as in a
    pause, and nodes restart.
    """

    def __init__(self) -> None:
        """Start with a settled system."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.model = self.loop.run_until_complete(start_model())

    def wait(self, job) -> None:
        """Run a job on the model's event loop."""
        self.loop.run_until_complete(job)

    @stateful.rule(times=st.integers(1, 8))
    def run_all_controllers(self, times: int) -> None:
        self.wait(self.model.run_all_controllers(times))

    @stateful.rule(number=numbers, times=st.integers(1, 4))
    def run_one_controller(self, number: int, times: int) -> None:
        for _ in range(times):
            self.wait(self.model.run_controller(number))
            self.model.advance(100)

    @stateful.rule(duration_ms=st.integers(50, 2500))
    def let_time_pass(self, duration_ms: int) -> None:
        self.model.advance(duration_ms)

    @stateful.rule(source=controller_names, destination=any_names)
    def cut_one_way(self, source: str, destination: str) -> None:
        self.model.network.cut_links.add((source, destination))

    @stateful.rule(from_upstream=upstream_names, to_controller=controller_names)
    def cut_answers(self, from_upstream: str, to_controller: str) -> None:
        self.model.network.cut_links.add((from_upstream, to_controller))

    @stateful.rule()
    def cut_platform(self) -> None:
        for vm_controller in self.model.controllers:
            self.model.network.cut_links.add(
                (vm_controller.vm_id, controller_model.PLATFORM)
            )

    @stateful.rule()
    def heal_links(self) -> None:
        self.model.network.cut_links.clear()

    @stateful.rule(destination=any_names)
    def lose_next_answer(self, destination: str) -> None:
        self.model.network.lose_next_answer_of.add(destination)

    @stateful.rule(destination=any_names)
    def delay_next_message(self, destination: str) -> None:
        self.model.network.delay_next_message_to.add(destination)

    @stateful.precondition(
        lambda machine: machine.model.network.delayed_messages
    )
    @stateful.rule(choice=st.integers(0, 99))
    def release_message(self, choice: int) -> None:
        self.model.release_message(
            choice % len(self.model.network.delayed_messages)
        )
        self.wait(self.model.run_ready_tasks())

    @stateful.rule(name=upstream_names)
    def replace_upstream(self, name: str) -> None:
        self.model.start_upstream(name)

    @stateful.rule(number=numbers)
    def restart_controller(self, number: int) -> None:
        self.model.restart_controller(number)

    @stateful.rule(
        number=numbers,
        slot=st.integers(0, controller_model.SLOT_COUNT - 1),
        new_owner=upstream_names,
    )
    def start_move(self, number: int, slot: int, new_owner: str) -> None:
        def start(latest_map: slots.SlotMap) -> slots.SlotMap | None:
            owner = latest_map.owner_by_slot[slot]
            if (
                owner in {slots.VACANT, new_owner}
                or new_owner not in latest_map.lease_by_id
                or slot in latest_map.move_by_slot
            ):
                return None
            return slots.start_moves(latest_map, {slot: new_owner})

        self.wait(
            self.model.run_job(
                object_writes.change_slot_map(
                    self.model.controllers[number],
                    controller_model.SERVICE,
                    start,
                )
            )
        )

    @stateful.invariant()
    def no_slot_has_two_owners(self) -> None:
        doubly_owned = self.model.list_doubly_owned_slots()
        assert not doubly_owned, doubly_owned

    def teardown(self) -> None:
        """Cancel the tasks that still wait and close the loop."""
        self.model.close()
        self.wait(self.model.run_ready_tasks())
        self.loop.close()


async def start_model() -> controller_model.Model:
    """Start a model, configure it and let it settle."""
    model = controller_model.Model(
        controller_count=CONTROLLER_COUNT, upstream_count=UPSTREAM_COUNT
    )
    await model.configure()
    await model.run_all_controllers(12)
    return model


OwnershipMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class OwnershipMachineTest(OwnershipMachine.TestCase):
    """Explore the model from a fixed seed, so that each run is the same."""


class LostTermWrites:
    """The first write of each term record by each controller gets no answer.

    Nor do the reads by which the controller would learn its outcome.
    """

    def __init__(self, *, store: store_module.Store) -> None:
        """Lose no answer yet of the store that the writes go to."""
        self.store = store
        self.first_term_by_upstream = self.read_terms()
        self.written: set[tuple[str, str]] = set()
        self.resolving: set[tuple[str, str]] = set()
        self.lost_term_by_upstream: dict[str, int] = {}

    def loses_answer(self, source: str, call: http_client.Call) -> bool:
        """Return whether the answer to a call is lost."""
        name = url_parse.urlsplit(call.url).path.removeprefix('/objects/')
        if not name.startswith(state_messages.TERM_PREFIX):
            # Reading the record back ends before the next watch.
            self.resolving = {
                pair for pair in self.resolving if pair[0] != source
            }
            return False
        if call.method == 'PUT' and (source, name) not in self.written:
            self.written.add((source, name))
            self.resolving.add((source, name))
            self.note_opened_term(name.removeprefix(state_messages.TERM_PREFIX))
        return (source, name) in self.resolving

    def read_terms(self) -> dict[str, int]:
        """Read the recorded terms from the store, by upstream."""
        return {
            name.removeprefix(state_messages.TERM_PREFIX): int(
                str(stored.body['term'])
            )
            for name, stored in self.store.object_by_name.items()
            if name.startswith(state_messages.TERM_PREFIX)
        }

    def note_opened_term(self, upstream_id: str) -> None:
        """Note a term that its controller has opened without learning of it."""
        term = self.read_terms()[upstream_id]
        if term > self.first_term_by_upstream[upstream_id]:
            self.lost_term_by_upstream.setdefault(upstream_id, term)


async def lose_answers_of_term_writes(
    model: controller_model.Model,
) -> tuple[dict[str, int], list[str]]:
    """Stop a controller that holds terms; lose answers as others open them.

    Return the terms that were opened so, by upstream, and the slots that had
    two owners at any time.
    """
    stopped = next(
        candidate
        for candidate in model.controllers
        if terms.holds_term(candidate, controller_model.name_upstream(1))
    )
    model.controllers.remove(stopped)
    model.network.routes_by_name.pop(stopped.vm_id)
    lost_writes = LostTermWrites(store=model.store)
    model.network.loses_answer = lost_writes.loses_answer
    doubly_owned = []
    for _ in range(70):
        await model.run_all_controllers()
        doubly_owned += model.list_doubly_owned_slots()
    return lost_writes.lost_term_by_upstream, doubly_owned


async def delay_a_renewal() -> list[str]:
    """Delay a renewal until the upstream's slots belong to others.

    Returns the slots that had two owners before or after its delivery.
    """
    model = await start_model()
    target = controller_model.name_upstream(0)
    model.network.delay_next_message_to.add(target)
    await model.run_all_controllers(4)
    for vm_controller in model.controllers:
        model.network.cut_links.add((vm_controller.vm_id, target))
    await model.run_all_controllers(30)
    doubly_owned = model.list_doubly_owned_slots()
    while model.network.delayed_messages:
        model.release_message()
        await model.run_ready_tasks()
    doubly_owned += model.list_doubly_owned_slots()
    model.close()
    return doubly_owned


async def cut_off_a_controller() -> list[str]:
    """Cut off a controller and its upstream from all other controllers.

    The controller also loses the platform, so that only the link to its
    upstream is left. Returns the slots that had two owners at any time.
    """
    model = await start_model()
    target = controller_model.name_upstream(0)
    granting_controller = next(
        candidate
        for candidate in model.controllers
        if terms.holds_term(candidate, target)
    )
    other_names = [
        vm_controller.vm_id
        for vm_controller in model.controllers
        if vm_controller is not granting_controller
    ]
    for name in (controller_model.PLATFORM, *other_names):
        model.network.cut_links.add((granting_controller.vm_id, name))
        model.network.cut_links.add((name, granting_controller.vm_id))
    for name in other_names:
        model.network.cut_links.add((name, target))
    doubly_owned = []
    for _ in range(80):
        await model.run_all_controllers()
        doubly_owned += model.list_doubly_owned_slots()
    model.close()
    return doubly_owned


def accept_without_clock_reading(lease_holder, grant, now_ms):
    """Accept a grant as if its lease ran from the arrival of the grant."""
    extended = dataclasses.replace(grant, deadline_ms=now_ms + _LEASE_MS)
    return _ACCEPT_GRANT(lease_holder, extended, now_ms)


_ACCEPT_GRANT = holder.accept_grant


class WeakenedRulesTest(unittest.IsolatedAsyncioTestCase):
    """The ownership check must fail as soon as a rule is weakened."""

    async def test_unchanged_rules_keep_ownership_exclusive(self) -> None:
        self.assertEqual(await delay_a_renewal(), [])
        self.assertEqual(await cut_off_a_controller(), [])

    async def test_ignoring_the_clock_reading_is_detected(self) -> None:
        with mock.patch.object(
            holder, 'accept_grant', accept_without_clock_reading
        ):
            self.assertNotEqual(await delay_a_renewal(), [])

    async def test_not_waiting_for_the_lapse_is_detected(self) -> None:
        with mock.patch.object(lessor, 'has_lapsed', return_value=True):
            self.assertNotEqual(await cut_off_a_controller(), [])

    async def test_renewing_without_vouches_is_detected(self) -> None:
        with mock.patch.object(
            witnesses, 'has_vouch_quorum', return_value=True
        ):
            self.assertNotEqual(await cut_off_a_controller(), [])


class AvailabilityTest(unittest.IsolatedAsyncioTestCase):
    """Slots must stay served, or be served again, when nodes or links fail."""

    async def test_hazard_8_a_store_outage_stops_no_renewal(self) -> None:
        model = await start_model()
        for vm_controller in model.controllers:
            model.network.cut_links.add(
                (vm_controller.vm_id, controller_model.PLATFORM)
            )
        for _ in range(120):
            await model.run_all_controllers()
            self.assertEqual(
                model.count_served_slots(), controller_model.SLOT_COUNT
            )
        model.close()

    async def test_a_new_service_is_placed_evenly_at_once(self) -> None:
        model = await start_model()
        body = model.store.object_by_name['assignment/cases'].body
        # One placement gave each slot its first epoch, and none has moved.
        self.assertEqual(len(set(body['epoch_by_slot'])), 1)
        slot_counts = [
            body['owner_index_by_slot'].count(index)
            for index in range(UPSTREAM_COUNT)
        ]
        self.assertEqual(sorted(slot_counts), [1, 1, 2])
        model.close()

    async def test_all_slots_stay_served_when_a_controller_stops(self) -> None:
        model = await start_model()
        stopped = model.controllers[0]
        model.network.routes_by_name.pop(stopped.vm_id)
        model.controllers.remove(stopped)
        for _ in range(60):
            await model.run_all_controllers()
            self.assertEqual(
                model.count_served_slots(), controller_model.SLOT_COUNT
            )
        model.close()

    async def test_a_term_whose_write_answer_was_lost_is_reopened(self) -> None:
        """A controller can get a term without learning of it.

        It must open another one then, or the upstream stays without leases.
        """
        model = await start_model()
        term_by_upstream, doubly_owned = await lose_answers_of_term_writes(
            model
        )
        self.assertTrue(term_by_upstream)
        for upstream_id, lost_term in term_by_upstream.items():
            body = model.store.object_by_name[f'term/{upstream_id}'].body
            self.assertGreater(body['term'], lost_term)
        self.assertEqual(
            model.count_served_slots(), controller_model.SLOT_COUNT
        )
        self.assertEqual(doubly_owned, [])
        model.close()

    async def test_slots_of_a_stopped_upstream_are_served_by_others(
        self,
    ) -> None:
        model = await start_model()
        model.network.routes_by_name.pop(controller_model.name_upstream(1))
        model.upstreams.pop(controller_model.name_upstream(1))
        await model.run_all_controllers(20)
        self.assertEqual(
            model.count_served_slots(), controller_model.SLOT_COUNT
        )
        model.close()
