"""Classify outcomes of attempts and decide which may be retried."""

import dataclasses
import enum
import types

from lentilgauge import errors
from lentilgauge.contracts import lease
from lentilgauge.links import http_client, upstream_data

#: Fraction of a retry that each request adds to its service's budget.
RETRIES_PER_REQUEST = 0.2
#: Maximum of a budget, which is also its initial value.
MAX_SAVED_RETRIES = 20

#: Refusals that last only until a slot move is complete.
SLOT_MOVE_REFUSALS = frozenset(
    (
        lease.RunRefusal.NOT_OWNER,
        lease.RunRefusal.STALE_EPOCH,
        lease.RunRefusal.LEASE_LAPSED,
    )
)


class ExecutionStatus(enum.StrEnum):
    """What an attempt proves about the execution of its request."""

    EXECUTED = 'executed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True, kw_only=True)
class Budget:
    """Retry budget of one service: the number of retries available."""

    remaining: float = MAX_SAVED_RETRIES


_ERROR_BY_FAILURE = types.MappingProxyType(
    {
        http_client.LinkFailure.NOT_CONNECTED: (
            errors.ErrorKind.UPSTREAM_UNREACHABLE
        ),
        http_client.LinkFailure.NOT_REACHED: (
            errors.ErrorKind.UPSTREAM_UNREACHABLE
        ),
        http_client.LinkFailure.UNSENT: errors.ErrorKind.UPSTREAM_LOST,
        http_client.LinkFailure.TIMED_OUT: errors.ErrorKind.UPSTREAM_TIMEOUT,
        http_client.LinkFailure.BROKEN: errors.ErrorKind.UPSTREAM_LOST,
        http_client.LinkFailure.INVALID: errors.ErrorKind.ANSWER_INVALID,
    }
)


def classify_outcome(outcome: upstream_data.Outcome) -> ExecutionStatus:
    """Classify an outcome by what it proves about execution."""
    match outcome:
        case upstream_data.Executed():
            return ExecutionStatus.EXECUTED
        case upstream_data.Refused() | upstream_data.NotSent():
            return ExecutionStatus.NOT_RUN
        case upstream_data.Unanswered(failure=failure):
            if failure in http_client.NOT_SENT_FAILURES:
                return ExecutionStatus.NOT_RUN
            return ExecutionStatus.UNKNOWN


def may_retry(execution_status: ExecutionStatus, *, idempotent: bool) -> bool:
    """Check whether another attempt at a request is safe.

    It is if the request has not run, or if running it twice does no harm.
    """
    if execution_status is ExecutionStatus.NOT_RUN:
        return True
    return execution_status is ExecutionStatus.UNKNOWN and idempotent


def choose_decisive(
    earlier_outcome: upstream_data.Outcome, outcome: upstream_data.Outcome
) -> upstream_data.Outcome:
    """Return the outcome that decides the answer, if no attempt follows.

    It is the last, unless only an earlier attempt may have run.
    """
    if classify_outcome(outcome) is not ExecutionStatus.NOT_RUN:
        return outcome
    if classify_outcome(earlier_outcome) is ExecutionStatus.NOT_RUN:
        return outcome
    return earlier_outcome


def describe_failure(outcome: upstream_data.Outcome) -> errors.Failure:
    """Convert a failed request's decisive outcome into the caller's error."""
    if isinstance(outcome, upstream_data.NotSent):
        return outcome.failure
    if isinstance(outcome, upstream_data.Unanswered):
        return errors.Failure(
            kind=_ERROR_BY_FAILURE[outcome.failure],
            detail=f'the upstream did not answer: {outcome.failure}',
        )
    reason = ''
    if isinstance(outcome, upstream_data.Refused):
        reason = outcome.reason
    return errors.Failure(
        kind=errors.ErrorKind.UPSTREAM_REFUSED,
        detail=f'the upstream refused the request: {reason}',
    )


def deposit(budget: Budget) -> None:
    """Credit the budget for a new request, up to its maximum."""
    budget.remaining = min(
        budget.remaining + RETRIES_PER_REQUEST, MAX_SAVED_RETRIES
    )


def try_withdraw(budget: Budget) -> bool:
    """Take one retry from the budget; return whether one was available."""
    if budget.remaining < 1:
        return False
    budget.remaining -= 1
    return True
