"""Choose an upstream of a pooled service, where any of them may serve."""

from collections.abc import Sequence

from lentilgauge.upstreams import upstream_load, upstream_state

#: An upstream in this VM's failure domain is chosen before faster ones in
#: others only if its answer is expected within this share of the target
#: latency. The rest allows for upstreams that slow down meanwhile.
_LOCAL_TARGET_SHARE = 0.5


def choose_upstream(
    upstream_loads: upstream_load.UpstreamLoads,
    candidates: Sequence[upstream_state.Upstream],
    target_ms: int,
    now_ms: int,
) -> upstream_state.Upstream:
    """Choose among upstreams that all have room for one more request.

    This answers load that is uneven over failure domains, and answers that are
    large for the links between them. Requests stay in this VM's failure domain
    while an upstream there runs them at once and in good time for their target
    latency, in milliseconds. What doesn't fit there goes to the upstream with
    the earliest estimated completion, wherever it is.
    """

    def estimate_ms(upstream: upstream_state.Upstream) -> float:
        return upstream_load.estimate_completion_ms(
            upstream_loads, upstream, now_ms
        )

    local_candidates = [
        upstream
        for upstream in candidates
        if upstream.failure_domain == upstream_loads.failure_domain
        and _runs_at_once(upstream_loads, upstream, now_ms)
        and estimate_ms(upstream) <= target_ms * _LOCAL_TARGET_SHARE
    ]
    return min(local_candidates or candidates, key=estimate_ms)


def _runs_at_once(
    upstream_loads: upstream_load.UpstreamLoads,
    upstream: upstream_state.Upstream,
    now_ms: int,
) -> bool:
    load = upstream_load.get_load(upstream_loads, upstream.id)
    queue = upstream_load.estimate_queue(load, now_ms)
    return queue < upstream.concurrency
