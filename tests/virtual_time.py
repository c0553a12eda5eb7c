"""An event loop on virtual time: its clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine


class VirtualTimeSelector(selectors.SelectSelector):
    """Selector that advances a virtual clock instead of waiting."""

    def __init__(self) -> None:
        """Start at zero."""
        super().__init__()
        self.now_seconds: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return events that are ready; if none are, advance the clock."""
        ready = super().select(0)
        if not ready and timeout is not None and timeout > 0:
            self.now_seconds += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose time is that of its selector."""

    def __init__(self) -> None:
        """Start at zero."""
        self.time_selector = VirtualTimeSelector()
        super().__init__(self.time_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.time_selector.now_seconds

    def read_ms(self) -> int:
        """Return the virtual time in milliseconds, offset to be above 0."""
        return int(self.time_selector.now_seconds * 1000) + 1_000_000


def run_and_close(
    loop: VirtualLoop, main: Coroutine[object, object, None]
) -> None:
    """Run a coroutine to its end, cancel remaining tasks and close the loop."""
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(main)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.01))
        asyncio.set_event_loop(None)
        loop.close()
