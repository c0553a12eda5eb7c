"""Bound what requests that are sent again add to a service's load.

All VMs together may add a share of the requests and a fixed number in each
window; each VM keeps to its part of that.
"""

import dataclasses

#: The VM keeps to this part of its share, as windows slide and VMs join.
_CAUTION = 0.7


@dataclasses.dataclass(slots=True, kw_only=True)
class RetryBudget:
    """Hold how many requests may still be sent again, as of a moment."""

    left: float
    filled_ms: int


def make_budget(extra: float, vms: int, now_ms: int) -> RetryBudget:
    """Start with this VM's part of the fixed number."""
    return RetryBudget(left=extra * _CAUTION / vms, filled_ms=now_ms)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Hold the bound: a share of requests, and a number in each window."""

    ratio: float
    window_ms: int
    extra: float
    vms: int


def earn(budget: RetryBudget, terms: Terms, now_ms: int) -> None:
    """Fill the budget up for one request and for the time that has passed."""
    part = terms.extra * _CAUTION / terms.vms
    passed = (now_ms - budget.filled_ms) / terms.window_ms
    budget.filled_ms = now_ms
    earned = terms.ratio * _CAUTION + part * passed / 2
    budget.left = min(budget.left + earned, part)


def spend(budget: RetryBudget) -> bool:
    """Take one out of the budget, if there is one."""
    if budget.left < 1:
        return False
    budget.left -= 1
    return True
