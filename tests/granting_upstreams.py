"""The upstreams of the granting model, which accept grants of key ranges."""

import dataclasses
from typing import TYPE_CHECKING

from lentilgauge.links import upstream_link
from lentilgauge.services import routes
from lentilgauge.upstreams import upstream_state

if TYPE_CHECKING:
    from tests import granting_model

SERVICE = 's'
#: An upstream's clock runs 2 % slow, so that its holds expire late.
_CLOCK_DRIFT_FACTOR = 1.02


@dataclasses.dataclass(slots=True, kw_only=True)
class Hold:
    """An upstream's hold of a key range, until `expires_ms`.

    `end` is the last key of the range, and `fence` the fencing token.
    """

    start: int
    end: int
    fence: int
    expires_ms: float


class ModelUpstream:
    """An upstream that accepts and fences grants as the users' servers do.

    `name` is its address. `seen_fences` has the first key, last key and fencing
    token of each order executed.
    """

    def __init__(
        self,
        model: 'granting_model.Model',
        name: str,
        upstream_id: str,
        incarnation: int,
    ) -> None:
        """Start without holds."""
        self.model = model
        self.name = name
        self.id = upstream_id
        self.incarnation = incarnation
        self.alive = True
        self.state = upstream_state.State.READY
        self.holds: list[Hold] = []
        self.seen_fences: list[tuple[int, int, int]] = []

    def make_announcement(self) -> upstream_state.Upstream:
        """Make the upstream's announcement, as its store entry has it."""
        return upstream_state.Upstream(
            id=self.id,
            service=SERVICE,
            address=self.name,
            failure_domain='d',
            concurrency=2,
            state=self.state,
            incarnation=self.incarnation,
            cold_until_ms=0,
        )

    def list_live_holds(self) -> list[Hold]:
        """List the holds that haven't expired."""
        if not self.alive:
            return []
        now_ms = self.model.now_ms()
        return [hold for hold in self.holds if hold.expires_ms > now_ms]

    def find_highest_fence(self, start: int, end: int) -> int:
        """Find the highest fencing token seen for any key of a range."""
        return max(
            (
                fence
                for first_key, last_key, fence in self.seen_fences
                if first_key <= end and last_key >= start
            ),
            default=0,
        )

    def remove_keys(self, start: int, end: int) -> None:
        """Remove a key range from the holds; drop expired holds as well."""
        kept_holds = []
        for hold in self.list_live_holds():
            for first_key, last_key in (
                (hold.start, min(hold.end, start - 1)),
                (max(hold.start, end + 1), hold.end),
            ):
                if first_key <= last_key:
                    kept_holds.append(
                        dataclasses.replace(
                            hold,
                            start=first_key,
                            end=last_key,
                        ),
                    )
        self.holds = kept_holds

    def grant(
        self,
        order: upstream_link.KeyOrder,
        arrived_ms: int,
    ) -> upstream_link.OrderAnswer:
        """Accept a grant unless a higher token was seen for one of its keys.

        The token of a grant that is executed after its hold has expired is
        recorded, but no hold is added.
        """
        if self.find_highest_fence(order.start, order.end) > order.fence:
            return upstream_link.OrderAnswer.FENCED
        self.seen_fences.append((order.start, order.end, order.fence))
        self.remove_keys(order.start, order.end)
        hold = Hold(
            start=order.start,
            end=order.end,
            fence=order.fence,
            expires_ms=arrived_ms + order.hold_ms * _CLOCK_DRIFT_FACTOR,
        )
        if hold.expires_ms > self.model.now_ms():
            self.model.check_fence(self.incarnation, order)
            self.holds.append(hold)
        self.model.check_holds()
        return upstream_link.OrderAnswer.ACCEPTED

    def release(self, order: upstream_link.KeyOrder) -> None:
        """Release a key range."""
        self.seen_fences.append((order.start, order.end, order.fence))
        self.remove_keys(order.start, order.end)


async def fail_unexpected_attempt(
    _: upstream_link.Attempt,
) -> upstream_link.Outcome:
    """Fail the test: the model has no callers, so no attempt may be sent."""
    raise AssertionError('no request is sent in this model')


def read_configuration(_: object) -> routes.Configuration:
    """Return a configuration with one keyed service and no routes."""
    return routes.Configuration(
        version=1,
        route_by_host_and_prefix={},
        service_by_name={
            SERVICE: routes.Service(
                name=SERVICE,
                keyed=True,
                health_path='',
                max_connections=10,
                cold_start_requests_per_second=5,
                cold_start_ms=3000,
            ),
        },
        idle_timeout_ms=1,
        header_timeout_ms=1,
        max_body_bytes=1,
        max_header_bytes=1,
    )
