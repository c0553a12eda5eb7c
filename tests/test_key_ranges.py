"""Test the table of key ranges, the plan of moves and routes."""

import random
import unittest

from lentilgauge.services import balance, key_load, key_ranges, routes

_UPSTREAMS = 20


def make_table(holders: int) -> key_ranges.Table:
    """Make a table of equal ranges that are all served."""
    table = key_ranges.make_table(key_ranges.cut_equally(holders))
    for number, one in enumerate(table.ranges):
        one.holder = f'u{number}'
        one.served = True
        one.fence = number + 1
        one.end_ms = 1000
    return table


class Fences:
    """Allot tokens that grow."""

    def __init__(self) -> None:
        """Start above those of a new table."""
        self.last = 1000

    def allot(self) -> int:
        """Allot the next."""
        self.last += 1
        return self.last


class KeyRangesTest(unittest.TestCase):
    """Test how ranges are cut, joined and handed over."""

    def test_random_cuts_keep_the_key_space_covered(self) -> None:
        generator = random.Random(5)
        table = make_table(4)
        fences = Fences()
        for _ in range(300):
            low = generator.randint(0, key_ranges.LAST_KEY)
            high = generator.randint(low, key_ranges.LAST_KEY)
            inside = key_ranges.split_range(table, low, high)
            self.assertEqual(inside[0].start, low)
            self.assertEqual(inside[-1].end, high)
            for one in inside:
                holder = f'u{generator.randint(0, 3)}'
                key_ranges.hand_over(one, holder, 0, fences.allot)
                one.end_ms_by_earlier.clear()
                one.served = True
                one.end_ms = 1
            key_ranges.join_ranges(table, fences.allot)
            self.assertTrue(key_ranges.covers_all_keys(table))
            found = key_ranges.find_range(table, low)
            assert found is not None
            self.assertTrue(found.start <= low <= found.end)

    def test_replacing_spans_changes_their_keys_alone(self) -> None:
        """Against a plain list of holders by key."""
        generator = random.Random(6)
        table = make_table(4)
        step = key_ranges.KEY_COUNT // 64
        plain = [
            key_ranges.find_range(table, place * step).holder  # type: ignore[union-attr]
            for place in range(64)
        ]
        for round_number in range(60):
            edges = sorted(generator.sample(range(65), 6))
            taken = []
            for low, high in zip(edges[::2], edges[1::2], strict=True):
                holder = f'r{round_number}-{low}'
                for place in range(low, high):
                    plain[place] = holder
                taken.append(
                    key_ranges.KeyRange(
                        start=low * step,
                        end=high * step - 1,
                        holder=holder,
                    ),
                )
            key_ranges.replace_spans(table, reversed(taken))
            self.assertTrue(key_ranges.covers_all_keys(table))
            for place, holder in enumerate(plain):
                for key in (place * step, (place + 1) * step - 1):
                    found = key_ranges.find_range(table, key)
                    assert found is not None
                    self.assertEqual(found.holder, holder)

    def test_a_handed_over_range_waits_for_its_earlier_holder(self) -> None:
        table = make_table(2)
        one = table.ranges[0]
        before = one.fence
        key_ranges.hand_over(one, 'u1', 7, Fences().allot)
        self.assertFalse(one.served)
        self.assertEqual(one.end_ms_by_earlier, {'u0': 1000})
        self.assertTrue(before < one.release_fence < one.fence)

    def test_ranges_on_the_move_are_not_joined(self) -> None:
        table = make_table(2)
        for one in table.ranges:
            one.holder = 'u0'
        table.ranges[1].end_ms_by_earlier['u1'] = 5
        self.assertFalse(key_ranges.join_ranges(table, Fences().allot))
        table.ranges[1].end_ms_by_earlier.clear()
        self.assertTrue(key_ranges.join_ranges(table, Fences().allot))
        self.assertEqual(table.ranges[0].fence, 1001)


def measure_imbalance(
    table: key_ranges.Table,
    drawn: list[int],
) -> float:
    """Return the busiest holder's requests against the mean."""
    counts = dict.fromkeys((one.holder for one in table.ranges), 0)
    for key in drawn:
        found = key_ranges.find_range(table, key)
        assert found is not None
        counts[found.holder] += 1
    return max(counts.values()) * len(counts) / len(drawn)


