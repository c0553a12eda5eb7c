"""A zone is evacuated and a server in it leaves as the granter stands still."""

import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import lab as lab_module  # noqa: E402

DRAIN_S = 2.0
FROZEN_S = 4.0
PERIOD_S = 0.04
ROUNDS = 2
ZONE = 'zone-b'


async def case(lab, trouble):
    say = lab.record.say
    await lab.start(gateways=4, pool=1, keyed=6)
    for name in ('k-0', 'k-1'):
        server = lab.upstreams[name]
        server.zone = ZONE
        lab.store.put('servers', name, server.entry())
    await asyncio.sleep(6)  # longer than `stableWindow`
    server = lab.upstreams['k-0']
    broken = 0
    for number in range(ROUNDS):
        leader = lab.find_leader()
        others = [g for g in lab.gateways if g is not leader]
        held = [key for key in range(0, 65536, 64) if server.holds_key(key)]
        say(f'round {number}: {leader.name} leads, k-0 holds about '
            f'{len(held) * 64} keys')
        if not held:
            raise RuntimeError('k-0 holds no keys')
        if trouble:
            leader.kill(signal.SIGSTOP)
            say(f'{leader.name} stands still')
            await asyncio.sleep(0.02)
        lab.store.put('evacuations', ZONE, {})
        await asyncio.sleep(0.03)
        lab.store.put('servers', 'k-0', server.entry('draining'))
        acked = time.monotonic()
        say(f'{ZONE} is evacuated, and k-0 is draining')
        late = []

        async def send(gateway, count):
            sent = time.monotonic()
            answer = await lab.call(gateway, 'POST', '/issue/x', b'i' * 50,
                                    key=held[count % len(held)])
            for name, at, *_ in lab.runs_of(answer.id):
                if name == 'k-0':
                    lab.record.file.write(
                        f'{sent - acked:7.3f} s after the acknowledgement '
                        f'{gateway.name} {answer.id} run by k-0\n')
                    if sent - acked > DRAIN_S:
                        late.append((sent - acked, gateway.name, answer.id))

        tasks = []
        count = 0
        while time.monotonic() < acked + FROZEN_S - 0.05:
            for gateway in others:
                tasks.append(asyncio.ensure_future(send(gateway, count)))
                count += 7
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*tasks)
        leader.kill(signal.SIGCONT)
        for sent, name, request_id in late:
            say(f'{request_id}: sent {sent:.3f} s after the acknowledgement '
                f'to {name}, in touch, and run by k-0')
        broken += len(late)
        await asyncio.sleep(2)
        lab.store.remove('evacuations', ZONE)
        server.born = time.time_ns() // 1_000_000
        server.holds.clear()
        lab.store.put('servers', 'k-0', server.entry())
        await asyncio.sleep(9)
    say(f'{broken} requests reached a draining server later than `drain`')
    return not broken


lab_module.main(case, HERE)
