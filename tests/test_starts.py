"""Test the ports and the order in which the processes of a system start."""

import asyncio
import dataclasses
import pathlib
import socket
import tempfile
import unittest
from unittest import mock

from tornado import netutil

from lentilgauge.load import cluster, gateway_testbed, ports
from tests import test_faults

#: Program that fails if another starts at the same time.
_PROGRAM = """#!/bin/sh
mkdir {folder}/starting || exit 1
sleep 0.1
rmdir {folder}/starting
echo ready
exec sleep 600
"""


def can_bind(port: int) -> bool:
    """Return whether a socket that shares no port can bind this one."""
    with socket.socket() as other:
        try:
            other.bind((cluster.LOOPBACK, port))
        except OSError:
            return False
    return True


class StartTest(unittest.IsolatedAsyncioTestCase):
    """Starts of a system beside others on the same machine."""

    async def test_no_start_waits_for_more_others_than_there_are_cpus(
        self,
    ) -> None:
        """Guard against a time limit that covers the others' starts too."""
        with tempfile.TemporaryDirectory() as folder_name:
            folder = pathlib.Path(folder_name)
            program = folder / 'program'
            program.write_text(_PROGRAM.format(folder=folder), encoding='utf-8')
            program.chmod(0o700)
            started = cluster.make_cluster(test_faults.make_topology(), folder)
            find_program = mock.patch.object(
                cluster, 'find_program', return_value=str(program)
            )
            one_cpu = mock.patch.object(
                cluster.os, 'sched_getaffinity', return_value={0}
            )
            try:
                with find_program, one_cpu:
                    await cluster.start_all(started)
            finally:
                await cluster.kill_all(started)

    def test_ports_of_a_gateway_are_kept_from_others(self) -> None:
        """Guard against a gateway that can't start as its port is taken."""
        gateway = gateway_testbed.make_gateway_process(0, 'd', 'store:1')
        for port in dataclasses.astuple(gateway.ports):
            self.assertFalse(can_bind(port))
        ports.free_ports(gateway.reservation_by_name)

    async def test_ports_are_kept_from_others_until_the_end(self) -> None:
        """Guard against a port that is taken before its process binds it."""
        with tempfile.TemporaryDirectory() as folder_name:
            made = cluster.make_cluster(
                test_faults.make_topology(), pathlib.Path(folder_name)
            )
            ports = list(made.port_by_name.values())
            self.assertEqual(len(ports), len(set(ports)))
            self.assertFalse(any(can_bind(port) for port in ports))
            for listening in netutil.bind_sockets(ports[0], cluster.LOOPBACK):
                # The process itself can listen, and end and listen again.
                listening.close()
            server = await asyncio.start_server(
                lambda _reader, _writer: None, cluster.LOOPBACK, ports[0]
            )
            server.close()
            await server.wait_closed()
            self.assertFalse(can_bind(ports[0]))
            await cluster.kill_all(made)
            self.assertTrue(all(can_bind(port) for port in ports))
