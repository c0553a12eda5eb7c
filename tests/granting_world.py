"""Play gateways' real granting over a store and upstreams held in memory.

Messages take time, are lost or carried out late; VMs are cut off, frozen or
killed; upstreams die and come back; the store goes away for some or for all.
"""

import asyncio
import dataclasses
import itertools
import random

from returns import result
from tornado import httputil

from lentilgauge import metrics
from lentilgauge.links import (
    http_client,
    http_server,
    peer_link,
    store_link,
    upstream_link,
)
from lentilgauge.services import key_ranges, routes
from lentilgauge.upstreams import roster, upstream_load
from lentilgauge.vms import beliefs, following, gateway, peer_routes
from tests import (
    gateway_parts,
    granting_store,
    granting_upstreams,
    virtual_time,
)


@dataclasses.dataclass(slots=True, kw_only=True)
class ModelVm:
    """Hold a VM's gateway, or that it is down."""

    gateway: gateway.Gateway
    routes: http_server.Routes
    job: asyncio.Task[None]


class World:
    """Hold VMs, upstreams and the store, and check what must hold."""

    def __init__(
        self,
        loop: virtual_time.VirtualLoop,
        seed: int,
        vms: int = 4,
        upstreams: int = 6,
    ) -> None:
        """Start the upstreams; VMs are started one by one."""
        self.loop = loop
        self.random = random.Random(seed)
        self.store = granting_store.ModelStore(self)
        self.upstream_by_name: dict[str, granting_upstreams.ModelUpstream] = {}
        self.last_fence_by_key: dict[int, tuple[str, int]] = {}
        self.violations: list[str] = []
        self.granters: list[str] = []
        self.vm_by_name: dict[str, ModelVm] = {}
        self.cuts: set[tuple[str, str]] = set()
        self.late: float = 0
        self.lives = 0
        self.revision_by_upstream: dict[str, int] = {}
        for number in range(upstreams):
            self.start_upstream(f'u{number}')
        self.names = [f'vm{number}' for number in range(vms)]

    def now_ms(self) -> int:
        """Read the time."""
        return self.loop.read_ms()

    def later(self, seconds: float, action: object, *given: object) -> None:
        """Do something later."""
        assert callable(action)
        self.loop.call_later(seconds, action, *given)

    def start_upstream(self, name: str) -> None:
        """Start an upstream, anew if it was there before."""
        self.lives += 1
        self.upstream_by_name[name] = granting_upstreams.ModelUpstream(
            self, name, self.lives
        )
        self.note_listing(name)

    def kill_upstream(self, name: str, *, listed: bool) -> None:
        """Let an upstream fall silent; its entry may stay for a while."""
        upstream = self.upstream_by_name[name]
        upstream.alive = False
        upstream.listed = listed
        self.note_listing(name)

    def note_listing(self, name: str) -> None:
        """Let the store number a change of an entry."""
        self.store.revision += 1
        self.revision_by_upstream[name] = self.store.revision

    def list_documents(
        self,
        topic: store_link.Topic,
    ) -> dict[str, store_link.Document]:
        """List a topic's objects."""
        if topic is store_link.Topic.CONFIGURATION:
            return {
                'main': store_link.Document(name='main', revision=1, body=1)
            }
        if topic is store_link.Topic.EVACUATIONS:
            return {}
        return {
            name: store_link.Document(
                name=name,
                revision=self.revision_by_upstream[name],
                body=upstream.life,
            )
            for name, upstream in self.upstream_by_name.items()
            if upstream.listed
        }

    def read_upstream(
        self,
        document: store_link.Document,
        _: int,
    ) -> roster.Upstream | None:
        """Read an entry."""
        upstream = self.upstream_by_name[document.name]
        return dataclasses.replace(upstream.entry(), life=document.body)

    def start_vm(self, name: str) -> None:
        """Start a VM's process."""
        made = self.make_gateway(name)
        self.vm_by_name[name] = ModelVm(
            gateway=made,
            routes=peer_routes.make_peer_routes(made),
            job=asyncio.ensure_future(following.run_membership(made)),
        )

    def kill_vm(self, name: str) -> None:
        """End a VM's process at once."""
        vm = self.vm_by_name.pop(name, None)
        if vm is not None:
            vm.job.cancel()

    def make_gateway(self, name: str) -> gateway.Gateway:
        """Make a gateway whose messages go over this world."""
        self.lives += 1

        async def send(call: http_client.Call) -> http_client.CallResult:
            return await self.carry(name, call)

        return gateway.Gateway(
            me=peer_link.Peer(
                vm=name,
                address=name,
                failure_domain='d',
                incarnation=f'{name}/{self.lives}',
            ),
            seeds=('vm0', 'vm1'),
            first_start=True,
            bounds=gateway_parts.BOUNDS,
            beliefs=beliefs.make_beliefs(
                beliefs.Decoders(
                    read_configuration=lambda _: make_configuration(),
                    read_upstream=self.read_upstream,
                ),
                self.now_ms,
            ),
            store=self.store.make_link(name),
            upstreams=upstream_link.UpstreamLink(
                send_attempt=refuse_attempt,
                grant_keys=lambda order: self.order(name, order, grant=True),
                release_keys=lambda order: self.order(
                    name,
                    order,
                    grant=False,
                ),
            ),
            client=http_client.Client(send=send),
            metrics=metrics.Metrics(),
            now_ms=self.now_ms,
            random=random.Random(self.random.random()),
            loads=upstream_load.Loads(failure_domain='d'),
        )

    async def carry(
        self,
        source: str,
        call: http_client.Call,
    ) -> http_client.CallResult:
        """Carry a message between VMs."""
        address, _, path = call.url.removeprefix('http://').partition('/')
        await asyncio.sleep(self.random.uniform(0.0005, 0.003))
        if (source, address) in self.cuts:
            await asyncio.sleep(call.timeout_ms / 1000)
            return result.Failure(http_client.LinkFailure.NOT_REACHED)
        vm = self.vm_by_name.get(address)
        if vm is None:
            return result.Failure(http_client.LinkFailure.NOT_CONNECTED)
        request = http_server.Request(
            method=call.method,
            path=f'/{path}',
            text_by_parameter={},
            headers=httputil.HTTPHeaders(),
            body=call.body or b'',
        )
        try:
            response = await asyncio.wait_for(
                http_server.make_response(vm.routes, request),
                call.timeout_ms / 1000,
            )
        except TimeoutError:
            return result.Failure(http_client.LinkFailure.TIMED_OUT)
        if self.vm_by_name.get(address) is not vm:
            return result.Failure(http_client.LinkFailure.BROKEN)
        return result.Success(
            http_client.Reply(
                status=response.status,
                headers=httputil.HTTPHeaders(),
                body=response.body,
            ),
        )

    async def order(
        self,
        source: str,
        order: upstream_link.KeyOrder,
        *,
        grant: bool,
    ) -> upstream_link.KeyReply:
        """Carry an order to an upstream, perhaps late and unanswered."""
        await asyncio.sleep(self.random.uniform(0.0005, 0.003))
        silent = upstream_link.KeyReply(
            answer=upstream_link.GrantAnswer.SILENT,
        )
        upstream = self.upstream_by_name[order.upstream.id]
        if (source, upstream.name) in self.cuts or not upstream.alive:
            await asyncio.sleep(order.timeout_ms / 1000)
            return silent
        arrived_ms = self.now_ms()
        if self.random.random() < self.late:
            self.later(
                self.random.uniform(2, 12),
                self.carry_out,
                upstream,
                order,
                arrived_ms,
                grant,
            )
            await asyncio.sleep(order.timeout_ms / 1000)
            return silent
        answer = self.carry_out(upstream, order, arrived_ms, grant)
        await asyncio.sleep(self.random.uniform(0.0005, 0.003))
        if source not in self.vm_by_name:
            await asyncio.sleep(3600)
        return upstream_link.KeyReply(answer=answer, handover='h')

    def carry_out(
        self,
        upstream: granting_upstreams.ModelUpstream,
        order: upstream_link.KeyOrder,
        arrived_ms: int,
        grant: bool,
    ) -> upstream_link.GrantAnswer:
        """Let an upstream act on an order."""
        if not upstream.alive:
            return upstream_link.GrantAnswer.SILENT
        if grant:
            return upstream.grant(order, arrived_ms)
        upstream.release(order)
        return upstream_link.GrantAnswer.ACCEPTED

    def check_fence(self, name: str, order: upstream_link.KeyOrder) -> None:
        """Check that keys come to another upstream under a higher token."""
        for key in (order.start, order.end):
            holder, fence = self.last_fence_by_key.get(key, ('', 0))
            if holder not in {'', name} and order.fence <= fence:
                self.violations.append(f'token of {key} falls to {order.fence}')
            if order.fence >= fence:
                self.last_fence_by_key[key] = (name, order.fence)

    def check_holds(self) -> None:
        """Check that no key has two holders."""
        held = sorted(
            (one.start, one.end, upstream.name)
            for upstream in self.upstream_by_name.values()
            for one in upstream.live_holds()
        )
        for before, after in itertools.pairwise(held):
            if after[0] <= before[1]:
                self.violations.append(f'two holders: {before} {after}')

    def count_held(self) -> int:
        """Count the keys that have a holder."""
        return sum(
            one.end - one.start + 1
            for upstream in self.upstream_by_name.values()
            for one in upstream.live_holds()
        )

    async def wait_until_all_held(self, seconds: float) -> bool:
        """Wait until every key has a holder; tell whether that came about."""
        for _ in range(int(seconds * 20)):
            if self.count_held() == key_ranges.KEY_COUNT:
                return True
            await asyncio.sleep(0.05)
        return False


async def refuse_attempt(
    _: upstream_link.Attempt,
) -> upstream_link.Outcome:
    """Stand for requests, which this world has none of."""
    raise AssertionError('no request is sent')


def make_configuration() -> routes.Configuration:
    """Make a configuration with one keyed service."""
    return routes.Configuration(
        version=1,
        route_by_place={},
        service_by_name={
            granting_upstreams.SERVICE: routes.Service(
                name=granting_upstreams.SERVICE,
                keyed=True,
                health_path='',
                most_connections=10,
                cold_per_second=5,
            ),
        },
        idle_timeout_ms=1,
        header_timeout_ms=1,
        most_body_bytes=1,
        most_header_bytes=1,
    )


def find_granters(world: World) -> list[str]:
    """List the VMs that hold themselves for the granter."""
    return [name for name, vm in world.vm_by_name.items() if vm.gateway.grants]
