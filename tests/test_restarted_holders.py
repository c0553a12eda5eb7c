"""Check grants to upstreams that restart at their address."""

import asyncio
import unittest
from unittest import mock

import loguru
import msgspec

from lentilgauge.contracts import ownership
from lentilgauge.services import key_ranges
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import granter_state
from tests import granting_model, test_granting_model, virtual_time


def restart_each_holder(*, new_id: bool) -> granting_model.Model:
    """Restart all holders at once; each is announced after 1.5 s."""
    loop = virtual_time.VirtualLoop()
    model = granting_model.Model(loop, 1)
    model.checks_expected_ids = False

    async def start_and_restart() -> None:
        await test_granting_model.start_all_vms(model)
        await asyncio.sleep(2)
        for name in tuple(model.upstream_by_name):
            model.kill_upstream(name, listed=True)
            model.start_upstream(name, new_id=new_id, announced_after=1.5)
        await asyncio.sleep(6)

    virtual_time.run_and_close(loop, start_and_restart())
    return model


def exchange_addresses(
    model: granting_model.Model, first: str, second: str, delay_s: float
) -> None:
    """Restart two upstreams at each other's address, under their ids.

    The process at the first address announces itself at once, the other one
    after a delay in seconds.
    """
    for name in (first, second):
        model.kill_upstream(name, listed=True)
    model.start_upstream(first, upstream_id=second)
    model.start_upstream(second, upstream_id=first, announced_after=delay_s)


def hand_over_amid_exchange() -> granting_model.Model:
    """Have a granter hand over before it could release a renewal's keys.

    Another process has accepted the renewal at the holder's former address.
    """
    loop = virtual_time.VirtualLoop()
    model = granting_model.Model(loop, 1)
    model.checks_expected_ids = False

    async def exchange_and_hand_over() -> None:
        await test_granting_model.start_all_vms(model)
        await asyncio.sleep(2)
        exchange_addresses(model, 'u5', 'u1', 0.9)
        await asyncio.sleep(0.89)
        granter = test_granting_model.pick_granter(model)
        model.cut_links.add((granter, 'u5'))
        await asyncio.sleep(0.21)
        model.store.unreachable_for.add(granter)
        await asyncio.sleep(1)
        assert await model.wait_until_all_keys_held(1)

    virtual_time.run_and_close(loop, exchange_and_hand_over())
    return model


