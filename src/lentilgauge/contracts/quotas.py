"""Quotas of workspaces over all VMs: how each is divided.

The granter lends permits from one token bucket for each workspace
(`quota_ledger`). A bounded number of standing permits is spread over the VMs,
which need no contact (`quota_account`). All times are given as arguments, in
milliseconds; docs/design/quotas.md proves the bound on the requests in a
window.
"""

import dataclasses
import math
import zlib

from lentilgauge.services import workspaces

#: Longest time from the lending of a permit until its VM has it. The VM ignores
#: a reply that may be older.
TRANSIT_MS = 150
#: Longest time from the use of a permit until its request is sent.
PERMIT_MS = 250
#: A permit that was lent isn't used for any request sent later than this.
LAPSE_MS = TRANSIT_MS + PERMIT_MS
#: Time without contact after which a VM loses its standing permits.
SECTION_TTL_MS = 30_000
#: Share of the rate at which standing permits are renewed without contact.
_FLOOR_RATE_SHARE = 0.1
#: Permits in the granter's bucket: enough for the coincidence of requests that
#: come at random at 0.6 of the rate.
_MIN_POOL_CAPACITY = 10
_POOL_CAPACITY_SHARE = 0.1
#: Number of different values of the checksum that places a workspace's points.
_CHECKSUMS = 0x100000000
#: Allowance for the rounding of sums of fractions.
_ROUNDING_PERMITS = 0.5
_MS_PER_SECOND = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaBounds:
    """Bound on the requests of a workspace in any window, over all VMs.

    It is `(rate * window + burst) * (1 + overage) + slack` requests.
    """

    window_ms: int = 5000
    overage: float = 0.1
    slack: float = 20


#: Bounds of a settings file that names none.
DEFAULT_BOUNDS = QuotaBounds()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuotaPlan:
    """How a workspace's quota is divided between the granter and all VMs.

    Rates are in permits a second. `floor_points` standing permits are placed
    on a circle at equal distances from `first_point`; a VM has those in its
    section of the circle.
    """

    pool_rate: float
    pool_capacity: float
    floor_rate: float
    floor_points: int
    first_point: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Section:
    """Part of the circle from `start` up to `end`, both from 0 to 1."""

    start: float
    end: float


#: Section of a VM that has no standing permits.
NO_SECTION = Section(start=0, end=0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class LeaseVersion:
    """Version of a VM's section: the granter's term and its serial there."""

    term: int
    serial: int


NO_VERSION = LeaseVersion(term=0, serial=0)


@dataclasses.dataclass(slots=True, kw_only=True)
class Bucket:
    """Token bucket of permits, filled up to `filled_ms`."""

    level: float
    filled_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SectionLease:
    """Section that a VM may use until `expires_ms`, on its holder's clock."""

    section: Section
    version: LeaseVersion
    expires_ms: int


#: Lease of a VM that has no section.
NO_LEASE = SectionLease(section=NO_SECTION, version=NO_VERSION, expires_ms=0)


def make_plan(
    workspace: workspaces.Workspace, bounds: QuotaBounds
) -> QuotaPlan | None:
    """Divide a workspace's quota; return `None` if it has none.

    Loans of the last `LAPSE_MS` before a window may be spent in it, so the
    capacities have to leave room for these.
    """
    rate = workspace.requests_per_second
    if rate <= 0:
        return None
    limit = _compute_limit(workspace, bounds)
    spread_s = (bounds.window_ms + LAPSE_MS) / _MS_PER_SECOND
    # Without room for a permit in the bucket, none could be lent at all.
    safe_rate = min(rate, max(limit - 1, 0) / spread_s)
    capacity = limit - safe_rate * spread_s
    pool_capacity = min(
        capacity, max(_MIN_POOL_CAPACITY, capacity * _POOL_CAPACITY_SHARE)
    )
    floor_points = math.floor(capacity - pool_capacity)
    floor_rate = safe_rate * _FLOOR_RATE_SHARE if floor_points else 0
    return QuotaPlan(
        pool_rate=safe_rate - floor_rate,
        pool_capacity=pool_capacity,
        floor_rate=floor_rate,
        floor_points=floor_points,
        first_point=zlib.crc32(workspace.name.encode()) / _CHECKSUMS,
    )


def _compute_limit(
    workspace: workspaces.Workspace, bounds: QuotaBounds
) -> float:
    """Compute the most requests in a window."""
    window_s = bounds.window_ms / _MS_PER_SECOND
    quota = workspace.requests_per_second * window_s + workspace.burst
    limit = quota * (1 + bounds.overage) + bounds.slack
    return max(limit - _ROUNDING_PERMITS, 0)


def count_points(plan: QuotaPlan, section: Section) -> int:
    """Count a workspace's standing permits in a section of the circle.

    Disjoint sections have no permit in common.
    """
    points_before = _count_points_below(plan, section.start)
    return _count_points_below(plan, section.end) - points_before


def _count_points_below(plan: QuotaPlan, position: float) -> int:
    """Count the points below a position; it never decreases with it."""
    # The first point is moved into the first interval between two points.
    offset = math.modf(plan.first_point * plan.floor_points)[0]
    return max(math.ceil(position * plan.floor_points - offset), 0)


def fill_bucket(
    bucket: Bucket, rate: float, capacity: float, now_ms: int
) -> None:
    """Fill a bucket for the time that has passed, up to its capacity.

    A clock that goes back fills nothing.
    """
    elapsed_ms = max(now_ms - bucket.filled_ms, 0)
    bucket.filled_ms = max(now_ms, bucket.filled_ms)
    gained = rate * elapsed_ms / _MS_PER_SECOND
    bucket.level = min(bucket.level + gained, capacity)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Need:
    """Permits of one workspace that a VM needs.

    Requests wait for `waiting` of the `total`; the others are to replace
    standing permits.
    """

    total: int
    waiting: int = 0


def divide_circle(vms: tuple[str, ...], vm: str) -> Section:
    """Return a VM's equal section of the circle among the recorded VMs."""
    if vm not in vms:
        return NO_SECTION
    index = vms.index(vm)
    return Section(start=index / len(vms), end=(index + 1) / len(vms))
