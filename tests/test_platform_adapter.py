"""Test how the users' objects, settings and answers are read."""

import dataclasses
import json
import pathlib
import tempfile
import unittest

from returns import result
from tornado import httputil

from lentilgauge import gateway_settings
from lentilgauge.links import http_client, store_link, upstream_link
from lentilgauge.platform import (
    headers,
    objects,
    settings,
    spans,
    store,
    upstreams,
)
from lentilgauge.standins import (
    dialect_documents,
    dialect_store,
    dialect_upstream,
)
from lentilgauge.upstreams import roster
from lentilgauge.vms import beliefs
from tests import gateway_parts


def make_document(body: object, name: str = 'u1') -> store_link.Document:
    """Make an object as the store holds it."""
    return store_link.Document(name=name, revision=5, body=body)


def make_entry(**changed: object) -> dict[str, object]:
    """Make an upstream's entry."""
    entry: dict[str, object] = {
        'service': 's',
        'address': '10.0.0.1:80',
        'zone': 'z1',
        'slots': 2,
        'state': 'ready',
        'coldLeft': '1500ms',
        'born': 17,
        'later': [],
    }
    return {**entry, **changed}


class ObjectsTest(unittest.TestCase):
    """Read objects, good and bad."""

    def test_spans(self) -> None:
        self.assertEqual(spans.read_span_ms('1500ms'), 1500)
        self.assertEqual(spans.read_span_ms('2.5s'), 2500)
        for bad in ('', '5', 's', 'xms', '1m'):
            with self.assertRaises(ValueError):
                spans.read_span_ms(bad)

    def test_an_entry_is_read(self) -> None:
        found = objects.read_upstream(make_document(make_entry()), 1000)
        assert found is not None
        self.assertEqual(found.failure_domain, 'z1')
        self.assertEqual(found.life, 17)
        self.assertEqual(found.warm_ms, 2500)

    def test_entries_of_other_writers_name_no_upstream(self) -> None:
        for bad in (
            None,
            'text',
            [],
            {},
            make_entry(service=7),
            make_entry(state='sleeping'),
            make_entry(slots='two'),
            make_entry(coldLeft='soon'),
            make_entry(born=1.5),
        ):
            found = objects.read_upstream(make_document(bad), 0)
            self.assertIsNone(found, bad)

    def test_a_configuration_is_read_whole_or_not_at_all(self) -> None:
        good = dialect_documents.make_configuration(7)
        found = objects.read_configuration(good)
        assert found is not None
        self.assertEqual(found.version, 7)
        route = found.route_by_place['a.example', '/write/']
        self.assertFalse(route.idempotent)
        self.assertTrue(found.service_by_name['keyed'].keyed)
        for change in (
            {'routes': 'none'},
            {'version': 'seven'},
            {'services': []},
            {'limits': {'idleTimeout': 'long'}},
        ):
            bad = {**good, **change}
            self.assertIsNone(objects.read_configuration(bad), change)

    def test_an_older_or_unreadable_configuration_changes_nothing(
        self,
    ) -> None:
        believed = beliefs.make_beliefs(
            beliefs.Decoders(
                read_configuration=objects.read_configuration,
                read_upstream=objects.read_upstream,
            ),
            lambda: 1000,
        )
        topic = store_link.Topic.CONFIGURATION
        for mark, body, wanted in (
            (1, dialect_documents.make_configuration(5), 5),
            (2, dialect_documents.make_configuration(4), 5),
            (3, {'version': 9}, 5),
            (4, dialect_documents.make_configuration(6), 6),
            (3, dialect_documents.make_configuration(8), 6),
        ):
            documents = {'main': make_document(body, 'main')}
            beliefs.take_section(believed, topic, mark, documents)
            assert believed.configuration is not None
            self.assertEqual(believed.configuration.version, wanted)


class SettingsTest(unittest.TestCase):
    """Read settings files, good and bad."""

    def setUp(self) -> None:
        """Make a folder for files."""
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = pathlib.Path(self.folder.name) / 'file'

    def test_a_field_of_the_wrong_kind_is_named(self) -> None:
        self.path.write_text(json.dumps({'node': 7}))
        detail = settings.read_settings(self.path).failure().detail
        self.assertIn('node', detail)
        self.assertIn(str(self.path), detail)

    def test_own_settings_are_checked(self) -> None:
        for text, told in (
            ('[metrics]\nport = none\n', 'metrics.port'),
            ('[metrics]\nprot = 1\n', 'prot'),
            ('[log]\nlevel = loud\n', 'log.level'),
            ('[logs]\n', 'logs'),
            ('level = all\n', str(self.path)),
        ):
            self.path.write_text(text)
            read = gateway_settings.read_gateway_file(self.path)
            self.assertIn(told, read.failure().detail, text)
        self.path.write_text('[log]\nlevel = changes # fewer\n')
        read = gateway_settings.read_gateway_file(self.path)
        self.assertEqual(read.unwrap().log.level, 'changes')


