"""Tests of entries of other writers among those of the upstreams."""

import asyncio
import contextlib
import json
import unittest
from unittest import mock

import hypothesis
import loguru
import msgspec
from hypothesis import strategies
from returns import result
from tornado import httputil

from lentilgauge import events
from lentilgauge.contracts import ownership
from lentilgauge.links import (
    http_client,
    json_parts,
    peer_link,
    store_link,
)
from lentilgauge.platform import (
    headers,
    objects,
    store_adapter,
    upstream_adapter,
)
from lentilgauge.vms import key_assignment
from lentilgauge.vms import state_cache as state_cache_module
from tests import gateway_fixtures, test_platform_adapter

_TOPIC = store_link.Topic.UPSTREAMS
#: Texts of the `spec` of entries that name no upstream to use.
_ODD_SPECS = (
    b'{"later":%s%s}' % (b'[' * 3000, b']' * 3000),
    b'{"later":%s%s}' % (b'[' * 990, b']' * 990),
    json.dumps({'service': '\ud800'}).encode(),
    b'{"service":"\xff\xfe"}',
    b'{"slots":1%s}' % (b'0' * 5000),
    b'{"born":1e999}',
    b'null',
    b'[]',
)
_ODD_FIELDS = (
    {'slots': 10**400},
    {'slots': 0},
    {'slots': -1},
    {'slots': True},
    {'born': 10**400},
    {'born': -1},
    {'service': ''},
    {'zone': ''},
    {'zone': 'z' * 5000},
    {'address': ''},
    {'address': '10.0.0.1'},
    {'address': '10.0.0.1:'},
    {'address': '10.0.0.1:0'},
    {'address': '10.0.0.1:-1'},
    {'address': '10.0.0.1:99999'},
    {'address': f'10.0.0.1:{"9" * 5000}'},
    {'address': '10.0.0.1:80/x'},
    {'address': '10.0.0.1:80\r\nX: y'},
    {'address': 'a b:80'},
    {'address': 'user@10.0.0.1:80'},
    {'coldLeft': '1e999ms'},
)


def encode_entry(name: str, spec: bytes, revision: int = 3) -> bytes:
    """Encode an entry as the store sends it, around the text of its spec."""
    return b'{"metadata":{"name":"%s","revision":%d},"spec":%s}' % (
        name.encode(),
        revision,
        spec,
    )


def encode_announcement(**overrides: object) -> bytes:
    """Encode an upstream's announcement."""
    return json.dumps(
        test_platform_adapter.make_announcement(**overrides)
    ).encode()


def make_store(body: bytes) -> store_link.Store:
    """Make a store that answers each call with one body."""

    async def send(_: http_client.Call) -> http_client.CallResult:
        return result.Success(
            http_client.Reply(
                status=200, headers=httputil.HTTPHeaders(), body=body
            )
        )

    return store_adapter.make_store(http_client.Client(send=send), 'store:1')


def encode_section(listing: store_link.Listing) -> bytes:
    """Encode a listing as the granter passes it on."""
    section = peer_link.TopicMessage(
        mark=listing.revision,
        edits=0,
        names=None,
        documents=[
            peer_link.pack_document(document)
            for document in listing.document_by_name.values()
        ],
    )
    return msgspec.json.encode(section)


