"""The store turns two of six gateways away, the leading one among them.

Right after that the configuration changes. Four gateways are in touch.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import lab as lab_module  # noqa: E402

CONFIG_APPLY_S = 2.0
CUT_S = 5.0
PERIOD_S = 0.05
ROUNDS = 3


async def case(lab, trouble):
    say = lab.record.say
    await lab.start(gateways=6, pool=2, keyed=2)
    await lab.add_upstream('q-0', 'second', False)
    lab.extra_services.append('second')
    moved = next(r for r in lab.routes if r['name'] == 'order')
    lab.put_config()
    await asyncio.sleep(5)  # longer than `stableWindow`
    broken = 0
    for number in range(ROUNDS):
        leader = lab.find_leader()
        second, *others = [g for g in lab.gateways if g is not leader]
        # The cut comes right after the leader has read its record.
        if trouble:
            seen = asyncio.get_running_loop().create_future()

            def watch_request(piece, seen=seen, link=leader.link):
                if b'/objects/lentilgauge-ownership ' in piece[:60]:
                    link.on_reply = lambda: (seen.done()
                                             or seen.set_result(None))

            leader.link.on_request = watch_request
            await seen
            await asyncio.sleep(0.02)
            leader.link.silent = True
            second.link.silent = True
            say(f'round {number}: the store answers {leader.name}, which '
                f'leads, and {second.name} no more')
            await asyncio.sleep(0.03)
        old, new = moved['service'], ('second' if moved['service'] == 'pool'
                                      else 'pool')
        moved['service'] = new
        lab.put_config()
        acked = time.monotonic()
        say(f'version {lab.version}: /order/ goes to {new}')
        late = []

        async def send(gateway):
            sent = time.monotonic()
            answer = await lab.call(gateway, 'POST', '/order/x', b'o' * 50)
            for name, *_ in lab.runs_of(answer.id):
                service = lab.upstreams[name].service
                lab.record.file.write(
                    f'{sent - acked:7.3f} s after the acknowledgement '
                    f'{gateway.name} {answer.id} run by {service}\n')
                if service == old and sent - acked > CONFIG_APPLY_S:
                    late.append((sent - acked, gateway.name, answer.id))

        tasks = []
        while time.monotonic() < acked + CUT_S - 0.05:
            tasks += [asyncio.ensure_future(send(g)) for g in others]
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*tasks)
        leader.link.on_request = lambda piece: None
        for gateway in (leader, second):
            gateway.link.silent = False
            for writer in tuple(gateway.link.writers):
                writer.transport.abort()
        for sent, name, request_id in late:
            say(f'{request_id}: sent {sent:.3f} s after the acknowledgement '
                f'to {name}, in touch, and run by {old}')
        broken += len(late)
        await asyncio.sleep(5)
    say(f'{broken} requests handled as only an older version allows')
    return not broken


lab_module.main(case, HERE)
