"""Test that log lines are bounded and never block."""

import asyncio
import json
import os
import pathlib
import tempfile
import unittest

from lentilgauge import events, log_lines
from lentilgauge.operators import explain
from tests import conditions

_ROUTINE = log_lines.Weight.ROUTINE
_FAILURE = log_lines.Weight.FAILURE


class LogLinesTest(unittest.IsolatedAsyncioTestCase):
    """Write lines to a pipe whose reader a test controls."""

    async def asyncSetUp(self) -> None:
        """Open a pipe."""
        reader, writer = os.pipe()
        self.reader = reader
        self.output = writer
        self.now_ms = 1_000_000
        self.lines = log_lines.make_writer(writer, lambda: self.now_ms)

    async def asyncTearDown(self) -> None:
        """Close it."""
        loop = asyncio.get_running_loop()
        loop.remove_writer(self.output)
        os.close(self.reader)
        os.close(self.output)

    def write(
        self,
        event: str,
        weight: log_lines.Weight = _ROUTINE,
        size: int = 10,
    ) -> None:
        """Write a line of a size."""
        line = {'event': event, 'text': 'x' * size}
        log_lines.write_line(self.lines, event, weight, line)

    async def read_all(self) -> list[dict[str, object]]:
        """Read until nothing waits any more."""
        os.set_blocking(self.reader, False)
        taken = bytearray()

        def take() -> bool:
            try:
                taken.extend(os.read(self.reader, 65_536))
            except BlockingIOError:
                return not (self.lines.waiting or self.lines.flush_due)
            return False

        await conditions.wait_until(take)
        return [json.loads(text) for text in taken.splitlines()]

    async def test_a_reader_that_stops_blocks_nobody(self) -> None:
        """Lines are left out, failures last; all goes on when it reads."""
        for number in range(4000):
            self.now_ms += 10
            self.write('request_answered', size=1000)
            if number % 40 == 0:
                self.write('request_failed', _FAILURE, size=100)
            await asyncio.sleep(0)
        waiting = len(self.lines.waiting)
        self.assertLess(waiting, log_lines.MOST_BUFFERED_BYTES)
        read = await self.read_all()
        names = [one['event'] for one in read]
        self.assertLess(names.count('request_answered'), 400)
        self.assertEqual(names.count('request_failed'), 100)

    async def test_an_event_has_a_budget_and_what_is_left_out_is_told(
        self,
    ) -> None:
        for _ in range(500):
            self.write('request_answered')
        self.now_ms += 1000
        self.write('started', log_lines.Weight.CHANGE)
        read = await self.read_all()
        names = [str(one['event']) for one in read]
        self.assertEqual(names.count('request_answered'), 200)
        told = read[names.index('lines_left_out')]
        self.assertEqual(told['count_by_event'], {'request_answered': 300})

    async def test_each_event_is_documented(self) -> None:
        page = pathlib.Path(__file__).parent.parent / 'docs/OPERATIONS.md'
        text = page.read_text(encoding='utf-8')
        for event in events.Event:
            self.assertIn(f'`{event}`', text)


class ExplainTest(unittest.TestCase):
    """Read the lines of several processes."""

    def test_a_story_has_the_beliefs_that_bear_on_the_request(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            one = pathlib.Path(folder) / 'vm-1.log'
            other = pathlib.Path(folder) / 'vm-2.log'
            one.write_text(
                '{"time":5,"event":"configuration_taken","version":3}\n'
                '{"time":6,"event":"configuration_taken","version":4}\n'
                'no line of ours\n'
                '{"time":9.5,"event":"upstream_gone","upstream":"u2"}\n'
                '{"time":10,"event":"request_refused","id":"r","key":7,'
                '"upstream":"u1"}\n'
            )
            other.write_text(
                '{"time":9,"event":"keys_moved","start":0,"end":9}\n'
                '{"time":9,"event":"keys_moved","start":10,"end":19}\n'
                '{"time":10,"event":"request_refused","id":"s","key":7}\n'
            )
            lines = explain.read_lines([one, other])
        story = explain.explain_request(lines, 'r')
        told = [(line.source, line.event) for line in story]
        self.assertEqual(
            told,
            [
                ('vm-1', 'configuration_taken'),
                ('vm-2', 'keys_moved'),
                ('vm-1', 'request_refused'),
            ],
        )
        self.assertEqual(story[0].fields['version'], 4)
        self.assertIn('key=7', explain.render_story(story))
        self.assertEqual(explain.explain_request(lines, 'none'), [])
