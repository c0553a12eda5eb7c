"""Check exclusive ownership in a model that runs the real decisions."""

import asyncio
import dataclasses
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lentilgauge.contracts import holder, lessor
from lentilgauge.vms import terms, witnesses
from tests import world as world_module

CONTROLLERS = 4
UPSTREAMS = 3
_LEASE_MS = 1500

numbers = st.integers(0, CONTROLLERS - 1)
upstream_numbers = st.integers(0, UPSTREAMS - 1)
controller_names = st.sampled_from(
    [f'10.0.0.{number + 1}' for number in range(CONTROLLERS)],
)
upstream_names = upstream_numbers.map(world_module.name_upstream)
any_names = st.one_of(
    controller_names,
    upstream_names,
    st.just(world_module.PLATFORM),
)


class OwnershipMachine(stateful.RuleBasedStateMachine):
    """Cut, hold, lose, pause and restart while controllers work."""

    def __init__(self) -> None:
        """Start with a system at rest."""
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.world = self.loop.run_until_complete(start_world())

    def wait(self, job) -> None:
        """Run a job on the world's loop."""
        self.loop.run_until_complete(job)

    @stateful.rule(times=st.integers(1, 8))
    def work(self, times: int) -> None:
        self.wait(self.world.tick_all(times))

    @stateful.rule(number=numbers, times=st.integers(1, 4))
    def work_alone(self, number: int, times: int) -> None:
        for _ in range(times):
            self.wait(self.world.tick(number))
            self.world.advance(100)

    @stateful.rule(span_ms=st.integers(50, 2500))
    def let_time_pass(self, span_ms: int) -> None:
        self.world.advance(span_ms)

    @stateful.rule(source=controller_names, reached=any_names)
    def cut_one_way(self, source: str, reached: str) -> None:
        self.world.network.cut.add((source, reached))

    @stateful.rule(reached=upstream_names, source=controller_names)
    def cut_answers(self, reached: str, source: str) -> None:
        self.world.network.cut.add((reached, source))

    @stateful.rule()
    def cut_platform(self) -> None:
        for made in self.world.controllers:
            self.world.network.cut.add((made.vm_id, world_module.PLATFORM))

    @stateful.rule()
    def heal(self) -> None:
        self.world.network.cut.clear()

    @stateful.rule(reached=any_names)
    def lose_an_answer(self, reached: str) -> None:
        self.world.network.lose_answers.add(reached)

    @stateful.rule(reached=any_names)
    def hold_a_message(self, reached: str) -> None:
        self.world.network.hold_for.add(reached)

    @stateful.precondition(lambda machine: machine.world.network.held)
    @stateful.rule(choice=st.integers(0, 99))
    def release_a_message(self, choice: int) -> None:
        self.world.release_held(choice % len(self.world.network.held))
        self.wait(self.world.turn())

    @stateful.rule(name=upstream_names)
    def replace_upstream(self, name: str) -> None:
        self.world.start_upstream(name)

    @stateful.rule(number=numbers)
    def restart_controller(self, number: int) -> None:
        self.world.restart_controller(number)

    @stateful.invariant()
    def no_slot_has_two_owners(self) -> None:
        found = self.world.find_double()
        assert not found, found

    def teardown(self) -> None:
        """Drop what still waits."""
        self.world.close()
        self.wait(self.world.turn())
        self.loop.close()


async def start_world() -> world_module.World:
    """Start a world and let it come to rest."""
    made = world_module.World(controllers=CONTROLLERS, upstreams=UPSTREAMS)
    await made.configure()
    await made.tick_all(12)
    return made


OwnershipMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=25,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class OwnershipMachineTest(OwnershipMachine.TestCase):
    """Explore the model from a fixed seed."""


async def lose_the_answers_of_takeovers() -> world_module.World:
    """Lose the answer of every write while the terms change hands."""
    made = await start_world()
    lost = made.controllers.pop(0)
    made.network.routes_by_name.pop(lost.vm_id)
    for _ in range(40):
        made.network.lose_answers.add(world_module.PLATFORM)
        await made.tick_all()
    made.network.lose_answers.clear()
    await made.tick_all(30)
    return made


