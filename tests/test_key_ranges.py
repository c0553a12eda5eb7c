"""Test the range table, the planning of key moves and the choice of routes."""

import random
import unittest

from lentilgauge.services import balance, key_load, key_ranges, routes

_UPSTREAM_COUNT = 20


def make_table(holder_count: int) -> key_ranges.RangeTable:
    """Make a table with one served range of equal size for each holder."""
    range_table = key_ranges.make_table(
        key_ranges.split_key_space(holder_count)
    )
    for number, key_range in enumerate(range_table.ranges):
        key_range.holder = f'u{number}'
        key_range.address = f'u{number}'
        key_range.served = True
        key_range.fence = number + 1
        key_range.hold_end_ms = 1000
    return range_table


class FenceAllocator:
    """Allocator of increasing fencing tokens."""

    def __init__(self) -> None:
        """Start above the tokens of a table from `make_table`."""
        self.last_fence = 1000

    def allocate(self) -> int:
        """Return the next fencing token."""
        self.last_fence += 1
        return self.last_fence


def make_grantee(upstream_id: str) -> key_ranges.Grantee:
    """Make a grantee whose address is its id."""
    return key_ranges.Grantee(upstream_id=upstream_id, address=upstream_id)


class KeyRangesTest(unittest.TestCase):
    """Ranges are split, merged and reassigned without losing a key."""

    def test_random_splits_keep_the_key_space_covered(self) -> None:
        """Guard against gaps and overlaps after splitting and merging."""
        generator = random.Random(5)
        range_table = make_table(4)
        fences = FenceAllocator()
        for _ in range(300):
            first_key = generator.randint(0, key_ranges.LAST_KEY)
            last_key = generator.randint(first_key, key_ranges.LAST_KEY)
            split_ranges = key_ranges.split_at_span(
                range_table, first_key, last_key
            )
            self.assertEqual(split_ranges[0].start, first_key)
            self.assertEqual(split_ranges[-1].end, last_key)
            for key_range in split_ranges:
                holder = make_grantee(f'u{generator.randint(0, 3)}')
                key_ranges.reassign_range(key_range, holder, 0, fences.allocate)
                key_range.hold_end_ms_by_previous_holder.clear()
                key_range.served = True
                key_range.hold_end_ms = 1
            key_ranges.merge_ranges(range_table, fences.allocate)
            self.assertTrue(key_ranges.covers_all_keys(range_table))
            first_range = key_ranges.find_range(range_table, first_key)
            assert first_range is not None
            self.assertTrue(first_range.start <= first_key <= first_range.end)

    def test_inserted_ranges_replace_only_their_own_keys(self) -> None:
        """Guard against a delta that changes the holder of other keys.

        The table is compared with a list of holders of 64 equal blocks of keys.
        """
        generator = random.Random(6)
        range_table = make_table(4)
        block_size = key_ranges.KEY_COUNT // 64
        holder_by_block = [
            key_ranges.find_range(range_table, block * block_size).holder  # type: ignore[union-attr]
            for block in range(64)
        ]
        for round_number in range(60):
            bounds = sorted(generator.sample(range(65), 6))
            inserted = []
            for low, high in zip(bounds[::2], bounds[1::2], strict=True):
                holder = f'r{round_number}-{low}'
                for block in range(low, high):
                    holder_by_block[block] = holder
                inserted.append(
                    key_ranges.KeyRange(
                        start=low * block_size,
                        end=high * block_size - 1,
                        holder=holder,
                    ),
                )
            key_ranges.insert_ranges(range_table, reversed(inserted))
            self.assertTrue(key_ranges.covers_all_keys(range_table))
            for block, holder in enumerate(holder_by_block):
                for key in (block * block_size, (block + 1) * block_size - 1):
                    key_range = key_ranges.find_range(range_table, key)
                    assert key_range is not None
                    self.assertEqual(key_range.holder, holder)

    def test_a_reassigned_range_waits_for_its_previous_holder(self) -> None:
        """Guard against two holders, and fencing tokens that don't increase."""
        range_table = make_table(2)
        key_range = range_table.ranges[0]
        previous_fence = key_range.fence
        key_ranges.reassign_range(
            key_range, make_grantee('u1'), 7, FenceAllocator().allocate
        )
        self.assertFalse(key_range.served)
        self.assertEqual(
            key_range.hold_end_ms_by_previous_holder, {make_grantee('u0'): 1000}
        )
        self.assertTrue(
            previous_fence < key_range.release_fence < key_range.fence,
        )

    def test_ranges_in_transfer_are_not_merged(self) -> None:
        """Guard against losing the previous holder that a range waits for."""
        range_table = make_table(2)
        for key_range in range_table.ranges:
            key_range.holder = 'u0'
            key_range.address = 'u0'
        previous = make_grantee('u1')
        range_table.ranges[1].hold_end_ms_by_previous_holder[previous] = 5
        self.assertFalse(
            key_ranges.merge_ranges(range_table, FenceAllocator().allocate)
        )
        range_table.ranges[1].hold_end_ms_by_previous_holder.clear()
        self.assertTrue(
            key_ranges.merge_ranges(range_table, FenceAllocator().allocate)
        )
        self.assertEqual(range_table.ranges[0].fence, 1001)


