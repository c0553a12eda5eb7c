"""Run an event loop whose clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine


class JumpingSelector(selectors.SelectSelector):
    """Advance the loop's clock in place of waiting."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__()
        self.now: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Look for events without waiting, then let the time pass."""
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Tell the selector's time."""

    def __init__(self) -> None:
        """Start at zero."""
        self.jumping = JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.jumping.now

    def read_ms(self) -> int:
        """Return the virtual time in milliseconds, away from zero."""
        return int(self.jumping.now * 1000) + 1_000_000


def run(loop: VirtualLoop, main: Coroutine[object, object, None]) -> None:
    """Run to the end, then end what is left."""
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        asyncio.set_event_loop(None)
        loop.close()
