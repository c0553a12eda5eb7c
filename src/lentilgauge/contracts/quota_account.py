"""A VM's account of permits: what it may spend, needs and has refused.

Permits come from three sources: loans of the granter, which lapse, standing
permits in the VM's section of the circle, and the slow renewal of the latter
without contact. All times are given as arguments, in milliseconds, on a clock
that counts the time of a suspension.
"""

import collections
import dataclasses
import math
from collections.abc import Mapping

from lentilgauge.contracts import quotas

#: A VM reports its lease to a granter only if it lasts longer than any message
#: is waited for.
_MIN_REPORTED_MS = 2000
#: Part of a standing permit that may be missing without being asked for.
_IGNORED_PART = 0.25
#: Most permits of a workspace that a VM asks for at once.
_MAX_NEED = 1000
#: Longest delay before a retry that is worth stating.
_MAX_RETRY_MS = 10_000
_MIN_RETRY_MS = 100
#: Requests a second to the granter outside the messages of following, from one
#: VM and from all: a granter on a small VM answers some 500 messages a second,
#: of which following takes 200 with 61 VMs.
_ASKS_PER_SECOND = 5
_ASKS_PER_SECOND_OF_ALL = 280
_MAX_ASKS = 2
#: Time within which a VM whose requests wait asks again.
_ASK_COVERS_MS = 400
#: Most workspaces in a message whose standing permits have to be replaced.
_MAX_REFILLS = 4
#: A VM reports its lease, for it to be renewed, after this part of its time.
_REPORT_AFTER_MS = 10_000
_MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Permit:
    """Right to send one request of a workspace until `expires_ms`."""

    workspace: str
    standing: bool
    expires_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Loan:
    """Permits that lapse at `lapses_ms`."""

    count: int
    lapses_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class WorkspaceAccount:
    """Permits of one workspace at a VM.

    `standing` has the standing permits, `waiting` is the number of requests
    that wait for a permit, and a retry is promised a permit at `next_retry_ms`.
    """

    standing: quotas.Bucket
    loans: collections.deque[Loan] = dataclasses.field(
        default_factory=collections.deque
    )
    waiting: int = 0
    next_retry_ms: float = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class Account:
    """Permits of all workspaces at a VM.

    `asks` limits the requests to the granter outside the messages of following,
    of which the last was sent at `asked_ms`.
    """

    lease: quotas.SectionLease = quotas.NO_LEASE
    account_by_workspace: dict[str, WorkspaceAccount] = dataclasses.field(
        default_factory=dict
    )
    asked_ms: int = 0
    asks: quotas.Bucket = dataclasses.field(
        default_factory=lambda: quotas.Bucket(level=_MAX_ASKS, filled_ms=0)
    )


def _count_standing(
    account: Account, plan: quotas.QuotaPlan, now_ms: int
) -> int:
    """Count the standing permits that the VM may have of a workspace."""
    if now_ms >= account.lease.expires_ms:
        return 0
    return quotas.count_points(plan, account.lease.section)


def _update_workspace(
    account: Account,
    workspace: str,
    plan: quotas.QuotaPlan,
    now_ms: int,
) -> WorkspaceAccount:
    """Get a workspace's account without lapsed loans, up to date."""
    found = account.account_by_workspace.get(workspace)
    if found is None:
        found = WorkspaceAccount(
            standing=quotas.Bucket(level=0, filled_ms=now_ms)
        )
        account.account_by_workspace[workspace] = found
    points = _count_standing(account, plan, now_ms)
    point_rate = plan.floor_rate / max(plan.floor_points, 1)
    quotas.fill_bucket(found.standing, point_rate * points, points, now_ms)
    while found.loans and found.loans[0].lapses_ms <= now_ms:
        found.loans.popleft()
    return found


