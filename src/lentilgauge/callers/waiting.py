"""Keep requests that no upstream has room for, the most urgent first."""

import asyncio
import bisect
import dataclasses
from collections.abc import Callable

from lentilgauge.upstreams import roster

#: Tries to find room for a waiting request; `None` if there still is none.
Choose = Callable[[], roster.Upstream | None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Waiter:
    """Hold one waiting request."""

    rank: int
    deadline_ms: int
    choose: Choose
    chosen: asyncio.Future[roster.Upstream | None]


@dataclasses.dataclass(slots=True, kw_only=True)
class WaitingRoom:
    """Hold the waiting requests, the most urgent first."""

    waiters: list[Waiter] = dataclasses.field(default_factory=list)


def _get_order(waiter: Waiter) -> tuple[int, int]:
    """Order by rank, and then by who could be in time the least longer.

    Who has come back after a refusal doesn't go first: it is mostly late by
    then, and would make newcomers late too (docs/PLATFORM.md, ways tried).
    """
    return (waiter.rank, waiter.deadline_ms)


def add_waiter(room: WaitingRoom, waiter: Waiter) -> None:
    """Let a request wait in its place."""
    bisect.insort(room.waiters, waiter, key=_get_order)


def remove_waiter(room: WaitingRoom, waiter: Waiter) -> None:
    """Take a request out, if it is still there."""
    if waiter in room.waiters:
        room.waiters.remove(waiter)


def admit_waiters(room: WaitingRoom) -> None:
    """Give room to those who wait, as far as there is any."""
    for waiter in tuple(room.waiters):
        if waiter.chosen.done():
            continue
        upstream = waiter.choose()
        if upstream is not None:
            waiter.chosen.set_result(upstream)


def expire_waiters(room: WaitingRoom, now_ms: int) -> None:
    """Tell those whose time is over that there is no room."""
    for waiter in room.waiters:
        if waiter.deadline_ms <= now_ms and not waiter.chosen.done():
            waiter.chosen.set_result(None)
