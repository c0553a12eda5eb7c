"""Test when refused callers are told to come back."""

import itertools
import unittest

from lentilgauge.callers import returning
from lentilgauge.load import return_bench

_GAP_MS = 40
_LEFT_MS = 1500


def make_busy() -> returning.Returns:
    """Make a service that answers evenly."""
    returns = returning.Returns()
    for moment in range(0, 20_000, _GAP_MS):
        returning.note_answered(returns, moment)
    return returns


class ReturningTest(unittest.TestCase):
    """Refuse many callers at once, and see when they come back."""

    def test_callers_come_back_one_after_the_other(self) -> None:
        """No faster than a half of the places that get free."""
        returns = make_busy()
        spans = [returning.invite(returns, 20_000, _LEFT_MS) for _ in range(5)]
        gaps = [later - earlier for earlier, later in itertools.pairwise(spans)]
        for gap in gaps:
            self.assertAlmostEqual(gap, 2 * _GAP_MS, delta=2)

    def test_a_flood_doesnt_put_later_callers_off(self) -> None:
        """Whoever can't have a place in its time takes none."""
        returns = make_busy()
        for _ in range(500):
            span = returning.invite(returns, 20_000, _LEFT_MS)
            self.assertLessEqual(span, _LEFT_MS / 3)
        span = returning.invite(returns, 21_000, _LEFT_MS)
        self.assertEqual(span, returning.LEAST_RETURN_MS)

    def test_a_key_long_without_an_owner_is_asked_for_later(self) -> None:
        spans = [
            returning.await_owner(unserved_ms, _LEFT_MS)
            for unserved_ms in (0, 300, 5000)
        ]
        self.assertEqual(spans, [returning.LEAST_RETURN_MS, 300, 500])


class LoadTest(unittest.TestCase):
    """Play a burst over a small model of upstreams and callers."""

    def test_fewer_are_refused_again_and_no_fewer_served(self) -> None:
        """Summed over ten loads, against the same span for everybody."""
        flat = [
            return_bench.play_load(
                return_bench.return_flat,
                returners_first=False,
                seed=seed,
            )
            for seed in range(10)
        ]
        spaced = [
            return_bench.play_load(
                returning.invite,
                returners_first=False,
                seed=seed,
            )
            for seed in range(10)
        ]
        self.assertLess(
            sum(one.refused_again for one in spaced),
            sum(one.refused_again for one in flat),
        )
        self.assertGreaterEqual(
            sum(one.in_time + one.late for one in spaced),
            sum(one.in_time + one.late for one in flat),
        )

    def test_returners_first_would_make_newcomers_late(self) -> None:
        """Why waiters are not ordered so."""
        for seed in range(5):
            usual, first = (
                return_bench.play_load(
                    returning.invite,
                    returners_first=returners_first,
                    seed=seed,
                )
                for returners_first in (False, True)
            )
            self.assertLess(first.in_time, usual.in_time)
