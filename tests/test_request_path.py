"""Tests of the path from a caller to the upstream that owns its key."""

import json
import unittest

from lentilgauge.load import journal_analysis, system_client, user_topologies
from lentilgauge.standins import upstream_server
from tests import systems


def make_topology():
    """Make the venture's topology with 3 VMs and 4 upstreams."""
    return user_topologies.make_venture_topology(
        vms=3, keyed=3, pooled=1, slots=32
    )


class RequestPathTest(unittest.IsolatedAsyncioTestCase):
    """Requests through real processes."""

    async def test_each_caller_gets_its_own_answer(self) -> None:
        async with systems.run_system(make_topology()) as system:
            for number in range(30):
                called = await system.call(
                    'POST',
                    f'/cases/{number}/letters',
                    vm_index=number % 3,
                    body=f'nonce-{number}'.encode(),
                )
                answer = json.loads(called.unwrap().body)
                self.assertEqual(answer['echo'], f'nonce-{number}')
                self.assertEqual(
                    answer['path'],
                    f'POST /cases/{number}/letters',
                )

    async def test_hazard_3_and_4_wrong_answers_reach_no_caller(self) -> None:
        """A truncated body or another request's answer must be an error."""
        async with systems.run_system(make_topology()) as system:
            for faults, kind in (
                (upstream_server.FaultsMessage(cut_bodies=1), 'upstream_lost'),
                (upstream_server.FaultsMessage(wrong_ids=1), 'answer_invalid'),
            ):
                await system_client.set_faults(
                    system.cluster,
                    system.client,
                    'settlements-1',
                    faults,
                )
                called = await system.call('POST', '/settlements', body=b'one')
                reply = called.unwrap()
                answer = json.loads(reply.body)
                self.assertEqual(reply.status, 502)
                self.assertEqual(answer['kind'], kind)
                self.assertEqual(answer['ran'], 'unknown')
            journal_findings = journal_analysis.analyse_journals(
                journal_analysis.read_journals(system.cluster),
            )
            # Each request was sent and executed once: none was retried.
            self.assertEqual(len(journal_findings.executions), 2)