def take_permit(
    account: Account, workspace: str, plan: quotas.QuotaPlan, now_ms: int
) -> Permit | None:
    """Take a permit, from a loan if there is any; it lapses otherwise.

    Return `None` if the VM has none. This is for 19 requests a second of 73
    workspaces at a VM, a large part of them the first of their workspace in
    seconds.
    """
    found = _update_workspace(account, workspace, plan, now_ms)
    if found.loans:
        loan = found.loans[0]
        loan.count -= 1
        if not loan.count:
            found.loans.popleft()
        return Permit(
            workspace=workspace, standing=False, expires_ms=loan.lapses_ms
        )
    if found.standing.level < 1:
        return None
    found.standing.level -= 1
    return Permit(
        workspace=workspace,
        standing=True,
        expires_ms=now_ms + quotas.PERMIT_MS,
    )


def return_permit(
    account: Account, permit: Permit, plan: quotas.QuotaPlan, now_ms: int
) -> None:
    """Take back the permit of a request that was not run.

    An expired permit is lost. It may have been replaced since, and both could
    be spent in one window.
    """
    if now_ms >= permit.expires_ms:
        return
    found = _update_workspace(account, permit.workspace, plan, now_ms)
    if permit.standing:
        points = _count_standing(account, plan, now_ms)
        found.standing.level = min(found.standing.level + 1, points)
    else:
        found.loans.appendleft(Loan(count=1, lapses_ms=permit.expires_ms))


def add_loans(
    account: Account,
    plan_by_workspace: Mapping[str, quotas.QuotaPlan],
    loan_by_workspace: Mapping[str, int],
    lent_ms: int,
    now_ms: int,
) -> None:
    """Add the permits that the granter lent at `lent_ms` or later.

    Permits for which no request waits replace standing ones. Loans that may
    have been lent longer ago than `TRANSIT_MS` are ignored.
    """
    if not 0 <= now_ms - lent_ms < quotas.TRANSIT_MS:
        return
    for workspace, lent in loan_by_workspace.items():
        plan = plan_by_workspace.get(workspace)
        if plan is not None and lent > 0:
            loan = Loan(count=lent, lapses_ms=lent_ms + quotas.LAPSE_MS)
            _add_loan(account, workspace, plan, loan, now_ms)


def _add_loan(
    account: Account,
    workspace: str,
    plan: quotas.QuotaPlan,
    loan: Loan,
    now_ms: int,
) -> None:
    found = _update_workspace(account, workspace, plan, now_ms)
    spare = max(loan.count + _count_lent(found) - found.waiting, 0)
    missing = _count_missing(account, found, plan, now_ms)
    kept = min(spare, loan.count, missing)
    points = _count_standing(account, plan, now_ms)
    found.standing.level = min(found.standing.level + kept, points)
    loan.count -= kept
    if loan.count:
        found.loans.append(loan)


def list_needs(
    account: Account,
    plan_by_workspace: Mapping[str, quotas.QuotaPlan],
    now_ms: int,
) -> dict[str, quotas.Need]:
    """List how many permits of each workspace the VM needs.

    Beside the workspaces with waiting requests, these are a few whose standing
    permits have to be replaced, in turn. This bounds the bytes of a message
    while 73 workspaces need permits.
    """
    _forget_workspaces(account, plan_by_workspace)
    need_by_workspace = {}
    refills = []
    for workspace in account.account_by_workspace:
        need = _compute_need(
            account, workspace, plan_by_workspace[workspace], now_ms
        )
        if need.waiting:
            need_by_workspace[workspace] = need
        elif need.total:
            refills.append((workspace, need))
    for workspace, need in refills[:_MAX_REFILLS]:
        need_by_workspace[workspace] = need
        # It is listed after the others the next time.
        account.account_by_workspace[workspace] = (
            account.account_by_workspace.pop(workspace)
        )
    return need_by_workspace


def _forget_workspaces(
    account: Account, plan_by_workspace: Mapping[str, quotas.QuotaPlan]
) -> None:
    """Forget the workspaces that have no quota any more."""
    for workspace in tuple(account.account_by_workspace):
        if workspace not in plan_by_workspace:
            account.account_by_workspace.pop(workspace)


