"""Test promises under faults, with real processes and their journals."""

import asyncio
import json
import signal
import unittest

from lentilgauge import errors
from lentilgauge.links import operator_link
from lentilgauge.load import cluster, journals, observer, topology, users
from lentilgauge.operators import status
from lentilgauge.standins import fault_proxy, platform_server
from tests import systems

SLOTS = 32
KEYS = 40
_TRIES = 400
_STEP_SECONDS = 0.05


def make_shape(**changed) -> topology.Topology:
    """Make a venture of four VMs, four keyed and two pooled upstreams."""
    return users.make_venture(vms=4, keyed=4, pooled=2, slots=SLOTS, **changed)


async def wait_for(condition) -> None:
    """Wait until an awaited condition is met."""
    for _ in range(_TRIES):
        if await condition():
            return
        await asyncio.sleep(_STEP_SECONDS)
    raise AssertionError('the condition was never met')


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """Judge by journals; each test starts a system of its own."""

    async def get_status(self, system, vm: int = 0) -> status.StatusMessage:
        """Ask a controller what it knows."""
        asked = await observer.get_status(
            system.cluster,
            system.client,
            system.vms[vm],
        )
        return asked.unwrap()

    async def find_controller(self, system, upstream_id: str) -> str:
        """Find which VM's controller grants an upstream's lease."""
        message = await self.get_status(system)
        return next(
            one.controller for one in message.upstreams if one.id == upstream_id
        )

    async def count_slots(self, system, upstream_id: str, vm: int = 0) -> int:
        """Count the slots that an upstream owns."""
        message = await self.get_status(system, vm)
        return next(
            one.slots for one in message.upstreams if one.id == upstream_id
        )

    async def send_to_all_keys(self, system, name: str) -> list[int]:
        """Send a letter for each key; return the statuses."""
        sent = await asyncio.gather(
            *(
                system.call(
                    'POST',
                    f'/cases/{key}/letters',
                    vm=key % len(system.vms),
                    body=b'letter',
                    headers={'Idempotency-Key': f'{name}-{key}'},
                )
                for key in range(KEYS)
            ),
        )
        return [one.unwrap().status for one in sent]

    def judge(self, system) -> journals.Findings:
        """Check that no journal shows two owners or two executions."""
        findings = journals.judge_journals(
            journals.read_journals(system.cluster),
        )
        self.assertEqual(findings.overlaps, [])
        doubled = [
            key for key, count in findings.count_by_key.items() if count > 1
        ]
        self.assertEqual(doubled, [])
        return findings

    async def test_hazard_5_a_paused_controller_renews_nothing(self) -> None:
        async with systems.run_system(make_shape()) as system:
            paused = await self.find_controller(system, 'cases-1')
            name = f'controller-{paused}'
            watcher = next(
                number
                for number, vm in enumerate(system.vms)
                if vm.id != paused
            )
            cluster.send_signal(system.cluster, name, signal.SIGSTOP)

            async def is_taken_over() -> bool:
                message = await self.get_status(system, watcher)
                return all(
                    one.controller != paused for one in message.upstreams
                )

            await wait_for(is_taken_over)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'paused')),
                {200},
            )
            cluster.send_signal(system.cluster, name, signal.SIGCONT)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'resumed')),
                {200},
            )
            self.judge(system)

    async def test_hazard_6_a_frozen_server_refuses_its_queue(self) -> None:
        async with systems.run_system(make_shape()) as system:
            frozen = 'cases-2'
            cluster.send_signal(system.cluster, frozen, signal.SIGSTOP)
            early = asyncio.ensure_future(
                self.send_to_all_keys(system, 'frozen'),
            )

            async def has_lost_all() -> bool:
                return not await self.count_slots(system, frozen)

            await wait_for(has_lost_all)
            cluster.send_signal(system.cluster, frozen, signal.SIGCONT)
            await early
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'thawed')),
                {200},
            )
            lines = journals.read_journals(system.cluster)
            queued = [
                line.reason
                for line in lines
                if line.upstream_id == frozen
                and line.idempotency_key.startswith('frozen')
            ]
            # What had reached it before it froze is answered "not run".
            self.assertTrue(queued)
            self.assertTrue(all(queued), queued)
            self.judge(system)

    async def test_hazard_7_a_lost_store_answer_is_settled(self) -> None:
        async with systems.run_system(make_shape()) as system:
            await observer.set_faults(
                system.cluster,
                system.client,
                topology.PLATFORM,
                platform_server.FaultsMessage(lose_answers=1),
            )
            accepted = await observer.command(
                system.cluster,
                system.client,
                system.vms[0],
                observer.make_domain_question('domain-b', out=True),
            )
            self.assertEqual(accepted.unwrap().version, 2)
            message = await self.get_status(system)
            self.assertEqual(message.configuration_version, 2)

    async def test_hazard_8_a_store_outage_keeps_what_stands(self) -> None:
        """Kill an upstream meanwhile: only its slots wait for the store."""
        async with systems.run_system(make_shape()) as system:
            lost = 'cases-3'
            down = platform_server.FaultsMessage(down=True)
            name = topology.PLATFORM
            await observer.set_faults(system.cluster, system.client, name, down)
            await asyncio.sleep(4)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'outage')),
                {200},
            )
            await cluster.kill(system.cluster, lost)
            statuses = await self.send_to_all_keys(system, 'loss')
            self.assertEqual(set(statuses), {200, 503})
            await observer.set_faults(
                system.cluster,
                system.client,
                name,
                platform_server.FaultsMessage(),
            )

            async def has_moved() -> bool:
                return not await self.count_slots(system, lost)

            await wait_for(has_moved)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'after')),
                {200},
            )
            self.judge(system)

    async def test_hazard_9_of_two_operators_one_wins(self) -> None:
        async with systems.run_system(make_shape()) as system:
            commands = [
                observer.command(
                    system.cluster,
                    system.client,
                    vm,
                    observer.make_domain_question('domain-a', out=number == 0),
                )
                for number, vm in enumerate(system.vms[:2])
            ]
            answers = await asyncio.gather(*commands)
            versions = sorted(
                answer.unwrap().version
                for answer in answers
                if answer.value_or(None)
            )
            refused = [
                answer.failure().kind
                for answer in answers
                if not answer.value_or(None)
            ]
            # Each accepted one has a version of its own; a loser is told.
            self.assertIn(versions, ([2], [2, 3]))
            told = [errors.ErrorKind.CONFLICT]
            self.assertEqual(refused, told if len(versions) == 1 else [])

    async def test_hazard_10_the_vm_list_is_a_hint(self) -> None:
        async with systems.run_system(make_shape()) as system:
            # It never listed the live VMs at all, and yet they work.
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'unlisted')),
                {200},
            )
            leaving = await self.find_controller(system, 'cases-1')
            question = operator_link.Question(
                method='POST',
                path='/vms',
                message=platform_server.VmStateMessage(
                    id=leaving,
                    leaving=True,
                    lag_ms=500,
                ),
            )
            await observer.ask(
                system.client,
                system.cluster.get_url(topology.PLATFORM),
                question,
                platform_server.VmStateMessage,
            )

            async def has_handed_over() -> bool:
                message = await self.get_status(system)
                return all(
                    one.controller != leaving for one in message.upstreams
                )

            await wait_for(has_handed_over)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'leaving')),
                {200},
            )
            self.judge(system)

    async def test_hazard_13_a_domain_goes_while_the_store_is_slow(self):
        async with systems.run_system(make_shape()) as system:
            await observer.set_faults(
                system.cluster,
                system.client,
                topology.PLATFORM,
                platform_server.FaultsMessage(delay_ms=300),
            )
            accepted = await observer.command(
                system.cluster,
                system.client,
                system.vms[0],
                observer.make_domain_question('domain-b', out=True),
            )
            accepted.unwrap()

            async def is_empty() -> bool:
                return not await self.count_slots(system, 'cases-2')

            await wait_for(is_empty)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'out')),
                {200},
            )
            lines = journals.read_journals(system.cluster)
            late = [
                line
                for line in lines
                if line.upstream_id == 'cases-2'
                and line.idempotency_key.startswith('out')
                and not line.reason
            ]
            self.assertEqual(late, [])
            self.judge(system)

    async def test_hazard_14_a_cut_off_entry_stops_in_time(self) -> None:
        async with systems.run_system(make_shape()) as system:
            for vm in system.vms:
                name = topology.name_controller(vm)
                cluster.send_signal(system.cluster, name, signal.SIGSTOP)

            async def is_refused() -> bool:
                sent = await system.call('GET', '/settlements')
                kind = json.loads(sent.unwrap().body).get('kind')
                return kind == errors.ErrorKind.CONFIGURATION_STALE

            await wait_for(is_refused)
            for vm in system.vms:
                name = topology.name_controller(vm)
                cluster.send_signal(system.cluster, name, signal.SIGCONT)

            async def is_served() -> bool:
                sent = await system.call('GET', '/settlements')
                return sent.unwrap().status == 200

            await wait_for(is_served)

    async def test_servers_that_check_nothing_are_waited_out(self) -> None:
        """Cut a server from controllers while entries still reach it."""
        shape = make_shape(
            options={
                'controller': {'entry_freshness_ms': 3000},
                'entry': {'freshness_ms': 3000},
            },
        )
        shape = users.without_tokens(users.with_proxies(shape, ('cases-1',)))
        async with systems.run_system(shape) as system:
            await observer.set_faults(
                system.cluster,
                system.client,
                topology.name_proxy_control('cases-1'),
                fault_proxy.FaultsMessage(
                    to_target=fault_proxy.Treatment.DROP,
                ),
            )
            names = iter(range(_TRIES))

            async def has_lost_all() -> bool:
                await self.send_to_all_keys(system, f'cut-{next(names)}')
                return not await self.count_slots(system, 'cases-1')

            await wait_for(has_lost_all)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'after')),
                {200},
            )
            self.judge(system)

    async def test_a_cut_link_moves_slots_to_others(self) -> None:
        """Drop answers, then hold grants and let them through late."""
        shape = make_shape()
        shape = users.with_proxies(shape, ('cases-4',))
        async with systems.run_system(shape) as system:
            proxy = topology.name_proxy_control('cases-4')
            for faults in (
                fault_proxy.FaultsMessage(
                    to_source=fault_proxy.Treatment.DROP,
                ),
                fault_proxy.FaultsMessage(
                    to_target=fault_proxy.Treatment.HOLD,
                ),
            ):
                await observer.set_faults(
                    system.cluster, system.client, proxy, faults
                )

                async def has_lost_all() -> bool:
                    return not await self.count_slots(system, 'cases-4')

                await wait_for(has_lost_all)
                statuses = await self.send_to_all_keys(
                    system,
                    f'cut-{faults.to_target}',
                )
                self.assertEqual(set(statuses), {200})
                await observer.set_faults(
                    system.cluster,
                    system.client,
                    proxy,
                    fault_proxy.FaultsMessage(),
                )

                async def has_some() -> bool:
                    return bool(await self.count_slots(system, 'cases-4'))

                await wait_for(has_some)
            self.judge(system)
