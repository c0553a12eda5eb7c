"""Check that key ownership stays exclusive under faults.

The gateways' granting code is real; links, store and upstreams are a model.
"""

import asyncio
import functools
import unittest
from unittest import mock

import loguru

from lentilgauge.contracts import grant_timing
from lentilgauge.links import peer_link
from lentilgauge.services import key_ranges
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import granter_state as granter_state_module
from lentilgauge.vms import granter_term, key_assignment, key_orders
from tests import granting_model, virtual_time

_SEED_COUNT = 12
_FAULT_COUNT = 14
#: Longer than a silent VM stays in the record.
_LONG_PARTITION_S = key_assignment.VM_REMOVAL_MS / 1000 + 3


async def start_all_vms(model: granting_model.Model) -> None:
    """Start all VMs and wait until every key has a holder."""
    for name in model.vm_names:
        model.start_vm(name)
    assert await model.wait_until_all_keys_held(20)


def pick_granter(model: granting_model.Model) -> str:
    """Return a granter, or a random VM while there is none."""
    granters = granting_model.find_granters(model)
    return granters[0] if granters else model.random.choice(model.vm_names)


def pick_upstream(model: granting_model.Model) -> str:
    """Return a random upstream's name."""
    return model.random.choice(sorted(model.upstream_by_name))


def kill_granter(model: granting_model.Model) -> None:
    """Kill the granter and restart it 0.1 to 4 s later."""
    name = pick_granter(model)
    model.kill_vm(name)
    model.call_later(model.random.uniform(0.1, 4), restart_vm, model, name)


def kill_random_vm(model: granting_model.Model) -> None:
    """Kill a random VM and restart it 0.1 to 2 s later."""
    name = model.random.choice(model.vm_names)
    model.kill_vm(name)
    model.call_later(model.random.uniform(0.1, 2), restart_vm, model, name)


def cut_granter_from_store(model: granting_model.Model) -> None:
    """Make the store unreachable for the granter."""
    model.store.unreachable_for.add(pick_granter(model))


def stop_store(model: granting_model.Model) -> None:
    """Make the store unreachable for every VM for 5 s."""
    model.store.unreachable_for.add('all')
    model.call_later(5, model.store.unreachable_for.clear)


def heal_links(model: granting_model.Model) -> None:
    """End all partitions, those from the store included."""
    model.store.unreachable_for.clear()
    model.cut_links.clear()


def cut_granter_from_upstream(model: granting_model.Model) -> None:
    """Lose all messages from the granter to a random upstream."""
    model.cut_links.add((pick_granter(model), pick_upstream(model)))


def cut_from_peers(model: granting_model.Model) -> None:
    """Partition a random VM from all its peers, in both directions."""
    vm = model.random.choice(model.vm_names)
    outbound = {(vm, peer) for peer in model.vm_names if peer != vm}
    model.cut_links |= outbound | {(peer, source) for source, peer in outbound}


def restart_upstream(model: granting_model.Model) -> None:
    """Kill a random upstream and restart it up to 4 s later.

    The new process may have another id, and may be announced late.
    """
    name = pick_upstream(model)
    if not model.upstream_by_name[name].alive:
        return
    model.kill_upstream(name, listed=model.random.choice((True, False)))
    restart = functools.partial(
        start_under_free_id,
        model,
        name,
        new_id=model.random.choice((True, False)),
        announced_after=model.random.choice((0, 1)),
    )
    model.call_later(model.random.uniform(0, 4), restart)


def start_under_free_id(
    model: granting_model.Model,
    name: str,
    *,
    new_id: bool = False,
    announced_after: float = 0,
) -> None:
    """Start an upstream under a new id, its address or its last id.

    Its last id is taken if another upstream has that of the address.
    """
    other_ids = {
        upstream.id
        for address, upstream in model.upstream_by_name.items()
        if address != name
    }
    last_id = model.upstream_by_name[name].id
    model.start_upstream(
        name,
        new_id=new_id,
        upstream_id=last_id if name in other_ids and not new_id else '',
        announced_after=announced_after,
    )


def exchange_addresses(model: granting_model.Model) -> None:
    """Restart two upstreams at each other's address, under their ids."""
    live_names = [
        name
        for name, upstream in model.upstream_by_name.items()
        if upstream.alive
    ]
    if len(live_names) < 2 or not model.exchanges_addresses:
        return
    names = model.random.sample(live_names, 2)
    ids = [model.upstream_by_name[name].id for name in names]
    for ended in names:
        model.kill_upstream(ended, listed=True)
    for name, upstream_id in zip(names, reversed(ids), strict=True):
        model.start_upstream(
            name,
            upstream_id=upstream_id,
            announced_after=model.random.choice((0, 0.4, 1)),
        )


