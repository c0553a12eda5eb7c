"""Tests that long header values of faulty upstreams aren't kept."""

import tracemalloc
import unittest

from returns import result
from tornado import httputil

from lentilgauge.links import http_client, upstream_link
from lentilgauge.platform import headers, upstream_adapter
from tests import gateway_fixtures

_ANSWERS_COUNT = 100
#: As long as a head may be, and more than is logged.
_LONG_VALUE_LENGTH = 300_000
_LOGGED_LENGTH = 200
_SOUND_LENGTH = 4096


class LongHeaderValuesTest(unittest.IsolatedAsyncioTestCase):
    """Values of headers that the adapter reads."""

    def test_unreadable_values(self) -> None:
        """Guard against values that are remembered after they are logged."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for number in range(_ANSWERS_COUNT):
            unreadable = f'{"x" * _LOGGED_LENGTH}{number}'
            upstream_adapter.is_leaving(
                httputil.HTTPHeaders(
                    {headers.LEAVING: unreadable.ljust(_LONG_VALUE_LENGTH, 'x')}
                )
            )
        kept_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(kept_bytes, _LONG_VALUE_LENGTH)

    async def test_handover_data(self) -> None:
        """Guard against data that is kept until its keys are granted again."""
        replies = [
            http_client.Reply(
                status=200,
                headers=httputil.HTTPHeaders({headers.HANDOVER: 'h' * length}),
                body=b'',
            )
            for length in (_SOUND_LENGTH, _LONG_VALUE_LENGTH)
        ]

        async def send(_: http_client.Call) -> http_client.CallResult:
            return result.Success(replies.pop(0))

        link = upstream_adapter.make_link(http_client.Client(send=send))
        order = upstream_link.KeyOrder(
            upstream=gateway_fixtures.make_upstream('u0'),
            start=1,
            end=2,
            fence=3,
            hold_ms=0,
            timeout_ms=100,
        )
        sound = await link.release_keys(order)
        self.assertEqual(len(sound.handover), _SOUND_LENGTH)
        long = await link.release_keys(order)
        self.assertEqual((long.answer, long.handover), ('accepted', ''))
