"""Test that logging is bounded and never blocks, and request timelines."""

import asyncio
import json
import os
import pathlib
import tempfile
import unittest

from lentilgauge import events, log_lines
from lentilgauge.operators import explain
from tests import conditions

_ROUTINE = log_lines.Priority.ROUTINE
_FAILURE = log_lines.Priority.FAILURE


class LogLinesTest(unittest.IsolatedAsyncioTestCase):
    """Lines are written to a pipe that is read only when a test says so."""

    async def asyncSetUp(self) -> None:
        """Open a pipe."""
        read_fd, write_fd = os.pipe()
        self.read_fd = read_fd
        self.write_fd = write_fd
        self.now_ms = 1_000_000
        self.writer = log_lines.make_writer(write_fd, lambda: self.now_ms)

    async def asyncTearDown(self) -> None:
        """Close the pipe."""
        loop = asyncio.get_running_loop()
        loop.remove_writer(self.write_fd)
        os.close(self.read_fd)
        os.close(self.write_fd)

    def write(
        self,
        event: str,
        priority: log_lines.Priority = _ROUTINE,
        size: int = 10,
    ) -> None:
        """Write a line whose text has `size` bytes."""
        line = {'event': event, 'text': 'x' * size}
        log_lines.write_line(self.writer, event, priority, line)

    async def read_all(self) -> list[dict[str, object]]:
        """Read the pipe until no line is buffered any more."""
        os.set_blocking(self.read_fd, False)
        received = bytearray()

        def read_available() -> bool:
            try:
                received.extend(os.read(self.read_fd, 65_536))
            except BlockingIOError:
                return not (self.writer.buffered or self.writer.flush_scheduled)
            return False

        await conditions.wait_until(read_available)
        return [json.loads(text) for text in received.splitlines()]

    async def test_a_reader_that_stops_does_not_block_the_writer(self) -> None:
        """Guard against logging that blocks a gateway or fills its memory.

        While the reader is stopped, routine lines are dropped first and
        failures last. Lines are written again once it reads.
        """
        for number in range(4000):
            self.now_ms += 10
            self.write('request_answered', size=1000)
            if number % 40 == 0:
                self.write('request_failed', _FAILURE, size=100)
            await asyncio.sleep(0)
        buffered_bytes = len(self.writer.buffered)
        self.assertLess(buffered_bytes, log_lines.MAX_BUFFERED_BYTES)
        lines = await self.read_all()
        names = [line['event'] for line in lines]
        self.assertLess(names.count('request_answered'), 400)
        self.assertEqual(names.count('request_failed'), 100)

    async def test_lines_over_an_events_rate_limit_are_counted(
        self,
    ) -> None:
        """Guard against floods of one event, and against uncounted drops."""
        for _ in range(500):
            self.write('request_answered')
        self.now_ms += 1000
        self.write('started', log_lines.Priority.CHANGE)
        lines = await self.read_all()
        names = [str(line['event']) for line in lines]
        self.assertEqual(names.count('request_answered'), 200)
        drop_report = lines[names.index('lines_left_out')]
        self.assertEqual(
            drop_report['count_by_event'], {'request_answered': 300}
        )

    async def test_each_event_is_documented(self) -> None:
        """Guard against events that operators can't look up."""
        page = pathlib.Path(__file__).parent.parent / 'docs/OPERATIONS.md'
        text = page.read_text(encoding='utf-8')
        for event in events.Event:
            self.assertIn(f'`{event}`', text)


class ExplainTest(unittest.TestCase):
    """A request's timeline is made from the logs of several processes."""

    def test_a_timeline_has_the_state_that_a_request_depends_on(self) -> None:
        """Guard against a timeline with unrelated events.

        Of the state changes, the timeline has the last configuration before
        the request and the last move of its key, and none of an upstream or
        a range that the request doesn't use. Lines other than JSON are skipped.
        """
        with tempfile.TemporaryDirectory() as folder:
            first_log = pathlib.Path(folder) / 'vm-1.log'
            second_log = pathlib.Path(folder) / 'vm-2.log'
            first_log.write_text(
                '{"time":5,"event":"configuration_taken","version":3}\n'
                '{"time":6,"event":"configuration_taken","version":4}\n'
                'no line of ours\n'
                '{"time":9.5,"event":"upstream_gone","upstream":"u2"}\n'
                '{"time":10,"event":"request_refused","id":"r","key":7,'
                '"upstream":"u1"}\n'
            )
            second_log.write_text(
                '{"time":9,"event":"keys_moved","start":0,"end":9}\n'
                '{"time":9,"event":"keys_moved","start":10,"end":19}\n'
                '{"time":10,"event":"request_refused","id":"s","key":7}\n'
            )
            lines = explain.read_lines([first_log, second_log])
        timeline = explain.make_timeline(lines, 'r')
        sources_and_events = [
            (log_line.source, log_line.event) for log_line in timeline
        ]
        self.assertEqual(
            sources_and_events,
            [
                ('vm-1', 'configuration_taken'),
                ('vm-2', 'keys_moved'),
                ('vm-1', 'request_refused'),
            ],
        )
        self.assertEqual(timeline[0].fields['version'], 4)
        self.assertIn('key=7', explain.render_timeline(timeline))
        self.assertEqual(explain.make_timeline(lines, 'none'), [])
