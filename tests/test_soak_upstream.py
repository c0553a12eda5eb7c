"""Tests of faults that the soak's stand-in upstream shows."""

import asyncio
import socket
import unittest

from returns import result
from tornado import httputil

from lentilgauge.links import http_client
from lentilgauge.platform import headers
from lentilgauge.standins import gateway_upstream

#: Longer than the delay after which a late grant is carried out.
_LATE_GRANT_SECONDS = 1.2
#: In this time a connection is accepted and what it sent is read.
_SETTLING_SECONDS = 0.1


class SoakUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """A stand-in that lacks a fault can't show that it is coped with."""

    async def asyncSetUp(self) -> None:
        """Start an upstream."""
        self.upstream = gateway_upstream.Upstream('u0', sharded=True)
        self.client = http_client.make_client()

    async def asyncTearDown(self) -> None:
        """Stop the upstream."""
        await self.upstream.close()

    async def send(
        self,
        path: str,
        headers_by_name: dict[str, str],
        body: bytes = b'',
        timeout_ms: int = 5000,
    ) -> http_client.Reply | None:
        """Send a call on a kept connection, if there is one."""
        call_result = await http_client.send_call(
            self.client,
            http_client.Call(
                method='POST',
                url=f'http://{self.upstream.address}{path}',
                timeout_ms=timeout_ms,
                body=body,
                headers=httputil.HTTPHeaders(headers_by_name),
                send_once=True,
            ),
        )
        if isinstance(call_result, result.Success):
            return call_result.unwrap()
        return None

    async def send_grant(
        self, expected_id: str, timeout_ms: int = 5000
    ) -> http_client.Reply | None:
        """Send a grant of the keys 1 to 2 for a process of the given id."""
        return await self.send(
            '/grant',
            {headers.EXPECTED_INSTANCE: expected_id},
            b'{"startKey":1,"target":2,"fence":3,"hold_time":"9000ms"}',
            timeout_ms,
        )

    async def test_an_order_to_an_ended_process_is_lost(self) -> None:
        """Guard against a grant that an ended process leaves to the next.

        Its bytes had arrived, on a connection accepted or not.
        """
        body = b'{"startKey":1,"target":2,"fence":3,"hold_time":"9000ms"}'
        head = (
            'POST /grant HTTP/1.1\r\nHost: u0\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        for accepted in (True, False):
            with socket.socket() as connection:
                connection.connect(('127.0.0.1', self.upstream.port))
                if accepted:
                    await asyncio.sleep(_SETTLING_SECONDS)
                connection.sendall(head.encode() + body)
                self.upstream.restart()
                await asyncio.sleep(_SETTLING_SECONDS)
            self.assertFalse(self.upstream.holds_key(1))

    async def test_faults_leave_whose_orders_are_executed(self) -> None:
        """Guard against a process that executes, then rejects, another's."""
        self.upstream.faults.accepts_any_id = True
        for faults in (
            gateway_upstream.UpstreamFaults(loses_answers=True),
            gateway_upstream.UpstreamFaults(),
        ):
            gateway_upstream.change_faults(self.upstream, faults)
            reply = await self.send_grant('another')
            assert reply is not None
            self.assertEqual(reply.status, 200)

    async def test_a_refusal_is_repeated_late(self) -> None:
        """The next request on the connection gets the earlier refusal."""
        self.upstream.faults.refuses_requests = True
        self.upstream.faults.duplicates_answers = True
        refused_ids = []
        for request_id in ('r0', 'r1'):
            reply = await self.send('/x', {headers.REQUEST_ID: request_id})
            assert reply is not None
            self.assertIn(headers.NOT_EXECUTED, reply.headers)
            refused_ids.append(reply.headers[headers.REQUEST_ID])
        self.assertEqual(refused_ids, ['r0', 'r0'])

    async def test_orders_for_any_id_are_accepted_under_the_fault_only(
        self,
    ) -> None:
        """An order for another id is rejected unless the fault is shown."""
        statuses = []
        for accepts_any_id in (False, True):
            self.upstream.faults.accepts_any_id = accepts_any_id
            reply = await self.send_grant('other')
            assert reply is not None
            statuses.append(reply.status)
        self.assertEqual(statuses, [421, 200])

    async def test_a_late_grant_ends_with_its_process(self) -> None:
        """The next process doesn't carry out what another has received."""
        self.upstream.faults.delays_grants = True
        for restarts in (False, True):
            await self.send_grant('u0', timeout_ms=100)
            if restarts:
                self.upstream.restart()
            await asyncio.sleep(_LATE_GRANT_SECONDS)
            self.assertNotEqual(self.upstream.holds_key(1), restarts)
