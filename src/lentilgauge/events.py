"""Events that a gateway logs.

docs/OPERATIONS.md describes each event and its fields.
"""

import enum
import types

from lentilgauge import log_lines, logs


class Event(enum.StrEnum):
    """Outcomes of requests and changes of the state a gateway acts on."""

    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    SETTINGS_TAKEN = 'settings_taken'
    SETTINGS_REFUSED = 'settings_refused'
    REQUEST_ANSWERED = 'request_answered'
    REQUEST_REFUSED = 'request_refused'
    REQUEST_FAILED = 'request_failed'
    REQUEST_LEFT = 'request_left'
    READER_DROPPED = 'reader_dropped'
    CONNECTION_EVICTED = 'connection_evicted'
    ATTEMPT_FAILED = 'attempt_failed'
    CONFIGURATION_TAKEN = 'configuration_taken'
    OBJECT_UNREADABLE = 'object_unreadable'
    WORKSPACE_UNREADABLE = 'workspace_unreadable'
    MESSAGE_SPLIT = 'message_split'
    EVACUATIONS_CHANGED = 'evacuations_changed'
    HEADER_UNREADABLE = 'header_unreadable'
    UPSTREAM_LEAVING = 'upstream_leaving'
    UPSTREAM_BACKOFF = 'upstream_backoff'
    UPSTREAM_CHANGED = 'upstream_changed'
    UPSTREAM_GONE = 'upstream_gone'
    UPSTREAMS_MISSING = 'upstreams_missing'
    UPSTREAM_SILENT = 'upstream_silent'
    UPSTREAM_RETURNED = 'upstream_returned'
    ADDRESS_REUSED = 'address_reused'
    ORDER_REFUSED = 'order_refused'
    GRANTER_STARTED = 'granter_started'
    GRANTER_STOPPED = 'granter_stopped'
    GRANTER_SILENT = 'granter_silent'
    FOLLOWING_THROUGH = 'following_through'
    TAKEOVER_FAILED = 'takeover_failed'
    SUCCESSOR_FAILED = 'successor_failed'
    STORE_SILENT = 'store_silent'
    TERM_UNCONFIRMED = 'term_unconfirmed'
    TERM_CONFIRMED = 'term_confirmed'
    TERM_LAPSED = 'term_lapsed'
    RECORD_MISSING = 'record_missing'
    RECORD_REBUILT = 'record_rebuilt'
    STORE_ERA_CHANGED = 'store_era_changed'
    KEPT_OBJECTS_DROPPED = 'kept_objects_dropped'
    HOLDERS_DOUBTED = 'holders_doubted'
    WATCH_ENDED = 'watch_ended'
    WATCH_BEHIND = 'watch_behind'
    KEYS_ASSIGNED = 'keys_assigned'
    KEYS_MOVED = 'keys_moved'
    KEYS_SERVED = 'keys_served'
    QUOTA_EXHAUSTED = 'quota_exhausted'
    QUOTA_AVAILABLE = 'quota_available'


_PRIORITY_BY_EVENT = types.MappingProxyType(
    {
        Event.REQUEST_ANSWERED: log_lines.Priority.ROUTINE,
        Event.REQUEST_REFUSED: log_lines.Priority.FAILURE,
        Event.REQUEST_FAILED: log_lines.Priority.FAILURE,
        Event.ATTEMPT_FAILED: log_lines.Priority.FAILURE,
        Event.REQUEST_LEFT: log_lines.Priority.ROUTINE,
        Event.READER_DROPPED: log_lines.Priority.FAILURE,
        Event.CONNECTION_EVICTED: log_lines.Priority.ROUTINE,
    },
)


def log_event(event: Event, **fields: object) -> None:
    """Log an event with its fields, at the priority of its kind."""
    priority = _PRIORITY_BY_EVENT.get(event, log_lines.Priority.CHANGE)
    logs.log_with_priority(event, priority, fields)
