"""Tests of settings files, service configurations, keys, kinds and replicas."""

import pathlib
import tempfile
import unittest

import hypothesis
from hypothesis import strategies as st
from returns import result
from tornado import httputil

from lentilgauge import errors, settings
from lentilgauge.callers import kinds
from lentilgauge.links import platform_messages
from lentilgauge.services import catalog, configuration, keys, slots
from lentilgauge.vms import replica

GOOD_ENTRY = """
[vm]
id = vm-1
failure_domain = domain-a
address = 127.0.0.1
[controller]
address = 127.0.0.1
port = 7100
[entry]
port = 7200
admin_port = 7201
"""

GOOD_CONFIGURATION = """
[service cases]
slots = 16
[failure_domain domain-a]
[kind lookup]
service = cases
method = GET
path = /cases/{key}
idempotent = yes
[upstream cases-1]
service = cases
failure_domain = domain-a
address = 127.0.0.1
port = 9001
"""


def read_entry(text: str) -> settings.FileResult[settings.EntryFile]:
    """Parse text as the settings file of an entry process."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'entry.ini'
        path.write_text(text, encoding='utf-8')
        return settings.read_settings(path, settings.EntryFile)


def read_configuration(text: str):
    """Parse text as a service configuration file."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'services.ini'
        path.write_text(text, encoding='utf-8')
        return configuration.read_configuration(path)


class SettingsTest(unittest.TestCase):
    """Hazard 19: an invalid file is rejected with a clear error.

    The error names the section and the option at fault, or else the file.
    """

    def test_valid_settings_are_accepted(self) -> None:
        settings_result = read_entry(GOOD_ENTRY)
        self.assertEqual(settings_result.unwrap().entry.port, 7200)

    def test_each_error_is_located(self) -> None:
        for text, expected_text in (
            (GOOD_ENTRY.replace('port = 7200', 'port = many'), '[entry]'),
            (GOOD_ENTRY.replace('port = 7200', 'port = many'), 'port'),
            (GOOD_ENTRY.replace('port = 7200', 'port = 70000'), '65535'),
            (f'{GOOD_ENTRY}colour = red\n', 'colour'),
            (f'{GOOD_ENTRY}[extra]\n', '[extra]'),
            (GOOD_ENTRY.replace('address = 127.0.0.1\n', '', 1), 'address'),
            (GOOD_ENTRY.replace('[vm]', '[vm'), 'no section headers'),
            (GOOD_ENTRY.replace('id = vm-1', 'id = VM 1'), 'VM 1'),
        ):
            with self.subTest(expected_text=expected_text):
                failure = read_entry(text).failure()
                self.assertEqual(failure.kind, errors.ErrorKind.BAD_SETTINGS)
                self.assertIn(expected_text, failure.detail)

    def test_intervals_that_cause_failovers_are_rejected(self) -> None:
        """Intervals that are too short cause failovers without a failure."""
        path = pathlib.Path('examples/settings/controller.ini')
        valid = settings.read_sections(path).unwrap()
        for overrides in (
            {'heartbeat_ms': '500', 'lease_ms': '1200'},
            {'confirm_grace_ms': '1500'},
        ):
            sections = {
                **valid,
                'controller': {**valid['controller'], **overrides},
            }
            settings_result = settings.validate_sections(
                path, settings.ControllerFile, sections
            )
            self.assertIn('three times', settings_result.failure().detail)

    def test_a_missing_file_is_reported_by_path(self) -> None:
        settings_result = settings.read_settings(
            pathlib.Path('/nowhere/entry.ini'),
            settings.EntryFile,
        )
        self.assertIn('/nowhere/entry.ini', settings_result.failure().detail)

    def test_each_configuration_error_is_located(self) -> None:
        self.assertIsInstance(
            read_configuration(GOOD_CONFIGURATION),
            result.Success,
        )
        for old, new, expected_text in (
            ('service = cases\nmethod', 'service = other\nmethod', 'lookup'),
            ('path = /cases/{key}', 'path = /cases', '{key}'),
            ('path = /cases/{key}', 'path = cases', 'path'),
            ('domain-a\naddress', 'domain-z\naddress', 'failure_domain'),
            ('[upstream cases-1]', '[server cases-1]', '[server cases-1]'),
            ('slots = 16', 'slots = -1', 'slots'),
        ):
            with self.subTest(expected_text=expected_text):
                changed = GOOD_CONFIGURATION.replace(old, new)
                failure = read_configuration(changed).failure()
                self.assertIn(expected_text, failure.detail)

    @hypothesis.settings(derandomize=True, database=None, max_examples=150)
    @hypothesis.given(
        text=st.text(alphabet='[]=\n ainport%x7\x00é', max_size=60)
    )
    def test_no_text_crashes_the_reader(self, text: str) -> None:
        read = read_entry(GOOD_ENTRY + text)
        if not isinstance(read, result.Success):
            kind = read.failure().kind
            self.assertEqual(kind, errors.ErrorKind.BAD_SETTINGS)