def split_vms(model: granting_model.Model) -> None:
    """Partition the VMs in two parts, of which one can't reach the store.

    Some upstreams are cut off from one part.
    """
    names = model.random.sample(model.vm_names, len(model.vm_names))
    count = model.random.randrange(1, len(names))
    parts = (names[:count], names[count:])
    model.store.unreachable_for.update(parts[0])
    for near in parts[0]:
        for far in parts[1]:
            model.cut_links |= {(near, far), (far, near)}
    for upstream in model.upstream_by_name:
        if not model.random.randrange(3):
            vms = model.random.choice(parts)
            model.cut_links |= {(vm, upstream) for vm in vms}


def pause_vm(model: granting_model.Model) -> None:
    """Pause the granter or a random VM for 0.2 to 5 s."""
    name = model.random.choice(
        (pick_granter(model), model.random.choice(model.vm_names))
    )
    model.pause_vm(name, model.random.uniform(0.2, 5))


def toggle_late_orders(model: granting_model.Model) -> None:
    """Start or stop executing 30 % of the orders late."""
    model.late_order_probability = 0 if model.late_order_probability else 0.3


def toggle_late_writes(model: granting_model.Model) -> None:
    """Start or stop executing 40 % of the store's writes late, unanswered."""
    model.store.late_write_probability = (
        0 if model.store.late_write_probability else 0.4
    )


FAULTS = (
    kill_granter,
    kill_random_vm,
    cut_granter_from_store,
    stop_store,
    heal_links,
    cut_granter_from_upstream,
    cut_from_peers,
    restart_upstream,
    toggle_late_orders,
    toggle_late_writes,
    exchange_addresses,
    split_vms,
    pause_vm,
)


def inject_fault(model: granting_model.Model) -> float:
    """Start or end a random fault; return the seconds until the next.

    Every other split of the VMs lasts until VMs are removed from the record.
    """
    fault = model.random.choice(FAULTS)
    fault(model)
    if fault is split_vms and model.random.choice((True, False)):
        return _LONG_PARTITION_S
    return model.random.uniform(0.1, 3)


def restart_vm(model: granting_model.Model, name: str) -> None:
    """Start a VM if it is down."""
    if name not in model.vm_by_name:
        model.start_vm(name)


def heal_all(model: granting_model.Model) -> None:
    """End all faults and restart what is down."""
    model.store.unreachable_for.clear()
    model.cut_links.clear()
    model.loop.pause_end_by_process.clear()
    model.late_order_probability = 0
    model.store.late_write_probability = 0
    for name, upstream in model.upstream_by_name.items():
        if not upstream.alive:
            start_under_free_id(model, name)
    for vm in model.vm_names:
        restart_vm(model, vm)


def run_random_faults(
    seed: int,
    fault_count: int = _FAULT_COUNT,
    *,
    exchanges_unchecked: bool = False,
) -> granting_model.Model:
    """Inject faults drawn from a seed, then end all of them.

    Upstreams that check no ids exchange their addresses only if
    `exchanges_unchecked` is set.
    """
    model = granting_model.Model(virtual_time.VirtualLoop(), seed)
    model.exchanges_addresses |= exchanges_unchecked
    run_faults(model, fault_count)
    return model


def run_faults(model: granting_model.Model, fault_count: int) -> None:
    """Inject random faults into a model, then end all of them.

    Every key must have a holder within 30 s of that.
    """

    async def start_and_run() -> None:
        await start_all_vms(model)
        for _ in range(fault_count):
            await asyncio.sleep(inject_fault(model))
            model.check_holds()
        heal_all(model)
        if not await model.wait_until_all_keys_held(30):
            held_keys = model.count_held_keys()
            model.violations.append(
                f'only {held_keys} keys are held at the end',
            )

    virtual_time.run_and_close(model.loop, start_and_run())


async def isolate_granter(model: granting_model.Model) -> None:
    """Partition the granter from its peers and the store.

    It still reaches every upstream, and its peers can't reach upstream u1. A
    store outage beforehand has made the granter lengthen its grants.
    """
    granter = pick_granter(model)
    model.store.unreachable_for.add('all')
    await asyncio.sleep(4)
    model.store.unreachable_for.discard('all')
    peers = [name for name in model.vm_names if name != granter]
    model.store.unreachable_for.add(granter)
    for peer in peers:
        model.cut_links |= {(granter, peer), (peer, granter), (peer, 'u1')}
    for _ in range(200):
        await asyncio.sleep(0.1)
        model.check_holds()
    model.granters_at_end = granting_model.find_granters(model)


