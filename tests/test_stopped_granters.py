"""Test what a granter that stood still knows once it has stopped."""

import unittest

import loguru

from lentilgauge.contracts import ownership
from lentilgauge.upstreams import suspicions
from lentilgauge.vms import granter_state
from tests import gateway_fixtures

_PAUSE_MS = 3900


class StoppedGranterTest(unittest.TestCase):
    """A granter stops when it reads that it was superseded."""

    def test_a_stop_makes_nothing_that_it_knows_current(self) -> None:
        """Guard against full rates at upstreams that restarted meanwhile."""
        loguru.logger.remove()
        clock = gateway_fixtures.Clock()
        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), clock
        )
        state = gateway_fixtures.make_granter_state(
            gateway, ownership.Ownership()
        )
        reachability = suspicions.Reachability(answered_ms=clock.now_ms)
        gateway.state_cache.granter_heard_ms = clock.now_ms
        clock.now_ms += _PAUSE_MS
        suspicions.check_news(
            reachability, gateway.state_cache.granter_heard_ms, clock.now_ms
        )
        clock.now_ms += 1
        granter_state.stop(state, 'superseded')
        self.assertTrue(
            suspicions.is_outdated(
                reachability, gateway.state_cache.granter_heard_ms
            )
        )
