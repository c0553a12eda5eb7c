"""Start and stop the processes of a VM."""

import asyncio
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine

from returns import result

from lentilgauge import logs, settings

#: The exit code of a process whose settings are refused.
EXIT_BAD_SETTINGS = 2


def load_settings(
    path: str,
    model: type[settings.FileModel],
) -> settings.FileModel:
    """Read the settings, or exit after saying what is wrong with them."""
    loaded = settings.read_settings(pathlib.Path(path), model)
    if isinstance(loaded, result.Success):
        found: settings.FileModel = loaded.unwrap()
        return found
    sys.stderr.write(f'{loaded.failure().detail}\n')
    sys.exit(EXIT_BAD_SETTINGS)


def make_stop_event() -> asyncio.Event:
    """Make an event that is set when the process is told to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


def report_ready(name: str) -> None:
    """Say on standard output that the process listens."""
    sys.stdout.write(f'{name} ready\n')
    sys.stdout.flush()


async def run_until_stopped(
    jobs: list[Coroutine[object, object, None]],
    stop: Callable[[], Awaitable[None]],
) -> None:
    """Run jobs until the process is told to stop or one of them fails."""
    stopping = asyncio.ensure_future(make_stop_event().wait())
    running = [asyncio.ensure_future(job) for job in jobs]
    await asyncio.wait(
        (stopping, *running),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for ended in running:
        if ended.done():
            # A job never ends by itself: this raises what broke it.
            ended.result()
    logs.log_change('stopping')
    await stop()
    for job in running:
        job.cancel()