class KeysTest(unittest.TestCase):
    """Normalisation of the keys in paths and headers."""

    def test_equivalent_spellings_give_the_same_key(self) -> None:
        spellings = ('caf%C3%A9', 'cafe%CC%81', '%20caf%C3%A9%20')
        normalised = {
            keys.normalise_segment(spelling).unwrap() for spelling in spellings
        }
        self.assertEqual(normalised, {'café'.encode()})

    def test_invalid_keys_are_rejected(self) -> None:
        for segment in ('', '%20', '%FF', '%00', 'a%0Ab', 'x' * 513):
            with self.subTest(segment=segment):
                failure = keys.normalise_segment(segment).failure()
                self.assertEqual(failure.kind, errors.ErrorKind.BAD_KEY)

    @hypothesis.settings(derandomize=True, database=None, max_examples=200)
    @hypothesis.given(text=st.text(max_size=40))
    def test_a_header_and_a_path_agree(self, text: str) -> None:
        direct = keys.normalise_key(text)
        try:
            header = text.encode().decode('latin-1')
        except UnicodeEncodeError:
            self.assertNotIsInstance(direct, result.Success)
            return
        self.assertEqual(str(keys.normalise_header(header)), str(direct))


class KindsTest(unittest.TestCase):
    """Matching of requests to the configured request kinds."""

    def setUp(self) -> None:
        """Index a kind keyed by the path and a kind keyed by a header."""
        self.index = kinds.index_kinds(
            (
                catalog.Kind(
                    name='lookup',
                    service='cases',
                    method='GET',
                    template='/cases/{key}',
                    idempotent=True,
                ),
                catalog.Kind(
                    name='by-header',
                    service='cases',
                    method='POST',
                    template='/letters',
                    idempotent=False,
                    key_header='X-Case',
                ),
            )
        )

    def match(self, method: str, path: str, **headers: str):
        """Match a request; underscores in header names stand for hyphens."""
        request_headers = httputil.HTTPHeaders(
            {name.replace('_', '-'): text for name, text in headers.items()}
        )
        return kinds.match_request(self.index, method, path, request_headers)

    def test_kinds_match_by_method_and_path(self) -> None:
        matched = self.match('GET', '/cases/7').unwrap()
        self.assertEqual((matched.kind.name, matched.key), ('lookup', b'7'))
        matched = self.match('POST', '/letters', X_Case='9').unwrap()
        self.assertEqual((matched.kind.name, matched.key), ('by-header', b'9'))

    def test_requests_without_a_kind_or_a_key_are_rejected(self) -> None:
        for method, path in (
            ('POST', '/cases/7'),
            ('GET', '/cases/7/'),
            ('GET', '/'),
            ('GET', ''),
            ('GET', '//'),
        ):
            failure = self.match(method, path).failure()
            self.assertEqual(failure.kind, errors.ErrorKind.NO_SUCH_KIND)
        failure = self.match('POST', '/letters').failure()
        self.assertEqual(failure.kind, errors.ErrorKind.BAD_KEY)


class ReplicaTest(unittest.TestCase):
    """A replica must never replace an object by an older version of it."""

    def test_hazard_18_an_older_version_is_ignored(self) -> None:
        local_replica = replica.Replica()
        for version, slot_count, applied in ((2, 8, True), (1, 4, False)):
            stored = platform_messages.StoredObject(
                name=configuration.OBJECT_NAME,
                version=version,
                revision=version,
                body={'services': {'cases': {'slots': slot_count}}},
            )
            self.assertEqual(
                replica.apply_object(local_replica, stored), applied
            )
        applied_slot_count = local_replica.config.service_by_name[
            'cases'
        ].slot_count
        self.assertEqual(
            (local_replica.config.version, applied_slot_count), (2, 8)
        )


class ReplicaChangesTest(unittest.TestCase):
    """Readers of a replica's changes must not miss one."""

    def test_an_object_that_arrives_late_is_reported(self) -> None:
        """Readers must not skip an object that arrives out of order."""
        local_replica = replica.Replica()
        read_serial = 0
        reported_names = []
        # The answer to a write brings one object, at revision 5, before the
        # watch brings another, at revision 4.
        for revision, name in ((5, 'vm/one'), (4, 'vm/two')):
            stored = platform_messages.StoredObject(
                name=name,
                version=1,
                revision=revision,
                body={
                    'failure_domain': 'domain-a',
                    'address': '127.0.0.1',
                    'port': 1,
                    'incarnation': 'first',
                    'state': 'live',
                },
            )
            replica.apply_object(local_replica, stored)
            reported_names += [
                change.name
                for change in replica.list_changes(local_replica, read_serial)
            ]
            read_serial = local_replica.serial
        self.assertEqual(reported_names, ['vm/one', 'vm/two'])


class SlotsTest(unittest.TestCase):
    """A slot may only be owned by an upstream that has a lease."""

    def test_removing_a_lease_vacates_its_slots_and_ends_their_moves(
        self,
    ) -> None:
        slot_map = slots.make_slot_map(8)
        slot_map = slots.add_lease(slot_map, 'one', 1)
        slot_map = slots.change_owners(slot_map, dict.fromkeys(range(8), 'one'))
        slot_map = slots.start_moves(slot_map, {3: 'two'})
        vacated = slots.remove_lease(slot_map, 'one')
        self.assertEqual(slots.list_vacant_slots(vacated), list(range(8)))
        self.assertFalse(vacated.move_by_slot)


class ExamplesTest(unittest.TestCase):
    """The shipped examples must be valid and of the expected sizes.

    The sizes are those of the installations that the examples are written for.
    """

    def test_example_configurations_are_accepted(self) -> None:
        folder = pathlib.Path('examples/settings')
        for name, upstream_count, domain_count in (
            ('venture.ini', 33, 4),
            ('association.ini', 36, 3),
            ('quickstart.ini', 1, 1),
        ):
            example = configuration.read_configuration(folder / name).unwrap()
            self.assertEqual(len(example.upstreams), upstream_count)
            self.assertEqual(len(example.failure_domains), domain_count)
