"""Test that nothing runs twice or is cut off, with real processes."""

import asyncio
import json
import unittest

from lentilgauge import errors
from lentilgauge.load import cluster, journals, observer, topology
from lentilgauge.standins import upstream_server
from tests import systems, test_faults


class OnceOnlyTest(unittest.IsolatedAsyncioTestCase):
    """Test that nothing that isn't idempotent runs twice."""

    async def test_hazard_1_and_2_an_unanswered_letter_is_unknown(self):
        """Close a kept connection after the execution, unanswered."""
        async with systems.run_system(test_faults.make_shape()) as system:
            await system.call('POST', '/settlements', body=b'warm')
            for upstream_id in ('settlements-1', 'settlements-2'):
                await observer.set_faults(
                    system.cluster,
                    system.client,
                    upstream_id,
                    upstream_server.FaultsMessage(close_unanswered=4),
                )
            for number in range(4):
                sent = await system.call(
                    'POST',
                    '/settlements',
                    body=b'once',
                    headers={'Idempotency-Key': f'once-{number}'},
                )
                answer = json.loads(sent.unwrap().body)
                self.assertEqual(answer['kind'], errors.ErrorKind.UPSTREAM_LOST)
                self.assertEqual(answer['ran'], errors.Ran.UNKNOWN)
            findings = journals.judge_journals(
                journals.read_journals(system.cluster),
            )
            counts = [
                findings.count_by_key[f'once-{number}'] for number in range(4)
            ]
            self.assertEqual(counts, [1, 1, 1, 1])

    async def test_hazard_15_a_planned_stop_cuts_nothing_off(self) -> None:
        async with systems.run_system(test_faults.make_shape()) as system:
            entry = topology.name_entry(system.vms[0])
            stopping = asyncio.ensure_future(
                cluster.terminate(system.cluster, entry),
            )
            sent = await asyncio.gather(
                *(
                    system.call('GET', f'/cases/{number}')
                    for number in range(100)
                ),
            )
            statuses = {one.unwrap().status for one in sent}
            self.assertEqual(statuses, {200})
            closing = {one.unwrap().headers['Connection'] for one in sent}
            self.assertLessEqual(closing, {'close', 'keep-alive'})
            await stopping
