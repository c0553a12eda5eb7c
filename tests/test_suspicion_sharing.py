"""Test that VMs tell each other of upstreams that may have restarted."""

import asyncio
import collections
import contextlib
import dataclasses
import unittest

import msgspec
from returns import result
from tornado import httputil

from lentilgauge.callers import forwarding
from lentilgauge.contracts import ownership
from lentilgauge.links import http_client, peer_link, upstream_link
from lentilgauge.upstreams import suspicions
from lentilgauge.vms import gateway as gateway_module
from lentilgauge.vms import long_poll, peer_routes
from tests import gateway_fixtures

_VM_COUNT = 3
_STEP_MS = 10
_FOLLOW_INTERVAL_MS = 300
_MAX_COLD_REQUESTS_PER_SECOND = 12.5
#: Turns of the event loop in which a request is sent and answered.
_TURNS = 10


class SharedUpstream:
    """One upstream for several VMs, which some of them can't reach.

    `answered_ms_by_vm` has the times of its answers to each VM.
    """

    def __init__(self, clock: gateway_fixtures.Clock) -> None:
        """Start with an upstream that all VMs reach."""
        self.clock = clock
        self.unreached_vms: set[str] = set()
        self.answered_ms_by_vm: dict[str, list[int]] = collections.defaultdict(
            list
        )

    def make_link(self, vm: str) -> upstream_link.UpstreamLink:
        """Make one VM's link to the upstream; it takes no orders."""

        async def send_attempt(
            _: upstream_link.Attempt,
        ) -> upstream_link.Outcome:
            if vm in self.unreached_vms:
                return upstream_link.Outcome(proof=upstream_link.Proof.NOT_SENT)
            self.answered_ms_by_vm[vm].append(self.clock.now_ms)
            return upstream_link.Outcome(
                proof=upstream_link.Proof.EXECUTED,
                status=200,
                headers=httputil.HTTPHeaders(),
                load=upstream_link.Load(
                    running=0, waiting=0, concurrency=2, slowness=1
                ),
            )

        return upstream_link.UpstreamLink(
            send_attempt=send_attempt,
            grant_keys=gateway_fixtures.fail_unexpected_call,  # type: ignore[arg-type]
            release_keys=gateway_fixtures.fail_unexpected_call,  # type: ignore[arg-type]
        )

    def count_busiest_second(self) -> int:
        """Return the most requests that it answered in any second."""
        times_ms = sorted(
            time_ms
            for vm_times_ms in self.answered_ms_by_vm.values()
            for time_ms in vm_times_ms
        )
        return max(
            sum(start_ms <= time_ms < start_ms + 1000 for time_ms in times_ms)
            for start_ms in times_ms
        )