class RestartedHoldersTest(unittest.TestCase):
    """A key moves to another process under a higher fencing token only."""

    def setUp(self) -> None:
        """Suppress log lines."""
        loguru.logger.remove()

    def test_a_renewal_repeats_no_token_at_a_restart_under_the_same_id(
        self,
    ) -> None:
        """Guard against a restart between two renewals of a grant."""
        model = restart_each_holder(new_id=False)
        self.assertEqual(model.violations, [])

    def test_a_renewal_repeats_no_token_at_a_restart_under_another_id(
        self,
    ) -> None:
        """Guard against an address that another process listens at."""
        model = restart_each_holder(new_id=True)
        self.assertEqual(model.violations, [])

    def test_a_restarted_holder_releases_what_a_renewal_gave_it(self) -> None:
        """Guard against a drain before the restart is recorded."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def restart_and_drain() -> None:
            await test_granting_model.start_all_vms(model)
            for name in ('u1', 'u2', 'u3'):
                model.kill_upstream(name, listed=True)
                model.start_upstream(name, announced_after=0.9)
                await asyncio.sleep(0.85)
                model.store.late_write_probability = 1
                await asyncio.sleep(0.2)
                upstream = model.upstream_by_name[name]
                upstream.state = upstream_state.State.DRAINING
                model.announce(upstream)
                await asyncio.sleep(0.2)
                model.store.late_write_probability = 0
                await asyncio.sleep(3)

        virtual_time.run_and_close(loop, restart_and_drain())
        self.assertEqual(model.violations, [])

    def test_a_successor_looks_for_holders_where_they_have_moved(self) -> None:
        """Guard against an answer at an address that the holder has left."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def exchange_addresses() -> None:
            await test_granting_model.start_all_vms(model)
            granter = test_granting_model.pick_granter(model)
            for vm in model.vm_names:
                if vm != granter:
                    model.cut_links |= {(granter, vm), (vm, granter)}
                    model.store.unreachable_for.add(vm)
            # Long polls that were sent before end first.
            await asyncio.sleep(0.4)
            for name in ('u1', 'u2'):
                model.kill_upstream(name, listed=True)
            model.start_upstream('u2', upstream_id='u1')
            model.start_upstream('u1', upstream_id='u2')
            await asyncio.sleep(0.5)
            model.cut_links.add((granter, 'u2'))
            upstream = model.upstream_by_name['u2']
            upstream.state = upstream_state.State.DRAINING
            model.announce(upstream)
            await asyncio.sleep(0.2)
            model.kill_vm(granter)
            model.store.unreachable_for.clear()
            await asyncio.sleep(7)
            self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        virtual_time.run_and_close(loop, exchange_addresses())
        self.assertEqual(model.violations, [])

    def test_a_release_elsewhere_frees_no_key_of_a_renewal(self) -> None:
        """Guard against a release that doesn't reach the renewal's process."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)
        model.checks_expected_ids = False

        async def exchange_between_renewals() -> None:
            await test_granting_model.start_all_vms(model)
            await asyncio.sleep(2)
            exchange_addresses(model, 'u5', 'u1', 0.9)
            await asyncio.sleep(1)
            self.assertEqual(model.violations, [])
            self.assertTrue(await model.wait_until_all_keys_held(0.5))

        virtual_time.run_and_close(loop, exchange_between_renewals())
        self.assertEqual(model.violations, [])

    def test_a_successor_has_keys_released_where_they_were_granted(
        self,
    ) -> None:
        """Guard against a record without the addresses of grants."""
        model = hand_over_amid_exchange()
        self.assertEqual(model.violations, [])

    def test_forgetting_where_keys_were_granted_is_caught(self) -> None:
        """Mutation test: the model sees a release at another address."""
        pack_range = ownership._pack_range

        def pack_ids_only(key_range: key_ranges.KeyRange) -> ownership.RangeRow:
            return msgspec.structs.replace(
                pack_range(key_range), address='', earlier_addresses=()
            )

        with mock.patch.object(ownership, '_pack_range', pack_ids_only):
            model = hand_over_amid_exchange()
        self.assertIn('two holders', str(model.violations))

    def test_a_holder_at_a_new_address_waits_for_one_hold(self) -> None:
        """Guard against keys that wait for an address that nothing uses."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def move_process() -> None:
            await test_granting_model.start_all_vms(model)
            model.kill_upstream('u1', listed=True)
            model.start_upstream('u9', upstream_id='u1')
            self.assertTrue(await model.wait_until_all_keys_held(3))

        virtual_time.run_and_close(loop, move_process())
        self.assertEqual(model.violations, [])

    def test_silence_before_a_restart_excludes_no_new_process(self) -> None:
        """Guard against an upstream without keys for the rest of a term."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)

        async def restart_late() -> None:
            await test_granting_model.start_all_vms(model)
            model.kill_upstream('u1', listed=True)
            await asyncio.sleep(4)
            model.start_upstream('u1')
            for name in model.upstream_by_name:
                if name not in {'u0', 'u1'}:
                    model.kill_upstream(name, listed=False)
            await asyncio.sleep(4)
            model.kill_upstream('u0', listed=False)
            self.assertTrue(await model.wait_until_all_keys_held(7))

        virtual_time.run_and_close(loop, restart_late())
        self.assertEqual(model.violations, [])

    def test_a_token_that_renewals_repeat_is_caught(self) -> None:
        """Mutation test: the model sees a token that is sent twice."""

        def repeat_fence(state: granter_state.GranterState) -> int:
            return state.ownership.next_fence - 1

        with mock.patch.object(granter_state, 'take_fence', repeat_fence):
            model = restart_each_holder(new_id=False)
        self.assertIn('does not rise', str(model.violations))

    def test_tokens_are_reserved_again_before_they_run_out(self) -> None:
        """Guard against holds that end because no token is left."""
        with mock.patch.object(ownership, 'RESERVED_FENCES', 40):
            model = restart_each_holder(new_id=False)
        self.assertEqual(model.violations, [])
        self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)