class BalanceTest(unittest.TestCase):
    """Play key loads and look at how evenly they are spread."""

    def setUp(self) -> None:
        """Start with equal ranges."""
        self.random = random.Random(11)
        self.table = make_table(_UPSTREAMS)
        self.fences = Fences()
        self.capacities = dict.fromkeys(
            (one.holder for one in self.table.ranges),
            2.0,
        )
        self.load = key_load.KeyLoad()

    def draw(self, count: int) -> list[int]:
        """Draw keys of which the busy ones lie close together."""
        return [
            int(key_ranges.KEY_COUNT * self.random.random() ** 2.7)
            for _ in range(count)
        ]

    def play(self, seconds: int, rate: int) -> int:
        """Play some seconds with a plan each half; return the moves."""
        moved = 0
        for half in range(seconds * 2):
            for key in self.draw(rate // 2):
                key_load.add_count(self.load, key, 1)
            key_load.fade(self.load, (half + 1) * 500)
            weighted = key_load.list_weights(self.load)
            moves = balance.plan_moves(self.table, weighted, self.capacities)
            for move in moves:
                self.apply(move)
            moved += len(moves)
        return moved

    def apply(self, move: balance.Move) -> None:
        """Carry a move out at once."""
        inside = key_ranges.split_range(self.table, move.start, move.end)
        for one in inside:
            key_ranges.hand_over(one, move.target, 0, self.fences.allot)
            one.end_ms_by_earlier.clear()
            one.served = True
        key_ranges.join_ranges(self.table, self.fences.allot)

    def test_skewed_load_is_spread_within_three_seconds(self) -> None:
        before = measure_imbalance(self.table, self.draw(20_000))
        self.play(3, 200)
        after = measure_imbalance(self.table, self.draw(20_000))
        self.assertGreater(before, 5)
        self.assertLess(after, 2)

    def test_even_load_moves_next_to_nothing(self) -> None:
        even = random.Random(3)
        for half in range(60):
            for _ in range(100):
                key = even.randint(0, key_ranges.LAST_KEY)
                key_load.add_count(self.load, key, 1)
            key_load.fade(self.load, (half + 1) * 500)
            weighted = key_load.list_weights(self.load)
            for move in balance.plan_moves(
                self.table,
                weighted,
                self.capacities,
            ):
                self.apply(move)
        moved = sum(one.fence > 1000 for one in self.table.ranges)
        self.assertLess(moved, _UPSTREAMS // 2)

    def test_an_upstream_that_joins_gets_keys(self) -> None:
        self.play(4, 200)
        self.capacities['joined'] = 2.0
        self.play(2, 200)
        self.assertTrue(key_ranges.list_held(self.table, 'joined'))

    def test_no_load_known_spreads_the_keys_evenly(self) -> None:
        table = key_ranges.make_table(key_ranges.cut_equally(1))
        table.ranges[0].holder = 'u0'
        table.ranges[0].served = True
        prior = key_load.count_prior(self.load, _UPSTREAMS)
        moves = balance.plan_moves(table, [], self.capacities, prior)
        self.assertEqual(len(moves), balance.MOST_MOVES)


class RoutesTest(unittest.TestCase):
    """Test how routes are found and services chosen."""

    def make_route(self, prefix: str, *weights: float) -> routes.Route:
        """Make a route to services of some weights."""
        return routes.Route(
            name=prefix,
            host='a.example',
            prefix=prefix,
            idempotent=True,
            timeout_ms=1000,
            target_ms=300,
            rank=0,
            most_attempts=2,
            parts=tuple(
                routes.Part(service=f's{number}', weight=weight)
                for number, weight in enumerate(weights)
            ),
        )

    def test_the_longest_prefix_wins(self) -> None:
        made = [self.make_route(prefix, 1) for prefix in ('/a/', '/a/b/')]
        configuration = routes.Configuration(
            version=1,
            route_by_place={(one.host, one.prefix): one for one in made},
            service_by_name={},
            idle_timeout_ms=1,
            header_timeout_ms=1,
            most_body_bytes=1,
            most_header_bytes=1,
        )
        for path, wanted in (
            ('/a/b/c', '/a/b/'),
            ('/a/bc', '/a/'),
            ('/a/b', '/a/'),
            ('/a/', '/a/'),
            ('/b/a/', None),
            ('', None),
        ):
            found = routes.find_route(configuration, 'a.example', path)
            name = None if found is None else found.name
            self.assertEqual(name, wanted, path)
        self.assertIsNone(routes.find_route(configuration, 'b', '/a/'))

    def test_weights_hold_over_any_short_span(self) -> None:
        route = self.make_route('/', 70, 20, 10)
        credit: routes.Credits = {}
        chosen = [routes.choose_service(route, credit) for _ in range(300)]
        for start in range(0, 290, 10):
            span = chosen[start : start + 10]
            self.assertEqual(span.count('s0'), 7)
            self.assertEqual(span.count('s2'), 1)
