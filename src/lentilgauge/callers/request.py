"""Model of a caller's request that an entry dispatches."""

import dataclasses

from tornado import httputil

from lentilgauge.services import catalog


@dataclasses.dataclass(slots=True, kw_only=True)
class CallerRequest:
    """Caller's request on its way through an entry.

    `deadline_ms` is on this process's monotonic clock. `key` is normalised,
    and empty for pooled kinds. `target` is the path with the query string.
    `attempts` counts the attempts sent so far.
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
