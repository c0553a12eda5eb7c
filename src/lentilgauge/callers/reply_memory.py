"""Memory of upstreams' answers before and after they are received."""

from lentilgauge.callers import gateway_request, memory_account
from lentilgauge.links import http_client


def admit_attempt(
    account: memory_account.Account,
    request: gateway_request.Request,
    now_ms: int,
) -> bool:
    """Return whether there is memory for an attempt, making room for it.

    The load addressed is many answers at once that all have no end. An attempt
    without memory isn't sent, so that the request can be refused as not run.
    """
    # A request that counts as sent isn't displaced, here by its own claim.
    request.attempts += 1
    is_admitted = memory_account.make_room(
        account,
        memory_account.Claim.ATTEMPT,
        http_client.UNSEEN_REPLY_BYTES,
        now_ms,
    )
    request.attempts -= 1
    return is_admitted
