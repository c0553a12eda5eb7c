"""Close the list of error kinds and map each kind to its answer."""

import dataclasses
import enum
import http
import types
from collections.abc import Mapping


class Ran(enum.StrEnum):
    """Say whether a refused request can have been executed."""

    NOT_RUN = 'no'
    UNKNOWN = 'unknown'


class ErrorKind(enum.StrEnum):
    """Name every way in which a request or a command can fail."""

    BAD_REQUEST = 'bad_request'
    BAD_KEY = 'bad_key'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    NO_SUCH_KIND = 'no_such_kind'
    NO_OWNER = 'no_owner'
    OVERLOADED = 'overloaded'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    CONFIGURATION_STALE = 'configuration_stale'
    LEAVING = 'leaving'
    STILL_RUNNING = 'still_running'
    KEY_REUSED = 'idempotency_key_reused'
    UPSTREAM_REFUSED = 'upstream_refused'
    UPSTREAM_UNREACHABLE = 'upstream_unreachable'
    UPSTREAM_LOST = 'upstream_lost'
    UPSTREAM_TIMEOUT = 'upstream_timeout'
    ANSWER_INVALID = 'answer_invalid'
    BAD_SETTINGS = 'bad_settings'
    BAD_COMMAND = 'bad_command'
    CONFLICT = 'conflict'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    INTERNAL = 'internal'


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """Hold the HTTP status and execution claim for an error kind.

    `retry_after` says that the caller may try the same request again.
    """

    status: http.HTTPStatus
    ran: Ran
    retry_after: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Describe one failed request, command or call.

    `detail` is a sentence for people; programs look at `kind` alone.
    """

    kind: ErrorKind
    detail: str


def _refused(status: http.HTTPStatus) -> Answer:
    return Answer(status=status, ran=Ran.NOT_RUN)


def _refused_for_now(status: http.HTTPStatus) -> Answer:
    return Answer(status=status, ran=Ran.NOT_RUN, retry_after=True)


def _unknown(status: http.HTTPStatus) -> Answer:
    return Answer(status=status, ran=Ran.UNKNOWN)


_TOO_LARGE_HEADERS = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

ANSWERS: Mapping[ErrorKind, Answer] = types.MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: _refused(http.HTTPStatus.BAD_REQUEST),
        ErrorKind.BAD_KEY: _refused(http.HTTPStatus.BAD_REQUEST),
        ErrorKind.BODY_TOO_LARGE: _refused(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        ),
        ErrorKind.HEADERS_TOO_LARGE: _refused(_TOO_LARGE_HEADERS),
        ErrorKind.NO_SUCH_KIND: _refused(http.HTTPStatus.NOT_FOUND),
        ErrorKind.NO_OWNER: _refused_for_now(
            http.HTTPStatus.SERVICE_UNAVAILABLE
        ),
        ErrorKind.OVERLOADED: _refused_for_now(
            http.HTTPStatus.TOO_MANY_REQUESTS
        ),
        ErrorKind.DEADLINE_TOO_SHORT: _refused(http.HTTPStatus.GATEWAY_TIMEOUT),
        ErrorKind.CONFIGURATION_STALE: _refused_for_now(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        ErrorKind.LEAVING: _refused_for_now(
            http.HTTPStatus.SERVICE_UNAVAILABLE
        ),
        ErrorKind.STILL_RUNNING: Answer(
            status=http.HTTPStatus.CONFLICT,
            ran=Ran.UNKNOWN,
            retry_after=True,
        ),
        ErrorKind.KEY_REUSED: _refused(http.HTTPStatus.UNPROCESSABLE_ENTITY),
        ErrorKind.UPSTREAM_REFUSED: _refused_for_now(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        ErrorKind.UPSTREAM_UNREACHABLE: _refused_for_now(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        ErrorKind.UPSTREAM_LOST: _unknown(http.HTTPStatus.BAD_GATEWAY),
        ErrorKind.UPSTREAM_TIMEOUT: _unknown(http.HTTPStatus.GATEWAY_TIMEOUT),
        ErrorKind.ANSWER_INVALID: _unknown(http.HTTPStatus.BAD_GATEWAY),
        ErrorKind.BAD_SETTINGS: _refused(http.HTTPStatus.BAD_REQUEST),
        ErrorKind.BAD_COMMAND: _refused(http.HTTPStatus.BAD_REQUEST),
        ErrorKind.CONFLICT: _refused(http.HTTPStatus.CONFLICT),
        ErrorKind.PLATFORM_UNAVAILABLE: _unknown(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        ErrorKind.INTERNAL: _unknown(http.HTTPStatus.INTERNAL_SERVER_ERROR),
    }
)
