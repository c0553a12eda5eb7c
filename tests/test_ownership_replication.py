"""Test the state that VMs replicate from each other.

These are ownership deltas and records, and topics with their removals. The
cold-start rate, which all VMs divide among themselves, is tested here too.
"""

import random
import unittest

from lentilgauge import clock
from lentilgauge.contracts import ownership
from lentilgauge.links import peer_link, store_link
from lentilgauge.services import key_ranges
from lentilgauge.upstreams import upstream_load
from lentilgauge.vms import peer_routes
from lentilgauge.vms import state_cache as state_cache_module


def list_routing_rows(
    owned: ownership.Ownership,
) -> list[tuple[int, int, str, bool]]:
    """List ranges by keys, holder and served flag; merge equal neighbours."""
    rows: list[tuple[int, int, str, bool]] = []
    for key_range in owned.table_by_service['s'].ranges:
        last_row = rows[-1] if rows else (0, -1, '-', False)
        if last_row[2:] == (key_range.holder, key_range.served):
            rows[-1] = (
                last_row[0],
                key_range.end,
                key_range.holder,
                key_range.served,
            )
        else:
            rows.append(
                (
                    key_range.start,
                    key_range.end,
                    key_range.holder,
                    key_range.served,
                ),
            )
    return rows


class OwnershipDeltaTest(unittest.TestCase):
    """A follower applies deltas while the granter makes changes."""

    def test_a_follower_that_applies_deltas_has_equal_ownership(self) -> None:
        """Guard against deltas that miss a change.

        The follower skips 40 % of the changes and catches up with the next
        delta.
        """
        generator = random.Random(4)
        granted = ownership.Ownership(term=3)
        granted.table_by_service['s'] = key_ranges.make_table(
            key_ranges.split_key_space(5),
        )
        followed = ownership.Ownership()
        for step in range(200):
            self.make_random_change(granted, generator, step)
            ownership.advance_serial(granted)
            if generator.randint(0, 9) < 4:
                continue
            delta = ownership.make_delta(
                granted,
                followed.term,
                followed.serial,
            )
            updated = ownership.apply_delta(followed, delta)
            assert updated is not None
            followed = updated
            range_table = followed.table_by_service['s']
            self.assertTrue(key_ranges.covers_all_keys(range_table))
            self.assertEqual(
                list_routing_rows(followed),
                list_routing_rows(granted),
            )
            self.assertEqual(followed.vms, granted.vms)

    def make_random_change(
        self,
        granted: ownership.Ownership,
        generator: random.Random,
        step: int,
    ) -> None:
        """Reassign a random range; at times merge ranges, too."""
        range_table = granted.table_by_service['s']
        first_key = generator.randint(0, key_ranges.LAST_KEY)
        last_key = min(
            first_key + generator.randint(0, 9000),
            key_ranges.LAST_KEY,
        )
        for key_range in key_ranges.split_at_span(
            range_table, first_key, last_key
        ):
            key_range.holder = f'u{generator.randint(0, 3)}'
            key_range.served = generator.randint(0, 9) < 7
        if step % 7 == 0:
            key_ranges.merge_ranges(
                range_table,
                lambda: ownership.allocate_fence(granted),
            )
            granted.vms = (f'vm{step}',)
            granted.vms_serial = granted.serial + 1

    def test_old_deltas_and_gaps_are_rejected(self) -> None:
        """Guard against replayed deltas, and those of an unknown term.

        A delta that isn't whole applies to a snapshot of its own term only.
        """
        current = ownership.Ownership(term=2, serial=5)
        stale_delta = ownership.OwnershipDelta(
            term=2,
            serial=5,
            granter=ownership.Granter(),
            whole=True,
        )
        self.assertIsNone(ownership.apply_delta(current, stale_delta))
        next_term_delta = ownership.OwnershipDelta(
            term=3,
            serial=1,
            granter=ownership.Granter(),
            whole=False,
        )
        self.assertIsNone(ownership.apply_delta(current, next_term_delta))

    def test_a_delta_leaves_the_given_ownership_unchanged(self) -> None:
        """Guard against a change of ownership that another reader holds."""
        current = ownership.Ownership(term=1, serial=1)
        current.table_by_service['s'] = key_ranges.make_table(
            key_ranges.split_key_space(2),
        )
        rows = list_routing_rows(current)
        delta = ownership.OwnershipDelta(
            term=1,
            serial=2,
            granter=ownership.Granter(),
            whole=False,
            rows_by_service={
                's': [
                    ownership.DeltaRow(
                        start=5, end=9, holder='u9', served=True
                    ),
                ],
            },
        )
        self.assertIsNotNone(ownership.apply_delta(current, delta))
        self.assertEqual(list_routing_rows(current), rows)

    def test_a_record_survives_a_round_trip(self) -> None:
        """Guard against ownership that a new granter can't restore."""
        owned = ownership.Ownership(term=2, serial=5, vms=('a', 'b'))
        ranges = key_ranges.split_key_space(3)
        ranges[0].address = 'a:1'
        previous_holders = {
            key_ranges.Grantee(upstream_id='u9', address='a:2'): 77,
            key_ranges.Grantee(upstream_id='u9', address='a:3'): 78,
        }
        ranges[1].hold_end_ms_by_previous_holder.update(previous_holders)
        owned.table_by_service['s'] = key_ranges.make_table(ranges)
        record = ownership.make_record(owned)
        decoded = ownership.make_ownership(record)
        self.assertEqual(ownership.make_record(decoded), record)
        restored = decoded.table_by_service['s'].ranges
        self.assertEqual(restored[0].address, 'a:1')
        self.assertEqual(
            restored[1].hold_end_ms_by_previous_holder.keys(),
            previous_holders.keys(),
        )
        self.assertIsNone(ownership.parse_record({'term': 'x'}))

    def test_a_row_without_addresses_is_read(self) -> None:
        """Guard against records of earlier versions that can't be read."""
        row = [0, 65_535, 'u0', 7, 3, 4, False, ['u8', 'u9']]
        record = ownership.parse_record({'rows_by_service': {'s': [row]}})
        assert record is not None
        owned = ownership.make_ownership(record)
        key_range = owned.table_by_service['s'].ranges[0]
        self.assertEqual(key_range.address, '')
        self.assertEqual(
            list(key_range.hold_end_ms_by_previous_holder),
            [
                key_ranges.Grantee(upstream_id='u8'),
                key_ranges.Grantee(upstream_id='u9'),
            ],
        )


