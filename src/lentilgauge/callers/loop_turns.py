"""Turns at the event loop for work of callers that takes long.

A long head, or a body in tiny chunks or single bytes, takes the loop for as
long as many ordinary requests. Such work is done in turns, a bounded part of it
in each round of the loop, so that everything else goes on between them.
"""

import asyncio
import collections
import dataclasses
from collections.abc import Callable

#: Units of work in one round of the loop. A round takes some milliseconds more
#: then, and an ordinary request some ten rounds.
UNITS_PER_ROUND = 16
#: Parsing a head of 16 KiB of short headers takes 6 ms.
HEAD_UNITS = 16
#: Units of `FRAMES_PER_TURN` frames, which take half a millisecond.
FRAMES_UNITS = 1
FRAMES_PER_TURN = 32
#: Searching an unfinished head for its end takes up to 0.3 ms.
READ_UNITS = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class Turn:
    """Work that waits for its turn; `take` begins it."""

    units: int
    take: Callable[[], None]


@dataclasses.dataclass(slots=True, kw_only=True)
class Turns:
    """Work that waits, the first to come first.

    `is_scheduled` is whether turns are granted in the next round of the loop.
    """

    waiting: collections.OrderedDict[Turn, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    is_scheduled: bool = False


def request_turn(turns: Turns, turn: Turn) -> None:
    """Let work wait for its turn, which comes in a later round of the loop."""
    turns.waiting[turn] = None
    _schedule(turns)


def take_at_once(turns: Turns, turn: Turn) -> None:
    """Begin work that waits, as little is left of it."""
    if turn in turns.waiting:
        turns.waiting.pop(turn)
        turn.take()


def _schedule(turns: Turns) -> None:
    if not turns.is_scheduled:
        turns.is_scheduled = True
        asyncio.get_running_loop().call_soon(_grant_turns, turns)


def _grant_turns(turns: Turns) -> None:
    """Begin as much of the work as fits in one round of the loop."""
    turns.is_scheduled = False
    units = 0
    while turns.waiting:
        turn = next(iter(turns.waiting))
        units += turn.units
        if units > UNITS_PER_ROUND:
            _schedule(turns)
            break
        turns.waiting.pop(turn)
        turn.take()
