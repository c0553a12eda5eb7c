"""The granter is cut off from the store while others are being stopped."""

import asyncio
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins-3'))

import deployment  # noqa: E402
import store_proxy  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
GATEWAYS = 4
SERVERS = 4
ROUNDS = 7
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
#: The pause between two stops, as on the days of the site.
GAP_S = 1.3
#: How long the cut lasts, within the site's 5.5 s.
CUT_S = 4.0


def make_route(name: str) -> dict[str, object]:
    return {
        'name': name, 'host': deployment.HOST, 'pathPrefix': f'/{name}/',
        'kind': 'safe', 'timeout': '1200ms', 'targetLatency': '300ms',
        'priority': 1, 'service': 'pool', 'maxAttempts': 2,
    }


class Case:
    """State of the rounds: the deployment and one proxy for each gateway."""

    def __init__(self, record: deployment.Record, *, is_troubled: bool) -> None:
        self.bed = deployment.Deployment(record)
        self.record = record
        self.is_troubled = is_troubled
        self.proxy_by_name: dict[str, store_proxy.StoreProxy] = {}
        self.version = 1
        self.broken = 0

    def publish(self) -> str:
        """Send a version with a new route; return its name."""
        name = f'route{self.version}'
        self.bed.store.put(
            'config', 'main',
            deployment.make_configuration(
                self.version, [make_route('first'), make_route(name)]
            ),
        )
        self.record.note(f'version {self.version} acknowledged')
        self.version += 1
        return name

    async def prepare(self) -> None:
        self.publish()
        for number in range(SERVERS):
            await self.bed.add_upstream(
                deployment.Upstream(f'i-{number}', self.record, 0.05), 'pool'
            )
        for number in range(GATEWAYS):
            proxy = store_proxy.StoreProxy(self.bed.store.address)
            await proxy.start()
            name = f'front-{number}'
            self.proxy_by_name[name] = proxy
            self.bed.store_address_by_gateway[name] = proxy.address
        await self.bed.start(GATEWAYS)

    def find_granter(self) -> deployment.Gateway | None:
        """Return the gateway that watches the store, if it is just one."""
        watching = [
            gateway
            for gateway in self.bed.gateways
            if self.proxy_by_name[gateway.name].watches('config')
        ]
        return watching[0] if len(watching) == 1 else None

    def stop(self, gateway: deployment.Gateway) -> None:
        self.record.note(f'{gateway.name} gets SIGTERM')
        gateway.process.send_signal(signal.SIGTERM)

    async def play(self) -> bool:
        """Play one round; return whether it could be played."""
        granter = self.find_granter()
        if granter is None:
            self.record.note('no single gateway watches the store')
            return False
        others = [each for each in self.bed.gateways if each is not granter]
        *stopped, calm = others
        self.record.note(f'granter {granter.name}, calm {calm.name}')
        self.stop(stopped[0])
        await asyncio.sleep(GAP_S)
        self.stop(stopped[1])
        proxy = self.proxy_by_name[granter.name]
        # The cut comes just after a call of the granter, so that the next one
        # doesn't show it at once.
        proxy.called.clear()
        await asyncio.wait_for(proxy.called.wait(), 5)
        await asyncio.sleep(0.05)
        if self.is_troubled:
            self.record.note(f'{granter.name} is cut off from the store')
            proxy.cut()
        await asyncio.sleep(0.05)
        name = self.publish()
        acknowledged_at = deployment.now()
        await self.ask(calm, name, acknowledged_at)
        proxy.heal()
        for gateway in stopped:
            await gateway.process.wait()
            await self.bed.start_gateway(gateway)
        await asyncio.sleep(STABLE_WINDOW_S + 3)
        return True

    async def ask(
        self,
        gateway: deployment.Gateway,
        name: str,
        acknowledged_at: float,
    ) -> None:
        """Ask the calm gateway for the new route until the cut ends."""
        number = 0
        while deployment.now() < acknowledged_at + CUT_S:
            await asyncio.sleep(0.05)
            sent_at = deployment.now() - acknowledged_at
            reader, writer = await asyncio.open_connection(*gateway.front)
            request_id = f'{name}-{number}'
            writer.write(
                deployment.make_request(f'/{name}/x', request_id, 1200)
            )
            status, _ = await asyncio.wait_for(
                deployment.read_answer(reader), 5
            )
            writer.close()
            number += 1
            if status == 404:
                self.record.note(
                    f'{gateway.name} answers {request_id} with 404, '
                    f'sent {sent_at:.2f} s after the acknowledgement'
                )
                self.broken += sent_at > CONFIG_APPLY_S


async def run_case() -> int:
    record = deployment.Record(FOLDER / 'record.txt')
    case = Case(record, is_troubled=os.environ.get('TROUBLE', '1') != '0')
    try:
        await case.prepare()
        await asyncio.sleep(STABLE_WINDOW_S + 2)
        played = 0
        for _ in range(ROUNDS):
            played += await case.play()
        record.note(
            f'verdict: {case.broken} answers 404 later than configApply in '
            f'{played} rounds'
        )
        if case.broken:
            return 1
        return 0 if played == ROUNDS else 2
    finally:
        for proxy in case.proxy_by_name.values():
            proxy.close()
        await case.bed.close()


def main() -> int:
    try:
        return asyncio.run(asyncio.wait_for(run_case(), 115))
    except Exception as error:
        print(f'the case could not run: {error!r}', file=sys.stderr)
        return 2


if __name__ == '__main__':
    sys.exit(main())
