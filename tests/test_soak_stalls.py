"""Tests of grants that are read late, as the soak's own process stood still."""

import asyncio
import json
import socket
import time
import unittest

from lentilgauge.load import soak_checker, soak_stalls
from lentilgauge.platform import headers
from lentilgauge.standins import gateway_upstream, key_holds

#: In this time a grant that has arrived is read.
_READING_SECONDS = 0.1
_STALL_SECONDS = soak_stalls.MIN_STALL_SECONDS + 0.2
#: Far longer than any test.
_HOLD_SECONDS = 60


class StallsTest(unittest.TestCase):
    """A stall is as long as a grant's timeout at least, and soon forgotten."""

    def setUp(self) -> None:
        """Record a first heartbeat, at 10 s."""
        self.stalls = soak_stalls.Stalls()
        soak_stalls.record_beat(self.stalls, 10)

    def test_a_shorter_delay_is_no_stall(self) -> None:
        """Guard against an exemption where no grant could have timed out."""
        now = 10 + soak_stalls.MIN_STALL_SECONDS - 0.01
        self.assertFalse(soak_stalls.is_aftermath(self.stalls, now))
        soak_stalls.record_beat(self.stalls, now)
        self.assertFalse(soak_stalls.is_aftermath(self.stalls, now))
        self.assertEqual(self.stalls.lengths_seconds, [])

    def test_the_aftermath_of_a_stall_ends(self) -> None:
        """Guard against an exemption long after a stall.

        What is read before the overdue heartbeat belongs to the aftermath.
        """
        end = 10 + soak_stalls.MIN_STALL_SECONDS + 0.01
        self.assertTrue(soak_stalls.is_aftermath(self.stalls, end))
        soak_stalls.record_beat(self.stalls, end)
        self.assertEqual(len(self.stalls.lengths_seconds), 1)
        late = end + soak_stalls.AFTERMATH_SECONDS
        soak_stalls.record_beat(self.stalls, late - 0.01)
        self.assertTrue(soak_stalls.is_aftermath(self.stalls, late - 0.01))
        self.assertFalse(soak_stalls.is_aftermath(self.stalls, late + 0.01))


