"""Clients that send safe requests ahead leave before they are answered."""

import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins-3'))

import deployment  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
CLIENTS = 40
REQUESTS_AHEAD = 4
WORK_S = 0.9
DEADLINE_MS = 3000
#: Half of the latency objective of 300 ms, as `give_up` does by default.
LEAVES_AFTER_S = 0.15
#: "More than a few".
FEW = 5


async def run_client(
    number: int,
    gateway: deployment.Gateway,
    record: deployment.Record,
    closed_at: dict[str, float],
    *,
    leaves: bool,
) -> int:
    """Send requests; each second client sends more before the first answer."""
    await asyncio.sleep(number * 0.15)
    count = REQUESTS_AHEAD if number % 2 else 1
    ids = [f'{number:02d}-{index}' for index in range(count)]
    reader, writer = await asyncio.open_connection(*gateway.front)
    writer.write(
        b''.join(
            deployment.make_request('/look/x', request_id, DEADLINE_MS)
            for request_id in ids
        )
    )
    await writer.drain()
    record.note(f'client {number} sent {" ".join(ids)}')
    answered = 0
    if leaves:
        await asyncio.sleep(LEAVES_AFTER_S)
    else:
        for request_id in ids:
            status, body = await deployment.read_answer(reader)
            record.note(f'client {number} got {status} {body!r}')
            answered += status == 200
    writer.close()
    record.note(f'client {number} closes')
    closed_at.update(dict.fromkeys(ids, deployment.now()))
    return answered


def judge(
    runs: list[dict[str, object]],
    closed_at: dict[str, float],
    record: deployment.Record,
) -> bool:
    """Return whether GONE is broken."""
    late = [
        run for run in runs if run['came'] > closed_at[run['id']] + 0.5
    ]
    lasting = [
        run
        for run in runs
        if run['came'] <= closed_at[run['id']] <= run['came'] + WORK_S - 0.5
    ]
    at_work = [
        run
        for run in lasting
        if run['ended'] is None or run['ended'] > closed_at[run['id']] + 0.5
    ]
    record.note(
        f'verdict: {len(late)} requests reached a server over 0.5 s after '
        f'their client had closed; at work 0.5 s after that: {len(at_work)} of '
        f'{len(lasting)} that would have lasted so long'
    )
    return len(late) > FEW or len(at_work) * 4 > len(lasting)


async def run_case() -> int:
    record = deployment.Record(FOLDER / 'record.txt')
    leaves = os.environ.get('TROUBLE', '1') != '0'
    bed = deployment.Deployment(record)
    try:
        route = {
            'name': 'look', 'host': deployment.HOST, 'pathPrefix': '/look/',
            'kind': 'safe', 'timeout': '3000ms', 'targetLatency': '300ms',
            'priority': 1, 'service': 'pool', 'maxAttempts': 2,
        }
        bed.store.put(
            'config', 'main', deployment.make_configuration(1, [route])
        )
        for number in range(6):
            await bed.add_upstream(
                deployment.Upstream(f'i-{number}', record, WORK_S), 'pool'
            )
        await bed.start(1)
        # The gateway is in touch from `stableWindow` after its start on.
        await asyncio.sleep(4)
        closed_at: dict[str, float] = {}
        answered = await asyncio.gather(
            *(
                run_client(
                    number, bed.gateways[0], record, closed_at, leaves=leaves
                )
                for number in range(CLIENTS)
            )
        )
        await asyncio.sleep(6)
        if bed.gateways[0].process.returncode is not None:
            return 2
        runs = [run for upstream in bed.upstreams for run in upstream.runs]
        if len(runs) < CLIENTS:
            return 2
        record.note(f'{sum(answered)} answered with 200, {len(runs)} reached')
        return int(judge(runs, closed_at, record))
    finally:
        await bed.close()


def main() -> int:
    try:
        return asyncio.run(asyncio.wait_for(run_case(), 110))
    except Exception as error:
        print(f'the case could not run: {error!r}', file=sys.stderr)
        return 2


if __name__ == '__main__':
    sys.exit(main())
