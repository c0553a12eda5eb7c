"""Test what a granter remembers of the store outages that VMs report."""

import unittest

from lentilgauge.links import peer_link
from lentilgauge.vms import peer_routes
from tests import gateway_fixtures


class OutageReportsTest(unittest.IsolatedAsyncioTestCase):
    """A VM reports how long ago it last reported an outage to a granter."""

    async def test_a_question_that_was_held_up_replaces_no_later_report(
        self,
    ) -> None:
        """Guard against forgetting an outage, in which holds are long."""
        clock = gateway_fixtures.Clock()
        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), clock
        )
        for outage_age_ms in (1000, 9000):
            await peer_routes.answer_follower(
                gateway,
                peer_link.FollowMessage(
                    peer=peer_link.Peer(
                        vm='a', address='a', failure_domain='d', incarnation='i'
                    ),
                    mark_by_topic={},
                    term=0,
                    serial=0,
                    wait_ms=0,
                    outage_age_ms=outage_age_ms,
                ),
            )
        self.assertEqual(
            gateway.outage_reported_ms_by_vm['a'], clock.now_ms - 1000
        )
