"""Start, measure and stop child processes; only the load tool may do so."""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal
from collections.abc import Sequence

START_TIMEOUT_SECONDS = 30
#: Indexes of user and system ticks among the fields after the process name in
#: `/proc/PID/stat`.
_USER_TICKS_INDEX = 11
_SYSTEM_TICKS_INDEX = 12
#: Index of the inode among the fields of a line of `/proc/net/tcp`.
_INODE_INDEX = 9
_HEXADECIMAL = 16


@dataclasses.dataclass(slots=True, kw_only=True)
class Process:
    """Child process that was started, with its name in the system."""

    name: str
    child: asyncio.subprocess.Process

    @property
    def pid(self) -> int:
        """Process id."""
        return self.child.pid


class NotStartedError(RuntimeError):
    """Raised when a process ends or prints another line before it is ready."""


async def start_process(
    name: str,
    command: Sequence[str],
    log_path: pathlib.Path,
) -> Process:
    """Start a process and wait until it reports that it is ready.

    Its error output is appended to the file `log_path`. Raise
    `NotStartedError` if the first line of its output isn't that report, and
    `TimeoutError` if there is none within `START_TIMEOUT_SECONDS`. The process
    has ended then.
    """
    with log_path.open('ab') as log_file:
        child = await asyncio.create_subprocess_exec(
            *command,
            stdout=asyncio.subprocess.PIPE,
            stderr=log_file,
        )
    process = Process(name=name, child=child)
    stdout = child.stdout
    if stdout is None:
        raise NotStartedError(name)
    is_ready = False
    try:
        line = await asyncio.wait_for(stdout.readline(), START_TIMEOUT_SECONDS)
        is_ready = line.strip().endswith(b'ready')
    finally:
        # Nobody else knows the child yet, also if this start is cancelled.
        if not is_ready:
            await stop_process(process, signal.SIGKILL)
    if not is_ready:
        raise NotStartedError(f'{name}: see {log_path}')
    return process


def read_cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, user and system."""
    stat = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='utf-8')
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_INDEX]) + int(fields[_SYSTEM_TICKS_INDEX])
    return ticks / os.sysconf('SC_CLK_TCK')


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    statm = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='utf-8')
    return int(statm.split()[1]) * os.sysconf('SC_PAGE_SIZE')


def read_loopback_bytes() -> int:
    """Return the number of bytes received on the loopback interface so far."""
    lines = pathlib.Path('/proc/net/dev').read_text(encoding='utf-8')
    for line in lines.splitlines():
        name, _, counters = line.partition(':')
        if name.strip() == 'lo':
            return int(counters.split()[0])
    return 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Socket:
    """One end of a TCP connection, with the bytes that nobody has read."""

    local_port: int
    remote_port: int
    unread_bytes: int
    inode: str


def _parse_socket(line: str) -> _Socket:
    fields = line.split()
    local_address, remote_address, _, queues = fields[1:5]
    return _Socket(
        local_port=int(local_address.rpartition(':')[2], _HEXADECIMAL),
        remote_port=int(remote_address.rpartition(':')[2], _HEXADECIMAL),
        unread_bytes=int(queues.rpartition(':')[2], _HEXADECIMAL),
        inode=fields[_INODE_INDEX],
    )


def _list_socket_links(pid: int) -> set[str]:
    links = set()
    for path in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        # The process may close a descriptor meanwhile.
        with contextlib.suppress(FileNotFoundError):
            links.add(str(path.readlink()))
    return links


def count_unread_bytes(pid: int, port: int) -> int:
    """Count the bytes from a process that wait unread at a loopback port."""
    lines = pathlib.Path('/proc/net/tcp').read_text(encoding='utf-8')
    sockets = [_parse_socket(line) for line in lines.splitlines()[1:]]
    links = _list_socket_links(pid)
    sending_ports = {
        end.local_port
        for end in sockets
        if end.remote_port == port and f'socket:[{end.inode}]' in links
    }
    return sum(
        end.unread_bytes
        for end in sockets
        if end.local_port == port and end.remote_port in sending_ports
    )


async def stop_process(process: Process, signal_number: signal.Signals) -> None:
    """Send a signal to a process, if it runs, and wait until it has ended."""
    if process.child.returncode is None:
        process.child.send_signal(signal_number)
        # A process that SIGSTOP paused gets other signals only after SIGCONT.
        process.child.send_signal(signal.SIGCONT)
    await process.child.wait()
