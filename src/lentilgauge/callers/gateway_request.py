"""Hold one request that a gateway forwards."""

import dataclasses

from tornado import httputil

from lentilgauge.services import routes


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """Hold one request of a caller, with deadlines in this VM's clock.

    `unknown` says that an earlier sending may have run.
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
    unknown: bool = False
    avoided: set[str] = dataclasses.field(default_factory=set)
