"""Bound the load that retries add to a service.

In each time window, all VMs together may make retries amounting to a ratio of
the requests plus a fixed number. Each VM enforces its own part of this bound.
"""

import dataclasses

#: Fraction of its part of the bound that a VM uses. The rest is a margin, as
#: the bound holds for windows at any position and VMs may join.
_SAFETY_FACTOR = 0.7


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Number of retries available as of `refilled_ms`."""

    remaining: float
    refilled_ms: int


def make_budget(
    retries_per_window: float, vm_count: int, now_ms: int
) -> RetryBudget:
    """Create a budget that holds this VM's part of the fixed number."""
    return RetryBudget(
        remaining=retries_per_window * _SAFETY_FACTOR / vm_count,
        refilled_ms=now_ms,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryLimits:
    """Limits on the retries of all VMs together.

    `ratio` is relative to the number of requests; `retries_per_window` is the
    fixed number of retries in each window; `vm_count` is the number of VMs
    among which that number is divided.
    """

    ratio: float
    window_ms: int
    retries_per_window: float
    vm_count: int


def deposit(
    budget: RetryBudget, retry_limits: RetryLimits, now_ms: int
) -> None:
    """Credit the budget for one request and for the time elapsed."""
    vm_allowance = (
        retry_limits.retries_per_window * _SAFETY_FACTOR / retry_limits.vm_count
    )
    elapsed_windows = (now_ms - budget.refilled_ms) / retry_limits.window_ms
    budget.refilled_ms = now_ms
    credit = (
        retry_limits.ratio * _SAFETY_FACTOR + vm_allowance * elapsed_windows / 2
    )
    budget.remaining = min(budget.remaining + credit, vm_allowance)


def try_withdraw(budget: RetryBudget) -> bool:
    """Take one retry from the budget; return whether one was available."""
    if budget.remaining < 1:
        return False
    budget.remaining -= 1
    return True
