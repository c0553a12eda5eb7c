"""Tell refused callers when to come back.

This answers loads over what upstreams bear, and keys that nobody serves for a
while. A caller comes back once, after a third of its time at most, and one
that is refused again is lost; so callers are invited one after the other, as
fast as places get free, and no sooner than there is hope.
"""

import dataclasses

#: Nobody comes back sooner: an upstream's shortest work takes about as long.
LEAST_RETURN_MS = 100
#: Callers wait for at most this part of the time that they have left.
LONGEST_SHARE = 1 / 3
#: Of the places that get free, so many are for those who come back.
_INVITED_SHARE = 0.5
_NEWEST_SHARE = 0.1
#: Without any answer for so long nothing is known of the pace.
_MOST_GAP_MS = 1000
_FIRST_GAP_MS = 50


@dataclasses.dataclass(slots=True, kw_only=True)
class Returns:
    """Hold how fast a service's places get free, and until when they are taken.

    `gap_ms` is the moving average of the time between two answers here.
    """

    gap_ms: float = _FIRST_GAP_MS
    answered_ms: int = 0
    invited_ms: float = 0


def note_answered(returns: Returns, now_ms: int) -> None:
    """Note that a place has got free."""
    gap_ms = min(now_ms - returns.answered_ms, _MOST_GAP_MS)
    returns.answered_ms = now_ms
    returns.gap_ms += (gap_ms - returns.gap_ms) * _NEWEST_SHARE


def invite(returns: Returns, now_ms: int, left_ms: int) -> int:
    """Return after how many ms a caller is to come back, to a place of its own.

    Beyond what the caller waits for there are no places: it comes back when it
    does, and nobody after it has to wait for that.
    """
    longest_ms = max(left_ms * LONGEST_SHARE, LEAST_RETURN_MS)
    first_ms = now_ms + LEAST_RETURN_MS
    place_ms = max(first_ms, returns.invited_ms)
    if place_ms - now_ms > longest_ms:
        return int(longest_ms)
    returns.invited_ms = place_ms + returns.gap_ms / _INVITED_SHARE
    return int(place_ms - now_ms)


def await_owner(unserved_ms: int, left_ms: int) -> int:
    """Return after how many ms a caller is to come back for a key's owner.

    Most keys are without one for a moment; one that has been so for long will
    be for long yet.
    """
    longest_ms = max(left_ms * LONGEST_SHARE, LEAST_RETURN_MS)
    return int(min(max(unserved_ms, LEAST_RETURN_MS), longest_ms))