def measure_imbalance(
    range_table: key_ranges.RangeTable,
    requested_keys: list[int],
) -> float:
    """Return the busiest holder's requests divided by the mean."""
    counts = dict.fromkeys(
        (key_range.holder for key_range in range_table.ranges), 0
    )
    for key in requested_keys:
        key_range = key_ranges.find_range(range_table, key)
        assert key_range is not None
        counts[key_range.holder] += 1
    return max(counts.values()) * len(counts) / len(requested_keys)


class BalanceTest(unittest.TestCase):
    """Planned moves spread a simulated key load over the upstreams."""

    def setUp(self) -> None:
        """Start with equal ranges."""
        self.random = random.Random(11)
        self.range_table = make_table(_UPSTREAM_COUNT)
        self.fences = FenceAllocator()
        self.capacities = dict.fromkeys(
            (key_range.holder for key_range in self.range_table.ranges),
            2.0,
        )
        self.load = key_load.KeyLoad()

    def draw_skewed_keys(self, count: int) -> list[int]:
        """Draw keys that are concentrated at the start of the key space."""
        return [
            int(key_ranges.KEY_COUNT * self.random.random() ** 2.7)
            for _ in range(count)
        ]

    def simulate(self, seconds: int, rate: int) -> int:
        """Simulate a load; plan moves twice a second and return the move count.

        `rate` is in requests per second.
        """
        move_count = 0
        for half_second in range(seconds * 2):
            for key in self.draw_skewed_keys(rate // 2):
                key_load.add_count(self.load, key, 1)
            key_load.decay_counts(self.load, (half_second + 1) * 500)
            weights = key_load.list_weights(self.load)
            moves = balance.plan_moves(
                self.range_table, weights, self.capacities
            )
            for key_move in moves:
                self.apply_move(key_move)
            move_count += len(moves)
        return move_count

    def apply_move(self, key_move: balance.KeyMove) -> None:
        """Move keys without a transfer phase."""
        moved_ranges = key_ranges.split_at_span(
            self.range_table, key_move.start, key_move.end
        )
        for key_range in moved_ranges:
            key_ranges.reassign_range(
                key_range,
                make_grantee(key_move.target),
                0,
                self.fences.allocate,
            )
            key_range.hold_end_ms_by_previous_holder.clear()
            key_range.served = True
        key_ranges.merge_ranges(self.range_table, self.fences.allocate)

    def test_skewed_load_is_spread_within_three_seconds(self) -> None:
        """Guard against upstreams overloaded by hot keys."""
        before = measure_imbalance(
            self.range_table, self.draw_skewed_keys(20_000)
        )
        self.simulate(3, 200)
        after = measure_imbalance(
            self.range_table, self.draw_skewed_keys(20_000)
        )
        self.assertGreater(before, 5)
        self.assertLess(after, 2)

    def test_even_load_moves_few_ranges(self) -> None:
        """Guard against moves that only follow random variation."""
        generator = random.Random(3)
        for half_second in range(60):
            for _ in range(100):
                key = generator.randint(0, key_ranges.LAST_KEY)
                key_load.add_count(self.load, key, 1)
            key_load.decay_counts(self.load, (half_second + 1) * 500)
            weights = key_load.list_weights(self.load)
            for key_move in balance.plan_moves(
                self.range_table,
                weights,
                self.capacities,
            ):
                self.apply_move(key_move)
        moved_count = sum(
            key_range.fence > 1000 for key_range in self.range_table.ranges
        )
        self.assertLess(moved_count, _UPSTREAM_COUNT // 2)

    def test_a_new_upstream_gets_keys(self) -> None:
        """Guard against a new upstream that stays idle."""
        self.simulate(4, 200)
        self.capacities['joined'] = 2.0
        self.simulate(2, 200)
        self.assertTrue(
            key_ranges.list_ranges_of_holder(self.range_table, 'joined')
        )

    def test_keys_are_spread_evenly_without_request_counts(self) -> None:
        """Guard against keys that stay with one upstream before any request.

        The prior weight alone must suffice for a full plan of moves.
        """
        range_table = key_ranges.make_table(key_ranges.split_key_space(1))
        range_table.ranges[0].holder = 'u0'
        range_table.ranges[0].served = True
        prior = key_load.compute_prior_weight(self.load, _UPSTREAM_COUNT)
        moves = balance.plan_moves(range_table, [], self.capacities, prior)
        self.assertEqual(len(moves), balance.MAX_MOVES)


class RoutesTest(unittest.TestCase):
    """A route is found by path prefix, and its service chosen by weight."""

    def make_route(self, prefix: str, *weights: float) -> routes.Route:
        """Make a route to services s0, s1 and so on with the given weights."""
        return routes.Route(
            name=prefix,
            host='a.example',
            prefix=prefix,
            idempotent=True,
            timeout_ms=1000,
            target_ms=300,
            rank=0,
            max_attempts=2,
            weighted_services=tuple(
                routes.WeightedService(service=f's{number}', weight=weight)
                for number, weight in enumerate(weights)
            ),
        )

    def test_the_longest_prefix_wins(self) -> None:
        """Guard against requests that reach another route's service."""
        route_list = [self.make_route(prefix, 1) for prefix in ('/a/', '/a/b/')]
        configuration = routes.Configuration(
            version=1,
            route_by_host_and_prefix={
                (route.host, route.prefix): route for route in route_list
            },
            service_by_name={},
            idle_timeout_ms=1,
            header_timeout_ms=1,
            max_body_bytes=1,
            max_header_bytes=1,
        )
        for path, expected_name in (
            ('/a/b/c', '/a/b/'),
            ('/a/bc', '/a/'),
            ('/a/b', '/a/'),
            ('/a/', '/a/'),
            ('/b/a/', None),
            ('', None),
        ):
            route = routes.find_route(configuration, 'a.example', path)
            name = None if route is None else route.name
            self.assertEqual(name, expected_name, path)
        self.assertIsNone(routes.find_route(configuration, 'b', '/a/'))

    def test_weights_hold_over_ten_consecutive_requests(self) -> None:
        """Guard against a share that is right only in the long run."""
        route = self.make_route('/', 70, 20, 10)
        credit: routes.Credits = {}
        chosen = [routes.choose_service(route, credit) for _ in range(300)]
        for start in range(0, 290, 10):
            window = chosen[start : start + 10]
            self.assertEqual(window.count('s0'), 7)
            self.assertEqual(window.count('s2'), 1)
