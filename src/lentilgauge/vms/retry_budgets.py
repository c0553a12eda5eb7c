"""Retry budgets of a gateway's services."""

from lentilgauge.callers import retry_budget
from lentilgauge.vms import gateway as gateway_module


def make_limits(gateway: gateway_module.Gateway) -> retry_budget.RetryLimits:
    """Make the limits on retries from the process's bounds."""
    return retry_budget.RetryLimits(
        ratio=gateway.bounds.retry_ratio,
        window_ms=gateway.bounds.retry_window_ms,
        retries_per_window=gateway.bounds.retry_extra,
        vm_count=gateway_module.count_vms(gateway),
    )


def get_budget(
    gateway: gateway_module.Gateway,
    service: str,
) -> retry_budget.RetryBudget:
    """Get the budget of a service, creating it if it is new."""
    budget = gateway.budget_by_service.get(service)
    if budget is None:
        budget = retry_budget.make_budget(
            gateway.bounds.retry_extra,
            gateway_module.count_vms(gateway),
            gateway.now_ms(),
        )
        gateway.budget_by_service[service] = budget
    return budget
