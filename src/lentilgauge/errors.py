"""Error kinds of requests and commands, and the HTTP response to each."""

import dataclasses
import enum
import http
import types
from collections.abc import Mapping


class ExecutionClaim(enum.StrEnum):
    """Whether a failed request may have been executed by an upstream."""

    NOT_RUN = 'no'
    UNKNOWN = 'unknown'


class ErrorKind(enum.StrEnum):
    """Every way in which a request or a command can fail."""

    BAD_REQUEST = 'bad_request'
    BAD_KEY = 'bad_key'
    UNAUTHENTICATED = 'unauthenticated'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    NO_SUCH_KIND = 'no_such_kind'
    NO_OWNER = 'no_owner'
    OVERLOADED = 'overloaded'
    QUOTA_EXCEEDED = 'quota_exceeded'
    DEADLINE_TOO_SHORT = 'deadline_too_short'
    CONFIGURATION_STALE = 'configuration_stale'
    LEAVING = 'leaving'
    MEMORY_SHORT = 'memory_short'
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
class ErrorResponse:
    """HTTP status and execution claim that callers get for an error kind.

    With `is_retryable` set, the caller may send the same request again.
    """

    status: http.HTTPStatus
    execution_claim: ExecutionClaim
    is_retryable: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Failure:
    """Error of one request, command or call.

    `detail` is meant for people; programs decide by `kind` alone.
    `retry_after_ms` is the delay for the `Retry-After` header; 0 leaves it to
    the code that answers.
    """

    kind: ErrorKind
    detail: str
    retry_after_ms: int = 0


def _reject(status: http.HTTPStatus) -> ErrorResponse:
    return ErrorResponse(status=status, execution_claim=ExecutionClaim.NOT_RUN)


def _reject_retryable(status: http.HTTPStatus) -> ErrorResponse:
    return ErrorResponse(
        status=status, execution_claim=ExecutionClaim.NOT_RUN, is_retryable=True
    )


def _fail_uncertain(status: http.HTTPStatus) -> ErrorResponse:
    return ErrorResponse(status=status, execution_claim=ExecutionClaim.UNKNOWN)


_HEADERS_TOO_LARGE_STATUS = http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE

RESPONSE_BY_KIND: Mapping[ErrorKind, ErrorResponse] = types.MappingProxyType(
    {
        ErrorKind.BAD_REQUEST: _reject(http.HTTPStatus.BAD_REQUEST),
        ErrorKind.BAD_KEY: _reject(http.HTTPStatus.BAD_REQUEST),
        ErrorKind.UNAUTHENTICATED: _reject(http.HTTPStatus.UNAUTHORIZED),
        ErrorKind.BODY_TOO_LARGE: _reject(
            http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        ),
        ErrorKind.HEADERS_TOO_LARGE: _reject(_HEADERS_TOO_LARGE_STATUS),
        ErrorKind.NO_SUCH_KIND: _reject(http.HTTPStatus.NOT_FOUND),
        ErrorKind.NO_OWNER: _reject_retryable(
            http.HTTPStatus.SERVICE_UNAVAILABLE
        ),
        ErrorKind.OVERLOADED: _reject_retryable(
            http.HTTPStatus.TOO_MANY_REQUESTS
        ),
        ErrorKind.QUOTA_EXCEEDED: _reject_retryable(
            http.HTTPStatus.TOO_MANY_REQUESTS
        ),
        ErrorKind.DEADLINE_TOO_SHORT: _reject(http.HTTPStatus.GATEWAY_TIMEOUT),
        ErrorKind.CONFIGURATION_STALE: _reject_retryable(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        ErrorKind.LEAVING: _reject_retryable(
            http.HTTPStatus.SERVICE_UNAVAILABLE
        ),
        ErrorKind.MEMORY_SHORT: _reject_retryable(
            http.HTTPStatus.SERVICE_UNAVAILABLE
        ),
        ErrorKind.STILL_RUNNING: ErrorResponse(
            status=http.HTTPStatus.CONFLICT,
            execution_claim=ExecutionClaim.UNKNOWN,
            is_retryable=True,
        ),
        ErrorKind.KEY_REUSED: _reject(http.HTTPStatus.UNPROCESSABLE_ENTITY),
        ErrorKind.UPSTREAM_REFUSED: _reject_retryable(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        ErrorKind.UPSTREAM_UNREACHABLE: _reject_retryable(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        ErrorKind.UPSTREAM_LOST: _fail_uncertain(http.HTTPStatus.BAD_GATEWAY),
        ErrorKind.UPSTREAM_TIMEOUT: _fail_uncertain(
            http.HTTPStatus.GATEWAY_TIMEOUT
        ),
        ErrorKind.ANSWER_INVALID: _fail_uncertain(http.HTTPStatus.BAD_GATEWAY),
        ErrorKind.BAD_SETTINGS: _reject(http.HTTPStatus.BAD_REQUEST),
        ErrorKind.BAD_COMMAND: _reject(http.HTTPStatus.BAD_REQUEST),
        ErrorKind.CONFLICT: _reject(http.HTTPStatus.CONFLICT),
        ErrorKind.PLATFORM_UNAVAILABLE: _fail_uncertain(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
        ),
        ErrorKind.INTERNAL: _fail_uncertain(
            http.HTTPStatus.INTERNAL_SERVER_ERROR
        ),
    }
)