async def delay_a_renewal() -> list[str]:
    """Hold a renewal until its upstream's slots have gone to others."""
    made = await start_world()
    target = world_module.name_upstream(0)
    made.network.hold_for.add(target)
    await made.tick_all(4)
    for one in made.controllers:
        made.network.cut.add((one.vm_id, target))
    await made.tick_all(30)
    found = made.find_double()
    while made.network.held:
        made.release_held()
        await made.turn()
    found += made.find_double()
    made.close()
    return found


async def cut_off_a_controller() -> list[str]:
    """Leave a controller only its upstream, which nobody else reaches."""
    made = await start_world()
    target = world_module.name_upstream(0)
    owner = next(
        one for one in made.controllers if terms.holds_term(one, target)
    )
    others = [one.vm_id for one in made.controllers if one is not owner]
    for name in (world_module.PLATFORM, *others):
        made.network.cut.add((owner.vm_id, name))
        made.network.cut.add((name, owner.vm_id))
    for name in others:
        made.network.cut.add((name, target))
    found = []
    for _ in range(80):
        await made.tick_all()
        found += made.find_double()
    made.close()
    return found


def accept_without_echo(held, grant, now_ms):
    """Accept a grant as if its deadline counted from its arrival."""
    late = dataclasses.replace(grant, deadline_ms=now_ms + _LEASE_MS)
    return _ACCEPT(held, late, now_ms)


_ACCEPT = holder.accept_grant


class WeakenedRulesTest(unittest.IsolatedAsyncioTestCase):
    """Show that the check fails once a rule is weakened."""

    async def test_sound_rules_hold(self) -> None:
        self.assertEqual(await delay_a_renewal(), [])
        self.assertEqual(await cut_off_a_controller(), [])

    async def test_renewing_without_the_echo_is_caught(self) -> None:
        with mock.patch.object(holder, 'accept_grant', accept_without_echo):
            self.assertNotEqual(await delay_a_renewal(), [])

    async def test_not_waiting_for_the_lapse_is_caught(self) -> None:
        with mock.patch.object(lessor, 'has_lapsed', return_value=True):
            self.assertNotEqual(await cut_off_a_controller(), [])

    async def test_renewing_unvouched_is_caught(self) -> None:
        with mock.patch.object(witnesses, 'is_vouched', return_value=True):
            self.assertNotEqual(await cut_off_a_controller(), [])


class AvailabilityTest(unittest.IsolatedAsyncioTestCase):
    """Check that what should stay served does."""

    async def test_hazard_8_a_store_outage_stops_no_renewal(self) -> None:
        made = await start_world()
        for one in made.controllers:
            made.network.cut.add((one.vm_id, world_module.PLATFORM))
        for _ in range(120):
            await made.tick_all()
            self.assertEqual(made.count_served(), world_module.SLOTS)
        made.close()

    async def test_a_new_service_starts_even_and_moves_nothing(self) -> None:
        made = await start_world()
        body = made.store.by_name['assignment/cases'].body
        # One placement gives every slot its first and only epoch.
        self.assertEqual(len(set(body['epoch_by_slot'])), 1)
        counts = [
            body['owner_index_by_slot'].count(index)
            for index in range(UPSTREAMS)
        ]
        self.assertEqual(sorted(counts), [1, 1, 2])
        made.close()

    async def test_a_lost_controller_costs_no_service(self) -> None:
        made = await start_world()
        lost = made.controllers[0]
        made.network.routes_by_name.pop(lost.vm_id)
        made.controllers.remove(lost)
        for _ in range(60):
            await made.tick_all()
            self.assertEqual(made.count_served(), world_module.SLOTS)
        made.close()

    async def test_a_term_won_unnoticed_is_not_left_alone(self) -> None:
        made = await lose_the_answers_of_takeovers()
        self.assertEqual(made.count_served(), world_module.SLOTS)
        self.assertEqual(made.find_double(), [])
        made.close()

    async def test_a_lost_upstream_is_served_by_others_again(self) -> None:
        made = await start_world()
        made.network.routes_by_name.pop(world_module.name_upstream(1))
        made.upstreams.pop(world_module.name_upstream(1))
        await made.tick_all(20)
        self.assertEqual(made.count_served(), world_module.SLOTS)
        made.close()
