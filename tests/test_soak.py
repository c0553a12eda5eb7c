"""Test a short soak, and that its checker reports violations."""

import math
import pathlib
import tempfile
import time
import unittest

from lentilgauge.load import soak, soak_checker
from lentilgauge.standins import gateway_upstream, key_holds


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Real gateways run under random faults drawn from a fixed seed."""

    async def test_a_short_soak_violates_no_guarantee(self) -> None:
        """Guard against violations, without the bounds in time.

        A busy machine couldn't keep to these.
        """
        with tempfile.TemporaryDirectory() as folder:
            outcome = await soak.run_plan(
                soak.Plan(
                    seed=5,
                    fault_seconds=20,
                    checks_time_bounds=False,
                    folder=pathlib.Path(folder),
                ),
            )
        self.assertEqual(outcome.checker.violations, [])
        self.assertGreater(outcome.checker.event_counts['200'], 0)


class CheckerTest(unittest.IsolatedAsyncioTestCase):
    """The checker reports violations, and nothing else.

    The tests make the observations that a soak's callers and upstreams would.
    """

    async def asyncSetUp(self) -> None:
        """Start two upstreams without holds."""
        self.upstreams = {
            name: gateway_upstream.Upstream(name, sharded=True)
            for name in ('u0', 'u1')
        }
        self.checker = soak_checker.Checker(upstream_by_id=self.upstreams)

    async def asyncTearDown(self) -> None:
        """Stop the upstreams."""
        for upstream in self.upstreams.values():
            await upstream.close()

    def send(self, request_id: str, *, unsafe: bool = True) -> None:
        """Record that a caller sent a request through a VM.

        It must not run twice if it is unsafe.
        """
        soak_checker.record_sent(
            self.checker,
            request_id,
            soak_checker.TrackedRequest(
                vm='vm', unsafe=unsafe, sent_at=time.monotonic()
            ),
        )

    def begin_execution(self, request_id: str, upstream: str = 'u0') -> None:
        """Record that an upstream began to execute a request."""
        soak_checker.check_execution(
            self.checker,
            gateway_upstream.Execution(
                upstream=upstream,
                request_id=request_id,
                target='/x',
                key=7,
                deadline_ms=100,
            ),
        )

    def answer(
        self,
        request_id: str,
        status: int,
        answered_id: str = '',
    ) -> None:
        """Record that a caller was answered.

        The answer may be that to another request, `answered_id`.
        """
        soak_checker.check_answer(
            self.checker,
            request_id,
            status,
            {'id': answered_id or request_id, 'by': 'u0'},
            'seal-u0',
        )

    def hold(self, upstream: str, start: int = 0) -> key_holds.Hold:
        """Have an upstream hold keys up to 100 for 60 s."""
        hold = key_holds.Hold(
            start=start,
            end=100,
            fence=1,
            expires_at=time.monotonic() + 60,
        )
        key_holds.accept_grant(self.upstreams[upstream].hold_table, hold)
        return hold

    def assert_violations(self, *expected_kinds: str) -> None:
        """Check the kinds of the violations, the text before each colon."""
        kinds = [text.partition(':')[0] for text in self.checker.violations]
        self.assertEqual(kinds, list(expected_kinds))

    async def test_a_successful_request_is_no_violation(self) -> None:
        """Guard against false alarms."""
        self.send('r')
        self.begin_execution('r')
        self.answer('r', 200)
        self.assert_violations()

    async def test_second_execution_of_an_unsafe_request(self) -> None:
        """Guard against an unnoticed second execution; a safe one may recur."""
        self.send('r')
        self.begin_execution('r')
        self.begin_execution('r')
        self.send('safe', unsafe=False)
        self.begin_execution('safe')
        self.begin_execution('safe', 'u1')
        self.assert_violations('twice')

    async def test_execution_of_a_request_that_nobody_sent(self) -> None:
        """Guard against unnoticed requests without a caller."""
        self.begin_execution('r')
        self.assert_violations('unasked')

    async def test_execution_of_refused_requests(self) -> None:
        """Guard against unnoticed false refusals.

        The execution may begin before the caller is refused, or after.
        """
        self.send('early')
        self.begin_execution('early')
        self.answer('early', 503)
        self.send('late')
        self.answer('late', 429)
        self.begin_execution('late')
        self.assert_violations('refused but run', 'refused, then run')

    async def test_another_requests_answer(self) -> None:
        """Guard against answers that are unnoticed when mixed up."""
        self.send('r')
        self.answer('r', 200, answered_id='other')
        self.assert_violations('mixed')

    async def test_execution_without_ownership(self) -> None:
        """Guard against unnoticed requests to an upstream without the key."""
        self.hold('u1')
        self.send('r')
        self.begin_execution('r')
        self.assert_violations('two owners')

    async def test_a_grant_of_held_keys(self) -> None:
        """Guard against unnoticed overlapping grants.

        A grant that arrives right after a paused gateway has resumed is
        exempt.
        """
        self.hold('u0')
        soak_checker.check_grant(self.checker, 'u1', self.hold('u1', start=50))
        self.assert_violations('granted twice')
        soak_checker.record_resume(self.checker)
        soak_checker.check_grant(self.checker, 'u1', self.hold('u1', start=50))
        self.assert_violations('granted twice')

    async def test_excess_requests_for_a_cold_upstream(self) -> None:
        """Guard against an unnoticed load above the cold-start rate."""
        self.upstreams['u0'].cold_until_seconds = math.inf
        for number in range(13):
            self.send(f'r{number}')
            self.begin_execution(f'r{number}')
        self.assert_violations('cold')

    async def test_requests_to_draining_upstreams_and_domains(self) -> None:
        """Guard against unnoticed requests to an evacuated failure domain.

        The bound applies only to a gateway undisturbed since before the change.
        """
        old_change = soak_checker.BoundedChange(
            since=time.monotonic() - 60, bound_seconds=2
        )
        self.checker.draining_by_upstream['u0'] = old_change
        self.checker.evacuated_by_domain['z1'] = old_change
        soak_checker.begin_disturbance(self.checker, 'vm')
        self.send('r')
        self.begin_execution('r')
        self.assert_violations()
        self.checker.undisturbed_since.clear()
        self.begin_execution('r', 'u1')
        self.assert_violations('twice', 'emptied')

    async def test_outdated_configurations(self) -> None:
        """Guard against unnoticed use of a configuration after its bound.

        A gateway must neither return to an earlier version nor lack the newest.
        """
        now = time.monotonic()
        self.checker.published_at_by_version = {1: now - 90, 4: now - 60}
        soak_checker.check_version_served(self.checker, 'vm', 'vm/1', 4, now)
        soak_checker.check_version_missing(self.checker, 'vm', 1, now)
        self.assert_violations()
        soak_checker.check_version_served(self.checker, 'vm', 'vm/1', 1, now)
        soak_checker.check_version_missing(self.checker, 'vm', 4, now)
        self.assert_violations(
            'reverted', 'old configuration', 'old configuration'
        )
