"""Test outcomes of requests that arrive after their key was freed."""

import unittest
from urllib import parse as url_parse

from tornado import httputil, testing

from lentilgauge.callers import idempotency
from lentilgauge.callers import request as request_module
from lentilgauge.contracts import idempotency_keys
from lentilgauge.links import (
    http_client,
    http_server,
    idempotency_link,
    state_messages,
    upstream_data,
)
from lentilgauge.services import catalog
from lentilgauge.vms import idempotency_routes
from tests import controller_model, test_dispatch

_FRESH = idempotency_keys.RequestState.FRESH
_RUNNING = idempotency_keys.RequestState.RUNNING


def make_request(
    request_id: str, deadline_ms: int
) -> request_module.CallerRequest:
    """Make a request that isn't idempotent, under a key."""
    return request_module.CallerRequest(
        id=request_id,
        kind=catalog.Kind(
            name='k',
            service='s',
            method='POST',
            template='/k',
            idempotent=False,
        ),
        key=b'',
        deadline_ms=deadline_ms,
        method='POST',
        target='/k',
        headers=httputil.HTTPHeaders({upstream_data.IDEMPOTENCY_KEY: 'once'}),
        body=b'',
    )


class RepeatedOutcomesTest(unittest.IsolatedAsyncioTestCase):
    """A caller repeats a request that has not run, under its key."""

    async def asyncSetUp(self) -> None:
        """Make an entry and two keepers of the key."""
        self.model = controller_model.Model(
            controller_count=2, upstream_count=0
        )
        self.addCleanup(self.model.close)
        self.network = self.model.network
        probe, dead_port = testing.bind_unused_port()
        probe.close()
        self.entry = test_dispatch.make_entry(dead_port)
        client = controller_model.make_client(self.network, 'entry')
        self.outcomes: list[http_client.Call] = []

        async def send(call: http_client.Call) -> http_client.CallResult:
            if call.url.endswith(idempotency_link.OUTCOME_PATH):
                self.outcomes.append(call)
            return await http_client.send_call(client, call)

        self.entry.client = http_client.Client(send=send)
        for keeper in self.model.controllers:
            self.network.routes_by_name[keeper.vm_id] = (
                idempotency_routes.make_idempotency_routes(keeper)
            )
            self.entry.replica.vm_by_id[keeper.vm_id] = state_messages.VmBody(
                failure_domain='d',
                address=keeper.vm_id,
                port=1,
                incarnation=keeper.incarnation,
                state=state_messages.VmState.LIVE,
            )

    async def reserve(self, request_id: str) -> idempotency_keys.RequestState:
        """Reserve the key for a request; return its state."""
        request = make_request(request_id, self.entry.now_ms() + 1000)
        reservation = idempotency.Reservation(
            reservation_request=idempotency.make_reservation_request(
                self.entry, request, 'once'
            )
        )
        return (await idempotency.reserve(self.entry, reservation)).state

    async def deliver_outcomes_again(self) -> None:
        """Deliver outcomes twice, as a client does on dead connections."""
        for call in self.outcomes:
            url = url_parse.urlsplit(call.url)
            await http_server.make_response(
                self.network.routes_by_name[str(url.hostname)],
                http_server.Request(
                    method=call.method,
                    path=url.path,
                    text_by_parameter={},
                    headers=httputil.HTTPHeaders(),
                    body=call.body or b'',
                ),
            )

    async def test_a_repeated_outcome_frees_no_later_request_s_key(
        self,
    ) -> None:
        """Guard against a second execution beside the one under way."""
        refused = make_request('first', self.entry.now_ms() + 3)
        await idempotency.serve_once(self.entry, refused)
        self.assertEqual(len(self.outcomes), 2)
        self.assertIs(await self.reserve('second'), _FRESH)
        await self.deliver_outcomes_again()
        self.assertIs(await self.reserve('third'), _RUNNING)
