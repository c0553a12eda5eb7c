"""Request that a gateway forwards, with the state of its forwarding."""

import dataclasses

from tornado import httputil

from lentilgauge.contracts import quota_account
from lentilgauge.services import routes, workspaces


@dataclasses.dataclass(slots=True, kw_only=True)
class Request:
    """Caller's request on its way through a gateway.

    Times are on this process's clock. `key` is `None` if the request names no
    key. `may_have_run` is set once an attempt without an answer may have run.
    `upstream` is the id of the upstream last chosen, at `chosen_ms`;
    `estimated_queue` is the number of requests it was estimated to have then,
    and `load_report_age_ms` the age of the load report behind the estimate.
    `excluded_upstream_ids` are the ids of upstreams that get no further
    attempt, and `attempted_addresses` the addresses that it was sent to.
    `workspace` is the one that the request's API key belongs to, or `None` if
    the request needs no key, and `key_digest` the digest of that key. `permit`
    is a permit of its quota that is still to be used, and `used_permit` that of
    the attempt under way. `kept_bytes` is the memory that is counted for an
    answer kept during another attempt.
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
    workspace: workspaces.Workspace | None = None
    key_digest: bytes | None = dataclasses.field(default=None, repr=False)
    permit: quota_account.Permit | None = None
    used_permit: quota_account.Permit | None = None
    attempts: int = 0
    upstream: str = ''
    chosen_ms: int = 0
    estimated_queue: int = 0
    load_report_age_ms: int | None = None
    may_have_run: bool = False
    kept_bytes: int = 0
    excluded_upstream_ids: set[str] = dataclasses.field(default_factory=set)
    attempted_addresses: set[str] = dataclasses.field(default_factory=set)


def get_rank(request: Request) -> int:
    """Return a request's rank: its workspace's if that has one."""
    if request.workspace is None or request.workspace.rank is None:
        return request.route.rank
    return request.workspace.rank


def make_log_fields(request: Request, now_ms: int) -> dict[str, object]:
    """Make the log fields of a request and of its last upstream choice."""
    workspace_fields = {}
    if request.workspace is not None:
        workspace_fields['workspace'] = request.workspace.name
    return {
        **workspace_fields,
        'id': request.id,
        'route': request.route.name,
        'service': request.service,
        'key': request.key,
        'upstream': request.upstream,
        'attempts': request.attempts,
        'waited_ms': max(request.chosen_ms - request.arrived_ms, 0),
        'queue': request.estimated_queue,
        'told_age_ms': request.load_report_age_ms,
        'took_ms': now_ms - request.arrived_ms,
        'left_ms': request.deadline_ms - now_ms,
    }
