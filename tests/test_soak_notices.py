"""Tests of the soak's checks of what upstreams say of themselves."""

import time
import unittest

from tornado import httputil

from lentilgauge.load import soak_checker, soak_notice_checks, soak_notices
from lentilgauge.platform import headers
from lentilgauge.standins import gateway_upstream

_PAUSE_SECONDS = 2.0
_BOUND_SECONDS = soak_checker.DRAIN_BOUND_SECONDS


class NoticeChecksTest(unittest.IsolatedAsyncioTestCase):
    """One VM is told by one upstream, and sends or doesn't send."""

    async def asyncSetUp(self) -> None:
        """Start an upstream and a checker."""
        self.upstream = gateway_upstream.Upstream('u', sharded=False)
        self.notices = soak_notices.Notices()
        self.undisturbed_since: dict[str, float] = {}

    async def asyncTearDown(self) -> None:
        """Stop the upstream."""
        await self.upstream.close()

    def is_late(self, sent_at: float) -> bool:
        """Return whether a request sent at a time is reported."""
        return soak_notices.check_departure(
            self.notices,
            'vm',
            self.upstream,
            sent_at=sent_at,
            undisturbed_since=self.undisturbed_since,
            bound_seconds=_BOUND_SECONDS,
        )

    def arrive(self, *moments: float) -> list[bool]:
        """Return for each arrival whether it is reported."""
        return [
            soak_notices.check_arrival(
                self.notices,
                'vm',
                self.upstream,
                moment,
                self.undisturbed_since,
            )
            for moment in moments
        ]

    async def test_requests_after_the_bound_are_reported(self) -> None:
        self.upstream.faults.leaving = True
        soak_notices.note_departure(self.notices, 'vm', self.upstream, 10)
        soak_notices.note_departure(self.notices, 'vm', self.upstream, 11)
        self.assertFalse(self.is_late(10 + _BOUND_SECONDS))
        self.assertTrue(self.is_late(10.1 + _BOUND_SECONDS))

    async def test_a_disturbed_vm_or_another_process_is_excused(self) -> None:
        self.upstream.faults.leaving = True
        soak_notices.note_departure(self.notices, 'vm', self.upstream, 10)
        self.undisturbed_since['vm'] = float('inf')
        self.assertFalse(self.is_late(99))
        self.undisturbed_since['vm'] = 9
        self.assertTrue(self.is_late(99))
        self.upstream.restart()
        self.assertFalse(self.is_late(99))

    async def test_an_upstream_that_stays_is_not_noted(self) -> None:
        soak_notices.note_departure(self.notices, 'vm', self.upstream, 10)
        self.assertFalse(self.is_late(99))

    async def test_the_third_request_in_a_pause_is_reported(self) -> None:
        self.upstream.faults.retry_after_seconds = _PAUSE_SECONDS
        soak_notices.note_refusal(self.notices, 'vm', self.upstream, 10)
        reports = self.arrive(10.1, 10.4, 10.6, 11, 11.9, 12.1, 12.2)
        self.assertEqual(
            reports, [False, False, False, False, True, False, False]
        )

    async def test_a_pause_excuses_a_disturbed_vm(self) -> None:
        self.upstream.faults.retry_after_seconds = _PAUSE_SECONDS
        soak_notices.note_refusal(self.notices, 'vm', self.upstream, 10)
        self.undisturbed_since['vm'] = 10.5
        self.assertFalse(any(self.arrive(10.6, 10.7, 10.8, 10.9)))

    async def test_another_process_has_asked_for_nothing(self) -> None:
        self.upstream.faults.retry_after_seconds = _PAUSE_SECONDS
        soak_notices.note_refusal(self.notices, 'vm', self.upstream, 10)
        self.upstream.restart()
        self.assertFalse(any(self.arrive(10.6, 10.7, 10.8, 10.9)))

    async def test_both_kinds_are_reported_by_the_checker(self) -> None:
        """Guard against checks that nothing calls with the right moments."""
        checker = soak_checker.Checker(upstream_by_id={'u': self.upstream})
        now = time.monotonic()
        checker.request_by_id['r'] = soak_checker.TrackedRequest(
            vm='vm', unsafe=False, sent_at=now + _BOUND_SECONDS + 1
        )
        self.upstream.faults.leaving = True
        soak_notice_checks.record_answer(
            checker,
            'r',
            httputil.HTTPHeaders(
                {headers.SEAL: 'seal-u', headers.LEAVING: '1'}
            ),
        )
        self.upstream.faults.retry_after_seconds = _PAUSE_SECONDS
        soak_notice_checks.record_refusal(checker, 'u', 'r')
        pause = checker.notices.pauses['vm', 'u']
        pause.told_at -= 1
        for _ in range(3):
            soak_notice_checks.check_arrival(checker, 'u', 'r')
        self.assertEqual(
            [violation.split(':')[0] for violation in checker.violations],
            ['departure', 'departure', 'pause', 'departure'],
        )