class AnswersTest(unittest.IsolatedAsyncioTestCase):
    """Judge what upstreams and the store answer."""

    async def judge(
        self,
        replied: http_client.CallResult,
    ) -> upstream_link.Outcome:
        """Send an attempt that gets a reply."""

        async def send(call: http_client.Call) -> http_client.CallResult:
            self.call = call
            return replied

        link = upstreams.make_link(http_client.Client(send=send))
        return await link.send_attempt(
            upstream_link.Attempt(
                upstream=gateway_parts.make_upstream('u0'),
                request_id='r1',
                method='POST',
                target='/x',
                headers=httputil.HTTPHeaders({'Host': 'a'}),
                body=b'',
                left_ms=70,
            ),
        )

    def reply(self, status: int, **named: str) -> http_client.CallResult:
        """Make a reply."""
        fields = httputil.HTTPHeaders()
        for name, text in named.items():
            fields[getattr(headers, name)] = text
        return result.Success(
            http_client.Reply(status=status, headers=fields, body=b''),
        )

    async def test_what_an_answer_proves(self) -> None:
        for replied, proof in (
            (self.reply(200, REQUEST_ID='r1', SEAL='s'), 'executed'),
            (self.reply(200, REQUEST_ID='r1'), 'unknown'),
            (self.reply(200, REQUEST_ID='r0', SEAL='s'), 'unknown'),
            (self.reply(500, REQUEST_ID='r1', SEAL='s'), 'executed'),
            (self.reply(503, REQUEST_ID='r1', NOT_EXECUTED='1'), 'refused'),
            (self.reply(503), 'unknown'),
            (self.reply(421, REQUEST_ID='r1'), 'moved'),
            (self.reply(421, REQUEST_ID='r0', NOT_EXECUTED='1'), 'unknown'),
            (self.reply(421), 'unknown'),
            (result.Failure(http_client.LinkFailure.BROKEN), 'unknown'),
            (result.Failure(http_client.LinkFailure.TIMED_OUT), 'timed_out'),
            (result.Failure(http_client.LinkFailure.NOT_CONNECTED), 'not_sent'),
        ):
            outcome = await self.judge(replied)
            self.assertEqual(outcome.proof, proof)
        self.assertTrue(self.call.send_once)
        assert self.call.headers is not None
        self.assertEqual(self.call.headers[headers.DEADLINE_MS], '70')
        self.assertEqual(self.call.headers[headers.EXPECTED_INSTANCE], 'u0')

    async def test_an_answer_to_a_request_is_none_to_an_order(self) -> None:
        """A second, late answer must not pass for a finished release."""
        calls: list[http_client.Call] = []
        replies = [
            self.reply(200, REQUEST_ID='r0', SEAL='s'),
            self.reply(200, HANDOVER='h'),
            self.reply(200, SEAL='s'),
            self.reply(409),
        ]

        async def send(call: http_client.Call) -> http_client.CallResult:
            calls.append(call)
            return replies.pop(0)

        link = upstreams.make_link(http_client.Client(send=send))
        order = upstream_link.KeyOrder(
            upstream=gateway_parts.make_upstream('u0'),
            start=1,
            end=2,
            fence=3,
            hold_ms=100,
            timeout_ms=100,
        )
        answers = [
            (await link.release_keys(order)).answer,
            (await link.release_keys(order)).answer,
            (await link.grant_keys(order)).answer,
            (await link.grant_keys(order)).answer,
        ]
        self.assertEqual(answers, ['silent', 'accepted', 'silent', 'fenced'])
        fresh = [call.fresh for call in calls]
        self.assertEqual(fresh, [True, True, False, False])

    async def test_a_late_second_answer_ends_its_connection(self) -> None:
        """The next request on it would else get the answer to this one."""
        upstream = dialect_upstream.Upstream('u0', keyed=False)
        upstream.faults.extra = True
        link = upstreams.make_link(http_client.make_client())
        proofs = []
        for number in range(4):
            outcome = await link.send_attempt(
                upstream_link.Attempt(
                    upstream=dataclasses.replace(
                        gateway_parts.make_upstream('u0'),
                        address=upstream.address,
                    ),
                    request_id=f'r{number}',
                    method='GET',
                    target='/x',
                    headers=httputil.HTTPHeaders(
                        {'Host': 'a', headers.REQUEST_ID: f'r{number}'},
                    ),
                    body=b'',
                    left_ms=5000,
                ),
            )
            proofs.append(outcome.proof.value)
        await upstream.close()
        self.assertEqual(
            proofs,
            ['executed', 'unknown', 'executed', 'unknown'],
        )

    async def test_loads(self) -> None:
        for text, wanted in (
            ('1,2,8', (1, 2, 8, 1)),
            ('1, 2, 8, 250', (1, 2, 8, 2.5)),
            ('1,2', None),
            ('', None),
            ('a,b,c', None),
        ):
            fields = httputil.HTTPHeaders({headers.LOAD: text})
            load = upstreams.read_load(fields)
            found = None
            if load is not None:
                found = (
                    load.running,
                    load.waiting,
                    load.concurrency,
                    load.slowness,
                )
            self.assertEqual(found, wanted, text)

    async def test_the_store_is_read_and_written(self) -> None:
        standin = dialect_store.Store()
        standin.put('servers', 'u1', make_entry())
        client = http_client.make_client()
        link = store.make_store(client, standin.address)
        listed = (await link.list_topic(store_link.Topic.UPSTREAMS)).unwrap()
        self.assertEqual(list(listed.document_by_name), ['u1'])
        self.assertIsNone((await link.read_record()).unwrap().document)
        first = (await link.write_record({'term': 1}, 0)).unwrap()
        conflict = await link.write_record({'term': 2}, 0)
        self.assertEqual(conflict.failure(), store_link.Failure.CONFLICT)
        second = await link.write_record({'term': 2}, first.revision)
        self.assertEqual(second.unwrap().body, {'term': 2})
        standin.remove('servers', 'u1')
        watched = await link.watch_topic(
            store_link.Topic.UPSTREAMS,
            listed.mark,
            1000,
        )
        changes = watched.unwrap().changes
        self.assertEqual([one.removed for one in changes], [True])
        standin.faults.down = True
        read = await link.read_record()
        self.assertEqual(read.failure(), store_link.Failure.REFUSED)
        await standin.close()

    def test_an_unused_state_is_refused(self) -> None:
        self.assertEqual(len(roster.State), 2)
