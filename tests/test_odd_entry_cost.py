"""Tests of how long odd entries keep a process from other work."""

import asyncio
import contextlib
import itertools
import json
import time
import unittest
from collections.abc import Awaitable

import loguru
import msgspec

from lentilgauge.links import json_parts, peer_link, store_link
from tests import test_odd_entries

_TOPIC = store_link.Topic.UPSTREAMS
#: Longest object that the store takes.
_MAX_OBJECT_BYTES = 1_048_576
#: Room for the object's metadata.
_ODD_BYTES = _MAX_OBJECT_BYTES - 4096
#: Callers are owed an answer half a second after their route's timeout, and
#: the smallest VMs have 0.43 of a core.
_MAX_HOLD_S = 0.2


def fill(piece: bytes, separator: bytes = b'') -> bytes:
    """Repeat a piece up to the size of the longest object."""
    count = _ODD_BYTES // (len(piece) + len(separator))
    return separator.join(itertools.repeat(piece, count))


def nest(opening: bytes, closing: bytes) -> bytes:
    """Nest containers up to the size of the longest object."""
    depth = _ODD_BYTES // (len(opening) + len(closing))
    return b'%s1%s' % (opening * depth, closing * depth)


ODD_SPECS = (
    nest(b'[', b']'),
    nest(b'{"a":', b'}'),
    b'[%s,"\xff"]' % fill(b'{}', b','),
    b'[%s,"\xff"]' % fill(b'[[[]]]', b','),
    b'{%s,"\xff":1}' % fill(b'"a":1', b','),
    b'["%s\xff"]' % fill(rb'\"'),
    b'["%s\xff"]' % fill(rb'\\'),
)
#: Odd entries of the length that entries may have; the last two can be decoded.
_SHORT_ODD_SPECS = (
    b'%s%s' % (b'[' * 4000, b']' * 4000),
    b'[%s"\xff"]' % (b'{},' * 2700),
    b'[%s{}]' % (b'{},' * 2700),
    b'[%s{}]' % (b'%s%s,' % (b'[' * 30, b']' * 30) * 130),
)


async def measure_hold_s(work: Awaitable[object]) -> float:
    """Return the longest processor time between two turns of other tasks."""
    turns = [time.process_time()]

    async def take_turns() -> None:
        while True:
            await asyncio.sleep(0)
            turns.append(time.process_time())

    task = asyncio.ensure_future(take_turns())
    await asyncio.sleep(0)
    await work
    await asyncio.sleep(0)
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    return max(later - earlier for earlier, later in itertools.pairwise(turns))


