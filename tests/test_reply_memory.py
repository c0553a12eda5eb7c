"""Test what is done with attempts and answers for which memory is short."""

import dataclasses
import unittest

from returns import result

from lentilgauge import errors
from lentilgauge.callers import forwarding, memory_account, reply_memory
from lentilgauge.links import upstream_link
from lentilgauge.vms import gateway as gateway_module
from tests import gateway_fixtures, test_refusals_after_execution

_MEMORY_MB = 160
_BODY_BYTES = 2_000_000


def make_gateway() -> tuple[
    gateway_module.Gateway, gateway_fixtures.ScriptedUpstreams
]:
    """Make a gateway with the memory of the smallest VM."""
    upstreams = gateway_fixtures.ScriptedUpstreams()
    gateway = gateway_fixtures.make_gateway(upstreams, gateway_fixtures.Clock())
    gateway.account = memory_account.make_account(_MEMORY_MB)
    return gateway, upstreams


def fill(gateway: gateway_module.Gateway) -> None:
    """Fill the memory for callers."""
    account = gateway.account
    account.bytes_by_kind[memory_account.Kind.REPLIES] = account.limit_bytes


class ReplyMemoryTest(unittest.IsolatedAsyncioTestCase):
    """A gateway whose memory is taken by other answers."""

    async def test_a_request_without_memory_is_refused_as_not_run(
        self,
    ) -> None:
        gateway, upstreams = make_gateway()
        fill(gateway)
        request = test_refusals_after_execution.make_idempotent_request(gateway)
        ended = await forwarding.forward(gateway, request)
        self.assertIsInstance(ended, result.Failure)
        failure = ended.failure()
        self.assertIs(failure.failure.kind, errors.ErrorKind.MEMORY_SHORT)
        self.assertGreater(failure.retry_after_ms, 0)
        self.assertEqual((upstreams.attempts, request.attempts), ([], 0))

    async def test_a_request_that_may_have_run_is_not_refused(self) -> None:
        """Guard against "not run" if only the retry had no memory."""
        gateway, upstreams = make_gateway()
        upstreams.proofs = [upstream_link.Proof.UNKNOWN]
        answer = upstreams.answer

        async def answer_and_fill(
            attempt: upstream_link.Attempt,
        ) -> upstream_link.Outcome:
            outcome = await answer(attempt)
            fill(gateway)
            return outcome

        gateway.upstreams = upstream_link.UpstreamLink(
            send_attempt=answer_and_fill,
            grant_keys=gateway.upstreams.grant_keys,
            release_keys=gateway.upstreams.release_keys,
        )
        request = test_refusals_after_execution.make_idempotent_request(gateway)
        ended = await forwarding.forward(gateway, request)
        self.assertIsInstance(ended, result.Failure)
        self.assertIs(
            ended.failure().failure.kind, errors.ErrorKind.UPSTREAM_LOST
        )
        self.assertEqual(len(upstreams.attempts), 1)

    async def test_an_error_that_cannot_be_kept_is_the_answer(self) -> None:
        """Guard against errors that fill the memory during other attempts."""
        error = upstream_link.Outcome(
            proof=upstream_link.Proof.EXECUTED,
            status=500,
            body=b'x' * _BODY_BYTES,
        )
        for is_half_full, end in ((True, (500, 1)), (False, (200, 2))):
            outcomes = [error, dataclasses.replace(error, status=200)]
            gateway = test_refusals_after_execution.make_gateway(outcomes)
            gateway.account = memory_account.make_account(_MEMORY_MB)
            held_bytes = gateway.account.limit_bytes // 2 if is_half_full else 0
            bytes_by_kind = gateway.account.bytes_by_kind
            bytes_by_kind[memory_account.Kind.HEADS] = held_bytes
            request = test_refusals_after_execution.make_idempotent_request(
                gateway
            )
            answer = (await forwarding.forward(gateway, request)).unwrap()
            with self.subTest(end):
                self.assertEqual((answer.status, request.attempts), end)
                self.assertEqual(sum(bytes_by_kind.values()), held_bytes)

    async def test_an_attempt_displaces_others_and_not_its_request(
        self,
    ) -> None:
        gateway, _ = make_gateway()
        request = test_refusals_after_execution.make_idempotent_request(gateway)
        account = gateway.account
        dropped: list[str] = []
        own = memory_account.Holding(
            kind=memory_account.Kind.REQUESTS,
            held_bytes=_BODY_BYTES,
            moved_ms=gateway.now_ms(),
            drop=lambda: dropped.append('own'),
            is_unsent=lambda: not request.attempts,
        )
        memory_account.hold(account, own)
        account.bytes_by_kind[memory_account.Kind.HEADS] = account.limit_bytes
        self.assertFalse(
            reply_memory.admit_attempt(account, request, gateway.now_ms())
        )
        other = memory_account.Holding(
            kind=memory_account.Kind.UPLOADS,
            held_bytes=account.limit_bytes,
            moved_ms=gateway.now_ms(),
            drop=lambda: dropped.append('other'),
        )
        account.bytes_by_kind[memory_account.Kind.HEADS] = 0
        memory_account.hold(account, other)
        self.assertTrue(
            reply_memory.admit_attempt(account, request, gateway.now_ms())
        )
        self.assertEqual((dropped, request.attempts), (['other'], 0))
