"""Polling of conditions in asynchronous tests."""

import asyncio
import itertools
from collections.abc import Callable

_POLL_SECONDS = 0.001


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until a condition is true.

    It sets no time limit; that of the test run applies.
    """
    for _ in itertools.count():
        if condition():
            break
        await asyncio.sleep(_POLL_SECONDS)