class ColdShareTest(unittest.TestCase):
    """The requests per second that an upstream in cold start is sent."""

    def test_the_sum_over_all_vms_stays_within_the_rate(self) -> None:
        """Guard against shares that are rounded up, or all down to zero."""
        for vm_count in (1, 3, 10, 12, 13, 14, 40, 86):
            for rate in (5.0, 15.05, 40.9):
                shares = [
                    upstream_load.divide_cold_rate(rate, vm_count, position)
                    for position in range(vm_count)
                ]
                self.assertLessEqual(sum(shares), rate)
                self.assertGreaterEqual(sum(shares), 1)

    def test_no_second_has_more_requests_than_the_share(self) -> None:
        """Guard against bursts at the boundary of two fixed windows."""
        load = upstream_load.UpstreamLoad()
        sent_ms = []
        for now_ms in range(0, 5000, 10):
            if upstream_load.allows_cold(load, now_ms, 3):
                upstream_load.record_sent(load, now_ms, cold=True)
                sent_ms.append(now_ms)
        for start_ms in sent_ms:
            window = [
                moment_ms
                for moment_ms in sent_ms
                if start_ms <= moment_ms < start_ms + 1000
            ]
            self.assertLessEqual(len(window), 3)


class TopicReplicationTest(unittest.TestCase):
    """Changes and removals of a topic reach VMs that poll irregularly."""

    def make_empty_cache(self) -> state_cache_module.StateCache:
        """Make a cache without documents."""
        return state_cache_module.make_state_cache(
            state_cache_module.Decoders(
                read_configuration=lambda *_: None,
                read_upstream=lambda *_: None,
            ),
            clock.read_monotonic_ms,
        )

    def replicate(
        self,
        source: state_cache_module.StateCache,
        target: state_cache_module.StateCache,
    ) -> bool:
        """Update a cache from another; return whether it was sent all names."""
        topic = store_link.Topic.EVACUATIONS
        cached = target.cached_by_topic[topic]
        request = peer_link.FollowMessage(
            peer=peer_link.Peer(
                vm='v',
                address='v:1',
                failure_domain='d',
                incarnation='i',
            ),
            mark_by_topic={topic: (cached.revision, cached.local_removals)},
            term=0,
            serial=0,
            wait_ms=0,
        )
        message = peer_routes.pack_topics(source, request).get(topic)
        if message is None:
            return False
        state_cache_module.replace_topic(
            target,
            topic,
            message.mark,
            peer_link.merge_topic_changes(message, cached.document_by_name),
            message.edits,
        )
        return message.names is not None

    def test_random_changes_reach_a_chain_of_vms(self) -> None:
        """Guard against removals that a VM misses between two polls.

        The second VM polls the first and the third polls the second, each
        after 60 % of the changes. Only a limited number of replies may have
        the names of all documents; the others have just the differences.
        """
        generator = random.Random(8)
        topic = store_link.Topic.EVACUATIONS
        first, second, third = (self.make_empty_cache() for _ in range(3))
        full_replies = 0
        for revision in range(1, 400):
            name = f'd{generator.randrange(12)}'
            cached = first.cached_by_topic[topic]
            removes_locally = generator.randrange(10) == 0
            if removes_locally and cached.document_by_name:
                state_cache_module.remove_documents(first, topic, [name])
            else:
                change = store_link.Change(
                    document=store_link.Document(
                        name=name,
                        revision=revision,
                        body=revision,
                    ),
                    removed=generator.randrange(10) == 0,
                )
                state_cache_module.apply_changes(
                    first,
                    topic,
                    store_link.Changes(revision=revision, changes=(change,)),
                )
            for source, target in ((first, second), (second, third)):
                if generator.randrange(5) < 3:
                    full_replies += self.replicate(source, target)
                    source_cached = source.cached_by_topic[topic]
                    self.assertEqual(
                        target.cached_by_topic[topic].document_by_name,
                        source_cached.document_by_name,
                    )
        self.assertLess(full_replies, 300)
