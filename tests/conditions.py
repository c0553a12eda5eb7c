"""Wait on conditions."""

import asyncio
from collections.abc import Callable

_STEP_SECONDS = 0.001


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; the test's own time limit ends it."""
    while not condition():
        await asyncio.sleep(_STEP_SECONDS)
