"""Watch over the memory that the process really has resident.

The account counts connections, heads, bodies and replies by what they may take.
Unusable gaps in the heap aren't counted, so unused memory is returned, and
connections are closed, when the process comes close to the memory of its VM.
"""

import asyncio
import pathlib
import resource

from lentilgauge import clock, process_memory
from lentilgauge.callers import connection_limits, memory_account

_INTERVAL_MS = 250
_STATUS_PATH = pathlib.Path('/proc/self/statm')
#: Part of the VM's memory from which connections are closed. At 100 Mbit/s,
#: callers send 2% of the smallest VM's memory within an interval.
_CRITICAL_PART = 0.95
#: A connection is taken to free this much.
_FREED_BYTES = 65_536


def read_resident_bytes() -> int:
    """Read how much memory this process has resident.

    Return 0 if it can't be read, as when no descriptor is free.
    """
    try:
        status = _STATUS_PATH.read_text(encoding='ascii')
    except OSError:
        return 0
    return int(status.split()[1]) * resource.getpagesize()


def count_excess_connections(resident_bytes: int, memory_bytes: int) -> int:
    """Return how many connections to close.

    The load addressed is memory that the account doesn't count. With a
    `memory_bytes` of 0 there is no limit.
    """
    excess_bytes = resident_bytes - int(memory_bytes * _CRITICAL_PART)
    if not memory_bytes or excess_bytes <= 0:
        return 0
    return excess_bytes // _FREED_BYTES + 1


def relieve(
    account: memory_account.Account,
    connections: connection_limits.Connections,
    resident_bytes: int,
) -> None:
    """Close connections if the process has too much memory resident.

    The first to go are those that make way for a new one first.
    """
    count = count_excess_connections(resident_bytes, account.memory_bytes)
    for _ in range(count):
        if not connection_limits.evict(connections):
            break


async def watch(
    account: memory_account.Account, connections: connection_limits.Connections
) -> None:
    """Check the resident memory until cancelled."""
    while True:
        await asyncio.sleep(clock.to_seconds(_INTERVAL_MS))
        memory_bytes = account.memory_bytes
        if count_excess_connections(read_resident_bytes(), memory_bytes):
            process_memory.return_unused_memory()
            relieve(account, connections, read_resident_bytes())
