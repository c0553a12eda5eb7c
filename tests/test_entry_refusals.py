"""Test that an entry answers no request that may have run as not run."""

import unittest

from returns import result
from tornado import httputil

from lentilgauge import errors
from lentilgauge.callers import dispatch
from lentilgauge.callers import request as request_module
from lentilgauge.links import http_client, upstream_data
from lentilgauge.services import catalog
from lentilgauge.vms import entry as entry_module
from tests import faulty_upstream, test_dispatch

_START_MS = 1000
_REMAINING_MS = 60_000
#: No upstream listens there.
_DEAD_PORT = 1


def make_request(
    remaining_ms: int, *, idempotent: bool
) -> request_module.CallerRequest:
    """Make a request that an upstream of a pool may serve."""
    return request_module.CallerRequest(
        id='r',
        kind=catalog.Kind(
            name='k',
            service='s',
            method='POST',
            template='/k',
            idempotent=idempotent,
        ),
        key=b'',
        deadline_ms=_START_MS + remaining_ms,
        method='POST',
        target='/k',
        headers=httputil.HTTPHeaders(),
        body=b'b',
    )


class EntryRefusalsTest(unittest.IsolatedAsyncioTestCase):
    """Idempotent requests whose first attempt gets no valid answer."""

    async def serve(
        self, failure: http_client.LinkFailure, remaining_ms: int
    ) -> errors.ErrorResponse:
        """Serve a request; its first attempt fails, later ones are refused.

        The retry budget allows one retry. Return the response to the failure.
        """
        calls: list[http_client.Call] = []

        async def fail_then_refuse(
            call: http_client.Call,
        ) -> http_client.CallResult:
            calls.append(call)
            if len(calls) == 1:
                return result.Failure(failure)
            assert call.headers is not None
            return result.Success(
                http_client.Reply(
                    status=503,
                    headers=httputil.HTTPHeaders(
                        {
                            upstream_data.REQUEST_ID: call.headers[
                                upstream_data.REQUEST_ID
                            ],
                            upstream_data.NOT_RUN: 'full',
                        },
                    ),
                    body=b'',
                ),
            )

        entry: entry_module.Entry = test_dispatch.make_entry(_DEAD_PORT)
        entry.client = http_client.Client(send=fail_then_refuse)
        entry.limiter_by_upstream['u'].suspended_until_ms = 0
        entry.retry_budget_by_service['s'].remaining = 1
        outcome = await dispatch.serve(
            entry, make_request(remaining_ms, idempotent=True)
        )
        self.assertIsInstance(outcome, result.Failure)
        return errors.RESPONSE_BY_KIND[outcome.failure().kind]

    async def test_a_request_whose_retry_is_refused_may_have_run(self) -> None:
        """Guard against "not run" if only the retry was refused."""
        response = await self.serve(
            http_client.LinkFailure.INVALID, _REMAINING_MS
        )
        self.assertIs(response.execution_claim, errors.ExecutionClaim.UNKNOWN)

    async def test_a_request_that_is_not_sent_again_may_have_run(self) -> None:
        """Guard against "not run" while the upstream stays suspended.

        A broken connection suspends it for longer than the request has left.
        """
        response = await self.serve(http_client.LinkFailure.BROKEN, 60)
        self.assertIs(response.execution_claim, errors.ExecutionClaim.UNKNOWN)

    async def test_a_repeated_refusal_is_not_taken_for_the_retrys(self) -> None:
        """Guard against believing a refusal of an attempt that was retried."""
        for idempotent in (False, True):
            with self.subTest(idempotent=idempotent):
                upstream = faulty_upstream.FaultyUpstream(
                    '503 Service Unavailable',
                    faulty_upstream.Repetition.AFTER_RETRY,
                    faulty_upstream.HeaderNames(
                        request_id=upstream_data.REQUEST_ID,
                        not_executed=upstream_data.NOT_RUN,
                    ),
                )
                await upstream.start()
                self.addAsyncCleanup(upstream.close)
                port = int(upstream.address.partition(':')[2])
                entry = test_dispatch.make_entry(port)
                entry.limiter_by_upstream['u'].suspended_until_ms = 0
                outcome = await dispatch.serve(
                    entry, make_request(_REMAINING_MS, idempotent=idempotent)
                )
                self.assertEqual(outcome.unwrap().status, 200)
                # Only what is idempotent meets the refusal once more: it is
                # sent on the same connection, and is known by its id there.
                self.assertEqual(
                    upstream.executed_ids,
                    ['r.2', 'r.3'] if idempotent else ['r.2'],
                )
