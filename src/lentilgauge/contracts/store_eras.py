"""Terms and fencing tokens over a store that returned to an older copy.

A record that names an earlier era than the store's answer was written before
the store's last return. Terms that began since the copy, with their fencing
tokens and assignments, may be missing from it.
"""

import enum

from lentilgauge.contracts import ownership as ownership_module
from lentilgauge.services import key_ranges

#: More terms than can have begun in the seconds that a copy lacks: the next one
#: is above all lost terms by this number for each era.
TERM_STEP = 1000
#: The tokens that as many terms reserve.
FENCE_STEP = TERM_STEP * ownership_module.RESERVED_FENCES
#: Stands for whoever may hold keys by an assignment that was lost. No release
#: reaches it, so that its grants count until they have expired.
UNKNOWN_HOLDER = key_ranges.Grantee(upstream_id='')


class Course(enum.StrEnum):
    """What a granter does on reading a record."""

    CHECK = 'check'
    IGNORE = 'ignore'
    ADOPT = 'adopt'
    REBUILD = 'rebuild'
    STOP = 'stop'
    WAIT = 'wait'


def choose_course(
    owned: ownership_module.Ownership,
    record: ownership_module.Record | None,
    answer_era: int,
    *,
    is_followed: bool,
    may_order: bool,
) -> Course:
    """Choose what a granter does on reading a record, `None` if it is missing.

    A record of an older copy is written again by a granter that a majority
    `is_followed` by since the store last confirmed its term, as no other
    granter can have moved keys then. Without such a majority it waits for one
    while it `may_order`, and then stops. `CHECK` stands for the check within
    one era, by which a granter of a later term or of this era replaces it. An
    answer of an earlier era was late, and is ignored.
    """
    if answer_era < owned.era:
        return Course.IGNORE
    if record is not None and _is_rebuilt(owned, record, answer_era):
        return Course.ADOPT
    if _is_of_present_history(owned, record, answer_era):
        return Course.CHECK
    if not may_order:
        return Course.STOP
    return Course.REBUILD if is_followed else Course.WAIT


def _is_rebuilt(
    owned: ownership_module.Ownership,
    record: ownership_module.Record,
    answer_era: int,
) -> bool:
    """Return whether this granter wrote a record again, without an answer."""
    if record.granter != owned.granter or record.era != answer_era:
        return False
    return record.era > owned.era


def _is_of_present_history(
    owned: ownership_module.Ownership,
    record: ownership_module.Record | None,
    answer_era: int,
) -> bool:
    """Return whether a record is not older than this granter's own."""
    if record is None:
        return answer_era == owned.era
    return record.term > owned.term or record.era == answer_era


def bound_fences(
    owned: ownership_module.Ownership | ownership_module.Record,
) -> int:
    """Return a bound above the fencing tokens that are reserved."""
    return max(
        owned.next_fence + ownership_module.RESERVED_FENCES, owned.fence_floor
    )


def compute_term(known_term: int, record_era: int, era: int) -> int:
    """Compute the number of the next term, above all that were lost."""
    return known_term + 1 + TERM_STEP * max(era - record_era, 0)


def compute_fence(known_fence: int, record_era: int, era: int) -> int:
    """Compute a fencing token above all that were lost."""
    return known_fence + FENCE_STEP * max(era - record_era, 0)


def doubt_holders(owned: ownership_module.Ownership, hold_end_ms: int) -> None:
    """Let no range be served before `hold_end_ms`, under new tokens."""
    for range_table in owned.table_by_service.values():
        for key_range in range_table.ranges:
            key_range.release_fence = ownership_module.allocate_fence(owned)
            key_range.fence = ownership_module.allocate_fence(owned)
            key_range.served = False
            key_range.hold_end_ms_by_previous_holder[UNKNOWN_HOLDER] = (
                hold_end_ms
            )
