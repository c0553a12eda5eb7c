"""Model of a system: real controllers and stand-ins, without sockets.

Every message goes through `Network.deliver`, which can drop it, lose its
answer or delay it. The time is simulated: it advances only when a test
advances it.
"""

import asyncio
import random
import types
from collections.abc import Callable
from urllib import parse as url_parse

from returns import result
from tornado import httputil

from lentilgauge import metrics, settings
from lentilgauge.contracts import holder, idempotency_keys, lease, witness
from lentilgauge.links import (
    http_client,
    http_server,
    object_api,
    platform_messages,
)
from lentilgauge.operators import http_routes
from lentilgauge.services import configuration
from lentilgauge.standins import (
    platform_server,
    store,
    upstream,
    upstream_server,
)
from lentilgauge.vms import (
    controller,
    membership,
    peer_relay,
    planner,
    platform_watch,
    renewals,
    replica,
    slot_moves,
    terms,
    witnesses,
)

SERVICE = 'cases'
SLOT_COUNT = 4
PLATFORM = 'platform'
#: Passes of the event loop after which every ready task has run until it
#: blocks.
_MAX_LOOP_PASSES = 120

#: Returns whether the answer to a call from a source is lost.
AnswerFilter = Callable[[str, http_client.Call], bool]


class DelayedMessage:
    """A message that the network delays until a test releases it."""

    def __init__(self, *, target: str) -> None:
        """Make a message that waits until the future `released` is set."""
        self.target = target
        self.released = asyncio.get_running_loop().create_future()


class Network:
    """Network that delivers messages to nodes by host name.

    `cut_links` has pairs of source and target; messages from such a source to
    its target are lost. The next answer of each target in
    `lose_next_answer_of` is lost, and each answer for which `loses_answer` is
    true, given the source and the call. The next message to each target in
    `delay_next_message_to` is delayed and added to `delayed_messages`.
    """

    def __init__(self) -> None:
        """Make a network without nodes and faults."""
        self.routes_by_name: dict[str, http_server.Routes] = {}
        self.cut_links: set[tuple[str, str]] = set()
        self.lose_next_answer_of: set[str] = set()
        self.loses_answer: AnswerFilter = lambda _source, _call: False
        self.delay_next_message_to: set[str] = set()
        self.delayed_messages: list[DelayedMessage] = []

    async def deliver(
        self,
        source: str,
        call: http_client.Call,
    ) -> http_client.CallResult:
        """Deliver a message and return its answer, unless a fault is set."""
        url = url_parse.urlsplit(call.url)
        target = str(url.hostname)
        if (
            source,
            target,
        ) in self.cut_links or target not in self.routes_by_name:
            return result.Failure(http_client.LinkFailure.NOT_CONNECTED)
        if target in self.delay_next_message_to and source != target:
            self.delay_next_message_to.discard(target)
            message = DelayedMessage(target=target)
            self.delayed_messages.append(message)
            await message.released
        routes = self.routes_by_name.get(target)
        if routes is None:
            return result.Failure(http_client.LinkFailure.BROKEN)
        response = await http_server.make_response(
            routes,
            http_server.Request(
                method=call.method,
                path=url_parse.unquote(url.path),
                text_by_parameter=dict(url_parse.parse_qsl(url.query)),
                headers=httputil.HTTPHeaders(),
                body=call.body or b'',
            ),
        )
        if target in self.lose_next_answer_of:
            self.lose_next_answer_of.discard(target)
            return result.Failure(http_client.LinkFailure.BROKEN)
        if (target, source) in self.cut_links or self.loses_answer(
            source, call
        ):
            return result.Failure(http_client.LinkFailure.TIMED_OUT)
        return result.Success(
            http_client.Reply(
                status=response.status,
                headers=httputil.HTTPHeaders(),
                body=response.body,
            ),
        )


def make_client(network: Network, name: str) -> http_client.Client:
    """Make the client with which a node sends over the network."""

    async def send(call: http_client.Call) -> http_client.CallResult:
        return await network.deliver(name, call)

    return http_client.Client(send=send)


