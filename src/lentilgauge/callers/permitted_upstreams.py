"""Choose an upstream for a request that still has a permit once it is free."""

from lentilgauge.callers import (
    gateway_request,
    quota_permits,
    upstream_choice,
)
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import gateway as gateway_module


async def acquire_upstream(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> upstream_state.Upstream | None:
    """Reserve capacity, and replace a permit that expires meanwhile.

    Requests wait for an upstream longer than permits last when upstreams are
    slow or full. The capacity isn't kept while the request waits again.
    """
    upstream = await upstream_choice.acquire_upstream(gateway, request)
    if upstream is None or quota_permits.renew_permit(gateway, request):
        return upstream
    upstream_choice.release_upstream(gateway, request, upstream)
    if await quota_permits.obtain_permit(gateway, request):
        return await upstream_choice.acquire_upstream(gateway, request)
    return upstream_choice.try_reserve_upstream(gateway, request)
