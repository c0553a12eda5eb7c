"""Test that a caller's own repetition of a request runs nothing twice."""

import asyncio
import json
import unittest

from lentilgauge import errors
from lentilgauge.callers import repetition
from lentilgauge.contracts import once
from lentilgauge.load import cluster, journals, observer, topology, users
from lentilgauge.standins import upstream_server
from tests import systems


def ask(digest: str = 'same', key: str = 'key') -> once.Beginning:
    """Make a question for a key."""
    return once.Beginning(key=key, digest=digest, run_ms=100, keep_ms=1000)


class RegistryTest(unittest.TestCase):
    """Test what one keeper says."""

    def test_a_key_is_fresh_once(self) -> None:
        registry = once.Registry()
        states = [once.begin(registry, ask(), now).state for now in (0, 50)]
        self.assertEqual(states, [once.State.FRESH, once.State.RUNNING])

    def test_a_run_without_an_end_is_unknown(self) -> None:
        registry = once.Registry()
        once.begin(registry, ask(), 0)
        known = once.begin(registry, ask(), 100)
        self.assertIs(known.state, once.State.UNKNOWN)

    def test_other_content_is_told(self) -> None:
        registry = once.Registry()
        once.begin(registry, ask(), 0)
        known = once.begin(registry, ask('other'), 0)
        self.assertIs(known.state, once.State.OTHER_CONTENT)

    def test_an_end_without_a_run_frees_the_key(self) -> None:
        registry = once.Registry()
        once.begin(registry, ask(), 0)
        once.end(registry, 'key', once.Known(state=once.State.FRESH))
        known = once.begin(registry, ask(), 0)
        self.assertIs(known.state, once.State.FRESH)

    def test_records_are_forgotten_and_bounded(self) -> None:
        registry = once.Registry()
        for number in range(once.MOST_RECORDS):
            once.begin(registry, ask(key=str(number)), 0)
        full = once.begin(registry, ask(), 0)
        self.assertIs(full.state, once.State.FULL)
        later = once.begin(registry, ask(), 1000)
        self.assertIs(later.state, once.State.FRESH)
        self.assertEqual(len(registry.record_by_key), 1)

    def test_a_large_answer_is_not_kept(self) -> None:
        answer = once.KeptAnswer(
            status=200,
            content_type='',
            body=b'x' * (once.MOST_ANSWER_BYTES + 1),
        )
        self.assertIs(once.keep_answer(answer).state, once.State.UNKNOWN)


class RepetitionTest(unittest.IsolatedAsyncioTestCase):
    """Repeat letters through other entries and after losses."""

    def send(self, system, name: str, vm: int, body: bytes = b'letter'):
        """Send a letter under a key through the entry of a VM."""
        return system.call(
            'POST',
            '/cases/7/letters',
            vm=vm,
            body=body,
            headers={'Idempotency-Key': name},
        )

    def count_runs(self, system, name: str) -> int:
        """Count the executions under a key."""
        findings = journals.judge_journals(
            journals.read_journals(system.cluster),
        )
        return findings.count_by_key[name]

    async def test_repetitions_run_nothing_twice(self) -> None:
        shape = users.make_venture(vms=4, keyed=2, pooled=1, slots=8)
        async with systems.run_system(shape) as system:
            first = (await self.send(system, 'after', 0)).unwrap()
            again = (await self.send(system, 'after', 1)).unwrap()
            self.assertEqual((first.status, again.status), (200, 200))
            self.assertEqual(first.body, again.body)
            self.assertEqual(again.headers[repetition.REPLAYED], 'true')
            other = await self.send(system, 'after', 2, b'other')
            self.assertEqual(other.unwrap().status, 422)
            at_once = await asyncio.gather(
                *(self.send(system, 'at-once', vm) for vm in range(4)),
            )
            statuses = {one.unwrap().status for one in at_once}
            self.assertLessEqual(statuses, {200, 409})
            self.assertIn(200, statuses)
            for name in ('after', 'at-once'):
                self.assertEqual(self.count_runs(system, name), 1)

    async def test_an_unknown_outcome_stays_unknown(self) -> None:
        shape = users.make_venture(vms=2, keyed=1, pooled=1, slots=8)
        async with systems.run_system(shape) as system:
            await observer.set_faults(
                system.cluster,
                system.client,
                'cases-1',
                upstream_server.FaultsMessage(close_unanswered=1),
            )
            for vm in (0, 1):
                sent = await self.send(system, 'unanswered', vm)
                answer = json.loads(sent.unwrap().body)
                self.assertEqual(answer['kind'], errors.ErrorKind.UPSTREAM_LOST)
            self.assertEqual(self.count_runs(system, 'unanswered'), 1)

    async def test_the_loss_of_any_one_vm_is_covered(self) -> None:
        shape = users.make_venture(vms=4, keyed=2, pooled=1, slots=8)
        async with systems.run_system(shape) as system:
            names = [f'lost-{number}' for number in range(12)]
            for number, name in enumerate(names):
                sent = await self.send(system, name, number % 3)
                self.assertEqual(sent.unwrap().status, 200)
            lost = system.vms[3]
            for process in (
                topology.name_controller(lost),
                topology.name_entry(lost),
            ):
                await cluster.kill(system.cluster, process)
            for number, name in enumerate(names):
                sent = await self.send(system, name, (number + 1) % 3)
                self.assertEqual(sent.unwrap().status, 200)
                self.assertEqual(self.count_runs(system, name), 1)
