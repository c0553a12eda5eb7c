"""Test that the retries of all VMs together stay within the users' budget."""

import random
import unittest

from lentilgauge.callers import retry_budget

_VM_COUNT = 10
_RATIO = 0.2
_WINDOW_MS = 10_000
_RETRIES_PER_WINDOW = 60
_DURATION_MS = 40_000


def make_arrivals(generator: random.Random, per_second: int) -> list[int]:
    """Draw the times of requests: a steady stream with a burst of 500 ms."""
    steady_count = int(per_second * _DURATION_MS / 1000)
    arrivals_ms = [
        generator.randrange(_DURATION_MS) for _ in range(steady_count)
    ]
    burst_start_ms = generator.randrange(_DURATION_MS)
    arrivals_ms.extend(
        burst_start_ms + generator.randrange(500)
        for _ in range(steady_count // 4)
    )
    return sorted(arrivals_ms)


def simulate_retries(
    arrivals_ms: list[int],
    generator: random.Random,
) -> list[int]:
    """Return the times of all retries that the VMs' budgets allow."""
    limits = retry_budget.RetryLimits(
        ratio=_RATIO,
        window_ms=_WINDOW_MS,
        retries_per_window=_RETRIES_PER_WINDOW,
        vm_count=_VM_COUNT,
    )
    budgets = [
        retry_budget.make_budget(_RETRIES_PER_WINDOW, _VM_COUNT, 0)
        for _ in range(_VM_COUNT)
    ]
    retries_ms: list[int] = []
    for arrival_ms in arrivals_ms:
        # The first VM receives more than half of the traffic.
        vm_index = generator.choice((0, generator.randrange(_VM_COUNT)))
        retry_budget.deposit(budgets[vm_index], limits, arrival_ms)
        while retry_budget.try_withdraw(budgets[vm_index]):
            retries_ms.append(arrival_ms)
    return retries_ms


def count_between(times_ms: list[int], start_ms: int, end_ms: int) -> int:
    """Count the times within a window, its end excluded."""
    return sum(start_ms <= time_ms < end_ms for time_ms in times_ms)


class RetryBudgetTest(unittest.TestCase):
    """Worst case: upstreams refuse every request and every retry."""

    def test_no_window_has_more_retries_than_are_allowed(self) -> None:
        """Guard against VMs that exceed the budget together.

        Each VM has a part of the budget but sees only its own traffic, which
        is uneven and has bursts.
        """
        for seed, per_second in ((1, 5), (2, 60), (3, 400)):
            generator = random.Random(seed)
            arrivals_ms = make_arrivals(generator, per_second)
            retries_ms = simulate_retries(arrivals_ms, generator)
            self.assertTrue(retries_ms)
            for start_ms in range(0, _DURATION_MS, 500):
                end_ms = start_ms + _WINDOW_MS
                with self.subTest(seed=seed, start_ms=start_ms):
                    request_count = count_between(
                        arrivals_ms,
                        start_ms,
                        end_ms,
                    )
                    self.assertLessEqual(
                        count_between(retries_ms, start_ms, end_ms),
                        _RATIO * request_count + _RETRIES_PER_WINDOW,
                    )

    def test_budgets_not_divided_among_vms_exceed_the_limit(self) -> None:
        """Show that the check can fail: undivided budgets exceed the limit.

        Each VM by itself spends the whole fixed number of retries.
        """
        budgets = [
            retry_budget.make_budget(_RETRIES_PER_WINDOW, 1, 0)
            for _ in range(_VM_COUNT)
        ]
        retry_count = 0
        for budget in budgets:
            while retry_budget.try_withdraw(budget):
                retry_count += 1
        self.assertGreater(retry_count, _RETRIES_PER_WINDOW)
