"""Drive real controllers against stand-ins without sockets or waits.

Every message goes through `Network.fetch`, which can drop it, lose its
answer, or hold it back; time only passes when a test says so.
"""

import asyncio
import random
import types
from urllib import parse as url_parse

from returns import result
from tornado import httputil

from lentilgauge import metrics, settings
from lentilgauge.contracts import holder, lease, once, witness
from lentilgauge.links import (
    http_client,
    http_server,
    platform,
    platform_messages,
)
from lentilgauge.operators import endpoint
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
    terms,
    witnesses,
)

SERVICE = 'cases'
SLOTS = 4
PLATFORM = 'platform'
_TURNS = 120


class Held:
    """Hold a message back until it is let through."""

    def __init__(self, *, target: str) -> None:
        """Start held."""
        self.target = target
        self.passed = asyncio.get_running_loop().create_future()


class Network:
    """Carry messages between nodes by their port."""

    def __init__(self) -> None:
        """Start with nobody listening."""
        self.routes_by_name: dict[str, http_server.Routes] = {}
        self.cut: set[tuple[str, str]] = set()
        self.lose_answers: set[str] = set()
        self.hold_for: set[str] = set()
        self.held: list[Held] = []

    async def carry(
        self,
        source: str,
        call: http_client.Call,
    ) -> http_client.CallResult:
        """Carry one message and its answer."""
        parts = url_parse.urlsplit(call.url)
        target = str(parts.hostname)
        if (source, target) in self.cut or target not in self.routes_by_name:
            return result.Failure(http_client.LinkFailure.NOT_CONNECTED)
        if target in self.hold_for and source != target:
            self.hold_for.discard(target)
            message = Held(target=target)
            self.held.append(message)
            await message.passed
        routes = self.routes_by_name.get(target)
        if routes is None:
            return result.Failure(http_client.LinkFailure.BROKEN)
        response = await http_server.make_response(
            routes,
            http_server.Request(
                method=call.method,
                path=url_parse.unquote(parts.path),
                text_by_parameter=dict(url_parse.parse_qsl(parts.query)),
                headers=httputil.HTTPHeaders(),
                body=call.body or b'',
            ),
        )
        if target in self.lose_answers:
            self.lose_answers.discard(target)
            return result.Failure(http_client.LinkFailure.BROKEN)
        if (target, source) in self.cut:
            return result.Failure(http_client.LinkFailure.TIMED_OUT)
        return result.Success(
            http_client.Reply(
                status=response.status,
                headers=httputil.HTTPHeaders(),
                body=response.body,
            ),
        )


def make_client(network: Network, name: str) -> http_client.Client:
    """Make the client through which a node sends over the network."""

    async def send(call: http_client.Call) -> http_client.CallResult:
        return await network.carry(name, call)

    return http_client.Client(send=send)


def name_upstream(number: int) -> str:
    """Name an upstream by its address."""
    return f'10.0.1.{number + 1}'


class Node:
    """Hold a node's clock, which may run fast or slow."""

    def __init__(self, *, world: 'World', drift_per_mille: int) -> None:
        """Start with a drift."""
        self.world = world
        self.drift = 1 + drift_per_mille / 1000

    def now_ms(self) -> int:
        """Read this node's clock."""
        return int(self.world.time_ms * self.drift)


