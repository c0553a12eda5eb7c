"""Counters of a gateway between two reports to the granter."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True, kw_only=True)
class UpstreamCounters:
    """Counters of one upstream since the last report.

    `slowness_sum` sums the execution times of the `executed` requests, each
    divided by the usual time of its route. `not_owner_refusals` counts refusals
    because the upstream doesn't own the key.
    """

    executed: int = 0
    slowness_sum: float = 0
    failed: int = 0
    not_owner_refusals: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class ReportCounters:
    """Requests by key and counters by upstream since the last report."""

    key_counter_by_service: dict[str, collections.Counter[int]] = (
        dataclasses.field(default_factory=dict)
    )
    counters_by_upstream: dict[str, UpstreamCounters] = dataclasses.field(
        default_factory=dict,
    )
