"""Close the list of what a gateway logs.

docs/OPERATIONS.md says what each event means and what its fields hold.
"""

import enum
import types

from lentilgauge import log_lines, logs


class Event(enum.StrEnum):
    """Name each decision on a request and each change of what is believed."""

    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    SETTINGS_TAKEN = 'settings_taken'
    SETTINGS_REFUSED = 'settings_refused'
    REQUEST_ANSWERED = 'request_answered'
    REQUEST_REFUSED = 'request_refused'
    REQUEST_FAILED = 'request_failed'
    REQUEST_LEFT = 'request_left'
    ATTEMPT_FAILED = 'attempt_failed'
    CONFIGURATION_TAKEN = 'configuration_taken'
    OBJECT_UNREADABLE = 'object_unreadable'
    EVACUATIONS_CHANGED = 'evacuations_changed'
    UPSTREAM_CHANGED = 'upstream_changed'
    UPSTREAM_GONE = 'upstream_gone'
    UPSTREAMS_MISSING = 'upstreams_missing'
    UPSTREAM_SILENT = 'upstream_silent'
    GRANTER_STARTED = 'granter_started'
    GRANTER_STOPPED = 'granter_stopped'
    GRANTER_SILENT = 'granter_silent'
    FOLLOWING_THROUGH = 'following_through'
    TAKEOVER_FAILED = 'takeover_failed'
    TERM_UNCONFIRMED = 'term_unconfirmed'
    TERM_CONFIRMED = 'term_confirmed'
    TERM_LAPSED = 'term_lapsed'
    WATCH_ENDED = 'watch_ended'
    WATCH_BEHIND = 'watch_behind'
    KEYS_ASSIGNED = 'keys_assigned'
    KEYS_MOVED = 'keys_moved'
    KEYS_SERVED = 'keys_served'


_WEIGHT_BY_EVENT = types.MappingProxyType(
    {
        Event.REQUEST_ANSWERED: log_lines.Weight.ROUTINE,
        Event.REQUEST_REFUSED: log_lines.Weight.FAILURE,
        Event.REQUEST_FAILED: log_lines.Weight.FAILURE,
        Event.ATTEMPT_FAILED: log_lines.Weight.FAILURE,
        Event.REQUEST_LEFT: log_lines.Weight.ROUTINE,
    },
)


def record(event: Event, **fields: object) -> None:
    """Log one event with its fields."""
    weight = _WEIGHT_BY_EVENT.get(event, log_lines.Weight.CHANGE)
    logs.log_weighted(event, weight, fields)
