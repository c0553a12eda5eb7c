"""Test that the start of a system leaves no process if it fails."""

import os
import pathlib
import signal
import tempfile
import unittest
from unittest import mock

from lentilgauge.load import cluster, processes
from tests import test_faults

#: Program that notes its process id. Only the platform gets ready, and entries
#: end at once.
_PROGRAM = """#!/bin/sh
touch {folder}/$$.pid
case "$*" in
*platform*) echo ready ;;
*entry*) exit 1 ;;
esac
exec sleep 600
"""


class FailedStartTest(unittest.IsolatedAsyncioTestCase):
    """Starts of a system of which a process fails."""

    async def test_a_failed_start_leaves_no_process(self) -> None:
        with tempfile.TemporaryDirectory() as folder_name:
            folder = pathlib.Path(folder_name)
            program = folder / 'program'
            program.write_text(_PROGRAM.format(folder=folder), encoding='utf-8')
            program.chmod(0o700)
            failed = cluster.make_cluster(test_faults.make_topology(), folder)
            find_program = mock.patch.object(
                cluster, 'find_program', return_value=str(program)
            )
            # All start at once, so that the others run when the entries fail.
            many_cpus = mock.patch.object(
                cluster.os, 'sched_getaffinity', return_value=range(99)
            )
            with (
                find_program,
                many_cpus,
                self.assertRaises(processes.NotStartedError),
            ):
                await cluster.start_all(failed)
            await cluster.kill_all(failed)
            self.assert_ended(folder)

    async def test_a_start_that_takes_too_long_leaves_no_process(self) -> None:
        with tempfile.TemporaryDirectory() as folder_name:
            folder = pathlib.Path(folder_name)
            too_long = mock.patch.object(processes, 'START_TIMEOUT_SECONDS', 1)
            command = f'touch {folder}/$$.pid; exec sleep 600'
            with too_long, self.assertRaises(TimeoutError):
                await processes.start_process(
                    'slow', ('/bin/sh', '-c', command), folder / 'slow.log'
                )
            self.assert_ended(folder)

    def assert_ended(self, folder: pathlib.Path) -> None:
        """Assert that all processes that left their id have ended."""
        pids = [path.stem for path in folder.glob('*.pid')]
        self.assertTrue(pids)
        running = [pid for pid in pids if pathlib.Path('/proc', pid).exists()]
        for pid in running:
            os.kill(int(pid), signal.SIGKILL)
        self.assertEqual(running, [])
