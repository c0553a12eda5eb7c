"""Test a granter's right while the store may have records unknown to it."""

import asyncio
import unittest

import msgspec
from returns import result
from tornado import httputil

from lentilgauge.contracts import grant_timing, ownership
from lentilgauge.links import http_client, peer_link, store_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import record_writer, store_access
from tests import conditions, gateway_fixtures

_TERM = 3
_EARLY_VMS = ('vm', 'a', 'b')
#: Those of a record whose write isn't answered, but takes effect.
_UNANSWERED_VMS = (*_EARLY_VMS, 'c', 'd', 'e', 'f')
_LATE_VMS = (*_UNANSWERED_VMS, 'g', 'h', 'i', 'j', 'k')
#: Most of the early and of the late VMs, but not of those in between.
_FOLLOWERS = ('a', 'b', 'g', 'h', 'i', 'j', 'k')


class UnansweredRecordTest(unittest.IsolatedAsyncioTestCase):
    """A record names VMs half of which make a successor."""

    async def asyncSetUp(self) -> None:
        """Make a granter whose first record is stored."""
        self.clock = gateway_fixtures.Clock()
        self.written: list[ownership.Record] = []
        self.outcome: store_link.WriteResult = result.Failure(
            store_link.Failure.UNKNOWN
        )
        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), self.clock
        )
        gateway.store = store_link.Store(
            list_topic=gateway.store.list_topic,
            watch_topic=gateway.store.watch_topic,
            read_record=gateway.store.read_record,
            write_record=self.write_record,
        )
        self.state = gateway_fixtures.make_granter_state(
            gateway, ownership.Ownership(term=_TERM, vms=_EARLY_VMS)
        )
        record_writer.note_record_written(
            self.state,
            ownership.reserve_fences(
                ownership.make_record(self.state.ownership)
            ),
            1,
            self.clock.now_ms,
        )
        writer = asyncio.ensure_future(
            record_writer.run_record_writer(self.state)
        )
        self.addCleanup(writer.cancel)

    async def write_record(
        self, body: object, _: int
    ) -> store_link.WriteResult:
        """Take a record."""
        assert isinstance(body, ownership.Record)
        self.written.append(body)
        return self.outcome

    async def add_vms(self, vms: tuple[str, ...]) -> None:
        """Add VMs to the ownership, and wait until they are written."""
        self.state.ownership.vms = vms
        granter_state_module.publish(self.state, write_at_once=True)
        await conditions.wait_until(
            lambda: bool(self.written) and self.written[-1].vms == vms
        )

    def follow_later(self) -> int:
        """Have VMs follow the term later; return until when orders last."""
        self.clock.now_ms += grant_timing.GRANTER_GRACE_MS - 1
        for vm in _FOLLOWERS:
            incarnation = f'{vm}/1'
            self.state.incarnation_at_confirmation_by_vm[vm] = incarnation
            self.state.gateway.followed_term_by_vm[vm] = (
                gateway_module.FollowedTerm(
                    term=_TERM,
                    incarnation=incarnation,
                    followed_after_ms=self.clock.now_ms,
                )
            )
        granter_state_module.extend_right_to_order(self.state)
        return self.state.orders_end_ms

    async def test_a_majority_is_one_of_an_unanswered_record_too(self) -> None:
        """Guard against a granter that outlasts its successor.

        Its successor counts the VMs of the record that it finds.
        """
        orders_end_ms = self.state.orders_end_ms
        await self.add_vms(_UNANSWERED_VMS)
        await self.add_vms(_LATE_VMS)
        self.assertEqual(self.follow_later(), orders_end_ms)

    async def test_an_outage_is_one_for_an_unanswered_record_too(self) -> None:
        """Guard against long holds that a successor doesn't know of."""

        async def deny_store(_: http_client.Call) -> http_client.CallResult:
            return result.Success(
                http_client.Reply(
                    status=200,
                    headers=httputil.HTTPHeaders(),
                    body=b'{"reachable":false}',
                ),
            )

        gateway = self.state.gateway
        gateway.client = http_client.Client(send=deny_store)
        for vm in _FOLLOWERS:
            gateway_module.record_peer(
                gateway,
                peer_link.Peer(
                    vm=vm, address=vm, failure_domain='d', incarnation=vm
                ),
            )
        await self.add_vms(_UNANSWERED_VMS)
        await self.add_vms(_LATE_VMS)
        self.state.term_confirmed = False
        await store_access.find_successor(self.state)
        self.assertFalse(self.state.store_outage)

    async def test_a_reading_overtaken_by_a_write_changes_nothing(self) -> None:
        """Guard against a conflict after a reading that was long on its way."""
        earlier = self.written_record()
        self.outcome = result.Success(
            store_link.Document(name='record', revision=2, body=None)
        )
        await self.add_vms(_LATE_VMS)
        await conditions.wait_until(lambda: self.state.revision == 2)
        record_writer.check_stored_record(
            self.state,
            store_link.Document(name='record', revision=1, body=earlier),
            self.clock.now_ms,
        )
        self.assertFalse(self.state.stopped)
        self.assertEqual(self.state.revision, 2)
        self.assertEqual(self.state.recorded_vms, _LATE_VMS)

    def written_record(self) -> object:
        """Return the body of a record of the current ownership."""
        return msgspec.to_builtins(
            ownership.reserve_fences(
                ownership.make_record(self.state.ownership)
            )
        )

    async def test_an_answered_record_replaces_unanswered_ones(self) -> None:
        await self.add_vms(_UNANSWERED_VMS)
        self.outcome = result.Success(
            store_link.Document(name='record', revision=2, body=None)
        )
        await self.add_vms(_LATE_VMS)
        await conditions.wait_until(lambda: self.state.revision == 2)
        self.assertEqual(
            self.follow_later(),
            self.clock.now_ms + grant_timing.GRANTER_GRACE_MS,
        )
