"""Test that repeats of all VMs together stay within the users' bound."""

import random
import unittest

from lentilgauge.callers import retry_budget

_VMS = 10
_RATIO = 0.2
_WINDOW_MS = 10_000
_EXTRA = 60
_LENGTH_MS = 40_000


def make_arrivals(generator: random.Random, per_second: int) -> list[int]:
    """Draw when requests arrive: a steady stream with a burst in it."""
    steady = int(per_second * _LENGTH_MS / 1000)
    moments = [generator.randrange(_LENGTH_MS) for _ in range(steady)]
    burst_ms = generator.randrange(_LENGTH_MS)
    moments.extend(
        burst_ms + generator.randrange(500) for _ in range(steady // 4)
    )
    return sorted(moments)


def spend_all(
    arrivals: list[int],
    generator: random.Random,
) -> list[int]:
    """Let every VM repeat whatever its budget allows; return when."""
    terms = retry_budget.Terms(
        ratio=_RATIO,
        window_ms=_WINDOW_MS,
        extra=_EXTRA,
        vms=_VMS,
    )
    budgets = [retry_budget.make_budget(_EXTRA, _VMS, 0) for _ in range(_VMS)]
    repeats: list[int] = []
    for moment in arrivals:
        # One VM in ten takes half of the traffic.
        chosen = generator.choice((0, generator.randrange(_VMS)))
        retry_budget.earn(budgets[chosen], terms, moment)
        while retry_budget.spend(budgets[chosen]):
            repeats.append(moment)
    return repeats


def count_between(moments: list[int], start_ms: int, end_ms: int) -> int:
    """Count the moments in a window."""
    return sum(start_ms <= moment < end_ms for moment in moments)


class RetryBudgetTest(unittest.TestCase):
    """Play the worst case: upstreams refuse everything, all the time."""

    def test_no_window_has_more_repeats_than_are_allowed(self) -> None:
        for seed, per_second in ((1, 5), (2, 60), (3, 400)):
            generator = random.Random(seed)
            arrivals = make_arrivals(generator, per_second)
            repeats = spend_all(arrivals, generator)
            self.assertTrue(repeats)
            for start_ms in range(0, _LENGTH_MS, 500):
                end_ms = start_ms + _WINDOW_MS
                with self.subTest(seed=seed, start_ms=start_ms):
                    requests = count_between(arrivals, start_ms, end_ms)
                    self.assertLessEqual(
                        count_between(repeats, start_ms, end_ms),
                        _RATIO * requests + _EXTRA,
                    )

    def test_a_budget_that_counts_no_other_vms_would_break_it(self) -> None:
        """The check can fail: each VM alone takes the fixed number."""
        budgets = [retry_budget.make_budget(_EXTRA, 1, 0) for _ in range(_VMS)]
        repeats = 0
        for budget in budgets:
            while retry_budget.spend(budget):
                repeats += 1
        self.assertGreater(repeats, _EXTRA)