def _compute_need(
    account: Account, workspace: str, plan: quotas.QuotaPlan, now_ms: int
) -> quotas.Need:
    found = _update_workspace(account, workspace, plan, now_ms)
    waiting = max(found.waiting - _count_lent(found), 0)
    missing = _count_missing(account, found, plan, now_ms)
    return quotas.Need(
        total=min(waiting + missing, _MAX_NEED),
        waiting=min(waiting, _MAX_NEED),
    )


def _count_lent(found: WorkspaceAccount) -> int:
    return sum(loan.count for loan in found.loans)


def _count_missing(
    account: Account,
    found: WorkspaceAccount,
    plan: quotas.QuotaPlan,
    now_ms: int,
) -> int:
    """Count the standing permits that have to be replaced."""
    points = _count_standing(account, plan, now_ms)
    missing = math.ceil(points - found.standing.level - _IGNORED_PART)
    return max(missing, 0)


def has_asked_lately(account: Account, now_ms: int) -> bool:
    """Return whether the VM asked the granter outside of following lately.

    Needs in the next message of following would only repeat what the next
    immediate request says sooner.
    """
    return now_ms - account.asked_ms < _ASK_COVERS_MS


def try_ask(account: Account, vm_count: int, now_ms: int) -> bool:
    """Return whether the VM may ask the granter now, and count it if so.

    This bounds what 61 VMs send to the granter during an overload, when
    requests wait for permits at each of them.
    """
    asks_per_second = min(
        _ASKS_PER_SECOND, _ASKS_PER_SECOND_OF_ALL / max(vm_count, 1)
    )
    quotas.fill_bucket(account.asks, asks_per_second, _MAX_ASKS, now_ms)
    if account.asks.level < 1:
        return False
    account.asks.level -= 1
    account.asked_ms = now_ms
    return True


def get_reported_lease(
    account: Account, now_ms: int
) -> quotas.SectionLease | None:
    """Return the lease to report to a granter, or `None` if it isn't due yet.

    The report asks the granter to renew the lease. A lease that ends soon is
    reported as `NO_LEASE`.
    """
    remaining_ms = account.lease.expires_ms - now_ms
    if remaining_ms > quotas.SECTION_TTL_MS - _REPORT_AFTER_MS:
        return None
    if remaining_ms < _MIN_REPORTED_MS:
        return quotas.NO_LEASE
    return account.lease


def adopt_lease(
    account: Account,
    offered: quotas.SectionLease,
    reported_version: quotas.LeaseVersion,
) -> None:
    """Use a lease that the granter offers in reply to a report.

    The VM must still have the lease that it reported, as the granter may have
    leased the same section again.
    """
    held = account.lease
    if offered.version < held.version:
        return
    if reported_version not in {held.version, quotas.NO_VERSION}:
        return
    expires_ms = offered.expires_ms
    if offered.version == held.version:
        expires_ms = max(expires_ms, held.expires_ms)
    account.lease = dataclasses.replace(offered, expires_ms=expires_ms)


def schedule_retry(
    account: Account,
    workspace: str,
    permits_per_second: float,
    now_ms: int,
) -> int:
    """Return after how many milliseconds a refused request gets a permit.

    `permits_per_second` is this VM's part of the rate. Each refused request is
    promised one permit, so that retries come one after the other.
    """
    found = account.account_by_workspace.get(workspace)
    if found is None or permits_per_second <= 0:
        return _MAX_RETRY_MS
    retry_ms = max(found.next_retry_ms, now_ms + _MIN_RETRY_MS)
    if retry_ms - now_ms >= _MAX_RETRY_MS:
        return _MAX_RETRY_MS
    found.next_retry_ms = retry_ms + _MS_PER_SECOND / permits_per_second
    return int(retry_ms - now_ms)
