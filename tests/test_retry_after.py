"""Test the `Retry-After` delays of refused callers."""

import itertools
import unittest

from lentilgauge.callers import retry_after
from lentilgauge.load import retry_schedule_bench

_ANSWER_INTERVAL_MS = 40
_REMAINING_MS = 1500


def make_busy_schedule() -> retry_after.RetrySchedule:
    """Make the schedule of a service that answers at a constant rate."""
    schedule = retry_after.RetrySchedule()
    for moment_ms in range(0, 20_000, _ANSWER_INTERVAL_MS):
        retry_after.record_answer(schedule, moment_ms)
    return schedule


class RetryScheduleTest(unittest.TestCase):
    """Many callers are refused at once and told when to retry."""

    def test_retries_are_spaced(self) -> None:
        """Guard against retries that all come at once.

        They may take half of the capacity that becomes free.
        """
        schedule = make_busy_schedule()
        delays_ms = [
            retry_after.schedule_retry(schedule, 20_000, _REMAINING_MS)
            for _ in range(5)
        ]
        intervals_ms = [
            later_ms - earlier_ms
            for earlier_ms, later_ms in itertools.pairwise(delays_ms)
        ]
        for interval_ms in intervals_ms:
            self.assertAlmostEqual(
                interval_ms,
                2 * _ANSWER_INTERVAL_MS,
                delta=2,
            )

    def test_a_flood_of_refusals_does_not_delay_later_callers(self) -> None:
        """Guard against capacity reserved for callers that give up sooner.

        A caller whose deadline is too early for the next free time reserves
        none.
        """
        schedule = make_busy_schedule()
        for _ in range(500):
            delay_ms = retry_after.schedule_retry(
                schedule, 20_000, _REMAINING_MS
            )
            self.assertLessEqual(delay_ms, _REMAINING_MS / 3)
        delay_ms = retry_after.schedule_retry(schedule, 21_000, _REMAINING_MS)
        self.assertEqual(delay_ms, retry_after.MIN_DELAY_MS)

    def test_a_key_long_without_an_owner_is_retried_later(self) -> None:
        """Guard against callers that use up their only retry too early."""
        delays_ms = [
            retry_after.compute_ownerless_delay_ms(unserved_ms, _REMAINING_MS)
            for unserved_ms in (0, 300, 5000)
        ]
        self.assertEqual(delays_ms, [retry_after.MIN_DELAY_MS, 300, 500])


class SimulatedLoadTest(unittest.TestCase):
    """A load with a burst, over a model of upstreams and callers."""

    def test_fewer_are_refused_again_and_no_fewer_served(self) -> None:
        """Guard against a schedule that is worse than a constant delay.

        The counts are summed over ten simulated loads.
        """
        flat = [
            retry_schedule_bench.simulate_load(
                retry_schedule_bench.get_flat_delay_ms,
                retries_first=False,
                seed=seed,
            )
            for seed in range(10)
        ]
        scheduled = [
            retry_schedule_bench.simulate_load(
                retry_after.schedule_retry,
                retries_first=False,
                seed=seed,
            )
            for seed in range(10)
        ]
        self.assertLess(
            sum(counts.refused_again for counts in scheduled),
            sum(counts.refused_again for counts in flat),
        )
        self.assertGreaterEqual(
            sum(counts.in_time + counts.late for counts in scheduled),
            sum(counts.in_time + counts.late for counts in flat),
        )

    def test_retries_first_would_make_new_callers_late(self) -> None:
        """Show why an admission queue doesn't put retries first."""
        for seed in range(5):
            usual, prioritized = (
                retry_schedule_bench.simulate_load(
                    retry_after.schedule_retry,
                    retries_first=retries_first,
                    seed=seed,
                )
                for retries_first in (False, True)
            )
            self.assertLess(prioritized.in_time, usual.in_time)
