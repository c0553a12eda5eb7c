"""Test what a VM tells others while its takeover is unanswered."""

import asyncio
import dataclasses
import unittest

from returns import result

from lentilgauge.contracts import ownership
from lentilgauge.links import store_link
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import granter_following
from tests import conditions, gateway_fixtures


class PendingTakeoverTest(unittest.IsolatedAsyncioTestCase):
    """The store may have a term whose granter doesn't know it yet."""

    async def asyncSetUp(self) -> None:
        """Make a VM that was asked to take over."""
        self.gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), gateway_fixtures.Clock()
        )
        self.gateway.store = dataclasses.replace(
            self.gateway.store,
            read_record=self.read_record,
            write_record=self.write_record,
        )
        self.is_writing = False
        self.answer: asyncio.Future[store_link.WriteResult] = (
            asyncio.get_running_loop().create_future()
        )
        self.gateway.predecessor_term = 4
        self.gateway.takeover_requested.set()
        self.takeover = asyncio.ensure_future(
            granter_following.follow_or_take_over(self.gateway)
        )
        self.addCleanup(self.takeover.cancel)
        await conditions.wait_until(lambda: self.is_writing)

    async def read_record(self) -> store_link.RecordResult:
        """Read a record of another VM's term."""
        record = ownership.Record(term=4, granter=ownership.Granter(vm='g'))
        if self.answer.done():
            return result.Failure(store_link.Failure.UNKNOWN)
        self.gateway.state_cache.ownership = ownership.make_ownership(record)
        return result.Success(
            store_link.RecordSnapshot(
                revision=7,
                document=store_link.Document(
                    name='record',
                    revision=7,
                    body={'term': 4, 'granter': {'vm': 'g'}},
                ),
            ),
        )

    async def write_record(self, *_: object) -> store_link.WriteResult:
        """Wait for the answer to the write of the next term."""
        self.is_writing = True
        return await self.answer

    def may_grant(self) -> bool:
        """Return what the VM tells a successor that asks."""
        return gateway_module.make_view(self.gateway).grants

    async def test_a_pending_granter_is_not_taken_for_one_that_stopped(
        self,
    ) -> None:
        """Guard against a successor that finds the term before its granter."""
        self.assertTrue(self.may_grant())
        self.answer.set_result(
            result.Success(
                store_link.Document(name='record', revision=8, body=None)
            )
        )
        await self.takeover
        self.assertTrue(self.may_grant())

    async def test_a_failed_takeover_is_over(self) -> None:
        self.answer.set_result(result.Failure(store_link.Failure.UNKNOWN))
        await conditions.wait_until(lambda: not self.may_grant())
