"""Test the path from a caller to the upstream that owns its key."""

import json
import unittest

from lentilgauge.load import journals, observer, users
from lentilgauge.standins import upstream_server
from tests import systems


def make_shape():
    """Make a venture of three VMs and four upstreams."""
    return users.make_venture(vms=3, keyed=3, pooled=1, slots=32)


class WholePathTest(unittest.IsolatedAsyncioTestCase):
    """Send requests through real processes."""

    async def test_each_caller_gets_its_own_answer(self) -> None:
        async with systems.run_system(make_shape()) as system:
            for number in range(30):
                sent = await system.call(
                    'POST',
                    f'/cases/{number}/letters',
                    vm=number % 3,
                    body=f'nonce-{number}'.encode(),
                )
                answer = json.loads(sent.unwrap().body)
                self.assertEqual(answer['echo'], f'nonce-{number}')
                self.assertEqual(
                    answer['path'],
                    f'POST /cases/{number}/letters',
                )

    async def test_hazard_3_and_4_wrong_answers_reach_nobody(self) -> None:
        """Cut a body, then answer with another request's id."""
        async with systems.run_system(make_shape()) as system:
            for faults, kind in (
                (upstream_server.FaultsMessage(cut_bodies=1), 'upstream_lost'),
                (upstream_server.FaultsMessage(wrong_ids=1), 'answer_invalid'),
            ):
                await observer.set_faults(
                    system.cluster,
                    system.client,
                    'settlements-1',
                    faults,
                )
                sent = await system.call('POST', '/settlements', body=b'one')
                reply = sent.unwrap()
                answer = json.loads(reply.body)
                self.assertEqual(reply.status, 502)
                self.assertEqual(answer['kind'], kind)
                self.assertEqual(answer['ran'], 'unknown')
            findings = journals.judge_journals(
                journals.read_journals(system.cluster),
            )
            # Each was sent once and ran once: neither was tried again.
            self.assertEqual(len(findings.runs), 2)
