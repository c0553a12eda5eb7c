"""Check what a granter may conclude from the message of an earlier one."""

import asyncio
import itertools
import unittest
from collections.abc import Callable

import loguru
import msgspec
from tornado import httputil

from lentilgauge.contracts import grant_timing, ownership
from lentilgauge.links import http_server, peer_link, store_link
from lentilgauge.services import key_ranges
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import granter_state, key_assignment
from tests import (
    gateway_fixtures,
    granting_model,
    granting_upstreams,
    test_granting_model,
    virtual_time,
)


async def deliver_takeover_request(
    model: granting_model.Model, vm: str, message: peer_link.TakeoverMessage
) -> None:
    """Deliver a request to take over, as sent by a stopped granter."""
    await http_server.make_response(
        model.vm_by_name[vm].routes,
        http_server.Request(
            method='POST',
            path=peer_link.TAKEOVER_PATH,
            text_by_parameter={},
            headers=httputil.HTTPHeaders(),
            body=msgspec.json.encode(message),
        ),
    )


async def wait_until(is_met: Callable[[], bool]) -> None:
    """Wait until a condition is met; fail after 5 s of virtual time."""
    for _ in range(5000):
        if is_met():
            return
        await asyncio.sleep(0.001)
    raise AssertionError('the condition was not met')


def cut_from_all_vms(model: granting_model.Model, cut_vm: str) -> None:
    """Cut the links between a VM and all others."""
    for vm in model.vm_names:
        if vm != cut_vm:
            model.cut_links |= {(cut_vm, vm), (vm, cut_vm)}


def drain_upstream(
    model: granting_model.Model, name: str
) -> granting_upstreams.ModelUpstream:
    """Announce that an upstream drains, and return it."""
    upstream = model.upstream_by_name[name]
    upstream.state = upstream_state.State.DRAINING
    model.announce(upstream)
    return upstream


def find_latest_term(model: granting_model.Model) -> int:
    """Return the latest term that any VM knows."""
    return max(
        vm.gateway.state_cache.ownership.term
        for vm in model.vm_by_name.values()
    )


