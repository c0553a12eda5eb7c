"""Wait on conditions."""

import asyncio
import itertools
from collections.abc import Callable

_STEP_SECONDS = 0.001


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; the test run's time limit ends it."""
    for _ in itertools.count():
        if condition():
            break
        await asyncio.sleep(_STEP_SECONDS)
