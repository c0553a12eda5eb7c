"""Test what VMs tell each other of ownership."""

import random
import unittest

from lentilgauge import clock
from lentilgauge.contracts import ownership
from lentilgauge.links import peer_link, store_link
from lentilgauge.services import key_ranges
from lentilgauge.upstreams import upstream_load
from lentilgauge.vms import beliefs, peer_routes


def list_rows(held: ownership.Ownership) -> list[tuple[int, int, str, bool]]:
    """List what requests depend on, neighbours alike taken as one."""
    rows: list[tuple[int, int, str, bool]] = []
    for one in held.table_by_service['s'].ranges:
        last = rows[-1] if rows else (0, -1, '-', False)
        if last[2:] == (one.holder, one.served):
            rows[-1] = (last[0], one.end, one.holder, one.served)
        else:
            rows.append((one.start, one.end, one.holder, one.served))
    return rows


class OwnershipNewsTest(unittest.TestCase):
    """Let a follower take changes while the granter makes them."""

    def test_a_follower_that_takes_changes_knows_the_same(self) -> None:
        generator = random.Random(4)
        held = ownership.Ownership(term=3)
        held.table_by_service['s'] = key_ranges.make_table(
            key_ranges.cut_equally(5),
        )
        follower = ownership.Ownership()
        for step in range(200):
            self.change(held, generator, step)
            ownership.mark_changes(held)
            if generator.randint(0, 9) < 4:
                continue
            news = ownership.pack_news(held, follower.term, follower.serial)
            taken = ownership.take_news(follower, news)
            assert taken is not None
            follower = taken
            table = follower.table_by_service['s']
            self.assertTrue(key_ranges.covers_all_keys(table))
            self.assertEqual(list_rows(follower), list_rows(held))
            self.assertEqual(follower.vms, held.vms)

    def change(
        self,
        held: ownership.Ownership,
        generator: random.Random,
        step: int,
    ) -> None:
        """Move, serve or join some ranges."""
        table = held.table_by_service['s']
        low = generator.randint(0, key_ranges.LAST_KEY)
        high = min(low + generator.randint(0, 9000), key_ranges.LAST_KEY)
        for one in key_ranges.split_range(table, low, high):
            one.holder = f'u{generator.randint(0, 3)}'
            one.served = generator.randint(0, 9) < 7
        if step % 7 == 0:
            key_ranges.join_ranges(table, lambda: ownership.allot_fence(held))
            held.vms = (f'vm{step}',)
            held.vms_serial = held.serial + 1

    def test_old_news_and_gaps_are_not_taken(self) -> None:
        held = ownership.Ownership(term=2, serial=5)
        old = ownership.News(
            term=2,
            serial=5,
            granter=ownership.Granter(),
            whole=True,
        )
        self.assertIsNone(ownership.take_news(held, old))
        other_term = ownership.News(
            term=3,
            serial=1,
            granter=ownership.Granter(),
            whole=False,
        )
        self.assertIsNone(ownership.take_news(held, other_term))

    def test_a_record_comes_back_as_it_was(self) -> None:
        held = ownership.Ownership(term=2, serial=5, vms=('a', 'b'))
        cut = key_ranges.cut_equally(3)
        cut[1].end_ms_by_earlier['u9'] = 77
        held.table_by_service['s'] = key_ranges.make_table(cut)
        packed = ownership.pack_ownership(held)
        back = ownership.unpack_record(packed)
        self.assertEqual(ownership.pack_ownership(back), packed)
        self.assertIsNone(ownership.read_record({'term': 'x'}))


class ColdShareTest(unittest.TestCase):
    """Sum over all VMs what an upstream in cold start gets in a second."""

    def test_the_sum_over_all_vms_stays_within_the_rate(self) -> None:
        for vms in (1, 3, 10, 12, 13, 14, 40, 86):
            for rate in (5.0, 15.05, 40.9):
                shares = [
                    upstream_load.share_cold_rate(rate, vms, position)
                    for position in range(vms)
                ]
                self.assertLessEqual(sum(shares), rate)
                self.assertGreaterEqual(sum(shares), 1)

    def test_any_second_holds_no_more_than_the_share(self) -> None:
        load = upstream_load.UpstreamLoad()
        sent = []
        for now_ms in range(0, 5000, 10):
            if upstream_load.allows_cold(load, now_ms, 3):
                upstream_load.note_sent(load, now_ms, cold=True)
                sent.append(now_ms)
        for start in sent:
            within = [one for one in sent if start <= one < start + 1000]
            self.assertLessEqual(len(within), 3)


class SectionTest(unittest.TestCase):
    """Pass a topic on as differences, and lose no removal."""

    def make_beliefs(self) -> beliefs.Beliefs:
        """Know nothing."""
        return beliefs.make_beliefs(
            beliefs.Decoders(
                read_configuration=lambda *_: None,
                read_upstream=lambda *_: None,
            ),
            clock.read_monotonic_ms,
        )

    def pass_on(
        self,
        source: beliefs.Beliefs,
        target: beliefs.Beliefs,
    ) -> bool:
        """Let one ask another; tell whether it was told all names."""
        topic = store_link.Topic.EVACUATIONS
        known = target.section_by_topic[topic]
        asked = peer_link.FollowMessage(
            peer=peer_link.Peer(
                vm='v',
                address='v:1',
                failure_domain='d',
                incarnation='i',
            ),
            mark_by_topic={topic: (known.mark, known.edits)},
            term=0,
            serial=0,
            wait_ms=0,
        )
        packed = peer_routes.pack_sections(source, asked).get(topic)
        if packed is None:
            return False
        beliefs.take_section(
            target,
            topic,
            packed.mark,
            peer_link.unpack_section(packed, known.document_by_name),
            packed.edits,
        )
        return packed.names is not None

    def test_random_changes_reach_who_asks_at_times(self) -> None:
        """Two VMs ask the first, one asks the second."""
        generator = random.Random(8)
        topic = store_link.Topic.EVACUATIONS
        first, second, third = (self.make_beliefs() for _ in range(3))
        told_all = 0
        for mark in range(1, 400):
            name = f'd{generator.randrange(12)}'
            section = first.section_by_topic[topic]
            rarely = generator.randrange(10) == 0
            if rarely and section.document_by_name:
                beliefs.drop_documents(first, topic, [name])
            else:
                change = store_link.Change(
                    document=store_link.Document(
                        name=name,
                        revision=mark,
                        body=mark,
                    ),
                    removed=generator.randrange(10) == 0,
                )
                beliefs.take_changes(
                    first,
                    topic,
                    store_link.Changes(mark=mark, changes=(change,)),
                )
            for source, target in ((first, second), (second, third)):
                if generator.randrange(5) < 3:
                    told_all += self.pass_on(source, target)
                    source_section = source.section_by_topic[topic]
                    self.assertEqual(
                        target.section_by_topic[topic].document_by_name,
                        source_section.document_by_name,
                    )
        self.assertLess(told_all, 300)
