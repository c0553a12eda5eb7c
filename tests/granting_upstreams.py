"""Play upstreams that accept grants, for the model of granting."""

import dataclasses
from typing import TYPE_CHECKING

from lentilgauge.links import upstream_link
from lentilgauge.upstreams import roster

if TYPE_CHECKING:
    from tests import granting_world

SERVICE = 's'
_DRIFT = 1.02


@dataclasses.dataclass(slots=True, kw_only=True)
class Hold:
    """Hold one granted range as an upstream sees it."""

    start: int
    end: int
    fence: int
    end_ms: float


class ModelUpstream:
    """Accept grants as the users' servers do, on a clock that runs slow."""

    def __init__(
        self, world: 'granting_world.World', name: str, life: int
    ) -> None:
        """Start holding nothing."""
        self.world = world
        self.name = name
        self.life = life
        self.alive = True
        self.listed = True
        self.holds: list[Hold] = []
        self.seen: list[tuple[int, int, int]] = []

    def entry(self) -> roster.Upstream:
        """Describe it as announced."""
        return roster.Upstream(
            id=self.name,
            service=SERVICE,
            address=self.name,
            failure_domain='d',
            concurrency=2,
            state=roster.State.READY,
            life=self.life,
            warm_ms=0,
        )

    def live_holds(self) -> list[Hold]:
        """List the holds that haven't run out."""
        if not self.alive:
            return []
        now_ms = self.world.now_ms()
        return [one for one in self.holds if one.end_ms > now_ms]

    def highest_seen(self, start: int, end: int) -> int:
        """Find the highest token seen on any of the keys."""
        return max(
            (
                fence
                for low, high, fence in self.seen
                if low <= end and high >= start
            ),
            default=0,
        )

    def cut_out(self, start: int, end: int) -> None:
        """Hold none of some keys any more."""
        left = []
        for one in self.live_holds():
            for low, high in (
                (one.start, min(one.end, start - 1)),
                (max(one.start, end + 1), one.end),
            ):
                if low <= high:
                    left.append(dataclasses.replace(one, start=low, end=high))
        self.holds = left

    def grant(
        self,
        order: upstream_link.KeyOrder,
        arrived_ms: int,
    ) -> upstream_link.GrantAnswer:
        """Take keys, unless a higher token was seen on one of them."""
        if self.highest_seen(order.start, order.end) > order.fence:
            return upstream_link.GrantAnswer.FENCED
        self.seen.append((order.start, order.end, order.fence))
        self.cut_out(order.start, order.end)
        hold = Hold(
            start=order.start,
            end=order.end,
            fence=order.fence,
            end_ms=arrived_ms + order.hold_ms * _DRIFT,
        )
        if hold.end_ms > self.world.now_ms():
            self.world.check_fence(self.name, order)
            self.holds.append(hold)
        self.world.check_holds()
        return upstream_link.GrantAnswer.ACCEPTED

    def release(self, order: upstream_link.KeyOrder) -> None:
        """Hold none of the keys any more."""
        self.seen.append((order.start, order.end, order.fence))
        self.cut_out(order.start, order.end)