class LateGrantTest(unittest.IsolatedAsyncioTestCase):
    """Only a grant that waited while the soak stood still is exempt."""

    async def asyncSetUp(self) -> None:
        """Start two upstreams."""
        self.upstream_by_id = {
            name: gateway_upstream.Upstream(name, sharded=True)
            for name in ('u0', 'u1')
        }
        self.checker = soak_checker.Checker(upstream_by_id=self.upstream_by_id)
        callbacks = gateway_upstream.Callbacks(
            grant_accepted=lambda name, hold: soak_checker.check_grant(
                self.checker, name, hold
            ),
        )
        for upstream in self.upstream_by_id.values():
            upstream.callbacks = callbacks

    async def asyncTearDown(self) -> None:
        """Stop the upstreams."""
        for upstream in self.upstream_by_id.values():
            await upstream.close()

    def grant_hold(self, upstream: str, fence: int) -> None:
        """Grant an upstream the keys 0 to 100 at once."""
        hold = key_holds.Hold(
            start=0,
            end=100,
            fence=fence,
            expires_at=time.monotonic() + _HOLD_SECONDS,
        )
        key_holds.accept_grant(self.upstream_by_id[upstream].hold_table, hold)
        soak_checker.check_grant(self.checker, upstream, hold)

    def send_grant(self, upstream: str, fence: int) -> None:
        """Send a grant of these keys, and close the connection."""
        order = {
            'startKey': 0,
            'target': 100,
            'fence': fence,
            'hold_time': f'{_HOLD_SECONDS}000ms',
        }
        body = json.dumps(order).encode()
        head = (
            f'POST /grant HTTP/1.1\r\nHost: {upstream}\r\n'
            f'{headers.EXPECTED_INSTANCE}: {upstream}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        with socket.create_connection(
            ('127.0.0.1', self.upstream_by_id[upstream].port)
        ) as connection:
            connection.sendall(head.encode() + body)

    def send_grant_and_stall(self, upstream: str, fence: int) -> None:
        """Send a grant, then block the event loop."""
        self.send_grant(upstream, fence)
        time.sleep(_STALL_SECONDS)

    async def read_grant(self, upstream: str, fence: int) -> None:
        """Send a grant that is read at once."""
        self.send_grant(upstream, fence)
        await asyncio.sleep(_READING_SECONDS)
        self.assertTrue(self.upstream_by_id[upstream].holds_key(7))

    async def read_grant_late(self, upstream: str, fence: int) -> None:
        """Send a grant that is read after a stall, which is measured."""
        heartbeat = asyncio.ensure_future(
            soak_stalls.keep_measuring(self.checker.stalls)
        )
        await asyncio.sleep(_READING_SECONDS)
        self.send_grant_and_stall(upstream, fence)
        await asyncio.sleep(_READING_SECONDS)
        self.assertTrue(self.upstream_by_id[upstream].holds_key(7))
        heartbeat.cancel()

    def record_execution(self, request_id: str, upstream: str) -> None:
        """Record that a request on the key 7 begins at an upstream."""
        soak_checker.record_sent(
            self.checker,
            request_id,
            soak_checker.TrackedRequest(
                vm='vm', unsafe=True, sent_at=time.monotonic()
            ),
        )
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

    def list_kinds(self, texts: list[str]) -> list[str]:
        """List the kinds of reports: the text before each colon."""
        return [text.partition(':')[0] for text in texts]

    async def test_a_grant_that_waited_during_a_stall_is_exempt(self) -> None:
        """Guard against a report of a grant that the soak itself held up.

        Its hold doesn't count later either, and the reports are kept.
        """
        self.grant_hold('u1', 5)
        await self.read_grant_late('u0', 4)
        self.record_execution('r0', 'u0')
        self.record_execution('r1', 'u1')
        self.assertEqual(self.checker.violations, [])
        self.assertEqual(
            self.list_kinds(self.checker.exemptions),
            ['token', 'granted twice', 'two owners', 'two owners'],
        )
        self.assertEqual(self.checker.event_counts['granted after a stall'], 1)
        self.assertGreater(max(self.checker.stalls.lengths_seconds), 0)

    async def test_a_renewal_after_a_late_grant_counts(self) -> None:
        """Guard against a process that is exempt for longer than its hold."""
        await self.read_grant_late('u0', 4)
        self.checker.stalls = soak_stalls.Stalls()
        self.grant_hold('u1', 5)
        self.assertEqual(self.checker.violations, [])
        self.grant_hold('u0', 6)
        self.record_execution('r0', 'u1')
        self.assertEqual(
            self.list_kinds(self.checker.violations),
            ['granted twice', 'two owners'],
        )

    async def test_a_grant_without_a_stall_counts(self) -> None:
        """Guard against an exemption without a measured stall."""
        self.grant_hold('u1', 5)
        await self.read_grant('u0', 4)
        self.record_execution('r0', 'u0')
        self.assert_all_counted()

    async def test_a_grant_long_after_a_stall_counts(self) -> None:
        """Guard against an exemption beyond a stall's aftermath."""
        self.checker.stalls.ended_at = (
            time.monotonic() - soak_stalls.AFTERMATH_SECONDS
        )
        self.grant_hold('u1', 5)
        await self.read_grant('u0', 4)
        self.record_execution('r0', 'u0')
        self.assert_all_counted()

    def assert_all_counted(self) -> None:
        """Check that the keys' two holders are reported, and nothing exempt."""
        self.assertEqual(
            self.list_kinds(self.checker.violations),
            ['token', 'granted twice', 'two owners'],
        )
        self.assertEqual(self.checker.exemptions, [])

    async def test_keys_granted_on_too_early_count_after_a_stall(self) -> None:
        """Guard against an exemption of the later of two grants.

        The granter sent it while the other, read in time, was in force.
        """
        self.grant_hold('u1', 4)
        await self.read_grant_late('u0', 5)
        self.record_execution('r0', 'u0')
        self.assertEqual(
            self.list_kinds(self.checker.violations),
            ['granted twice', 'two owners'],
        )
        self.assertEqual(self.checker.exemptions, [])

    async def test_equal_tokens_count_after_a_stall(self) -> None:
        """Guard against an exemption of a token that was allocated twice."""
        self.grant_hold('u1', 5)
        await self.read_grant_late('u0', 5)
        self.record_execution('r0', 'u0')
        self.assert_all_counted()