def name_upstream(number: int) -> str:
    """Return the name of an upstream, which is its address."""
    return f'10.0.1.{number + 1}'


class NodeClock:
    """Clock of a node, which may run fast or slow."""

    def __init__(self, *, model: 'Model', drift_per_mille: int) -> None:
        """Derive a node's clock from the simulated time.

        A positive drift makes it run fast, a negative one slow.
        """
        self.model = model
        self.rate = 1 + drift_per_mille / 1000

    def now_ms(self) -> int:
        """Read the clock."""
        return int(self.model.time_ms * self.rate)


class Model:
    """A platform, controllers and upstreams on one simulated network."""

    def __init__(self, *, controller_count: int, upstream_count: int) -> None:
        """Start all nodes, with no configuration in the store."""
        self.time_ms = 1_000_000
        self.network = Network()
        self.store = store.Store()
        self.network.routes_by_name[PLATFORM] = (
            platform_server.make_object_routes(self.store)
        )
        self.controllers = [
            self.make_controller(f'10.0.0.{number + 1}', number)
            for number in range(controller_count)
        ]
        self.upstreams: dict[str, upstream.Upstream] = {}
        self.start_count = 0
        for number in range(upstream_count):
            self.start_upstream(name_upstream(number))
        self.tasks: set[asyncio.Task[object]] = set()

    def make_controller(self, name: str, number: int) -> controller.Controller:
        """Make the controller of a VM and add it to the network."""
        client = make_client(self.network, name)
        clock = NodeClock(model=self, drift_per_mille=number % 3 - 1)
        new_controller = controller.Controller(
            vm=settings.VmSettings(
                id=name,
                failure_domain=f'domain-{number % 3}',
                address=name,
            ),
            section=settings.ControllerSettings(port=1),
            platform_link=object_api.PlatformLink(
                client=client,
                base_url=f'http://{PLATFORM}:1',
                timeout_ms=1000,
            ),
            client=client,
            replica=replica.Replica(),
            metrics=metrics.Metrics(),
            now_ms=clock.now_ms,
            incarnation=f'{name}#0',
            witness=witness.Witness(),
            idempotency_registry=idempotency_keys.Registry(),
            random=random.Random(number),
        )
        self.network.routes_by_name[name] = http_routes.make_relay_routes(
            new_controller
        )
        return new_controller

    def restart_controller(self, number: int) -> None:
        """Replace a controller with a new incarnation.

        Answers that the old one waits for can still arrive.
        """
        name = self.controllers[number].vm_id
        new_controller = self.make_controller(name, number)
        self.start_count += 1
        new_controller.incarnation = f'{name}#{self.start_count}'
        self.controllers[number] = new_controller

    def start_upstream(self, name: str) -> None:
        """Start an upstream, or replace it with one without state."""
        self.start_count += 1
        clock = NodeClock(model=self, drift_per_mille=self.start_count % 3 - 1)
        new_upstream = upstream.make_upstream(
            upstream.UpstreamProfile(
                upstream_id=name,
                concurrency=2,
                queue_limit=2,
                service_ms=0,
                checks_tokens=True,
                cold_factor=1,
                warm_after=0,
            ),
            incarnation=f'{name}#{self.start_count}',
            seed=1,
            journal_path='',
            now_ms=clock.now_ms,
        )
        self.upstreams[name] = new_upstream
        self.network.routes_by_name[name] = upstream_server.make_control_routes(
            new_upstream
        )

    async def configure(self) -> None:
        """Write the configuration into the store."""
        config_model = configuration.ConfigurationModel.model_validate(
            {
                'services': {SERVICE: {'slots': SLOT_COUNT}},
                'kinds': {},
                'failure_domains': {
                    f'domain-{number}': {} for number in range(3)
                },
                'upstreams': {
                    name: {
                        'service': SERVICE,
                        'failure_domain': f'domain-{number % 3}',
                        'address': name,
                        'port': 1,
                    }
                    for number, name in enumerate(self.upstreams)
                },
            }
        )
        await store.put_object(
            self.store,
            configuration.OBJECT_NAME,
            platform_messages.PutMessage(
                expected_version=0,
                write_id='setup',
                body=config_model.model_dump(mode='json'),
            ),
        )

    async def run_ready_tasks(
        self, awaited_task: asyncio.Task | None = None
    ) -> None:
        """Run ready tasks until each waits for time or a delayed message.

        Stops early once the awaited task, if one is given, is done.
        """
        for _ in range(_MAX_LOOP_PASSES):
            await asyncio.sleep(0)
            if awaited_task is not None and awaited_task.done():
                return

    async def run_job(self, job: types.CoroutineType) -> None:
        """Run a job until it is done or waits for a delayed message.

        Raises the exception of any job that has failed meanwhile.
        """
        job_task = asyncio.ensure_future(job)
        self.tasks.add(job_task)
        await self.run_ready_tasks(job_task)
        for done_task in [task for task in self.tasks if task.done()]:
            self.tasks.discard(done_task)
            done_task.result()

    def advance(self, duration_ms: int) -> None:
        """Advance the simulated time."""
        self.time_ms += duration_ms

    def make_periodic_jobs(self, number: int) -> list[types.CoroutineType]:
        """Make one round of a controller's periodic jobs, in their order.

        While the service isn't configured, a second round of heartbeats stands
        in for the planner's job.
        """
        vm_controller = self.controllers[number]
        leased_upstreams = [
            vm_controller.replica.config.upstream_by_id[name]
            for name in list(vm_controller.lease_state_by_upstream)
            if terms.find_current_lease(vm_controller, name) is not None
            and SERVICE in vm_controller.replica.slot_map_by_service
        ]
        return [
            platform_watch.watch_once(vm_controller, 0),
            peer_relay.read_peer_changes(vm_controller),
            witnesses.request_all_vouches(vm_controller),
            membership.announce_if_needed(vm_controller),
            membership.send_heartbeats(vm_controller),
            terms.open_missing_terms(vm_controller),
            terms.settle_terms_once(vm_controller),
            *(
                renewals.renew_once(vm_controller, leased)
                for leased in leased_upstreams
            ),
            *(
                slot_moves.advance_moves(vm_controller, leased)
                for leased in leased_upstreams
            ),
            planner.plan_service_once(vm_controller, SERVICE)
            if SERVICE in vm_controller.replica.config.service_by_name
            else membership.send_heartbeats(vm_controller),
        ]

    async def run_controller(self, number: int) -> None:
        """Run each periodic job of a controller once."""
        for job in self.make_periodic_jobs(number):
            await self.run_job(job)

    async def run_all_controllers(
        self, times: int = 1, step_ms: int = 100
    ) -> None:
        """Run the jobs of all controllers, then advance the time; repeat."""
        for _ in range(times):
            for number in range(len(self.controllers)):
                await self.run_controller(number)
            self.advance(step_ms)

    def release_message(self, index: int = 0) -> None:
        """Let the network deliver a delayed message."""
        self.network.delayed_messages.pop(index).released.set_result(None)

    def list_owners(self, slot: int) -> list[str]:
        """List the upstreams that would execute a request for a slot now."""
        owners = []
        for name, candidate in self.upstreams.items():
            epoch = candidate.lease_holder.epoch_by_slot.get(slot)
            if epoch is None:
                continue
            refusal = holder.find_run_refusal(
                candidate.lease_holder,
                lease.SlotGrant(slot, epoch),
                candidate.now_ms(),
            )
            if refusal is None:
                owners.append(name)
        return owners

    def list_doubly_owned_slots(self) -> list[str]:
        """List the slots that more than one upstream would serve now."""
        return [
            f'slot {slot}: {owners}'
            for slot in range(SLOT_COUNT)
            if len(owners := self.list_owners(slot)) > 1
        ]

    def count_served_slots(self) -> int:
        """Count the slots that at least one upstream would serve now."""
        return sum(bool(self.list_owners(slot)) for slot in range(SLOT_COUNT))

    def close(self) -> None:
        """Cancel the tasks that still wait."""
        for task in self.tasks:
            task.cancel()
