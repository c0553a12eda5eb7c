"""An event loop on virtual time: its clock jumps to the next timer."""

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine

#: Name of the simulated process to which the running task belongs.
PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar(
    'PROCESS', default=''
)


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
    """Event loop whose time is that of its selector.

    `pause_end_by_process` has the virtual time in seconds until which a
    process is paused: callbacks in its context run no earlier.
    """

    def __init__(self) -> None:
        """Start at zero."""
        self.time_selector = VirtualTimeSelector()
        self.pause_end_by_process: dict[str, float] = {}
        super().__init__(self.time_selector)

    def call_soon(
        self,
        callback: Callable[..., object],
        *args: object,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Run a callback soon, or once its process is no longer paused."""
        own_context = context or contextvars.copy_context()
        handle: asyncio.Handle

        def run_unless_paused() -> None:
            end = self.pause_end_by_process.get(PROCESS.get(), 0)
            if self.time() < end:
                self.call_at(end, run_unless_paused, context=own_context)
            elif not handle.cancelled():
                callback(*args)

        handle = super().call_soon(run_unless_paused, context=own_context)
        return handle

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
        paused_tasks = asyncio.all_tasks(loop)
        if paused_tasks:
            loop.run_until_complete(asyncio.wait(paused_tasks, timeout=6))
        asyncio.set_event_loop(None)
        loop.close()
