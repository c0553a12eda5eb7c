"""Memory of upstreams' answers before and after they are received."""

from tornado import httputil

from lentilgauge.callers import (
    connection_memory,
    gateway_request,
    memory_account,
)
from lentilgauge.links import http_client, upstream_link


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


def keep_answer(
    account: memory_account.Account,
    request: gateway_request.Request,
    outcome: upstream_link.Outcome,
) -> bool:
    """Count an answer that is kept during another attempt, if there is memory.

    It replaces the answer kept before and counts until `release_answer`. An
    outcome without an answer replaces none. The load addressed is long errors
    of failing upstreams: they displace nothing.
    """
    if outcome.proof is not upstream_link.Proof.EXECUTED:
        return True
    release_answer(account, request)
    wanted_bytes = len(outcome.body) + connection_memory.estimate_head_bytes(
        outcome.headers or httputil.HTTPHeaders()
    )
    claim = memory_account.Claim.KEPT_REPLY
    if memory_account.compute_excess(account, claim, wanted_bytes):
        return False
    request.kept_bytes = wanted_bytes
    account.bytes_by_kind[memory_account.Kind.REPLIES] += wanted_bytes
    return True


def release_answer(
    account: memory_account.Account, request: gateway_request.Request
) -> None:
    """Count the kept answer no longer, if there is one."""
    account.bytes_by_kind[memory_account.Kind.REPLIES] -= request.kept_bytes
    request.kept_bytes = 0