def run_isolation() -> granting_model.Model:
    """Run a partitioned granter alongside its successor."""
    loop = virtual_time.VirtualLoop()
    model = granting_model.Model(loop, 1)

    async def start_and_run() -> None:
        await start_all_vms(model)
        await isolate_granter(model)

    virtual_time.run_and_close(loop, start_and_run())
    return model


class GrantingModelTest(unittest.TestCase):
    """No key ever has two holders, and every key gets a holder again."""

    def setUp(self) -> None:
        """Suppress the log lines of hundreds of restarts."""
        loguru.logger.remove()

    def test_no_key_ever_has_two_holders(self) -> None:
        """Guard against overlapping holds under random faults."""
        for seed in range(_SEED_COUNT):
            with self.subTest(seed=seed):
                self.assertEqual(run_random_faults(seed).violations, [])

    def test_exchanged_addresses_of_upstreams_that_check_no_ids(self) -> None:
        """Guard against orders that another upstream accepts."""
        broken_seeds = [
            seed
            for seed in range(0, _SEED_COUNT, 2)
            if run_random_faults(seed, exchanges_unchecked=True).violations
        ]
        self.assertEqual(broken_seeds, [])

    def run_scenario(self, scenario: object) -> granting_model.Model:
        """Run a scripted scenario; no invariant may be violated."""
        loop = virtual_time.VirtualLoop()
        model = granting_model.Model(loop, 1)
        assert callable(scenario)

        async def start_and_run() -> None:
            await start_all_vms(model)
            await scenario(model)

        virtual_time.run_and_close(loop, start_and_run())
        self.assertEqual(model.violations, [])
        return model

    def test_an_isolated_granter_shares_no_key_with_its_successor(
        self,
    ) -> None:
        """Guard against a partitioned granter that goes on granting.

        It still reaches every upstream, and its successor can't reach one.
        """
        model = run_isolation()
        self.assertEqual(model.violations, [])
        self.assertEqual(len(model.granters_at_end), 2)

    def test_a_domain_lost_with_its_granter_costs_its_keys_six_seconds(
        self,
    ) -> None:
        """Guard against a long failover when a failure domain is lost.

        The granter is cut off from everything and an upstream dies at the
        same moment, while most VMs remain. A successor that most VMs follow
        waits for no more than one usual hold.
        """

        async def scenario(model: granting_model.Model) -> None:
            await asyncio.sleep(15)
            granter = pick_granter(model)
            model.kill_upstream('u1', listed=False)
            for peer in model.vm_names:
                model.cut_links |= {(granter, peer), (peer, granter)}
            model.store.unreachable_for.add(granter)
            for name in model.upstream_by_name:
                model.cut_links.add((granter, name))
            self.assertTrue(await model.wait_until_all_keys_held(7))

        self.run_scenario(scenario)

    def test_no_rebalancing_during_a_store_outage(
        self,
    ) -> None:
        """Guard against keys that are unserved until an outage ends.

        A moved range is unserved until the record has been written, which is
        impossible until the store is back.
        """

        async def scenario(model: granting_model.Model) -> None:
            granter = model.vm_by_name[pick_granter(model)].gateway
            range_table = granter.state_cache.ownership.table_by_service['s']
            model.store.unreachable_for.add('all')
            await asyncio.sleep(3)
            for _ in range(40):
                report = peer_link.Report(
                    counts_by_service={'s': [(1, 50), (2, 50)]},
                )
                granter.pending_reports.append(report)
                await asyncio.sleep(0.1)
                self.assertTrue(
                    all(key_range.served for key_range in range_table.ranges),
                )

        self.run_scenario(scenario)

    def test_a_successor_waits_for_entries_that_expired_in_an_outage(
        self,
    ) -> None:
        """Guard against moving the keys of an upstream that is still alive.

        An upstream can't renew its store entry during an outage, so a new
        granter may not find it. If the entry returns in time, the upstream
        keeps its keys.
        """

        async def scenario(model: granting_model.Model) -> None:
            model.store.unreachable_for.add('all')
            await asyncio.sleep(3)
            upstream = model.upstream_by_name['u1']
            model.remove_entry('u1')
            model.kill_vm(pick_granter(model))
            model.store.unreachable_for.clear()
            await asyncio.sleep(2)
            model.announce(upstream)
            await asyncio.sleep(2.5)
            held_starts = [hold.start for hold in upstream.list_live_holds()]
            self.assertTrue(held_starts)
            self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        self.run_scenario(scenario)

    def test_a_killed_granter_costs_no_key_its_holder(self) -> None:
        """Guard against holds that expire before a successor renews them."""

        async def scenario(model: granting_model.Model) -> None:
            model.kill_vm(granting_model.find_granters(model)[0])
            for _ in range(100):
                await asyncio.sleep(0.05)
                self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        self.run_scenario(scenario)

    def test_a_store_outage_costs_no_key_its_holder(self) -> None:
        """Guard against a granter that stops renewing during an outage."""

        async def scenario(model: granting_model.Model) -> None:
            model.store.unreachable_for.add('all')
            for _ in range(180):
                await asyncio.sleep(0.05)
                self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        self.run_scenario(scenario)

    def test_a_granter_lost_in_an_outage_costs_no_key_its_holder(self) -> None:
        """Guard against holds too short to outlast a granter's loss.

        No successor can take over until the store is back, 5 s after the loss.
        """

        async def scenario(model: granting_model.Model) -> None:
            model.store.unreachable_for.add('all')
            await asyncio.sleep(2.5)
            model.kill_vm(granting_model.find_granters(model)[0])
            await asyncio.sleep(5)
            model.store.unreachable_for.clear()
            for _ in range(100):
                self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)
                await asyncio.sleep(0.05)

        self.run_scenario(scenario)

    def test_a_granter_cut_off_from_the_store_hands_over(self) -> None:
        """Guard against a granter that can no longer record its changes."""

        async def scenario(model: granting_model.Model) -> None:
            former_granters = granting_model.find_granters(model)
            model.store.unreachable_for.update(former_granters)
            await asyncio.sleep(2.5)
            granters = granting_model.find_granters(model)
            self.assertEqual(len(granters), 1)
            self.assertNotEqual(former_granters, granters)
            self.assertEqual(model.count_held_keys(), key_ranges.KEY_COUNT)

        self.run_scenario(scenario)

    def test_an_unresponsive_upstreams_keys_move_after_its_hold(self) -> None:
        """Guard against keys that stay with a dead but listed upstream."""

        async def scenario(model: granting_model.Model) -> None:
            model.kill_upstream('u1', listed=True)
            self.assertTrue(await model.wait_until_all_keys_held(4))

        self.run_scenario(scenario)

    def test_a_restarted_upstream_gets_its_keys_at_once(self) -> None:
        """Guard against waiting for the hold of an earlier incarnation."""

        async def scenario(model: granting_model.Model) -> None:
            model.kill_upstream('u1', listed=True)
            model.start_upstream('u1')
            self.assertTrue(await model.wait_until_all_keys_held(1))

        self.run_scenario(scenario)


