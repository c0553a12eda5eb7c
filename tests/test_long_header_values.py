"""Tests that long header values of faulty upstreams aren't kept."""

import tracemalloc
import unittest

from tornado import httputil

from lentilgauge.platform import headers, upstream_adapter

_ANSWERS_COUNT = 100
#: As long as a head may be, and more than is logged.
_LONG_VALUE_LENGTH = 300_000
_LOGGED_LENGTH = 200


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
