"""Test the soak: that a short one finds nothing, and that it can find."""

import math
import pathlib
import tempfile
import time
import unittest

from lentilgauge.load import soak, soak_judge
from lentilgauge.standins import dialect_holds, dialect_upstream


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Run real gateways under faults drawn by a fixed seed."""

    async def test_a_short_soak_breaks_no_promise(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            outcome = await soak.run_plan(
                soak.Plan(
                    seed=5,
                    seconds=20,
                    timed=False,
                    folder=pathlib.Path(folder),
                ),
            )
        self.assertEqual(outcome.judge.findings, [])
        self.assertGreater(outcome.judge.counted['200'], 0)


class JudgeTest(unittest.IsolatedAsyncioTestCase):
    """Show each broken promise to the judge."""

    async def asyncSetUp(self) -> None:
        """Start two upstreams that hold nothing."""
        self.upstreams = {
            name: dialect_upstream.Upstream(name, keyed=True)
            for name in ('u0', 'u1')
        }
        self.judge = soak_judge.Judge(upstream_by_id=self.upstreams)

    async def asyncTearDown(self) -> None:
        """Stop them."""
        for upstream in self.upstreams.values():
            await upstream.close()

    def send(self, request_id: str, *, unsafe: bool = True) -> None:
        """Send a request through a VM."""
        soak_judge.note_sent(
            self.judge,
            request_id,
            soak_judge.Sent(vm='vm', unsafe=unsafe, at=time.monotonic()),
        )

    def begin(self, request_id: str, upstream: str = 'u0') -> None:
        """Let an upstream begin a request."""
        soak_judge.note_begun(
            self.judge,
            dialect_upstream.Begun(
                upstream=upstream,
                request_id=request_id,
                target='/x',
                key=7,
                deadline_ms=100,
            ),
        )

    def answer(self, request_id: str, status: int, of: str = '') -> None:
        """Let a caller be answered, with the answer to some request."""
        soak_judge.note_answer(
            self.judge,
            request_id,
            status,
            {'id': of or request_id, 'by': 'u0'},
            'seal-u0',
        )

    def hold(self, upstream: str, start: int = 0) -> dialect_holds.Hold:
        """Let an upstream hold keys for a while."""
        hold = dialect_holds.Hold(
            start=start,
            end=100,
            fence=1,
            until=time.monotonic() + 60,
        )
        dialect_holds.take_keys(self.upstreams[upstream].holdings, hold)
        return hold

    def assert_found(self, *wanted: str) -> None:
        """Check what was found, by the first word or two."""
        found = [text.partition(':')[0] for text in self.judge.findings]
        self.assertEqual(found, list(wanted))

    async def test_a_request_that_goes_well_is_no_finding(self) -> None:
        self.send('r')
        self.begin('r')
        self.answer('r', 200)
        self.assert_found()

    async def test_running_twice(self) -> None:
        self.send('r')
        self.begin('r')
        self.begin('r')
        self.send('safe', unsafe=False)
        self.begin('safe')
        self.begin('safe', 'u1')
        self.assert_found('twice')

    async def test_what_nobody_sent(self) -> None:
        self.begin('r')
        self.assert_found('unasked')

    async def test_false_refusals(self) -> None:
        self.send('early')
        self.begin('early')
        self.answer('early', 503)
        self.send('late')
        self.answer('late', 429)
        self.begin('late')
        self.assert_found('refused but run', 'refused, then run')

    async def test_another_requests_answer(self) -> None:
        self.send('r')
        self.answer('r', 200, of='other')
        self.assert_found('mixed')

    async def test_two_owners(self) -> None:
        self.hold('u1')
        self.send('r')
        self.begin('r')
        self.assert_found('two owners')

    async def test_a_grant_of_held_keys(self) -> None:
        self.hold('u0')
        soak_judge.note_granted(self.judge, 'u1', self.hold('u1', start=50))
        self.assert_found('granted twice')
        soak_judge.note_thaw(self.judge)
        soak_judge.note_granted(self.judge, 'u1', self.hold('u1', start=50))
        self.assert_found('granted twice')

    async def test_too_much_for_a_cold_upstream(self) -> None:
        self.upstreams['u0'].warm_seconds = math.inf
        for number in range(13):
            self.send(f'r{number}')
            self.begin(f'r{number}')
        self.assert_found('cold')

    async def test_leaving_upstreams_and_emptied_domains(self) -> None:
        """Only gateways that were calm from before on are bound."""
        long_ago = soak_judge.Change(since=time.monotonic() - 60, bound=2)
        self.judge.leaving_by_upstream['u0'] = long_ago
        self.judge.emptied_by_domain['z1'] = long_ago
        soak_judge.disturb(self.judge, 'vm')
        self.send('r')
        self.begin('r')
        self.assert_found()
        self.judge.calm_since.clear()
        self.begin('r', 'u1')
        self.assert_found('twice', 'emptied')

    async def test_configurations(self) -> None:
        now = time.monotonic()
        self.judge.published = {1: now - 90, 4: now - 60}
        soak_judge.note_version_served(self.judge, 'vm', 'vm/1', 4, now)
        soak_judge.note_version_missing(self.judge, 'vm', 1, now)
        self.assert_found()
        soak_judge.note_version_served(self.judge, 'vm', 'vm/1', 1, now)
        soak_judge.note_version_missing(self.judge, 'vm', 4, now)
        self.assert_found('reverted', 'old configuration', 'old configuration')
