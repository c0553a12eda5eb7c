"""When an upstream that counts as unresponsive is asked whether it answers.

It holds no keys and gets no orders, so nothing else would show that it is in
reach again.
"""

import dataclasses

#: Delay from an absence's start until the first check. It doubles with each
#: check that isn't answered, up to the longest delay of a single absence.
_FIRST_DELAY_MS = 500
_LONGEST_DELAY_MS = 2000
#: The first delay doubles with each absence that starts so soon after the last
#: one, as some keys are unserved each time.
_FORGET_AFTER_MS = 30_000
_MAX_DOUBLINGS = 5


@dataclasses.dataclass(slots=True, kw_only=True)
class Absence:
    """Latest time for which an upstream was unresponsive.

    `check_due_ms` is when it may next be checked, and `unanswered_checks`
    counts those before. `recent_absences` counts earlier absences.
    `forgotten_ms` is when this one no longer counts as recent, or 0 until the
    upstream has returned.
    """

    check_due_ms: int = 0
    unanswered_checks: int = 0
    recent_absences: int = 0
    forgotten_ms: int = 0


def start_absence(earlier: Absence | None, now_ms: int) -> Absence:
    """Start an absence after an earlier one of the same upstream, if any."""
    absence = Absence()
    if earlier is not None and now_ms < earlier.forgotten_ms:
        absence.recent_absences = earlier.recent_absences + 1
    schedule_check(absence, now_ms)
    return absence


def schedule_check(absence: Absence, now_ms: int) -> None:
    """Set when the next check is due."""
    first_delay_ms = _FIRST_DELAY_MS << min(
        absence.recent_absences, _MAX_DOUBLINGS
    )
    absence.check_due_ms = now_ms + min(
        first_delay_ms << min(absence.unanswered_checks, _MAX_DOUBLINGS),
        max(first_delay_ms, _LONGEST_DELAY_MS),
    )


def is_absent(absence: Absence | None) -> bool:
    """Return whether the upstream hasn't returned yet."""
    return absence is not None and not absence.forgotten_ms


def end_absence(absence: Absence, now_ms: int) -> None:
    """Note that the upstream has returned."""
    absence.forgotten_ms = now_ms + _FORGET_AFTER_MS
