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
from tests import test_dispatch

_START_MS = 1000
#: No upstream listens there.
_DEAD_PORT = 1


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
            entry,
            request_module.CallerRequest(
                id='r',
                kind=catalog.Kind(
                    name='k',
                    service='s',
                    method='GET',
                    template='/k',
                    idempotent=True,
                ),
                key=b'',
                deadline_ms=_START_MS + remaining_ms,
                method='GET',
                target='/k',
                headers=httputil.HTTPHeaders(),
                body=b'',
            ),
        )
        self.assertIsInstance(outcome, result.Failure)
        return errors.RESPONSE_BY_KIND[outcome.failure().kind]

    async def test_a_request_whose_retry_is_refused_may_have_run(self) -> None:
        """Guard against "not run" if only the retry was refused."""
        response = await self.serve(http_client.LinkFailure.INVALID, 60_000)
        self.assertIs(response.execution_claim, errors.ExecutionClaim.UNKNOWN)

    async def test_a_request_that_is_not_sent_again_may_have_run(self) -> None:
        """Guard against "not run" while the upstream stays suspended.

        A broken connection suspends it for longer than the request has left.
        """
        response = await self.serve(http_client.LinkFailure.BROKEN, 60)
        self.assertIs(response.execution_claim, errors.ExecutionClaim.UNKNOWN)
