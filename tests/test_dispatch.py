"""Test what a caller is told when time runs out at the wrong moment."""

import itertools
import pathlib
import unittest

from returns import result
from tornado import httputil, testing

from lentilgauge import errors, settings
from lentilgauge.callers import dispatch
from lentilgauge.callers import request as request_module
from lentilgauge.services import catalog
from lentilgauge.upstreams import gates
from lentilgauge.vms import entry as entry_module

_START_MS = 1000
_SUSPENDED_MS = _START_MS + 6
_LONGEST_MS = 40
_SETTINGS = pathlib.Path(__file__).parents[1] / 'examples/settings/entry.ini'


def make_entry(dead_port: int) -> entry_module.Entry:
    """Make an entry with one upstream, which is gone and passed over."""
    loaded = settings.read_settings(_SETTINGS, settings.EntryFile).unwrap()
    ticks = itertools.count(_START_MS)
    entry = entry_module.make_entry(loaded, lambda: next(ticks))
    upstream = catalog.Upstream(
        id='u',
        service='s',
        failure_domain='d',
        address='127.0.0.1',
        port=dead_port,
    )
    entry.replica.config = catalog.Catalog(
        version=1,
        service_by_name={'s': catalog.Service(name='s')},
        upstream_by_id={'u': upstream},
    )
    entry_module.adopt_configuration(entry)
    entry.pool_by_service['s'] = (upstream,)
    entry.gate_by_upstream['u'] = gates.Gate(
        limit=2,
        suspended_deadline_ms=_SUSPENDED_MS,
    )
    return entry


class DispatchTest(unittest.IsolatedAsyncioTestCase):
    """Drive one request with a clock that moves at each look."""

    async def test_a_request_that_waited_in_vain_is_refused_as_not_run(
        self,
    ) -> None:
        """Its time may end at any moment, also just before it is sent."""
        probe, dead_port = testing.bind_unused_port()
        probe.close()
        for left_ms in range(_SUSPENDED_MS - _START_MS, _LONGEST_MS):
            entry = make_entry(dead_port)
            served = await dispatch.serve(
                entry,
                request_module.CallerRequest(
                    id='r',
                    kind=catalog.Kind(
                        name='k',
                        service='s',
                        method='GET',
                        template='/k',
                        idempotent=True,
                    ),
                    key=b'',
                    deadline_ms=_START_MS + left_ms,
                    method='GET',
                    target='/k',
                    headers=httputil.HTTPHeaders(),
                    body=b'',
                ),
            )
            self.assertIsInstance(served, result.Failure)
            answer = errors.ANSWERS[served.failure().kind]
            with self.subTest(left_ms=left_ms):
                self.assertEqual(answer.status, 503)
                self.assertIs(answer.ran, errors.Ran.NOT_RUN)