class OddEntryCostTest(unittest.IsolatedAsyncioTestCase):
    """A VM goes on with its other work while it reads an odd entry."""

    def setUp(self) -> None:
        """Log nothing."""
        loguru.logger.remove()
        self.good = test_odd_entries.encode_announcement()

    async def check_hold(self, work: Awaitable[object], case: object) -> None:
        """Fail if the work keeps other tasks waiting."""
        self.assertLess(await measure_hold_s(work), _MAX_HOLD_S, case)

    async def check_listing(self, specs: tuple[bytes, ...]) -> None:
        """Read a listing with odd entries among two others."""
        entries = [test_odd_entries.encode_entry('a', self.good)]
        entries.extend(
            test_odd_entries.encode_entry(f'odd{number}', spec)
            for number, spec in enumerate(specs)
        )
        entries.append(test_odd_entries.encode_entry('z', self.good))
        body = b'{"items":[%s],"hasMore":false,"at":9}' % b','.join(entries)
        store = test_odd_entries.make_store(body)
        read = asyncio.ensure_future(store.list_topic(_TOPIC))
        await self.check_hold(read, specs[0][:20])
        document_by_name = read.result().unwrap().document_by_name
        self.assertEqual(len(document_by_name), len(entries))
        for name, document in document_by_name.items():
            self.assertEqual(document.body is None, name.startswith('odd'))

    async def test_one_entry_of_a_listing(self) -> None:
        """Guard against gateways that answer nothing while they split it."""
        for spec in ODD_SPECS:
            await self.check_listing((spec,))

    async def test_many_entries_of_a_listing(self) -> None:
        """Guard against a bound on each entry that doesn't bound the page."""
        for spec in _SHORT_ODD_SPECS:
            await self.check_listing((spec,) * 120)

    async def test_many_entries_at_followers(self) -> None:
        """Guard against entries that hold up each VM they are passed on to."""
        for spec in _SHORT_ODD_SPECS:
            entries = [
                test_odd_entries.encode_entry(f'odd{number}', spec)
                for number in range(120)
            ]
            body = b'{"items":[%s],"at":9}' % b','.join(entries)
            store = test_odd_entries.make_store(body)
            listing = (await store.list_topic(_TOPIC)).unwrap()
            encoded = test_odd_entries.encode_section(listing)

            async def take_section(section: bytes = encoded) -> None:
                peer_link.merge_topic_changes(
                    msgspec.json.decode(section, type=peer_link.TopicMessage),
                    {},
                )

            await self.check_hold(take_section(), spec[:20])

    async def test_one_change_of_a_watch(self) -> None:
        """Guard against a change that keeps the granter from its followers."""
        for spec in ODD_SPECS:
            body = b'{"events":[{"object":%s},{"object":%s}],"at":11}' % (
                test_odd_entries.encode_entry('odd', spec),
                test_odd_entries.encode_entry('z', self.good),
            )
            store = test_odd_entries.make_store(body)
            read = asyncio.ensure_future(store.watch_topic(_TOPIC, 1, 1))
            await self.check_hold(read, spec[:20])
            changed = [
                (change.document.name, change.document.body is None)
                for change in read.result().unwrap().changes
            ]
            self.assertEqual(changed, [('odd', True), ('z', False)])

    async def test_single_objects(self) -> None:
        """Guard against a record or configuration that holds up the reader."""
        for spec in ODD_SPECS:
            odd_object = test_odd_entries.encode_entry('record', spec)
            store = test_odd_entries.make_store(odd_object)
            await self.check_hold(store.write_record({}, 1), spec[:20])
            body = b'{"items":[%s],"at":9}' % odd_object
            store = test_odd_entries.make_store(body)
            await self.check_hold(store.read_record(), spec[:20])
            await self.check_hold(
                store.list_topic(store_link.Topic.CONFIGURATION), spec[:20]
            )

    async def test_a_nested_body_that_can_be_decoded(self) -> None:
        """Guard against a sound configuration whose depth takes long."""
        spec = b'[%s]' % fill(b'[' * 40 + b']' * 40, b',')
        body = b'{"items":[%s],"at":9}' % test_odd_entries.encode_entry(
            'main', spec
        )
        store = test_odd_entries.make_store(body)
        read = asyncio.ensure_future(
            store.list_topic(store_link.Topic.CONFIGURATION)
        )
        await self.check_hold(read, 'configuration')
        document = read.result().unwrap().document_by_name['main']
        self.assertIsNone(document.body)

    async def test_a_string_that_is_not_closed(self) -> None:
        """Guard against time in the square of a string's length."""
        odd_object = b'{"metadata":{"name":"odd","revision":3},"spec":"%s' % (
            rb'\"' * 32_000
        )
        for body in (
            odd_object,
            b'{"at":9,"items":[%s' % odd_object,
            b'{"at":9,"events":[{"object":%s' % odd_object,
        ):
            store = test_odd_entries.make_store(body)
            await self.check_hold(store.list_topic(_TOPIC), 'listing')
            await self.check_hold(store.watch_topic(_TOPIC, 1, 1), 'watch')
            await self.check_hold(store.write_record({}, 1), 'record')


class PartsTest(unittest.IsolatedAsyncioTestCase):
    """Parts of texts that are longer than a batch."""

    async def test_parts_around_skipped_containers(self) -> None:
        """Guard against a container that ends another one with it."""
        inner = b'[%s]' % fill(b'[{"a]":"}"}]', b',')
        text = b'%s%s%s' % (b' {"x": [ ', inner, rb' , 7 ,{}] , "y":"\"]"} ')
        members = json_parts.split_object(await json_parts.split_text(text, 2))
        self.assertEqual(list(members), [b'x', b'y'])
        self.assertEqual(members[b'y'].encoded, rb'"\"]"')
        listed = json_parts.split_array(members[b'x'])
        self.assertEqual(
            [part.encoded for part in listed], [inner, b'7', b'{}']
        )

    async def test_depths(self) -> None:
        for depth in (0, 1, 32, 33, 100_000):
            text = b'%s"]["%s' % (b'[' * depth, b']' * depth)
            self.assertEqual(await json_parts.measure_depth(text), depth)
        text = json.dumps([{'a': [[]]}, [[]], '[[[[[[']).encode()
        self.assertEqual(await json_parts.measure_depth(text), 4)
