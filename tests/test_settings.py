"""Test that bad settings, commands and requests are refused by name."""

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
    """Read text as the settings of an entry."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'entry.ini'
        path.write_text(text, encoding='utf-8')
        return settings.read_settings(path, settings.EntryFile)


def read_configuration(text: str):
    """Read text as a configuration."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'services.ini'
        path.write_text(text, encoding='utf-8')
        return configuration.read_configuration(path)


class SettingsTest(unittest.TestCase):
    """Hazard 19: a clear error names the place."""

    def test_good_settings_are_taken(self) -> None:
        read = read_entry(GOOD_ENTRY)
        self.assertEqual(read.unwrap().entry.port, 7200)

    def test_each_fault_is_named(self) -> None:
        for text, named in (
            (GOOD_ENTRY.replace('port = 7200', 'port = many'), '[entry]'),
            (GOOD_ENTRY.replace('port = 7200', 'port = many'), 'port'),
            (GOOD_ENTRY.replace('port = 7200', 'port = 70000'), '65535'),
            (f'{GOOD_ENTRY}colour = red\n', 'colour'),
            (f'{GOOD_ENTRY}[extra]\n', '[extra]'),
            (GOOD_ENTRY.replace('address = 127.0.0.1\n', '', 1), 'address'),
            (GOOD_ENTRY.replace('[vm]', '[vm'), 'no section headers'),
            (GOOD_ENTRY.replace('id = vm-1', 'id = VM 1'), 'VM 1'),
        ):
            with self.subTest(named=named):
                failure = read_entry(text).failure()
                self.assertEqual(failure.kind, errors.ErrorKind.BAD_SETTINGS)
                self.assertIn(named, failure.detail)

    def test_intervals_that_would_fail_over_at_rest_are_refused(self) -> None:
        path = pathlib.Path('examples/settings/controller.ini')
        good = settings.read_sections(path).unwrap()
        for changed in (
            {'heartbeat_ms': '500', 'lease_ms': '1200'},
            {'confirm_grace_ms': '1500'},
        ):
            sections = {
                **good,
                'controller': {**good['controller'], **changed},
            }
            read = settings.validate(path, settings.ControllerFile, sections)
            self.assertIn('three times', read.failure().detail)

    def test_a_missing_file_is_named(self) -> None:
        read = settings.read_settings(
            pathlib.Path('/nowhere/entry.ini'),
            settings.EntryFile,
        )
        self.assertIn('/nowhere/entry.ini', read.failure().detail)

    def test_configuration_faults_are_named(self) -> None:
        self.assertIsInstance(
            read_configuration(GOOD_CONFIGURATION),
            result.Success,
        )
        for old, new, named in (
            ('service = cases\nmethod', 'service = other\nmethod', 'lookup'),
            ('path = /cases/{key}', 'path = /cases', '{key}'),
            ('path = /cases/{key}', 'path = cases', 'path'),
            ('domain-a\naddress', 'domain-z\naddress', 'failure_domain'),
            ('[upstream cases-1]', '[server cases-1]', '[server cases-1]'),
            ('slots = 16', 'slots = -1', 'slots'),
        ):
            with self.subTest(named=named):
                changed = GOOD_CONFIGURATION.replace(old, new)
                failure = read_configuration(changed).failure()
                self.assertIn(named, failure.detail)

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
    """Test the one place where keys are normalised."""

    def test_spellings_of_one_key_are_one(self) -> None:
        spellings = ('caf%C3%A9', 'cafe%CC%81', '%20caf%C3%A9%20')
        found = {keys.normalise_segment(one).unwrap() for one in spellings}
        self.assertEqual(found, {'café'.encode()})

    def test_bad_keys_are_refused(self) -> None:
        for bad in ('', '%20', '%FF', '%00', 'a%0Ab', 'x' * 513):
            with self.subTest(bad=bad):
                failure = keys.normalise_segment(bad).failure()
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
    """Test how a request finds its kind."""

    def setUp(self) -> None:
        """Index two kinds."""
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
        """Match a request."""
        given = httputil.HTTPHeaders(
            {name.replace('_', '-'): text for name, text in headers.items()}
        )
        return kinds.match_request(self.index, method, path, given)

    def test_kinds_match_by_method_and_path(self) -> None:
        found = self.match('GET', '/cases/7').unwrap()
        self.assertEqual((found.kind.name, found.key), ('lookup', b'7'))
        found = self.match('POST', '/letters', X_Case='9').unwrap()
        self.assertEqual((found.kind.name, found.key), ('by-header', b'9'))

    def test_what_matches_nothing_is_refused(self) -> None:
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
    """Test that versions only grow."""

    def test_hazard_18_an_older_object_is_ignored(self) -> None:
        made = replica.Replica()
        for version, slot_count, taken in ((2, 8, True), (1, 4, False)):
            stored = platform_messages.StoredObject(
                name=configuration.OBJECT_NAME,
                version=version,
                revision=version,
                body={'services': {'cases': {'slots': slot_count}}},
            )
            self.assertEqual(replica.take_object(made, stored), taken)
        known = made.config.service_by_name['cases'].slot_count
        self.assertEqual((made.config.version, known), (2, 8))


class RelayTest(unittest.TestCase):
    """Test that whoever follows a replica misses nothing."""

    def test_an_object_learned_late_is_passed_on(self) -> None:
        made = replica.Replica()
        followed = 0
        seen = []
        # A write's answer brings a newer object before the watch an older.
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
            replica.take_object(made, stored)
            seen += [one.name for one in replica.list_changes(made, followed)]
            followed = made.serial
        self.assertEqual(seen, ['vm/one', 'vm/two'])


class SlotsTest(unittest.TestCase):
    """Test that each slot keeps exactly one owner."""

    def test_a_vacated_upstream_owns_nothing(self) -> None:
        made = slots.make_slot_map(8)
        made = slots.add_available(made, 'one', 1)
        made = slots.change_owners(made, dict.fromkeys(range(8), 'one'))
        made = slots.start_moves(made, {3: 'two'})
        vacated = slots.remove_available(made, 'one')
        self.assertEqual(slots.list_vacant_slots(vacated), list(range(8)))
        self.assertFalse(vacated.move_by_slot)


class ExamplesTest(unittest.TestCase):
    """Test that the shipped examples are valid, at the users' sizes."""

    def test_both_users_configurations_are_taken(self) -> None:
        folder = pathlib.Path('examples/settings')
        for name, upstreams, domains in (
            ('venture.ini', 33, 4),
            ('association.ini', 36, 3),
            ('quickstart.ini', 1, 1),
        ):
            read = configuration.read_configuration(folder / name).unwrap()
            self.assertEqual(len(read.upstreams), upstreams)
            self.assertEqual(len(read.failure_domains), domains)
