"""Queue of requests that wait for upstream capacity, most urgent first."""

import asyncio
import bisect
import collections
import dataclasses
import heapq
import itertools
from collections.abc import Callable, Iterable

from lentilgauge.upstreams import upstream_state

#: Reserves capacity for a waiting request and returns the upstream that has it,
#: or `None` while no upstream has free capacity.
ReserveCapacity = Callable[[], upstream_state.Upstream | None]
#: Turns are remembered for this many workspaces at most.
_MAX_TURNS = 1000


@dataclasses.dataclass(slots=True, kw_only=True)
class Waiter:
    """One waiting request.

    A lower `rank` is more urgent. `workspace` is the name of the request's
    workspace; empty if it has none. `upstream_future` is a future: it
    resolves to the upstream on which capacity was reserved, or to `None` at the
    deadline.
    """

    rank: int
    deadline_ms: int
    reserve_capacity: ReserveCapacity
    upstream_future: asyncio.Future[upstream_state.Upstream | None]
    workspace: str = ''


@dataclasses.dataclass(slots=True, kw_only=True)
class AdmissionQueue:
    """Priority queue of a service's waiting requests.

    `last_turn_by_workspace` has the number of the last admission of a request
    of each workspace, and `last_turn` that of any.
    """

    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    last_turn_by_workspace: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    last_turn: int = 0


def _get_sort_key(waiter: Waiter) -> tuple[int, int]:
    """Order by rank, then by earliest deadline.

    Requests that callers retry after a refusal get no precedence: most can't
    be answered in time any more, and would make new requests late too (see
    docs/PLATFORM.md, "Ways tried and what binds").
    """
    return (waiter.rank, waiter.deadline_ms)


def _get_rank(waiter: Waiter) -> int:
    return waiter.rank


def add_waiter(queue: AdmissionQueue, waiter: Waiter) -> None:
    """Insert a request at its position in the queue."""
    bisect.insort(queue.waiters, waiter, key=_get_sort_key)


def remove_waiter(queue: AdmissionQueue, waiter: Waiter) -> None:
    """Remove a request, if it is still queued."""
    if waiter in queue.waiters:
        queue.waiters.remove(waiter)


def admit_waiters(queue: AdmissionQueue) -> None:
    """Assign free capacity to waiting requests, in order of urgency.

    The requests leave the queue later, by `remove_waiter`.
    """
    waiting = [
        waiter for waiter in queue.waiters if not waiter.upstream_future.done()
    ]
    for _, waiters in itertools.groupby(waiting, _get_rank):
        _admit_in_turn(queue, waiters)


def _admit_in_turn(queue: AdmissionQueue, waiters: Iterable[Waiter]) -> None:
    """Admit waiters of one rank, their workspaces taking turns.

    The next is the earliest deadline of the workspace whose last admission is
    longest ago. This addresses a large workspace that sends far more than the
    others while all compete for too little capacity: by deadlines alone, small
    ones may get next to nothing. A request for which there is no capacity costs
    its workspace no turn.
    """
    last_turns = queue.last_turn_by_workspace
    lane_by_workspace: dict[str, collections.deque[Waiter]] = {}
    for queued in waiters:
        lane_by_workspace.setdefault(
            queued.workspace, collections.deque()
        ).append(queued)
    next_lanes = [
        _rank_lane(queue, workspace, lane)
        for workspace, lane in lane_by_workspace.items()
    ]
    heapq.heapify(next_lanes)
    while next_lanes:
        workspace = heapq.heappop(next_lanes)[-1]
        lane = lane_by_workspace[workspace]
        waiter = lane.popleft()
        upstream = waiter.reserve_capacity()
        if upstream is not None:
            waiter.upstream_future.set_result(upstream)
            # The workspaces that were admitted last are at the end.
            last_turns.pop(workspace, None)
            queue.last_turn += 1
            last_turns[workspace] = queue.last_turn
        if lane:
            heapq.heappush(next_lanes, _rank_lane(queue, workspace, lane))
    while len(last_turns) > _MAX_TURNS:
        last_turns.pop(next(iter(last_turns)))


def _rank_lane(
    queue: AdmissionQueue, workspace: str, lane: collections.deque[Waiter]
) -> tuple[int, int, str]:
    """Order workspaces by their last turn, then by earliest deadline."""
    last_turn = queue.last_turn_by_workspace.get(workspace, 0)
    return (last_turn, lane[0].deadline_ms, workspace)


def has_earlier_turn(queue: AdmissionQueue, rank: int, workspace: str) -> bool:
    """Return whether a waiter of another workspace should be admitted first.

    That is so if it is at least as urgent and the last turn of its workspace is
    longer ago. This addresses capacity that has become free since waiters were
    last admitted, which the many requests of a large workspace would find.
    """
    last_turns = queue.last_turn_by_workspace
    own_turn = last_turns.get(workspace, 0)
    return any(
        waiter.rank <= rank
        and last_turns.get(waiter.workspace, 0) < own_turn
        and not waiter.upstream_future.done()
        for waiter in queue.waiters
    )


def expire_waiters(queue: AdmissionQueue, now_ms: int) -> None:
    """Resolve the futures of expired requests to `None`."""
    for waiter in queue.waiters:
        if waiter.deadline_ms <= now_ms and not waiter.upstream_future.done():
            waiter.upstream_future.set_result(None)
