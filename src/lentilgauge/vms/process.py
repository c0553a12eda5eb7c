"""Start and stop of the processes on a VM."""

import asyncio
import pathlib
import signal
import sys
from collections.abc import Awaitable, Callable, Coroutine

from returns import result

from lentilgauge import logs, settings

#: Exit code of a process whose settings are invalid.
EXIT_BAD_SETTINGS = 2


def load_settings(
    path: str,
    model: type[settings.FileModel],
) -> settings.FileModel:
    """Read the settings, or print what is wrong with them and exit."""
    loaded = settings.read_settings(pathlib.Path(path), model)
    if isinstance(loaded, result.Success):
        file_settings: settings.FileModel = loaded.unwrap()
        return file_settings
    sys.stderr.write(f'{loaded.failure().detail}\n')
    sys.exit(EXIT_BAD_SETTINGS)


def make_stop_event() -> asyncio.Event:
    """Make an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    return stop


def report_ready(name: str) -> None:
    """Print on standard output that the process is listening."""
    sys.stdout.write(f'{name} ready\n')
    sys.stdout.flush()


async def run_until_stopped(
    jobs: list[Coroutine[object, object, None]],
    stop: Callable[[], Awaitable[None]],
) -> None:
    """Run jobs until a stop signal, or until one fails.

    A failure is raised without calling `stop`.
    """
    stop_waiter = asyncio.ensure_future(make_stop_event().wait())
    tasks = [asyncio.ensure_future(job) for job in jobs]
    await asyncio.wait(
        (stop_waiter, *tasks),
        return_when=asyncio.FIRST_COMPLETED,
    )
    for task in tasks:
        if task.done():
            # A job ends only by failing: this raises its exception.
            task.result()
    logs.log_change('stopping')
    await stop()
    for task in tasks:
        task.cancel()
