"""Decide what may follow each outcome of an attempt."""

import dataclasses
import enum
import types

from lentilgauge import errors
from lentilgauge.contracts import lease
from lentilgauge.links import http_client, upstream_data

#: Each first attempt earns this share of a retry; the rest is a reserve.
RETRY_SHARE = 0.2
RETRY_RESERVE = 20


#: Refusals that end by themselves once a slot has its new owner.
MOVING_REASONS = frozenset(
    (
        lease.RunRefusal.NOT_OWNER,
        lease.RunRefusal.STALE_EPOCH,
        lease.RunRefusal.LEASE_LAPSED,
    )
)


class Verdict(enum.StrEnum):
    """Say what an attempt proves about the request's execution."""

    EXECUTED = 'executed'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(slots=True, kw_only=True)
class Budget:
    """Hold how many retries a service may still make."""

    left: float = RETRY_RESERVE


_ERROR_BY_FAILURE = types.MappingProxyType(
    {
        http_client.LinkFailure.NOT_CONNECTED: (
            errors.ErrorKind.UPSTREAM_UNREACHABLE
        ),
        http_client.LinkFailure.NOT_REACHED: (
            errors.ErrorKind.UPSTREAM_UNREACHABLE
        ),
        http_client.LinkFailure.TIMED_OUT: errors.ErrorKind.UPSTREAM_TIMEOUT,
        http_client.LinkFailure.BROKEN: errors.ErrorKind.UPSTREAM_LOST,
        http_client.LinkFailure.INVALID: errors.ErrorKind.ANSWER_INVALID,
    }
)


def judge(outcome: upstream_data.Outcome) -> Verdict:
    """Say what an outcome proves."""
    match outcome:
        case upstream_data.Executed():
            return Verdict.EXECUTED
        case upstream_data.Refused() | upstream_data.NotSent():
            return Verdict.NOT_RUN
        case upstream_data.Unanswered(failure=failure):
            if failure in http_client.NOTHING_SENT:
                return Verdict.NOT_RUN
            return Verdict.UNKNOWN


def may_retry(verdict: Verdict, *, idempotent: bool) -> bool:
    """Tell whether another attempt can't run the request twice in harm."""
    if verdict is Verdict.NOT_RUN:
        return True
    return verdict is Verdict.UNKNOWN and idempotent


def describe_failure(outcome: upstream_data.Outcome) -> errors.Failure:
    """Turn the last outcome of a request that failed into its error."""
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
        detail=f'the upstream refused: {reason}',
    )


def earn(budget: Budget) -> None:
    """Let a first attempt earn its share of a retry."""
    budget.left = min(budget.left + RETRY_SHARE, RETRY_RESERVE)


def spend(budget: Budget) -> bool:
    """Take one retry out of the budget, if there is one."""
    if budget.left < 1:
        return False
    budget.left -= 1
    return True
