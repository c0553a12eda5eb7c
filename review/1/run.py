"""One odd entry among those of the servers, and steady traffic at 3 gateways."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins'))

import lab as lab_module  # noqa: E402

VALUE_BYTES = 1_048_576
TIMEOUT_S = 1.0
LATE_S = 0.5
PERIOD_S = 0.1
RUN_S = 25


def make_odd_text():
    """An entry that is nested very deeply, within the store's `valueBytes`."""
    depth = (VALUE_BYTES - 4096) // 2
    return b'[' * depth + b']' * depth


async def case(lab, trouble):
    say = lab.record.say
    for route in lab.routes:
        route['timeout'] = f'{TIMEOUT_S}s'
    await lab.start(gateways=3, pool=3, keyed=3)
    await asyncio.sleep(4)  # longer than `stableWindow`
    results = []

    async def send(gateway, number):
        sent = time.monotonic()
        target, key = ('/find/a', None) if number % 2 else ('/case/b', 777)
        answer = await lab.call(gateway, 'GET', target, deadline_ms=3000,
                                key=key)
        results.append((sent, gateway.name, target, answer.status, answer.end,
                        time.monotonic() - sent))

    async def drive(gateway):
        tasks = []
        for number in range(int(RUN_S / PERIOD_S)):
            tasks.append(asyncio.ensure_future(send(gateway, number)))
            await asyncio.sleep(PERIOD_S)
        await asyncio.gather(*tasks)

    drivers = [asyncio.ensure_future(drive(g)) for g in lab.gateways]
    await asyncio.sleep(2)
    entry_s = time.monotonic()
    if trouble:
        text = make_odd_text()
        say(f'another writer leaves servers/odd, {len(text)} bytes')
        lab.store.put_raw('servers', 'odd', text)
    else:
        say('another writer leaves servers/odd, a few bytes')
        lab.store.put_raw('servers', 'odd', b'[]')
    await asyncio.gather(*drivers)
    broken = False
    for gateway in lab.gateways:
        mine = sorted(r for r in results if r[1] == gateway.name)
        for sent, name, target, status, end, took in mine:
            lab.record.file.write(f'{sent - entry_s:8.3f} {name} {target} '
                                  f'{status} {end} after {took:.3f}\n')
    after = [r for r in results if r[0] > entry_s]
    open_at_timeout = [r for r in after if r[5] > TIMEOUT_S]
    late = [r for r in open_at_timeout if r[5] > TIMEOUT_S + LATE_S]
    served = [r for r in after if r[3] == 200]
    say(f'{len(after)} requests after the entry, {len(served)} served, '
        f'{len(open_at_timeout)} unanswered at their route\'s timeout, '
        f'{len(late)} of these half a second later')
    alive = [g.process.returncode is None for g in lab.gateways]
    say(f'processes alive: {alive}')
    for gateway in lab.gateways:
        times = [r[0] - entry_s for r in late if r[1] == gateway.name]
        if times:
            say(f'{gateway.name}: late requests sent from {min(times):.1f} s to '
                f'{max(times):.1f} s after the entry')
    # CONFIG, with a floor of eight so that single stragglers don't count.
    return not (len(late) >= 8 and len(late) * 2 > len(open_at_timeout))


lab_module.main(case, HERE)
