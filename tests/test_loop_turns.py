"""Tests of the turns in which long work of callers is done."""

import asyncio
import functools
import socket
import unittest
from collections.abc import Awaitable, Callable

from tornado import iostream

from lentilgauge.callers import caller_hangups, caller_stream, loop_turns

_STREAMS = 50
_CHUNK = b'1\r\n'
#: More than one connection may read before others have run.
_CHUNKS = 1000
_LONG_HEAD = b'%s\r\n' % (b'a:\r\n' * 2000)
_SHORT_HEAD = b'GET / HTTP/1.1\r\nHost: a\r\n\r\n'
_HEAD_END = b'\r\n\r\n'
_SINGLE_BYTES = 200


class CountedStream(caller_stream.CallerStream):
    """Connection whose reads the test counts."""

    test: 'LoopTurnsTest'

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read what has arrived."""
        count = super().read_from_fd(buf)
        if count:
            self.test.count += 1
        return count


class LoopTurnsTest(unittest.IsolatedAsyncioTestCase):
    """Connections that share the turns of one loop."""

    async def asyncSetUp(self) -> None:
        """Start without connections."""
        self.turns = loop_turns.Turns()
        self.count = 0
        self.counts: list[int] = []

    def connect(self, sent: bytes) -> caller_stream.CallerStream:
        """Make a connection on which bytes have arrived."""
        ours, theirs = socket.socketpair()
        self.addCleanup(theirs.close)
        theirs.sendall(sent)
        stream = caller_stream.CallerStream(
            ours,
            turns=self.turns,
            hangups=caller_hangups.HangupWatch(),
            ending=caller_stream.Ending(),
            read_chunk_size=65_536,
        )
        self.addCleanup(stream.close)
        return stream

    async def read_often(
        self, read: Callable[[], Awaitable[bytes]], times: int
    ) -> None:
        """Read several times and count."""
        for _ in range(times):
            await read()
            self.count += 1

    async def watch_rounds(self) -> None:
        """Note how much was read in each round of the loop."""
        while True:
            before = self.count
            await asyncio.sleep(0)
            self.counts.append(self.count - before)

    async def drip(self, peers: list[socket.socket]) -> None:
        """Send bytes one by one on all connections, one in each round."""
        for _ in range(_SINGLE_BYTES):
            for peer in peers:
                peer.send(b'a')
            await asyncio.sleep(0)

    async def run_all(
        self, reads: list[Callable[[], Awaitable[bytes]]], times: int
    ) -> None:
        """Read on all connections at once, and watch the rounds."""
        watching = asyncio.ensure_future(self.watch_rounds())
        await asyncio.gather(*(self.read_often(read, times) for read in reads))
        watching.cancel()

    async def test_tiny_chunks_leave_the_loop_to_others(self) -> None:
        """Guard against rounds that take the longer the more connections."""
        reads = [
            functools.partial(
                self.connect(_CHUNK * _CHUNKS).read_until, b'\r\n', 64
            )
            for _ in range(_STREAMS)
        ]
        await self.run_all(reads, _CHUNKS)
        self.assertEqual(self.count, _STREAMS * _CHUNKS)
        # Besides the first chunks of each, which wait for no turn.
        most = loop_turns.UNITS_PER_ROUND * loop_turns.FRAMES_PER_TURN
        self.assertLessEqual(max(self.counts[3:]), most)

    async def test_one_long_head_in_a_round(self) -> None:
        """Guard against long heads that are all parsed in one round."""
        reads = [
            functools.partial(
                self.connect(_LONG_HEAD).read_until_regex, _HEAD_END
            )
            for _ in range(_STREAMS)
        ]
        await self.run_all(reads, 1)
        self.assertEqual(self.count, _STREAMS)
        self.assertEqual(max(self.counts), 1)

    async def test_single_bytes_of_a_head_leave_the_loop_to_others(
        self,
    ) -> None:
        """Guard against heads that are searched again at each byte."""
        peers: list[socket.socket] = []
        for _ in range(_STREAMS):
            ours, theirs = socket.socketpair()
            self.addCleanup(theirs.close)
            peers.append(theirs)
            stream = CountedStream(
                ours,
                turns=self.turns,
                hangups=caller_hangups.HangupWatch(),
                ending=caller_stream.Ending(),
                read_chunk_size=65_536,
            )
            stream.test = self
            self.addCleanup(stream.close)
            stream.read_until_regex(_HEAD_END)
        # The first bytes of each wait for no turn.
        await self.drip(peers)
        self.counts.clear()
        watching = asyncio.ensure_future(self.watch_rounds())
        await self.drip(peers)
        watching.cancel()
        self.assertGreater(max(self.counts), 0)
        self.assertLessEqual(max(self.counts), loop_turns.UNITS_PER_ROUND)

    async def test_a_short_head_waits_for_no_long_one(self) -> None:
        """Guard against ordinary requests that queue behind a crowd's."""
        waiting = [
            asyncio.ensure_future(
                self.read_often(
                    functools.partial(
                        self.connect(_LONG_HEAD).read_until_regex, _HEAD_END
                    ),
                    1,
                )
            )
            for _ in range(_STREAMS)
        ]
        await asyncio.sleep(0)
        stream = self.connect(_SHORT_HEAD)
        self.assertEqual(await stream.read_until_regex(_HEAD_END), _SHORT_HEAD)
        self.assertLess(self.count, _STREAMS // 2)
        await asyncio.gather(*waiting)

    async def test_callers_that_leave_give_up_their_turns(self) -> None:
        """Guard against heads that are kept for callers that have left."""
        reads = []
        for _ in range(_STREAMS):
            stream = self.connect(_LONG_HEAD)
            reads.append(stream.read_until_regex(_HEAD_END))
            stream.close()
        self.assertFalse(self.turns.waiting)
        for read in reads:
            with self.assertRaises(iostream.StreamClosedError):
                await read

    async def test_a_head_whose_caller_has_left_is_not_parsed(self) -> None:
        """Guard against work for nobody."""
        self.connect(_LONG_HEAD).read_until_regex(_HEAD_END)
        stream = self.connect(_LONG_HEAD)
        read = stream.read_until_regex(_HEAD_END)
        stream.close()
        with self.assertRaises(iostream.StreamClosedError):
            await read


if __name__ == '__main__':
    unittest.main()