class WeakenedRulesTest(unittest.TestCase):
    """Mutation tests: the model finds a violation if a granting rule is off."""

    def setUp(self) -> None:
        """Suppress log lines."""
        loguru.logger.remove()

    def find_violation(self) -> str:
        """Return the first safety violation of 60 seeds, or an empty string.

        Keys left without a holder at the end violate no safety rule.
        """
        for seed in range(60):
            for violation in run_random_faults(seed, fault_count=10).violations:
                if 'held at the end' not in violation:
                    return violation
        return ''

    def test_not_waiting_for_holds_to_end_is_caught(self) -> None:
        with mock.patch.object(
            key_orders, '_has_grant_expired', return_value=True
        ):
            self.assertIn('two holders', self.find_violation())

    def test_granting_before_recording_is_caught(self) -> None:
        def may_order(
            state: granter_state_module.GranterState,
            key_range: key_ranges.KeyRange,
        ) -> bool:
            return (
                bool(key_range.holder)
                and id(key_range) not in state.order_task_by_range_id
            )

        with mock.patch.object(key_orders, '_may_send_range_orders', may_order):
            self.assertTrue(self.find_violation())

    def test_forgetting_earlier_granters_is_caught(self) -> None:
        with mock.patch.object(
            granter_term,
            '_bound_earlier_orders',
            return_value=grant_timing.EarlierOrdersBounds(),
        ):
            self.assertIn('two holders', str(run_isolation().violations))

    def test_a_granter_that_never_stops_by_itself_is_caught(self) -> None:
        def may_order(state: granter_state_module.GranterState) -> bool:
            return not state.stopped

        with mock.patch.object(
            granter_state_module, 'may_send_orders', may_order
        ):
            self.assertIn('two holders', str(run_isolation().violations))

    def test_granting_at_an_unrecorded_address_is_caught(self) -> None:
        def find_holder(
            state: granter_state_module.GranterState,
            key_range: key_ranges.KeyRange,
        ) -> upstream_state.Upstream | None:
            return state.upstream_by_id.get(key_range.holder)

        with mock.patch.object(key_orders, '_find_holder', find_holder):
            seen_violation = any(
                'two holders'
                in str(
                    run_random_faults(seed, exchanges_unchecked=True).violations
                )
                for seed in range(28, 60, 2)
            )
        self.assertTrue(seen_violation)