class SuccessionTest(unittest.TestCase):
    """A successor waits for every grant that may still last."""

    def setUp(self) -> None:
        """Suppress log lines."""
        loguru.logger.remove()

    def test_a_late_takeover_request_hides_no_later_granter(self) -> None:
        """Guard against a request of a granter that was replaced since."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def request_late() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            term = model.vm_by_name[granter].gateway.state_cache.ownership.term
            isolation = asyncio.ensure_future(
                test_granting_model.isolate_granter(model)
            )
            await asyncio.sleep(4.01)
            for vm in model.vm_names:
                if vm != granter:
                    message = peer_link.TakeoverMessage(
                        term=term - 1, hold_ms=1
                    )
                    await deliver_takeover_request(model, vm, message)
            await isolation

        virtual_time.run_and_close(loop, request_late())
        self.assertEqual(model.violations, [])

    def test_a_refused_connection_does_not_end_a_granter(self) -> None:
        """Guard against a partition that refuses connections."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)
        model.refuses_cut_calls = True

        async def cut_one_vm_off() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            successor = next(vm for vm in model.vm_names if vm != granter)
            for vm in model.vm_names:
                if vm != successor:
                    model.store.unreachable_for.add(vm)
                    model.cut_links |= {(successor, vm), (vm, successor)}
            model.cut_links.add((successor, 'u1'))
            for _ in range(400):
                await asyncio.sleep(0.1)
                model.check_holds()

        virtual_time.run_and_close(loop, cut_one_vm_off())
        self.assertEqual(model.violations, [])

    def test_a_second_successor_counts_followers_of_the_first_term(
        self,
    ) -> None:
        """Guard against a granter that outlasts its successor.

        Its successor's record no longer names the VMs that follow it.
        """
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1, vm_count=5)

        async def replace_successor() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            others = [vm for vm in model.vm_names if vm != granter]
            far_vms = others[2:]
            model.store.unreachable_for.update((granter, *others[:2]))
            for far_vm in far_vms:
                model.cut_links.add((far_vm, 'u1'))
                for vm in (granter, *others[:2]):
                    model.cut_links |= {(far_vm, vm), (vm, far_vm)}
            await asyncio.sleep(key_assignment.VM_REMOVAL_MS / 1000 + 6)
            granters = granting_model.find_granters(model)
            self.assertEqual(len(granters), 2)
            model.kill_vm(*{granter}.symmetric_difference(granters))
            for _ in range(300):
                await asyncio.sleep(0.1)
                model.check_holds()
            self.assertEqual(len(granting_model.find_granters(model)), 2)

        virtual_time.run_and_close(loop, replace_successor())
        self.assertEqual(model.violations, [])

    def test_an_unsettled_granter_of_unknown_vms_is_waited_for(self) -> None:
        """Guard against a record of a version that kept no VMs with it."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)
        unsettled = ownership.Granter(vm='g', address='g', incarnation='g/1')
        model.store.document = store_link.Document(
            name='ownership',
            revision=1,
            body=ownership.Record(
                term=5,
                granter=ownership.Granter(
                    vm='vm0', address='vm0', incarnation='earlier'
                ),
                vms=('g', 'h', 'vm0', 'vm1'),
                unsettled=(unsettled,),
            ),
        )

        async def take_over() -> None:
            model.start_vm('vm0')
            await asyncio.sleep(5)
            state_cache = model.vm_by_name['vm0'].gateway.state_cache
            self.assertEqual(state_cache.ownership.term, 6)
            waited_for = {
                granter.vm for granter in state_cache.ownership.unsettled
            }
            self.assertIn(unsettled.vm, waited_for)

        virtual_time.run_and_close(loop, take_over())

    def test_a_restart_after_a_release_admits_no_superseded_granter(
        self,
    ) -> None:
        """Guard against a renewal to a process that remembers no tokens.

        Its granter has been superseded, but is within its grace period.
        """
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def restart_after_release() -> None:
            await test_granting_model.start_all_vms(model)
            await asyncio.sleep(1)
            granter = test_granting_model.pick_granter(model)
            cut_from_all_vms(model, granter)
            await wait_until(
                lambda: len(granting_model.find_granters(model)) == 2
            )
            model.store.unreachable_for.add(granter)
            upstream = drain_upstream(model, 'u1')
            await wait_until(lambda: not upstream.list_live_holds())
            model.kill_upstream('u1', listed=True)
            model.start_upstream('u1')
            await asyncio.sleep(7)
            self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        virtual_time.run_and_close(loop, restart_after_release())
        self.assertEqual(model.violations, [])

    def test_a_cut_off_vm_does_not_replace_its_successor(self) -> None:
        """Guard against granters that replace each other again and again.

        The former granter still reaches the store, but no VM.
        """
        for vm_count in (2, 3, 4, 5):
            with self.subTest(vm_count=vm_count):
                self.count_terms_after_partition(vm_count)

    def count_terms_after_partition(self, vm_count: int) -> None:
        """Cut the granter off from its peers; expect one successor in 9 s."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1, vm_count=vm_count)

        async def cut_granter_off() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            first_term = find_latest_term(model)
            cut_from_all_vms(model, granter)
            for _ in range(90):
                await asyncio.sleep(0.1)
                self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)
            self.assertEqual(find_latest_term(model), first_term + 1)
            self.assertNotIn(granter, granting_model.find_granters(model))
            model.cut_links.clear()
            await asyncio.sleep(3)
            self.assertEqual(len(granting_model.find_granters(model)), 1)

        virtual_time.run_and_close(loop, cut_granter_off())
        self.assertEqual(model.violations, [])

    def test_a_lone_survivor_takes_over_at_once(self) -> None:
        """Guard against a VM that waits for others when all have ended."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def kill_all_but_one() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            survivor = next(vm for vm in model.vm_names if vm != granter)
            for vm in model.vm_names:
                if vm != survivor:
                    model.kill_vm(vm)
            for _ in range(90):
                await asyncio.sleep(0.1)
                self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)
            self.assertEqual(granting_model.find_granters(model), [survivor])

        virtual_time.run_and_close(loop, kill_all_but_one())
        self.assertEqual(model.violations, [])

    def test_restarted_vms_suppose_an_outage_before_their_start(self) -> None:
        """Guard against VMs that forget by a restart that holds are long."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def restart_in_outage() -> None:
            await test_granting_model.start_all_vms(model)
            await asyncio.sleep(grant_timing.OUTAGE_REPORT_TTL_MS / 1000)
            granter = test_granting_model.pick_granter(model)
            model.store.unreachable_for.add('all')
            await asyncio.sleep(4)
            others = [vm for vm in model.vm_names if vm != granter]
            for vm in others:
                model.cut_links |= {(granter, vm), (vm, granter), (vm, 'u1')}
            for vm in others[:2]:
                model.kill_vm(vm)
                model.start_vm(vm)
            model.store.unreachable_for = {granter}
            for _ in range(200):
                await asyncio.sleep(0.1)
                model.check_holds()

        virtual_time.run_and_close(loop, restart_in_outage())
        self.assertEqual(model.violations, [])

    def test_followers_do_not_revive_a_right_that_has_lapsed(self) -> None:
        """Guard against lower tokens than those of a successor."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1, vm_count=3)

        async def lapse_and_follow_again() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            follower, successor = (vm for vm in model.vm_names if vm != granter)
            model.store.unreachable_for.update((granter, follower))
            model.cut_links.update(itertools.permutations(model.vm_names, 2))
            await asyncio.sleep(4)
            model.cut_links -= {(granter, follower), (follower, granter)}
            await asyncio.sleep(1)
            for name in model.upstream_by_name:
                model.kill_upstream(name, listed=True)
                model.start_upstream(name, announced_after=1)
            await asyncio.sleep(3)
            self.assertCountEqual(
                granting_model.find_granters(model), (granter, successor)
            )

        virtual_time.run_and_close(loop, lapse_and_follow_again())
        self.assertEqual(model.violations, [])

    def test_a_granter_ignores_requests_to_take_over(self) -> None:
        """Guard against a takeover long after the request for it."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def request_of_granter() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            gateway = model.vm_by_name[granter].gateway
            message = peer_link.TakeoverMessage(
                term=gateway.state_cache.ownership.term, hold_ms=1
            )
            await deliver_takeover_request(model, granter, message)
            self.assertFalse(gateway.takeover_requested.is_set())

        virtual_time.run_and_close(loop, request_of_granter())

    def test_a_deleted_record_is_written_again(self) -> None:
        """Guard against a granter whose changes can't be recorded any more."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def delete_record() -> None:
            await test_granting_model.start_all_vms(model)
            granters = granting_model.find_granters(model)
            model.store.document = None
            await asyncio.sleep(2)
            model.kill_upstream('u1', listed=False)
            self.assertTrue(await model.wait_until_all_keys_held(7))
            self.assertIsNotNone(model.store.document)
            self.assertEqual(granting_model.find_granters(model), granters)

        virtual_time.run_and_close(loop, delete_record())
        self.assertEqual(model.violations, [])

    def test_a_handover_counts_the_holds_of_previous_holders(self) -> None:
        """Guard against a successor that grants keys still held elsewhere."""
        clock = gateway_fixtures.Clock()
        state = gateway_fixtures.make_granter_state(
            gateway_fixtures.make_gateway(
                gateway_fixtures.ScriptedUpstreams(), clock
            ),
            ownership.Ownership(),
        )
        key_range = key_ranges.KeyRange(
            start=0,
            end=9,
            holder='u0',
            hold_end_ms=clock.now_ms + grant_timing.DEFAULT_HOLD_MS,
            hold_end_ms_by_previous_holder={
                key_ranges.Grantee(upstream_id='u1'): clock.now_ms + 9000
            },
        )
        state.ownership.table_by_service['s'] = key_ranges.make_table(
            [key_range]
        )
        remaining_ms = granter_state.bound_remaining_grants_ms(state)
        self.assertEqual(remaining_ms, 9000)
