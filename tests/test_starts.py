"""Test the start of a system beside others on the same machine."""

import asyncio
import pathlib
import socket
import tempfile
import unittest

from tornado import netutil

from lentilgauge.load import cluster
from tests import test_faults


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
