"""Tests of exclusive ownership in a model that runs the real controllers."""

import asyncio
import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lentilgauge.contracts import holder, lessor
from lentilgauge.vms import terms, witnesses
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


async def lose_answers_of_term_writes() -> controller_model.Model:
    """Lose platform answers while terms of a stopped controller are reopened.

    In each round, the first answer of the platform is lost.
    """
    model = await start_model()
    stopped = model.controllers.pop(0)
    model.network.routes_by_name.pop(stopped.vm_id)
    for _ in range(40):
        model.network.lose_next_answer_of.add(controller_model.PLATFORM)
        await model.run_all_controllers()
    model.network.lose_next_answer_of.clear()
    await model.run_all_controllers(30)
    return model


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
        model = await lose_answers_of_term_writes()
        self.assertEqual(
            model.count_served_slots(), controller_model.SLOT_COUNT
        )
        self.assertEqual(model.list_doubly_owned_slots(), [])
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
