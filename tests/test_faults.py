"""Tests of the guarantees under faults, checked in processes' journals."""

import asyncio
import json
import signal
import unittest

from lentilgauge import errors
from lentilgauge.links import object_api, operator_link, state_messages
from lentilgauge.load import (
    cluster,
    journal_analysis,
    system_client,
    topology,
    user_topologies,
)
from lentilgauge.operators import status
from lentilgauge.standins import fault_proxy, platform_server
from tests import systems

SLOT_COUNT = 32
KEY_COUNT = 40
_MAX_POLLS = 400
_POLL_SECONDS = 0.05


def make_topology(**overrides) -> topology.Topology:
    """Make the venture's topology: 4 VMs, 4 keyed and 2 pooled upstreams."""
    return user_topologies.make_venture_topology(
        vms=4, keyed=4, pooled=2, slots=SLOT_COUNT, **overrides
    )


async def wait_for(condition) -> None:
    """Poll an asynchronous condition until it is true.

    Raises AssertionError after 400 polls with pauses of 50 ms.
    """
    for _ in range(_MAX_POLLS):
        if await condition():
            return
        await asyncio.sleep(_POLL_SECONDS)
    raise AssertionError('the condition did not become true')


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    """Faults in a system of real processes, one system per test."""

    async def get_status(
        self, system, vm_index: int = 0
    ) -> status.StatusMessage:
        """Query the status that a VM's controller reports."""
        queried = await system_client.get_status(
            system.cluster,
            system.client,
            system.vms[vm_index],
        )
        return queried.unwrap()

    async def find_controlling_vm(self, system, upstream_id: str) -> str:
        """Return the id of the VM that renews an upstream's leases."""
        message = await self.get_status(system)
        return next(
            upstream_status.controller
            for upstream_status in message.upstreams
            if upstream_status.id == upstream_id
        )

    async def count_slots(
        self, system, upstream_id: str, vm_index: int = 0
    ) -> int:
        """Count the slots that an upstream owns, as a VM reports them."""
        message = await self.get_status(system, vm_index)
        return next(
            upstream_status.slots
            for upstream_status in message.upstreams
            if upstream_status.id == upstream_id
        )

    async def get_map_epoch(self, system, service: str) -> int:
        """Return the epoch of a service's slot map, as a VM reports it."""
        message = await self.get_status(system)
        return next(
            service_status.epoch
            for service_status in message.services
            if service_status.name == service
        )

    async def read_term(
        self, system, upstream_id: str
    ) -> state_messages.TermBody:
        """Read the record of an upstream's term from the store."""
        link = object_api.PlatformLink(
            client=system.client,
            base_url=system.cluster.get_url(topology.PLATFORM),
            timeout_ms=5000,
        )
        name = f'{state_messages.TERM_PREFIX}{upstream_id}'
        stored = await object_api.read_object(link, name)
        return state_messages.TermBody.model_validate(stored.unwrap().body)

    async def wait_until_witnessed(self, system) -> None:
        """Wait until all leases are open and all their witnesses recorded.

        That is every other VM, and no earlier term is left to settle. A term's
        first record names the VMs only that had announced themselves by then.
        """

        async def is_witnessed() -> bool:
            records = [
                await self.read_term(system, upstream.id)
                for upstream in system.cluster.system_topology.upstreams
            ]
            return not any(
                record.released
                or record.unsettled
                or len(record.witnesses) < len(system.vms) - 1
                for record in records
            )

        await wait_for(is_witnessed)

    async def send_to_all_keys(self, system, key_prefix: str) -> list[int]:
        """Send a request for each key and return the response statuses.

        The idempotency keys start with the prefix.
        """
        called = await asyncio.gather(
            *(
                system.call(
                    'POST',
                    f'/cases/{key}/letters',
                    vm_index=key % len(system.vms),
                    body=b'letter',
                    headers={'Idempotency-Key': f'{key_prefix}-{key}'},
                )
                for key in range(KEY_COUNT)
            ),
        )
        return [call_result.unwrap().status for call_result in called]

    async def freeze_with_queue(
        self, system, upstream_id: str
    ) -> tuple[asyncio.Task[list[int]], str]:
        """Freeze an upstream while requests from entries wait unread at it.

        If it loses its slots before one has reached it, it's thawed, and
        frozen again once it owns some. Return the task that sends the requests
        and the prefix of their idempotency keys.
        """

        async def has_slots() -> bool:
            return bool(await self.count_slots(system, upstream_id))

        async def is_decided() -> bool:
            return is_queued() or not await has_slots()

        def is_queued() -> bool:
            return cluster.has_unread_request(system.cluster, upstream_id)

        for number in range(_MAX_POLLS):
            key_prefix = f'frozen-{number}'
            await wait_for(has_slots)
            cluster.send_signal(system.cluster, upstream_id, signal.SIGSTOP)
            sending = asyncio.ensure_future(
                self.send_to_all_keys(system, key_prefix),
            )
            await wait_for(is_decided)
            if is_queued():
                return sending, key_prefix
            cluster.send_signal(system.cluster, upstream_id, signal.SIGCONT)
            await sending
        raise AssertionError('no request reached the frozen upstream')

    def check_journals(self, system) -> journal_analysis.JournalFindings:
        """Assert that no slot had two owners and no request ran twice."""
        journal_findings = journal_analysis.analyse_journals(
            journal_analysis.read_journals(system.cluster),
        )
        self.assertEqual(journal_findings.ownership_violations, [])
        duplicates = [
            key
            for key, count in journal_findings.execution_count_by_key.items()
            if count > 1
        ]
        self.assertEqual(duplicates, [])
        return journal_findings

    async def test_hazard_5_a_paused_controller_renews_nothing(self) -> None:
        async with systems.run_system(make_topology()) as system:
            paused_vm_id = await self.find_controlling_vm(system, 'cases-1')
            name = f'controller-{paused_vm_id}'
            observing_index = next(
                number
                for number, vm in enumerate(system.vms)
                if vm.id != paused_vm_id
            )
            cluster.send_signal(system.cluster, name, signal.SIGSTOP)

            async def is_taken_over() -> bool:
                message = await self.get_status(system, observing_index)
                return all(
                    upstream_status.controller != paused_vm_id
                    for upstream_status in message.upstreams
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
            self.check_journals(system)

    async def test_hazard_6_a_frozen_server_refuses_its_queue(self) -> None:
        async with systems.run_system(make_topology()) as system:
            frozen = 'cases-2'

            async def has_lost_all_slots() -> bool:
                return not await self.count_slots(system, frozen)

            sending, key_prefix = await self.freeze_with_queue(system, frozen)
            await wait_for(has_lost_all_slots)
            lost_epoch = await self.get_map_epoch(system, 'cases')
            cluster.send_signal(system.cluster, frozen, signal.SIGCONT)
            await sending
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'thawed')),
                {200},
            )
            lines = journal_analysis.read_journals(system.cluster)
            journalled_reasons = [
                journal_line.reason
                for journal_line in lines
                if journal_line.upstream_id == frozen
                and journal_line.idempotency_key.startswith(f'{key_prefix}-')
                and journal_line.epoch <= lost_epoch
            ]
            # Requests that waited at the upstream while it was frozen must be
            # rejected as not run. Any slot that it got later has a later epoch.
            self.assertTrue(journalled_reasons)
            self.assertTrue(all(journalled_reasons), journalled_reasons)
            self.check_journals(system)

    async def test_hazard_7_a_lost_write_answer_is_resolved(self) -> None:
        """A write whose answer is lost must not be reported as failed."""
        async with systems.run_system(make_topology()) as system:
            await system_client.set_faults(
                system.cluster,
                system.client,
                topology.PLATFORM,
                platform_server.FaultsMessage(lose_answers=1),
            )
            accepted = await system_client.send_command(
                system.cluster,
                system.client,
                system.vms[0],
                system_client.make_domain_command('domain-b', out=True),
            )
            self.assertEqual(accepted.unwrap().version, 2)
            message = await self.get_status(system)
            self.assertEqual(message.configuration_version, 2)

    async def test_hazard_8_a_store_outage_keeps_what_stands(self) -> None:
        """During a store outage, only slots of a killed upstream go unserved.

        All requests are served until an upstream is killed. Its slots can't be
        reassigned before the store is back.
        """
        async with systems.run_system(make_topology()) as system:
            killed = 'cases-3'
            outage = platform_server.FaultsMessage(down=True)
            name = topology.PLATFORM
            # Without witnesses, leases end with the store's confirmation.
            await self.wait_until_witnessed(system)
            await system_client.set_faults(
                system.cluster, system.client, name, outage
            )
            await asyncio.sleep(4)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'outage')),
                {200},
            )
            await cluster.kill_process(system.cluster, killed)
            statuses = await self.send_to_all_keys(system, 'loss')
            self.assertEqual(set(statuses), {200, 503})
            await system_client.set_faults(
                system.cluster,
                system.client,
                name,
                platform_server.FaultsMessage(),
            )

            async def has_lost_all_slots() -> bool:
                return not await self.count_slots(system, killed)

            await wait_for(has_lost_all_slots)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'after')),
                {200},
            )
            self.check_journals(system)

    async def test_hazard_9_concurrent_changes_are_serialised(self) -> None:
        async with systems.run_system(make_topology()) as system:
            commands = [
                system_client.send_command(
                    system.cluster,
                    system.client,
                    vm,
                    system_client.make_domain_command(
                        'domain-a', out=number == 0
                    ),
                )
                for number, vm in enumerate(system.vms[:2])
            ]
            answers = await asyncio.gather(*commands)
            versions = sorted(
                answer.unwrap().version
                for answer in answers
                if answer.value_or(None)
            )
            rejected = [
                answer.failure().kind
                for answer in answers
                if not answer.value_or(None)
            ]
            # Each accepted change has a version of its own; a rejected one gets
            # a conflict.
            self.assertIn(versions, ([2], [2, 3]))
            conflict = [errors.ErrorKind.CONFLICT]
            self.assertEqual(rejected, conflict if len(versions) == 1 else [])

    async def test_hazard_10_the_vm_list_is_only_a_hint(self) -> None:
        async with systems.run_system(make_topology()) as system:
            # The platform's list has none of the running VMs, yet they serve.
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'unlisted')),
                {200},
            )
            leaving_vm_id = await self.find_controlling_vm(system, 'cases-1')
            command = operator_link.OperatorRequest(
                method='POST',
                path='/vms',
                message=platform_server.VmStateMessage(
                    id=leaving_vm_id,
                    leaving=True,
                    lag_ms=500,
                ),
            )
            await system_client.send_request(
                system.client,
                system.cluster.get_url(topology.PLATFORM),
                command,
                platform_server.VmStateMessage,
            )

            async def has_handed_over() -> bool:
                message = await self.get_status(system)
                return all(
                    upstream_status.controller != leaving_vm_id
                    for upstream_status in message.upstreams
                )

            await wait_for(has_handed_over)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'leaving')),
                {200},
            )
            self.check_journals(system)

    async def test_hazard_13_a_domain_is_evacuated_while_the_store_is_slow(
        self,
    ):
        async with systems.run_system(make_topology()) as system:
            await system_client.set_faults(
                system.cluster,
                system.client,
                topology.PLATFORM,
                platform_server.FaultsMessage(delay_ms=300),
            )
            accepted = await system_client.send_command(
                system.cluster,
                system.client,
                system.vms[0],
                system_client.make_domain_command('domain-b', out=True),
            )
            accepted.unwrap()

            async def is_empty() -> bool:
                return not await self.count_slots(system, 'cases-2')

            await wait_for(is_empty)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'out')),
                {200},
            )
            lines = journal_analysis.read_journals(system.cluster)
            late_executions = [
                journal_line
                for journal_line in lines
                if journal_line.upstream_id == 'cases-2'
                and journal_line.idempotency_key.startswith('out')
                and not journal_line.reason
            ]
            self.assertEqual(late_executions, [])
            self.check_journals(system)

    async def test_hazard_14_a_cut_off_entry_stops_in_time(self) -> None:
        """An entry whose configuration gets no updates must stop serving."""
        async with systems.run_system(make_topology()) as system:
            for vm in system.vms:
                name = topology.name_controller(vm)
                cluster.send_signal(system.cluster, name, signal.SIGSTOP)

            async def is_rejected() -> bool:
                called = await system.call('GET', '/settlements')
                kind = json.loads(called.unwrap().body).get('kind')
                return kind == errors.ErrorKind.CONFIGURATION_STALE

            await wait_for(is_rejected)
            for vm in system.vms:
                name = topology.name_controller(vm)
                cluster.send_signal(system.cluster, name, signal.SIGCONT)

            async def is_served() -> bool:
                called = await system.call('GET', '/settlements')
                return called.unwrap().status == 200

            await wait_for(is_served)

    async def test_servers_that_check_nothing_are_waited_out(self) -> None:
        """Slots of an upstream that checks no fencing tokens move with a delay.

        Controllers can't reach the upstream, while entries still can: its
        slots must not get another owner before entries stop sending to it.
        """
        faults_topology = make_topology(
            options={
                'controller': {'entry_freshness_ms': 3000},
                'entry': {'freshness_ms': 3000},
            },
        )
        faults_topology = user_topologies.without_token_checks(
            user_topologies.with_proxies(faults_topology, ('cases-1',))
        )
        async with systems.run_system(faults_topology) as system:
            await system_client.set_faults(
                system.cluster,
                system.client,
                topology.name_proxy_control('cases-1'),
                fault_proxy.FaultsMessage(
                    to_target=fault_proxy.ForwardingMode.DROP,
                ),
            )
            numbers = iter(range(_MAX_POLLS))

            async def has_lost_all_slots() -> bool:
                await self.send_to_all_keys(system, f'cut-{next(numbers)}')
                return not await self.count_slots(system, 'cases-1')

            await wait_for(has_lost_all_slots)
            self.assertEqual(
                set(await self.send_to_all_keys(system, 'after')),
                {200},
            )
            self.check_journals(system)

    async def test_slots_of_an_unreachable_upstream_are_reassigned(
        self,
    ) -> None:
        """Drop the answers to grants; in a second round, deliver grants late.

        A grant that arrives after its slots were reassigned must not give
        them a second owner.
        """
        faults_topology = make_topology()
        faults_topology = user_topologies.with_proxies(
            faults_topology, ('cases-4',)
        )
        async with systems.run_system(faults_topology) as system:
            proxy = topology.name_proxy_control('cases-4')
            for faults in (
                fault_proxy.FaultsMessage(
                    to_source=fault_proxy.ForwardingMode.DROP,
                ),
                fault_proxy.FaultsMessage(
                    to_target=fault_proxy.ForwardingMode.HOLD,
                ),
            ):
                await system_client.set_faults(
                    system.cluster, system.client, proxy, faults
                )

                async def has_lost_all_slots() -> bool:
                    return not await self.count_slots(system, 'cases-4')

                await wait_for(has_lost_all_slots)
                statuses = await self.send_to_all_keys(
                    system,
                    f'cut-{faults.to_target}',
                )
                self.assertEqual(set(statuses), {200})
                await system_client.set_faults(
                    system.cluster,
                    system.client,
                    proxy,
                    fault_proxy.FaultsMessage(),
                )

                async def has_some_slots() -> bool:
                    return bool(await self.count_slots(system, 'cases-4'))

                await wait_for(has_some_slots)
            self.check_journals(system)
