"""State of a VM's quotas: its account, and its ledger if it is the granter."""

import asyncio
import collections
import dataclasses
from collections.abc import Mapping

from lentilgauge.callers import gateway_request
from lentilgauge.contracts import quota_account, quota_ledger, quotas
from lentilgauge.services import routes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class Waiter:
    """Request that waits for a permit, and the future set when it has one."""

    request: gateway_request.Request
    permitted: asyncio.Future[None]


@dataclasses.dataclass(slots=True, kw_only=True)
class QuotaState:
    """Quotas at one VM.

    `plan_by_workspace` was made from `planned_configuration` within
    `planned_bounds`. `refused_ms_by_workspace` is when a request was last
    refused, for the workspaces whose refusals have been logged as begun.
    `ledger` is that of this VM's latest term as granter, which may lend until
    `lending_ends_ms`, and `self_lent_ms` is when it last lent to this VM.
    `predecessor_sections_end_ms` is when all sections that the granter of
    `predecessor_term` or an earlier one leased have ended, as it said when it
    handed over to this VM.
    `ask_task` asks the granter while requests wait.
    """

    account: quota_account.Account = dataclasses.field(
        default_factory=quota_account.Account
    )
    plan_by_workspace: Mapping[str, quotas.QuotaPlan] = dataclasses.field(
        default_factory=dict
    )
    planned_configuration: routes.Configuration | None = None
    planned_bounds: quotas.QuotaBounds | None = None
    waiters_by_workspace: dict[str, collections.deque[Waiter]] = (
        dataclasses.field(default_factory=dict)
    )
    refused_ms_by_workspace: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    labelled_workspaces: set[str] = dataclasses.field(default_factory=set)
    ledger: quota_ledger.Ledger | None = None
    lending_ends_ms: int = 0
    self_lent_ms: int = 0
    predecessor_term: int = 0
    predecessor_sections_end_ms: int = 0
    ask_task: asyncio.Task[None] | None = None
