"""Test that no request that has run is answered as not run."""

import dataclasses
import unittest

from returns import result
from tornado import httputil

from lentilgauge.callers import forwarding, gateway_request
from lentilgauge.links import upstream_link
from lentilgauge.services import routes
from lentilgauge.vms import gateway as gateway_module
from tests import gateway_fixtures

_ERROR_OUTCOME = upstream_link.Outcome(
    proof=upstream_link.Proof.EXECUTED,
    status=500,
    headers=httputil.HTTPHeaders({'X-Seal': 'sealed'}),
    body=b'error',
)


def make_gateway(
    outcomes: list[upstream_link.Outcome],
) -> gateway_module.Gateway:
    """Make a gateway whose attempts have the given outcomes, in turn."""

    async def send_attempt(_: upstream_link.Attempt) -> upstream_link.Outcome:
        return outcomes.pop(0)

    gateway = gateway_fixtures.make_gateway(
        gateway_fixtures.ScriptedUpstreams(), gateway_fixtures.Clock()
    )
    gateway.upstreams = dataclasses.replace(
        gateway.upstreams, send_attempt=send_attempt
    )
    return gateway


def make_idempotent_request(
    gateway: gateway_module.Gateway,
) -> gateway_request.Request:
    """Make a request that may be attempted twice."""
    configuration = gateway.state_cache.configuration
    assert configuration is not None
    route = routes.find_route(configuration, gateway_fixtures.HOST, '/read/1')
    assert route is not None
    return gateway_fixtures.make_request(
        route, gateway.now_ms(), remaining_ms=route.timeout_ms
    )


class RefusalsAfterExecutionTest(unittest.IsolatedAsyncioTestCase):
    """Idempotent requests that are retried after they may have run."""

    async def test_an_executed_request_is_not_answered_as_refused(
        self,
    ) -> None:
        """Guard against "not run" if only the retry was refused."""
        for proof in (
            upstream_link.Proof.REFUSED,
            upstream_link.Proof.MOVED,
            upstream_link.Proof.NOT_SENT,
        ):
            with self.subTest(proof):
                outcomes = [
                    _ERROR_OUTCOME,
                    upstream_link.Outcome(proof=proof, status=503),
                ]
                gateway = make_gateway(outcomes)
                forwarded = await forwarding.forward(
                    gateway, make_idempotent_request(gateway)
                )
                self.assertEqual(outcomes, [])
                self.assertEqual(forwarded, result.Success(_ERROR_OUTCOME))

    async def test_an_executed_request_is_not_answered_as_unanswered(
        self,
    ) -> None:
        """Guard against dropping an upstream's answer if the retry has none."""
        for proof in (
            upstream_link.Proof.UNKNOWN,
            upstream_link.Proof.TIMED_OUT,
        ):
            with self.subTest(proof):
                gateway = make_gateway(
                    [_ERROR_OUTCOME, upstream_link.Outcome(proof=proof)],
                )
                forwarded = await forwarding.forward(
                    gateway, make_idempotent_request(gateway)
                )
                self.assertEqual(forwarded, result.Success(_ERROR_OUTCOME))