class SuspicionSharingTest(unittest.IsolatedAsyncioTestCase):
    """A VM that can't reach an upstream tells the others through the granter.

    The first VM is the granter. All have the same upstream and clock.
    """

    async def asyncSetUp(self) -> None:
        """Make gateways that don't listen and an upstream."""
        self.clock = gateway_fixtures.Clock()
        self.upstream = SharedUpstream(self.clock)
        self.vms = tuple(f'vm-{number}' for number in range(_VM_COUNT))
        self.gateways = [self.make_gateway(vm) for vm in self.vms]
        self.gateways[0].is_granter = True

    def make_gateway(self, vm: str) -> gateway_module.Gateway:
        """Make a gateway whose calls to other VMs reach the granter."""
        gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), self.clock
        )
        gateway.local_peer = peer_link.Peer(
            vm=vm, address=f'{vm}:1', failure_domain='d', incarnation=vm
        )
        gateway.upstreams = self.upstream.make_link(vm)
        gateway.client = http_client.Client(send=self.call_granter)
        gateway.state_cache.upstream_by_id.pop('u1')
        gateway.state_cache.ownership = ownership.Ownership(
            term=1, serial=1, vms=self.vms
        )
        return gateway

    async def call_granter(
        self, call: http_client.Call
    ) -> http_client.CallResult:
        """Follow the granter, without waiting for changes."""
        assert call.body is not None
        # The granter's loop, which doesn't run here, keeps this up to date.
        granter_cache = self.gateways[0].state_cache
        granter_cache.state_current_ms = self.clock.now_ms
        message = msgspec.json.decode(call.body, type=peer_link.FollowMessage)
        reply = await peer_routes.answer_follower(
            self.gateways[0], msgspec.structs.replace(message, wait_ms=0)
        )
        return result.Success(
            http_client.Reply(
                status=200,
                headers=httputil.HTTPHeaders(),
                body=msgspec.json.encode(reply),
            )
        )

    async def send_request(self, gateway: gateway_module.Gateway) -> None:
        """Send a request whose caller leaves if it has to wait."""
        configuration = gateway_fixtures.make_configuration()
        request = gateway_fixtures.make_request(
            configuration.route_by_host_and_prefix[
                gateway_fixtures.HOST, '/write/'
            ],
            self.clock.now_ms,
        )
        task = asyncio.ensure_future(forwarding.forward(gateway, request))
        for _ in range(_TURNS):
            await asyncio.sleep(0)
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def run_for(
        self, duration_ms: int, callers_of: tuple[int, ...]
    ) -> None:
        """Send a request to each of some VMs every 10 ms; all follow."""
        for _ in range(0, duration_ms, _STEP_MS):
            for number in callers_of:
                await self.send_request(self.gateways[number])
            if self.clock.now_ms % _FOLLOW_INTERVAL_MS == 0:
                await self.follow()
            self.clock.now_ms += _STEP_MS

    async def follow(self) -> None:
        """Let each VM follow the granter once, the reporting VM first."""
        for gateway in reversed(self.gateways[1:]):
            await long_poll.follow_once(gateway, 'vm-0:1')

    async def test_vms_that_did_not_try_learn_of_a_restart(self) -> None:
        """Guard against a full load from VMs that missed the failures.

        An upstream comes back cold under its id, and its announcement is late.
        """
        self.upstream.unreached_vms = set(self.vms)
        await self.run_for(1500, (2,))
        self.upstream.unreached_vms.clear()
        await self.run_for(900, (0, 1, 2))
        self.assertLessEqual(
            self.upstream.count_busiest_second(),
            _MAX_COLD_REQUESTS_PER_SECOND,
        )
        self.assertEqual(len(self.upstream.answered_ms_by_vm), _VM_COUNT)

    async def test_the_granter_tells_of_its_own_failures(self) -> None:
        """Guard against failures that only the granter saw."""
        self.upstream.unreached_vms = set(self.vms)
        await self.run_for(1500, (0,))
        self.upstream.unreached_vms.clear()
        await self.run_for(900, (0, 1, 2))
        self.assertLessEqual(
            self.upstream.count_busiest_second(),
            _MAX_COLD_REQUESTS_PER_SECOND,
        )

    def announce_cold_start(self, *vms: str) -> None:
        """Let VMs, or all, know a process that has just started, cold."""
        for gateway in self.gateways:
            if vms and gateway.local_peer.vm not in vms:
                continue
            upstream_by_id = gateway.state_cache.upstream_by_id
            upstream_by_id['u0'] = dataclasses.replace(
                upstream_by_id['u0'],
                incarnation=2,
                cold_until_ms=self.clock.now_ms + 2900,
            )

    async def test_requests_before_a_late_announcement_count(self) -> None:
        """Guard against a full cold rate on top of what came before it."""
        for gateway in self.gateways * 2:
            await self.send_request(gateway)
        self.clock.now_ms += _STEP_MS
        self.announce_cold_start()
        await self.run_for(900, (0, 1, 2))
        self.assertLessEqual(
            self.upstream.count_busiest_second(),
            _MAX_COLD_REQUESTS_PER_SECOND,
        )
        self.assertEqual(len(self.upstream.answered_ms_by_vm), _VM_COUNT)

    async def test_a_vm_that_stood_still_sends_no_full_load(self) -> None:
        """Guard against sending by what was known before a pause.

        The VM neither follows nor sends for 4 s, then sends before it follows.
        """
        await self.run_for(310, (0, 1, 2))
        self.clock.now_ms += 4000
        self.upstream.answered_ms_by_vm.clear()
        self.announce_cold_start('vm-0', 'vm-1')
        for _ in range(20):
            for gateway in self.gateways:
                await self.send_request(gateway)
            self.clock.now_ms += _STEP_MS
        self.assertLessEqual(
            self.upstream.count_busiest_second(),
            _MAX_COLD_REQUESTS_PER_SECOND,
        )

    async def test_requests_before_a_failed_connection_cost_nothing(
        self,
    ) -> None:
        """Guard against waiting for requests that an earlier process got."""
        await self.run_for(100, (0,))
        self.upstream.unreached_vms = set(self.vms)
        await self.send_request(self.gateways[0])
        self.upstream.unreached_vms.clear()
        self.upstream.answered_ms_by_vm.clear()
        self.announce_cold_start()
        await self.run_for(500, (0,))
        self.assertEqual(len(self.upstream.answered_ms_by_vm['vm-0']), 3)

    async def test_a_cut_link_costs_other_vms_nothing(self) -> None:
        """Guard against one VM's bad link limiting a sound upstream."""
        self.upstream.unreached_vms = {'vm-2'}
        await self.run_for(2000, (0, 1, 2))
        for vm in ('vm-0', 'vm-1'):
            self.assertEqual(len(self.upstream.answered_ms_by_vm[vm]), 200)

    async def test_resets_in_one_burst_cost_other_vms_nothing(self) -> None:
        """Guard against taking the resets of a full upstream for its end."""
        self.upstream.unreached_vms = {'vm-2'}
        await asyncio.gather(
            *(self.send_request(self.gateways[2]) for _ in range(2))
        )
        self.upstream.unreached_vms.clear()
        await self.follow()
        await self.follow()
        await self.run_for(1000, (0, 1))
        for vm in ('vm-0', 'vm-1'):
            self.assertEqual(len(self.upstream.answered_ms_by_vm[vm]), 100)

    async def test_a_vm_that_is_behind_ends_no_suspicion(self) -> None:
        """Guard against forgetting the next incarnation for the last."""
        reachability = suspicions.Reachability()
        for incarnation in (2, 1):
            suspicions.adopt(
                reachability,
                suspicions.Suspicion(incarnation=incarnation, until_ms=9),
                now_ms=0,
            )
        self.assertEqual(reachability.shared.incarnation, 2)
