"""Tests that a caller's own retry of a request isn't executed twice."""

import asyncio
import json
import unittest

from lentilgauge import errors
from lentilgauge.callers import repetition
from lentilgauge.contracts import once
from lentilgauge.load import cluster, journals, observer, topology, users
from lentilgauge.standins import upstream_server
from tests import systems


def make_reservation(digest: str = 'same', key: str = 'key') -> once.Beginning:
    """Make a request to reserve an idempotency key."""
    return once.Beginning(key=key, digest=digest, run_ms=100, keep_ms=1000)


class RegistryTest(unittest.TestCase):
    """States of idempotency keys at one VM."""

    def test_a_key_is_reserved_once(self) -> None:
        registry = once.Registry()
        states = [
            once.begin(registry, make_reservation(), now).state
            for now in (0, 50)
        ]
        self.assertEqual(states, [once.State.FRESH, once.State.RUNNING])

    def test_a_run_without_an_outcome_is_unknown(self) -> None:
        registry = once.Registry()
        once.begin(registry, make_reservation(), 0)
        key_status = once.begin(registry, make_reservation(), 100)
        self.assertIs(key_status.state, once.State.UNKNOWN)

    def test_reuse_of_a_key_for_other_content_is_detected(self) -> None:
        registry = once.Registry()
        once.begin(registry, make_reservation(), 0)
        key_status = once.begin(registry, make_reservation('other'), 0)
        self.assertIs(key_status.state, once.State.OTHER_CONTENT)

    def test_a_request_that_did_not_run_releases_its_key(self) -> None:
        registry = once.Registry()
        once.begin(registry, make_reservation(), 0)
        once.end(registry, 'key', once.Known(state=once.State.FRESH))
        key_status = once.begin(registry, make_reservation(), 0)
        self.assertIs(key_status.state, once.State.FRESH)

    def test_records_expire_and_their_number_is_bounded(self) -> None:
        registry = once.Registry()
        for number in range(once.MOST_RECORDS):
            once.begin(registry, make_reservation(key=str(number)), 0)
        full = once.begin(registry, make_reservation(), 0)
        self.assertIs(full.state, once.State.FULL)
        later = once.begin(registry, make_reservation(), 1000)
        self.assertIs(later.state, once.State.FRESH)
        self.assertEqual(len(registry.record_by_key), 1)

    def test_a_large_answer_is_not_stored(self) -> None:
        answer = once.KeptAnswer(
            status=200,
            content_type='',
            body=b'x' * (once.MOST_ANSWER_BYTES + 1),
        )
        self.assertIs(once.keep_answer(answer).state, once.State.UNKNOWN)


class CallerRetryTest(unittest.IsolatedAsyncioTestCase):
    """Retries through other entries, and after lost answers and VMs."""

    def send(
        self, system, idempotency_key: str, vm: int, body: bytes = b'letter'
    ):
        """Send a request with an idempotency key to the entry of a VM."""
        return system.call(
            'POST',
            '/cases/7/letters',
            vm=vm,
            body=body,
            headers={'Idempotency-Key': idempotency_key},
        )

    def count_executions(self, system, idempotency_key: str) -> int:
        """Count the executions with an idempotency key."""
        findings = journals.judge_journals(
            journals.read_journals(system.cluster),
        )
        return findings.count_by_key[idempotency_key]

    async def test_retries_are_not_executed_again(self) -> None:
        venture = users.make_venture(vms=4, keyed=2, pooled=1, slots=8)
        async with systems.run_system(venture) as system:
            first = (await self.send(system, 'after', 0)).unwrap()
            again = (await self.send(system, 'after', 1)).unwrap()
            self.assertEqual((first.status, again.status), (200, 200))
            self.assertEqual(first.body, again.body)
            self.assertEqual(again.headers[repetition.REPLAYED], 'true')
            reused = await self.send(system, 'after', 2, b'other')
            self.assertEqual(reused.unwrap().status, 422)
            concurrent = await asyncio.gather(
                *(self.send(system, 'at-once', vm) for vm in range(4)),
            )
            statuses = {
                call_result.unwrap().status for call_result in concurrent
            }
            self.assertLessEqual(statuses, {200, 409})
            self.assertIn(200, statuses)
            for key in ('after', 'at-once'):
                self.assertEqual(self.count_executions(system, key), 1)

    async def test_an_unknown_outcome_stays_unknown(self) -> None:
        """A retry after a lost answer must not run the request again."""
        venture = users.make_venture(vms=2, keyed=1, pooled=1, slots=8)
        async with systems.run_system(venture) as system:
            await observer.set_faults(
                system.cluster,
                system.client,
                'cases-1',
                upstream_server.FaultsMessage(close_unanswered=1),
            )
            for vm in (0, 1):
                called = await self.send(system, 'unanswered', vm)
                answer = json.loads(called.unwrap().body)
                self.assertEqual(answer['kind'], errors.ErrorKind.UPSTREAM_LOST)
            self.assertEqual(self.count_executions(system, 'unanswered'), 1)

    async def test_keys_survive_the_loss_of_a_vm(self) -> None:
        venture = users.make_venture(vms=4, keyed=2, pooled=1, slots=8)
        async with systems.run_system(venture) as system:
            idempotency_keys = [f'lost-{number}' for number in range(12)]
            for number, key in enumerate(idempotency_keys):
                called = await self.send(system, key, number % 3)
                self.assertEqual(called.unwrap().status, 200)
            lost_vm = system.vms[3]
            for process in (
                topology.name_controller(lost_vm),
                topology.name_entry(lost_vm),
            ):
                await cluster.kill(system.cluster, process)
            for number, key in enumerate(idempotency_keys):
                called = await self.send(system, key, (number + 1) % 3)
                self.assertEqual(called.unwrap().status, 200)
                self.assertEqual(self.count_executions(system, key), 1)
