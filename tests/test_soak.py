"""Tests of a short soak, and of the checker that reports its violations."""

import math
import pathlib
import tempfile
import time
import unittest

from lentilgauge.load import soak, soak_checker, soak_versions
from lentilgauge.standins import gateway_upstream, key_holds


class SoakTest(unittest.IsolatedAsyncioTestCase):
    """Real gateways run under faults drawn from a fixed seed."""

    async def test_a_short_soak_violates_no_guarantee(self) -> None:
        """Check every guarantee except the bounds in time.

        On a busy machine the gateways can't keep to those bounds.
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
            kept_logs = None
            if outcome.checker.violations:
                kept_logs = soak.keep_logs(pathlib.Path(folder), seed=5)
        self.assertEqual(outcome.checker.violations, [], f'logs: {kept_logs}')
        self.assertGreater(outcome.checker.event_counts['200'], 0)


class CheckerTest(unittest.IsolatedAsyncioTestCase):
    """The checker reports violations and raises no false alarms.

    The tests record what the callers and upstreams of a soak would observe.
    """

    async def asyncSetUp(self) -> None:
        """Make two upstreams to which no keys are granted."""
        self.upstreams = {
            name: gateway_upstream.Upstream(name, sharded=True)
            for name in ('u0', 'u1')
        }
        self.checker = soak_checker.Checker(upstream_by_id=self.upstreams)

    async def asyncTearDown(self) -> None:
        """Stop the upstreams."""
        for upstream in self.upstreams.values():
            await upstream.close()

    def record_request(self, request_id: str, *, unsafe: bool = True) -> None:
        """Record that a caller sent a request through a VM.

        An unsafe request must be executed at most once.
        """
        soak_checker.record_sent(
            self.checker,
            request_id,
            soak_checker.TrackedRequest(
                vm='vm', unsafe=unsafe, sent_at=time.monotonic()
            ),
        )

    def record_execution(self, request_id: str, upstream: str = 'u0') -> None:
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

    def record_answer(
        self,
        request_id: str,
        status: int,
        answered_id: str = '',
    ) -> None:
        """Record that a caller was answered.

        With `answered_id`, the caller got the answer to that other request.
        """
        soak_checker.check_answer(
            self.checker,
            request_id,
            status,
            {'id': answered_id or request_id, 'by': 'u0'},
            # The seal header names the upstream that answered.
            'seal-u0',
        )

    def grant_hold(
        self, upstream: str, start: int = 0, fence: int = 1
    ) -> key_holds.Hold:
        """Grant an upstream the keys from `start` to 100 for 60 s."""
        hold = key_holds.Hold(
            start=start,
            end=100,
            fence=fence,
            expires_at=time.monotonic() + 60,
        )
        key_holds.accept_grant(self.upstreams[upstream].hold_table, hold)
        return hold

    def assert_violations(self, *expected_kinds: str) -> None:
        """Check the kinds of the violations: the text before each colon."""
        kinds = [text.partition(':')[0] for text in self.checker.violations]
        self.assertEqual(kinds, list(expected_kinds))

    async def test_a_successful_request_is_no_violation(self) -> None:
        """A request that is sent, executed once and answered isn't reported."""
        self.record_request('r')
        self.record_execution('r')
        self.record_answer('r', 200)
        self.assert_violations()

    async def test_second_execution_of_an_unsafe_request(self) -> None:
        """Only unsafe requests are reported when they are executed again."""
        self.record_request('r')
        self.record_execution('r')
        self.record_execution('r')
        self.record_request('safe', unsafe=False)
        self.record_execution('safe')
        self.record_execution('safe', 'u1')
        self.assert_violations('twice')

    async def test_execution_of_a_request_that_nobody_sent(self) -> None:
        """The execution of a request that no caller sent is reported."""
        self.record_execution('r')
        self.assert_violations('unasked')

    async def test_execution_of_refused_requests(self) -> None:
        """A request that is executed although it is refused is reported.

        The execution may begin before the caller is refused, or after.
        """
        self.record_request('early')
        self.record_execution('early')
        self.record_answer('early', 503)
        self.record_request('late')
        self.record_answer('late', 429)
        self.record_execution('late')
        self.assert_violations('refused but run', 'refused, then run')

    async def test_answer_to_another_request(self) -> None:
        """A caller that gets the answer to another request is reported."""
        self.record_request('r')
        self.record_answer('r', 200, answered_id='other')
        self.assert_violations('mixed')

    async def test_execution_while_another_upstream_holds_the_key(self) -> None:
        """An execution is reported if another upstream holds the key."""
        self.grant_hold('u1')
        self.record_request('r')
        self.record_execution('r')
        self.assert_violations('two owners')

    async def test_a_grant_of_held_keys(self) -> None:
        """A grant of keys that another upstream still holds is reported.

        A grant that arrives right after a paused gateway has resumed is
        exempt.
        """
        self.grant_hold('u0')
        soak_checker.check_grant(
            self.checker, 'u1', self.grant_hold('u1', start=50)
        )
        self.assert_violations('granted twice')
        soak_checker.record_resume(self.checker)
        soak_checker.check_grant(
            self.checker, 'u1', self.grant_hold('u1', start=50)
        )
        self.assert_violations('granted twice')

    def check_grant(self, upstream: str, fence: int) -> None:
        """Grant the keys up to 100 to an upstream and check the grant."""
        soak_checker.check_grant(
            self.checker, upstream, self.grant_hold(upstream, fence=fence)
        )

    async def test_a_token_that_does_not_rise_between_lives(self) -> None:
        """A token that an earlier process of the id had is reported.

        A renewal to one process may repeat its token.
        """
        self.check_grant('u0', 4)
        self.check_grant('u0', 4)
        self.assert_violations()
        self.upstreams['u0'].restart()
        self.check_grant('u0', 5)
        self.assert_violations()
        self.upstreams['u0'].restart()
        self.check_grant('u0', 5)
        self.check_grant('u0', 6)
        self.assert_violations('token')

    async def test_a_token_that_does_not_rise_between_ids(self) -> None:
        """A token is compared with those of upstreams that have ended, too."""
        self.check_grant('u0', 4)
        self.upstreams['u0'].restart()
        self.check_grant('u1', 4)
        self.check_grant('u1', 3)
        self.check_grant('u1', 5)
        self.assert_violations('token', 'token')

    async def test_an_expired_grant_gives_no_right(self) -> None:
        """A grant that was carried out after its expiry isn't compared."""
        self.check_grant('u0', 4)
        expired_hold = key_holds.Hold(start=0, end=9, fence=4, expires_at=0)
        self.upstreams['u0'].restart()
        soak_checker.check_grant(self.checker, 'u1', expired_hold)
        self.assert_violations()

    async def test_excess_requests_for_a_cold_upstream(self) -> None:
        """A load above the allowed cold-start rate is reported."""
        self.upstreams['u0'].cold_until_seconds = math.inf
        # One more than the 12 requests that are allowed in any second.
        for number in range(13):
            self.record_request(f'r{number}')
            self.record_execution(f'r{number}')
        self.assert_violations('cold')

    async def test_late_requests_to_an_evacuated_domain(self) -> None:
        """Late requests to an evacuated failure domain are reported.

        The bound in time, like that for a draining upstream, applies only to a
        gateway that has been undisturbed since before the change.
        """
        old_change = soak_checker.BoundedChange(
            since=time.monotonic() - 60, bound_seconds=2
        )
        self.checker.draining_by_upstream['u0'] = old_change
        self.checker.evacuated_by_domain['z1'] = old_change
        soak_checker.begin_disturbance(self.checker, 'vm')
        self.record_request('r')
        self.record_execution('r')
        self.assert_violations()
        self.checker.undisturbed_since.clear()
        self.record_execution('r', 'u1')
        self.assert_violations('twice', 'emptied')

    async def test_outdated_configurations(self) -> None:
        """A gateway that serves an outdated configuration is reported.

        It must never return to an earlier version, and must serve the newest
        one within a bound in time.
        """
        now = time.monotonic()
        self.checker.published_at_by_version = {1: now - 90, 4: now - 60}
        soak_versions.check_version_served(self.checker, 'vm', 'vm/1', 4, now)
        soak_versions.check_version_missing(self.checker, 'vm', 1, now)
        self.assert_violations()
        soak_versions.check_version_served(self.checker, 'vm', 'vm/1', 1, now)
        soak_versions.check_version_missing(self.checker, 'vm', 4, now)
        self.assert_violations(
            'reverted', 'old configuration', 'old configuration'
        )
