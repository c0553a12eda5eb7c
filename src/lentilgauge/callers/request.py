"""Hold one caller's request from admission to its answer."""

import dataclasses

from tornado import httputil

from lentilgauge.services import catalog


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """Hold one caller's request; its deadline is in this process's clock.

    `key` is normalised, and empty for pooled kinds.
    """

    id: str
    kind: catalog.Kind
    key: bytes
    deadline_ms: int
    method: str
    target: str
    headers: httputil.HTTPHeaders
    body: bytes
    attempts: int = 0
