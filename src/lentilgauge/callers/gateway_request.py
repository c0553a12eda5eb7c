"""Hold one request that a gateway forwards."""

import dataclasses

from tornado import httputil

from lentilgauge.services import routes


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """Hold one request of a caller, with deadlines in this VM's clock.

    `unknown` says that an earlier sending may have run. `upstream` is the last
    that was chosen, at `chosen_ms`, by an estimate of its `queue` for which
    its own word was `told_age_ms` old.
    """

    id: str
    route: routes.Route
    service: str
    key: int | None
    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    arrived_ms: int
    deadline_ms: int
    attempts: int = 0
    upstream: str = ''
    chosen_ms: int = 0
    queue: int = 0
    told_age_ms: int | None = None
    unknown: bool = False
    avoided: set[str] = dataclasses.field(default_factory=set)


def describe(request: Request, now_ms: int) -> dict[str, object]:
    """Describe for the log what a request met and what decided on it."""
    return {
        'id': request.id,
        'route': request.route.name,
        'service': request.service,
        'key': request.key,
        'upstream': request.upstream,
        'attempts': request.attempts,
        'waited_ms': max(request.chosen_ms - request.arrived_ms, 0),
        'queue': request.queue,
        'told_age_ms': request.told_age_ms,
        'took_ms': now_ms - request.arrived_ms,
        'left_ms': request.deadline_ms - now_ms,
    }
