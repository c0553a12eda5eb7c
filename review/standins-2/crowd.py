"""A crowd of clients that nobody controls, as a process of its own.

`crowd.py heads ADDRESS PORT COUNT` opens connections and sends one GET request
on each, whose head has many short headers and stays within `maxHeaderBytes`.
`crowd.py readers ADDRESS PORT COUNT` sends safe requests on each connection and
reads none of the answers. Both then keep the connections open until they are
ended, and print what they have sent.

`crowd.py paths ADDRESS PORT COUNT` sends requests whose path has many slashes,
the next one on a connection when the last is answered or the connection closed.
`plain` does the same with heads of the same length and an ordinary path.
"""

import asyncio
import socket
import sys

HEAD_BYTES = 16_300
REQUESTS_EACH = 24
RECEIVE_BUFFER = 4096


def make_head(number, path, key):
    """Make a request whose head has as many headers as fit in the limit."""
    lines = [
        f'GET {path} HTTP/1.1',
        'Host: a.example',
        f'X-Lentilgauge-Request-Id: crowd-{number}',
        'X-Lentilgauge-Deadline-Ms: 1500',
        f'X-Lentilgauge-Shard-Key: {key}',
    ]
    size = sum(len(line) + 2 for line in lines) + 2
    index = 0
    while True:
        line = f'{index:x}:'
        if size + len(line) + 2 > HEAD_BYTES:
            break
        lines.append(line)
        size += len(line) + 2
        index += 1
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()


def make_requests(number):
    """Make the safe requests that one client sends, one after the other."""
    return b''.join(
        (
            f'GET /read/large HTTP/1.1\r\nHost: a.example\r\n'
            f'X-Lentilgauge-Request-Id: crowd-{number}-{index}\r\n'
            f'X-Lentilgauge-Deadline-Ms: 1500\r\n'
            f'X-Lentilgauge-Shard-Key: {(number * 7919 + index * 104729) % 65536}'
            '\r\n\r\n'
        ).encode()
        for index in range(REQUESTS_EACH)
    )


async def run(mode, address, port, count):
    loop = asyncio.get_running_loop()
    connections = []
    failed = 0
    for number in range(count):
        connection = socket.socket()
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER
        )
        connections.append(connection)
        try:
            async with asyncio.timeout(10):
                await loop.sock_connect(connection, (address, port))
                if mode == 'readers':
                    await loop.sock_sendall(connection, make_requests(number))
                    # So that the backends run them, and none is turned away.
                    await asyncio.sleep(0.014)
        except (OSError, TimeoutError):
            failed += 1
    if mode == 'heads':
        for number, connection in enumerate(connections):
            head = make_head(number, '/read/x', number * 41 % 65536)
            try:
                async with asyncio.timeout(10):
                    await loop.sock_sendall(connection, head)
            except (OSError, TimeoutError):
                failed += 1
    print(f'sent on {count} connections, {failed} failed', flush=True)
    await asyncio.sleep(120)


def make_long_request(number, mode):
    """Make a request for no route whose head is as long as is allowed.

    With the mode `paths` that is by the slashes of its path, and with `plain`
    by one long header.
    """
    tail = (
        f' HTTP/1.1\r\nHost: a.example\r\n'
        f'X-Lentilgauge-Request-Id: crowd-{number}\r\n'
        f'X-Lentilgauge-Deadline-Ms: 1500\r\n'
        f'X-Lentilgauge-Shard-Key: {number % 65536}\r\n'
    )
    rest = HEAD_BYTES - len(tail) - len('GET /none\r\n')
    if mode == 'paths':
        return f'GET /none{"/" * rest}{tail}\r\n'.encode()
    return f'GET /none/x{tail}X-Long: {"/" * (rest - 12)}\r\n\r\n'.encode()


async def repeat(mode, address, port, number, count):
    """Send requests one after the other, as a client without any patience."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(address, port)
            try:
                while True:
                    writer.write(make_long_request(number, mode))
                    head = await reader.readuntil(b'\r\n\r\n')
                    for line in head.lower().split(b'\r\n'):
                        if line.startswith(b'content-length:'):
                            await reader.readexactly(int(line[15:]))
                    number += count
            finally:
                writer.close()
        except (OSError, EOFError):
            await asyncio.sleep(0.2)


async def run_long(mode, address, port, count):
    print('begun', flush=True)
    await asyncio.gather(
        *(repeat(mode, address, port, number, count) for number in range(count))
    )


if __name__ == '__main__':
    place = (sys.argv[2], int(sys.argv[3]), int(sys.argv[4]))
    if sys.argv[1] in {'paths', 'plain'}:
        asyncio.run(run_long(sys.argv[1], *place))
    else:
        asyncio.run(run(sys.argv[1], *place))
