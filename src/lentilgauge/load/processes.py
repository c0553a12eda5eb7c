"""Start and stop processes; only the load tool may."""

import asyncio
import dataclasses
import pathlib
import signal
from collections.abc import Sequence

START_SECONDS = 30


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """Hold one started process."""

    name: str
    child: asyncio.subprocess.Process

    @property
    def pid(self) -> int:
        """The process id."""
        return self.child.pid


class NotStartedError(RuntimeError):
    """Report that a process ended instead of listening."""


async def start_process(
    name: str,
    command: Sequence[str],
    log: pathlib.Path,
) -> Process:
    """Start a process and wait until it says that it listens."""
    with log.open('ab') as errors_file:
        child = await asyncio.create_subprocess_exec(
            *command,
            stdout=asyncio.subprocess.PIPE,
            stderr=errors_file,
        )
    process = Process(name=name, child=child)
    stdout = child.stdout
    if stdout is None:
        raise NotStartedError(name)
    line = await asyncio.wait_for(stdout.readline(), START_SECONDS)
    if not line.strip().endswith(b'ready'):
        await stop_process(process, signal.SIGKILL)
        raise NotStartedError(f'{name}: see {log}')
    return process


async def stop_process(process: Process, number: signal.Signals) -> None:
    """Send a signal to a process and wait until it has ended."""
    if process.child.returncode is None:
        process.child.send_signal(number)
        # A stopped process only sees other signals once it goes on.
        process.child.send_signal(signal.SIGCONT)
    await process.child.wait()
