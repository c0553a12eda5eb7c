"""Tests that a request that its caller repeats isn't executed twice."""

import asyncio
import json
import unittest

from lentilgauge import errors
from lentilgauge.callers import idempotency
from lentilgauge.contracts import idempotency_keys as idempotency_keys_module
from lentilgauge.load import (
    cluster,
    journal_analysis,
    system_client,
    topology,
    user_topologies,
)
from lentilgauge.standins import upstream_server
from tests import systems


def make_reservation(
    digest: str = 'same', key: str = 'key'
) -> idempotency_keys_module.ReservationRequest:
    """Make a request to reserve an idempotency key."""
    return idempotency_keys_module.ReservationRequest(
        key=key, digest=digest, run_ms=100, keep_ms=1000
    )


class RegistryTest(unittest.TestCase):
    """States of idempotency keys at one VM."""

    def test_a_key_is_reserved_once(self) -> None:
        registry = idempotency_keys_module.Registry()
        states = [
            idempotency_keys_module.reserve_key(
                registry, make_reservation(), now_ms
            ).state
            for now_ms in (0, 50)
        ]
        self.assertEqual(
            states,
            [
                idempotency_keys_module.RequestState.FRESH,
                idempotency_keys_module.RequestState.RUNNING,
            ],
        )

    def test_a_run_without_an_outcome_is_unknown(self) -> None:
        registry = idempotency_keys_module.Registry()
        idempotency_keys_module.reserve_key(registry, make_reservation(), 0)
        key_status = idempotency_keys_module.reserve_key(
            registry, make_reservation(), 100
        )
        self.assertIs(
            key_status.state, idempotency_keys_module.RequestState.UNKNOWN
        )

    def test_reuse_of_a_key_for_other_content_is_detected(self) -> None:
        registry = idempotency_keys_module.Registry()
        idempotency_keys_module.reserve_key(registry, make_reservation(), 0)
        key_status = idempotency_keys_module.reserve_key(
            registry, make_reservation('other'), 0
        )
        self.assertIs(
            key_status.state, idempotency_keys_module.RequestState.OTHER_CONTENT
        )

    def test_a_request_that_did_not_run_releases_its_key(self) -> None:
        registry = idempotency_keys_module.Registry()
        idempotency_keys_module.reserve_key(registry, make_reservation(), 0)
        idempotency_keys_module.record_outcome(
            registry,
            'key',
            idempotency_keys_module.KeyStatus(
                state=idempotency_keys_module.RequestState.FRESH
            ),
        )
        key_status = idempotency_keys_module.reserve_key(
            registry, make_reservation(), 0
        )
        self.assertIs(
            key_status.state, idempotency_keys_module.RequestState.FRESH
        )

    def test_records_expire_and_their_number_is_bounded(self) -> None:
        registry = idempotency_keys_module.Registry()
        for number in range(idempotency_keys_module.MAX_RECORDS):
            idempotency_keys_module.reserve_key(
                registry, make_reservation(key=str(number)), 0
            )
        full = idempotency_keys_module.reserve_key(
            registry, make_reservation(), 0
        )
        self.assertIs(full.state, idempotency_keys_module.RequestState.FULL)
        later = idempotency_keys_module.reserve_key(
            registry, make_reservation(), 1000
        )
        self.assertIs(later.state, idempotency_keys_module.RequestState.FRESH)
        self.assertEqual(len(registry.record_by_key), 1)

    def test_a_large_answer_is_not_stored(self) -> None:
        answer = idempotency_keys_module.StoredAnswer(
            status=200,
            content_type='',
            body=b'x' * (idempotency_keys_module.MAX_ANSWER_BYTES + 1),
        )
        self.assertIs(
            idempotency_keys_module.make_outcome(answer).state,
            idempotency_keys_module.RequestState.UNKNOWN,
        )


class CallerRetryTest(unittest.IsolatedAsyncioTestCase):
    """Retries through other entries, after a lost answer or a lost VM."""

    def send(
        self,
        system,
        idempotency_key: str,
        vm_index: int,
        body: bytes = b'letter',
    ):
        """Send a request with an idempotency key to the entry of a VM."""
        return system.call(
            'POST',
            '/cases/7/letters',
            vm_index=vm_index,
            body=body,
            headers={'Idempotency-Key': idempotency_key},
        )

    def count_executions(self, system, idempotency_key: str) -> int:
        """Count the executions of requests with an idempotency key."""
        journal_findings = journal_analysis.analyse_journals(
            journal_analysis.read_journals(system.cluster),
        )
        return journal_findings.execution_count_by_key[idempotency_key]

    async def test_retries_are_not_executed_again(self) -> None:
        venture = user_topologies.make_venture_topology(
            vms=4, keyed=2, pooled=1, slots=8
        )
        async with systems.run_system(venture) as system:
            first = (await self.send(system, 'after', 0)).unwrap()
            again = (await self.send(system, 'after', 1)).unwrap()
            self.assertEqual((first.status, again.status), (200, 200))
            self.assertEqual(first.body, again.body)
            self.assertEqual(again.headers[idempotency.REPLAY_HEADER], 'true')
            reused = await self.send(system, 'after', 2, b'other')
            self.assertEqual(reused.unwrap().status, 422)
            concurrent = await asyncio.gather(
                *(
                    self.send(system, 'at-once', vm_index)
                    for vm_index in range(4)
                ),
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
        venture = user_topologies.make_venture_topology(
            vms=2, keyed=1, pooled=1, slots=8
        )
        async with systems.run_system(venture) as system:
            await system_client.set_faults(
                system.cluster,
                system.client,
                'cases-1',
                upstream_server.FaultsMessage(close_unanswered=1),
            )
            for vm_index in (0, 1):
                called = await self.send(system, 'unanswered', vm_index)
                answer = json.loads(called.unwrap().body)
                self.assertEqual(answer['kind'], errors.ErrorKind.UPSTREAM_LOST)
            self.assertEqual(self.count_executions(system, 'unanswered'), 1)

    async def test_keys_survive_the_loss_of_a_vm(self) -> None:
        venture = user_topologies.make_venture_topology(
            vms=4, keyed=2, pooled=1, slots=8
        )
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
                await cluster.kill_process(system.cluster, process)
            for number, key in enumerate(idempotency_keys):
                called = await self.send(system, key, (number + 1) % 3)
                self.assertEqual(called.unwrap().status, 200)
                self.assertEqual(self.count_executions(system, key), 1)