class OddEntriesTest(unittest.IsolatedAsyncioTestCase):
    """An odd entry costs that entry alone."""

    def setUp(self) -> None:
        """Make an empty cache, with the adapter's decoders."""
        loguru.logger.remove()
        self.cache = state_cache_module.make_state_cache(
            state_cache_module.Decoders(
                read_configuration=objects.read_configuration,
                read_upstream=objects.read_upstream,
            ),
            gateway_fixtures.Clock().read,
        )

    def adopt(self, *documents: store_link.Document) -> list[str]:
        """Adopt documents as the next revision; list the known upstreams."""
        state_cache_module.replace_topic(
            self.cache,
            _TOPIC,
            self.cache.cached_by_topic[_TOPIC].revision + 1,
            {document.name: document for document in documents},
        )
        return sorted(self.cache.upstream_by_id)

    async def test_a_listing_has_all_other_entries(self) -> None:
        """Guard against a page that one entry makes unreadable."""
        good = encode_announcement()
        for spec in _ODD_SPECS:
            entries = (
                encode_entry('a', good),
                encode_entry('odd', spec),
                encode_entry('z', good),
            )
            body = b'{"items":[%s],"hasMore":false,"at":9}' % b','.join(entries)
            listing = (await make_store(body).list_topic(_TOPIC)).unwrap()
            self.assertEqual(listing.revision, 9)
            known = self.adopt(*listing.document_by_name.values())
            self.assertEqual(known, ['a', 'z'], spec[:40])

    async def test_a_watch_has_all_other_changes(self) -> None:
        """Guard against changes that one entry makes unreadable."""
        good = encode_announcement()
        for spec in _ODD_SPECS:
            changed = (
                b'{"object":%s,"removed":false}' % encode_entry('odd', spec),
                b'{"removed":true,"object":%s}' % encode_entry('b', good),
                b'{"object":%s}' % encode_entry('z', good),
            )
            body = b'{"events":[%s],"at":11}' % b','.join(changed)
            watched = await make_store(body).watch_topic(_TOPIC, 1, 1)
            changes = watched.unwrap()
            self.assertEqual(changes.revision, 11)
            removed_by_name = {
                change.document.name: change.removed
                for change in changes.changes
            }
            self.assertEqual(
                removed_by_name, {'odd': False, 'b': True, 'z': False}
            )

    async def test_an_entry_that_turns_odd_names_no_upstream(self) -> None:
        """Guard against sending on to what an entry no longer names."""
        good = encode_announcement()
        for spec in _ODD_SPECS:
            known = self.adopt(
                test_platform_adapter.make_document(json.loads(good), 'a')
            )
            self.assertEqual(known, ['a'])
            body = b'{"events":[{"object":%s}],"at":99}' % encode_entry(
                'a', spec, revision=98
            )
            watched = await make_store(body).watch_topic(_TOPIC, 1, 1)
            changes = watched.unwrap()
            state_cache_module.apply_changes(self.cache, _TOPIC, changes)
            self.assertEqual(self.cache.upstream_by_id, {})
            self.setUp()

    async def test_followers_can_read_every_entry(self) -> None:
        """Guard against an entry that the granter reads and followers don't."""
        entries = [
            encode_entry(f'odd{number}', spec)
            for number, spec in enumerate(_ODD_SPECS)
        ]
        big = b'{"service":"%s"}' % (b'x' * 1_000_000)
        entries.extend(encode_entry(f'big{number}', big) for number in range(9))
        entries.append(encode_entry('z', encode_announcement()))
        body = b'{"items":[%s],"at":9}' % b','.join(entries)
        listing = (await make_store(body).list_topic(_TOPIC)).unwrap()
        encoded = encode_section(listing)
        self.assertLess(len(encoded), 100_000)
        merged = peer_link.merge_topic_changes(
            msgspec.json.decode(encoded, type=peer_link.TopicMessage), {}
        )
        self.assertEqual(self.adopt(*merged.values()), ['z'])

    def test_absurd_fields_name_no_upstream(self) -> None:
        """Guard against ports, addresses and numbers that can't be used."""
        for odd_fields in _ODD_FIELDS:
            announcement = test_platform_adapter.make_announcement(**odd_fields)
            document = test_platform_adapter.make_document(announcement)
            self.assertIsNone(objects.read_upstream(document, 0), odd_fields)
        for name in ('a\r\nX: y', 'a b', '\u2192', 'x' * 5000):
            document = test_platform_adapter.make_document(
                test_platform_adapter.make_announcement(), name
            )
            self.assertIsNone(objects.read_upstream(document, 0), name)

    def test_usual_addresses_are_taken(self) -> None:
        for address in ('10.0.0.1:80', 'u1.example:65535', '[::1]:9000'):
            announcement = test_platform_adapter.make_announcement(
                address=address
            )
            document = test_platform_adapter.make_document(announcement)
            self.assertIsNotNone(objects.read_upstream(document, 0), address)

    def test_an_odd_entry_is_logged_once_a_revision(self) -> None:
        """Guard against a line for each change of any other entry."""
        odd = test_platform_adapter.make_document({'service': 7}, 'odd')
        with mock.patch.object(events, 'log_event') as log_event:
            for number in range(5):
                announced = test_platform_adapter.make_document(
                    test_platform_adapter.make_announcement(), f'u{number}'
                )
                self.adopt(odd, announced)
        unreadable = [
            call
            for call in log_event.call_args_list
            if call.args[0] is events.Event.OBJECT_UNREADABLE
        ]
        self.assertEqual(len(unreadable), 1)

    def test_a_granter_shares_keys_among_all_other_upstreams(self) -> None:
        """Guard against an entry that ends the granter and its successors."""
        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), gateway_fixtures.Clock()
        )
        gateway.state_cache = self.cache
        self.cache.configuration = gateway_fixtures.make_configuration(
            keyed=True
        )
        self.adopt(
            *(
                test_platform_adapter.make_document(
                    test_platform_adapter.make_announcement(**fields), name
                )
                for name, fields in (('u1', {}), ('odd', {'slots': 10**400}))
            )
        )
        granter = gateway_fixtures.make_granter_state(
            gateway, ownership.Ownership()
        )
        granter.upstream_by_id = dict(self.cache.upstream_by_id)
        eligible = key_assignment.list_eligible_upstreams(granter, 's')
        self.assertEqual(list(eligible), ['u1'])


_JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(),
    lambda children: (
        strategies.lists(children, max_size=4)
        | strategies.dictionaries(strategies.text(), children, max_size=4)
    ),
    max_leaves=12,
)
_FIELDS = tuple(test_platform_adapter.make_announcement())
_SEEDED = hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)


class FuzzedDecodersTest(unittest.TestCase):
    """Decoders of messages from outside never raise."""

    def setUp(self) -> None:
        """Log nothing."""
        loguru.logger.remove()

    @_SEEDED
    @hypothesis.given(_JSON_VALUES)
    def test_parts_are_those_of_the_decoder(self, decoded: object) -> None:
        encoded = json.dumps(decoded, ensure_ascii=False).encode()
        text = asyncio.run(json_parts.split_text(encoded, 1))
        if isinstance(decoded, list):
            parts = json_parts.split_array(text)
            self.assertEqual(
                [json.loads(part.encoded) for part in parts], decoded
            )
        if isinstance(decoded, dict):
            members = json_parts.split_object(text)
            self.assertEqual(
                [json.loads(member.encoded) for member in members.values()],
                list(decoded.values()),
            )

    @_SEEDED
    @hypothesis.given(strategies.sampled_from(_FIELDS), _JSON_VALUES)
    def test_any_value_of_an_announcement_is_judged(
        self, field: str, odd_value: object
    ) -> None:
        announcement = test_platform_adapter.make_announcement(
            **{field: odd_value}
        )
        document = test_platform_adapter.make_document(announcement)
        upstream = objects.read_upstream(document, 0)
        if upstream is not None:
            self.assertGreater(upstream.concurrency, 0)

    @_SEEDED
    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_of_the_store_are_judged(self, body: bytes) -> None:
        asyncio.run(self.call_store(body))
        asyncio.run(self.call_store(b'{"items":[%s],"at":1}' % body))
        asyncio.run(self.call_store(b'{"events":[%s],"at":1}' % body))

    async def call_store(self, body: bytes) -> None:
        """Make each call to a store that answers with one body."""
        store = make_store(body)
        await store.list_topic(_TOPIC)
        await store.watch_topic(_TOPIC, 1, 1)
        await store.read_record()
        await store.write_record({}, 1)

    @_SEEDED
    @hypothesis.given(strategies.text(max_size=80))
    def test_any_header_of_an_upstream_is_judged(self, text: str) -> None:
        with contextlib.suppress(ValueError, httputil.HTTPInputError):
            # The HTTP library refuses some values itself.
            upstream_adapter.parse_load(
                httputil.HTTPHeaders({headers.LOAD: text})
            )
