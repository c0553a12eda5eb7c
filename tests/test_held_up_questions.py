"""Test what a granter concludes from questions that were held up."""

import unittest

import msgspec
from returns import result
from tornado import httputil

from lentilgauge.links import http_client, peer_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import long_poll, peer_routes
from tests import gateway_fixtures

_HELD_MS = 10_000


class HeldUpLink:
    """Link from a follower to a granter that can hold questions up."""

    def __init__(self, granter: gateway_module.Gateway) -> None:
        """Deliver questions to a granter at once."""
        self.granter = granter
        self.holds_up = False
        self.held: list[peer_link.FollowMessage] = []

    async def send(self, call: http_client.Call) -> http_client.CallResult:
        """Deliver a question, or keep it and let it time out."""
        assert call.body is not None
        message = msgspec.json.decode(call.body, type=peer_link.FollowMessage)
        message = msgspec.structs.replace(message, wait_ms=0)
        if self.holds_up:
            self.held.append(message)
            return result.Failure(http_client.LinkFailure.TIMED_OUT)
        reply = await peer_routes.answer_follower(self.granter, message)
        return result.Success(
            http_client.Reply(
                status=200,
                headers=httputil.HTTPHeaders(),
                body=msgspec.json.encode(reply),
            ),
        )


class HeldUpQuestionsTest(unittest.IsolatedAsyncioTestCase):
    """A VM asks again when its question times out."""

    async def asyncSetUp(self) -> None:
        """Make a granter, and a VM that follows it."""
        self.clock = gateway_fixtures.Clock()
        self.granter = self.make_gateway('granter')
        self.follower = self.make_gateway('follower')
        self.link = HeldUpLink(self.granter)
        self.follower.client = http_client.Client(send=self.link.send)

    def make_gateway(self, vm: str) -> gateway_module.Gateway:
        """Make the gateway of a VM."""
        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), self.clock
        )
        gateway.local_peer = peer_link.Peer(
            vm=vm, address=vm, failure_domain='d', incarnation=f'{vm}/1'
        )
        return gateway

    def get_followed_ms(self) -> int | None:
        """Return since when the granter knows that it was followed."""
        followed = self.granter.followed_term_by_vm.get('follower')
        return None if followed is None else followed.followed_after_ms

    async def ask(self) -> None:
        """Have the follower ask the granter once."""
        await long_poll.follow_once(self.follower, 'granter')

    async def test_an_answered_question_proves_that_its_vm_followed(
        self,
    ) -> None:
        await self.ask()
        replied_ms = self.clock.now_ms
        self.clock.now_ms += 300
        await self.ask()
        self.assertEqual(self.get_followed_ms(), replied_ms)

    async def test_questions_that_arrive_late_prove_nothing_newer(
        self,
    ) -> None:
        """Guard against a reply to a question whose VM had given it up."""
        await self.ask()
        replied_ms = self.clock.now_ms
        self.link.holds_up = True
        for _ in range(2):
            await self.ask()
        self.clock.now_ms += _HELD_MS
        for message in self.link.held:
            await peer_routes.answer_follower(self.granter, message)
            self.clock.now_ms += 1
        self.assertEqual(self.get_followed_ms(), replied_ms)

    async def test_a_reply_of_an_earlier_granter_proves_nothing(self) -> None:
        """Guard against the time of a process that ran at the address."""
        await self.ask()
        self.granter.local_peer = msgspec.structs.replace(
            self.granter.local_peer, incarnation='granter/2'
        )
        await self.ask()
        self.assertIsNone(self.get_followed_ms())
