"""Start and stop processes; only the load tool may."""

import asyncio
import dataclasses
import os
import pathlib
import signal
from collections.abc import Sequence

START_SECONDS = 30
#: Fields of a process's stat after its name: user and system ticks.
_USER_FIELD = 11
_SYSTEM_FIELD = 12


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


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has spent, user and system."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def read_resident_bytes(pid: int) -> int:
    """Return how much memory a process has resident."""
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='utf-8')
    return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')


def read_loopback_bytes() -> int:
    """Return how many bytes have passed over the loopback interface."""
    lines = pathlib.Path('/proc/net/dev').read_text(encoding='utf-8')
    for line in lines.splitlines():
        name, _, counters = line.partition(':')
        if name.strip() == 'lo':
            return int(counters.split()[0])
    return 0


async def stop_process(process: Process, number: signal.Signals) -> None:
    """Send a signal to a process and wait until it has ended."""
    if process.child.returncode is None:
        process.child.send_signal(number)
        # A stopped process only sees other signals once it goes on.
        process.child.send_signal(signal.SIGCONT)
    await process.child.wait()
