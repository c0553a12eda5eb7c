"""Tests of what is said about bad settings of a gateway's own file."""

import contextlib
import io
import pathlib
import socket
import sys
import tempfile
import unittest
from unittest import mock

from lentilgauge import gateway_settings
from lentilgauge.links import http_server
from lentilgauge.platform import program
from lentilgauge.vms import gateway as gateway_module
from tests import gateway_fixtures

_PORT_EXPECTED = 'option port: expected an integer from 1 to 65535, got'
_LEVEL_EXPECTED = 'option level: expected all or changes, got'
_PORTS = ('0', '-1', '65536', '70000', 'none', '1.5', '', '9' * 5000)


class GatewayFileTest(unittest.TestCase):
    """Bad settings are refused with file, section, option and expectation."""

    def test_bad_settings_are_explained(self) -> None:
        """Guard against errors that don't say what was expected."""
        for text, expected in (
            *(
                (
                    f'[log]\nlevel = all\n[metrics]\nport = {port}\n',
                    f'section [metrics], {_PORT_EXPECTED} {port!r}',
                )
                for port in _PORTS
            ),
            *(
                (
                    f'[log]\nlevel = {level}\n',
                    f'section [log], {_LEVEL_EXPECTED} {level!r}',
                )
                for level in ('loud', 'ALL', '', 'all,changes', '7')
            ),
            (
                '[metrics]\nprot = 1\n',
                'section [metrics], option prot: expected port',
            ),
            (
                '[log]\nlevel = all\nform = json\n',
                'section [log], option form: expected level',
            ),
            ('[logs]\n', 'section [logs]: expected [metrics] or [log]'),
            (
                '[DEFAULT]\nlevel = all\n',
                'section [DEFAULT]: expected [metrics] or [log]',
            ),
        ):
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / 'gateway.ini'
                path.write_text(text)
                detail = gateway_settings.read_gateway_file(path).failure()
            self.assertIn(f'{path}: {expected}', detail.detail)


class MetricsPortTest(unittest.IsolatedAsyncioTestCase):
    """An unusable metrics address is refused at the start."""

    async def test_an_unusable_metrics_port_is_explained(self) -> None:
        """Guard against a traceback in place of the option."""
        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), gateway_fixtures.Clock()
        )
        taken = socket.create_server(('127.0.0.1', 0))
        self.addCleanup(taken.close)
        self.assert_explained(gateway, '127.0.0.1', taken.getsockname()[1])
        with mock.patch.object(
            http_server, 'start_server', side_effect=PermissionError('denied')
        ):
            self.assert_explained(gateway, '192.0.2.1', 80)

    def assert_explained(
        self, gateway: gateway_module.Gateway, address: str, port: int
    ) -> None:
        """Check that the program exits and says what is wrong."""
        printed = io.StringIO()
        with (
            mock.patch.object(sys, 'argv', ['program', 'own.ini']),
            contextlib.redirect_stderr(printed),
            self.assertRaises(SystemExit) as raised,
        ):
            program.start_metrics_server(gateway, address, port)
        self.assertEqual(raised.exception.code, 2)
        self.assertIn(
            'own.ini: section [metrics], option port: expected a port that '
            f'is free on {address}, got {port}',
            printed.getvalue(),
        )
