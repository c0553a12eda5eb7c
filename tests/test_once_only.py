"""Tests with real processes that no request runs twice or is aborted."""

import asyncio
import json
import unittest

from lentilgauge import errors
from lentilgauge.load import cluster, journal_analysis, system_client, topology
from lentilgauge.standins import upstream_server
from tests import systems, test_faults


class OnceOnlyTest(unittest.IsolatedAsyncioTestCase):
    """Requests whose answers are lost or whose entry is stopped."""

    async def test_hazard_1_and_2_an_unanswered_request_is_unknown(self):
        """A lost answer must not lead to a second execution.

        The upstream executes the request and closes the persistent connection
        without an answer; the caller learns that the outcome is unknown.
        """
        async with systems.run_system(test_faults.make_topology()) as system:
            await system.call('POST', '/settlements', body=b'warm')
            for upstream_id in ('settlements-1', 'settlements-2'):
                await system_client.set_faults(
                    system.cluster,
                    system.client,
                    upstream_id,
                    upstream_server.FaultsMessage(close_unanswered=4),
                )
            for number in range(4):
                called = await system.call(
                    'POST',
                    '/settlements',
                    body=b'once',
                    headers={'Idempotency-Key': f'once-{number}'},
                )
                answer = json.loads(called.unwrap().body)
                self.assertEqual(answer['kind'], errors.ErrorKind.UPSTREAM_LOST)
                self.assertEqual(answer['ran'], errors.ExecutionClaim.UNKNOWN)
            journal_findings = journal_analysis.analyse_journals(
                journal_analysis.read_journals(system.cluster),
            )
            execution_counts = [
                journal_findings.execution_count_by_key[f'once-{number}']
                for number in range(4)
            ]
            self.assertEqual(execution_counts, [1, 1, 1, 1])

    async def test_hazard_15_a_planned_stop_aborts_no_request(self) -> None:
        """An entry that is stopped must finish the requests in flight."""
        async with systems.run_system(test_faults.make_topology()) as system:
            entry = topology.name_entry(system.vms[0])
            stopping = asyncio.ensure_future(
                cluster.terminate_process(system.cluster, entry),
            )
            called = await asyncio.gather(
                *(
                    system.call('GET', f'/cases/{number}')
                    for number in range(100)
                ),
            )
            statuses = {call_result.unwrap().status for call_result in called}
            self.assertEqual(statuses, {200})
            connection_headers = {
                call_result.unwrap().headers['Connection']
                for call_result in called
            }
            self.assertLessEqual(connection_headers, {'close', 'keep-alive'})
            await stopping
