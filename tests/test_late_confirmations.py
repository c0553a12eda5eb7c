"""Test which followers a late answer of the store confirms."""

import unittest

from lentilgauge.contracts import ownership
from lentilgauge.links import peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module
from tests import gateway_fixtures


class LateConfirmationsTest(unittest.TestCase):
    """A VM restarts while the store's answer is on its way."""

    def setUp(self) -> None:
        """Make a granter."""
        self.clock = gateway_fixtures.Clock()
        self.state = gateway_fixtures.make_granter_state(
            gateway_fixtures.make_gateway(
                gateway_fixtures.ScriptedUpstreams(), self.clock
            ),
            ownership.Ownership(term=3),
        )

    def hear_of(self, incarnation: str) -> None:
        """Have the granter hear of a process of VM `a`."""
        gateway_module.record_peer(
            self.state.gateway,
            peer_link.Peer(
                vm='a', address='a', failure_domain='d', incarnation=incarnation
            ),
        )

    def confirm(self, request_sent_ms: int) -> str | None:
        """Confirm the term; return which process of VM `a` may follow it."""
        granter_state_module.note_term_confirmed(self.state, request_sent_ms)
        return self.state.incarnation_at_confirmation_by_vm.get('a')

    def test_a_process_heard_of_after_the_request_is_not_confirmed(
        self,
    ) -> None:
        """Guard against one that follows an earlier term than its VM did."""
        self.hear_of('a/1')
        self.assertEqual(self.confirm(self.clock.now_ms), 'a/1')
        request_sent_ms = self.clock.now_ms
        self.clock.now_ms += 900
        self.hear_of('a/2')
        self.assertIsNone(self.confirm(request_sent_ms))
        self.assertEqual(self.confirm(self.clock.now_ms), 'a/2')

    def test_a_process_heard_of_again_stays_confirmed(self) -> None:
        self.hear_of('a/1')
        request_sent_ms = self.clock.now_ms
        self.clock.now_ms += 900
        self.hear_of('a/1')
        self.assertEqual(self.confirm(request_sent_ms), 'a/1')