class World:
    """Hold a platform, controllers and upstreams that share a network."""

    def __init__(self, *, controllers: int, upstreams: int) -> None:
        """Start everything with no configuration in the store."""
        self.time_ms = 1_000_000
        self.network = Network()
        self.store = store.Store()
        self.network.routes_by_name[PLATFORM] = (
            platform_server.make_object_routes(self.store)
        )
        self.controllers = [
            self.make_controller(f'10.0.0.{number + 1}', number)
            for number in range(controllers)
        ]
        self.upstreams: dict[str, upstream.Upstream] = {}
        self.generation = 0
        for number in range(upstreams):
            self.start_upstream(name_upstream(number))
        self.tasks: set[asyncio.Task[object]] = set()

    def make_controller(self, name: str, number: int) -> controller.Controller:
        """Make a controller of a VM."""
        client = make_client(self.network, name)
        node = Node(world=self, drift_per_mille=number % 3 - 1)
        made = controller.Controller(
            vm=settings.VmSettings(
                id=name,
                failure_domain=f'domain-{number % 3}',
                address=name,
            ),
            section=settings.ControllerSettings(port=1),
            platform=platform.Platform(
                client=client,
                base_url=f'http://{PLATFORM}:1',
                timeout_ms=1000,
            ),
            client=client,
            replica=replica.Replica(),
            metrics=metrics.Metrics(),
            now_ms=node.now_ms,
            incarnation=f'{name}#0',
            witness=witness.Witness(),
            once=once.Registry(),
            random=random.Random(number),
        )
        self.network.routes_by_name[name] = endpoint.make_relay_routes(made)
        return made

    def restart_controller(self, number: int) -> None:
        """Replace a controller; what the old one waits for can still come."""
        name = self.controllers[number].vm_id
        made = self.make_controller(name, number)
        self.generation += 1
        made.incarnation = f'{name}#{self.generation}'
        self.controllers[number] = made

    def start_upstream(self, name: str) -> None:
        """Start an upstream, or replace it with one that knows nothing."""
        self.generation += 1
        node = Node(world=self, drift_per_mille=self.generation % 3 - 1)
        made = upstream.make_upstream(
            upstream.Shape(
                upstream_id=name,
                concurrency=2,
                queue_limit=2,
                service_ms=0,
                checks_tokens=True,
                cold_factor=1,
                warm_after=0,
            ),
            incarnation=f'{name}#{self.generation}',
            seed=1,
            journal_path='',
            now_ms=node.now_ms,
        )
        self.upstreams[name] = made
        self.network.routes_by_name[name] = upstream_server.make_control_routes(
            made
        )

    async def configure(self) -> None:
        """Put a configuration into the store."""
        model = configuration.ConfigurationModel.model_validate(
            {
                'services': {SERVICE: {'slots': SLOTS}},
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
                body=model.model_dump(mode='json'),
            ),
        )

    async def turn(self, job: asyncio.Task | None = None) -> None:
        """Let everything run that isn't waiting for time or a message."""
        for _ in range(_TURNS):
            await asyncio.sleep(0)
            if job is not None and job.done():
                return

    async def run(self, job: types.CoroutineType) -> None:
        """Run a job until it is done or waits for a held message."""
        task = asyncio.ensure_future(job)
        self.tasks.add(task)
        await self.turn(task)
        for ended in [one for one in self.tasks if one.done()]:
            self.tasks.discard(ended)
            ended.result()

    def advance(self, span_ms: int) -> None:
        """Let time pass."""
        self.time_ms += span_ms

    def list_jobs(self, number: int) -> list[types.CoroutineType]:
        """List the jobs that a controller does all the time, in order."""
        made = self.controllers[number]
        held = [
            made.replica.config.upstream_by_id[name]
            for name in list(made.lessor_by_upstream)
            if terms.find_held(made, name) is not None
            and SERVICE in made.replica.slot_map_by_service
        ]
        return [
            platform_watch.follow_once(made, 0),
            peer_relay.ask_peers(made),
            witnesses.ask_witnesses(made),
            membership.announce_if_needed(made),
            membership.check_peers(made),
            terms.take_missing_terms(made),
            terms.settle_held_terms(made),
            *(renewals.keep_once(made, one) for one in held),
            planner.plan_service(made, SERVICE)
            if SERVICE in made.replica.config.service_by_name
            else membership.check_peers(made),
        ]

    async def tick(self, number: int) -> None:
        """Let a controller do all its jobs once."""
        for job in self.list_jobs(number):
            await self.run(job)

    async def tick_all(self, times: int = 1, span_ms: int = 100) -> None:
        """Let all controllers work and time pass, some times over."""
        for _ in range(times):
            for number in range(len(self.controllers)):
                await self.tick(number)
            self.advance(span_ms)

    def release_held(self, index: int = 0) -> None:
        """Let a held message through."""
        self.network.held.pop(index).passed.set_result(None)

    def list_owners(self, slot: int) -> list[str]:
        """List the upstreams that would run a request of a slot now."""
        owners = []
        for name, made in self.upstreams.items():
            epoch = made.held.epoch_by_slot.get(slot)
            if epoch is None:
                continue
            refusal = holder.find_run_refusal(
                made.held,
                lease.SlotGrant(slot, epoch),
                made.now_ms(),
            )
            if refusal is None:
                owners.append(name)
        return owners

    def find_double(self) -> list[str]:
        """Find the slots that two upstreams would serve now."""
        return [
            f'slot {slot}: {owners}'
            for slot in range(SLOTS)
            if len(owners := self.list_owners(slot)) > 1
        ]

    def count_served(self) -> int:
        """Count the slots that some upstream serves now."""
        return sum(bool(self.list_owners(slot)) for slot in range(SLOTS))

    def close(self) -> None:
        """Drop whatever still waits."""
        for task in self.tasks:
            task.cancel()
