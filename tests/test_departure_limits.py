"""Test how long an upstream that is to get no more requests still gets some."""

import collections
import dataclasses
import itertools
import unittest
from collections.abc import Callable

import loguru

from lentilgauge.callers import upstream_choice
from lentilgauge.links import store_link
from lentilgauge.platform import objects
from lentilgauge.upstreams import upstream_load, upstream_state
from lentilgauge.vms import state_cache as state_cache_module
from tests import gateway_fixtures, test_platform_adapter

_BOUNDS = gateway_fixtures.BOUNDS
_DOMAIN = 'z'
_STEP_MS = 20
_DRAINING = upstream_state.State.DRAINING


class DepartureLimitsTest(unittest.IsolatedAsyncioTestCase):
    """Every limit on an upstream holds, whatever others hold beside it."""

    def setUp(self) -> None:
        """Make a gateway whose only keyed upstream is u0."""
        loguru.logger.remove()
        self.clock = gateway_fixtures.Clock()
        self.gateway = gateway_fixtures.make_gateway(
            gateway_fixtures.ScriptedUpstreams(), self.clock
        )
        self.cache = self.gateway.state_cache
        self.cache.decoders = dataclasses.replace(
            self.cache.decoders, read_upstream=objects.read_upstream
        )
        gateway_fixtures.own_all_keys(self.cache, 'u0')
        self.revision_by_topic = collections.Counter[store_link.Topic]()
        self.announce()

    def replace(
        self, topic: store_link.Topic, *documents: store_link.Document
    ) -> None:
        """Take a topic as it is in the store now."""
        self.revision_by_topic[topic] += 1
        revision = self.revision_by_topic[topic]
        state_cache_module.replace_topic(
            self.cache,
            topic,
            revision,
            {document.name: document for document in documents},
        )

    def announce(self, **fields: object) -> None:
        """Take an announcement of u0."""
        announcement = test_platform_adapter.make_announcement(
            zone=_DOMAIN, service='s', coldLeft='0ms', **fields
        )
        self.replace(
            store_link.Topic.UPSTREAMS,
            store_link.Document(
                name='u0',
                revision=self.revision_by_topic[store_link.Topic.UPSTREAMS] + 1,
                body=announcement,
            ),
        )

    def drain(self) -> None:
        """Take the news that u0 is draining."""
        self.announce(state=_DRAINING)

    def hear_leaving(self) -> None:
        """Take an answer of u0 that says that it leaves."""
        state_cache_module.note_leaving(
            self.cache, self.cache.upstream_by_id['u0']
        )

    def evacuate(self) -> None:
        """Take the evacuation of u0's failure domain."""
        self.replace(
            store_link.Topic.EVACUATIONS,
            store_link.Document(name=_DOMAIN, revision=1, body={}),
        )

    def take_back(self) -> None:
        """Take the end of the evacuation."""
        self.replace(store_link.Topic.EVACUATIONS)

    def sends(self) -> bool:
        """Return whether u0 would get a request for its keys now."""
        configuration = self.cache.configuration
        assert configuration is not None
        route = configuration.route_by_host_and_prefix[
            gateway_fixtures.HOST, '/write/'
        ]
        request = gateway_fixtures.make_request(route, self.clock.now_ms)
        request.key = 7
        chosen = upstream_choice.try_reserve_upstream(self.gateway, request)
        if chosen is not None:
            load = upstream_load.get_load(
                self.gateway.upstream_loads, chosen.id
            )
            load.in_flight -= 1
        return chosen is not None

    def find_end_ms(
        self, step_by_ms: dict[int, Callable[[], None]]
    ) -> int | None:
        """Return when u0 got its last request, with steps at given times."""
        started_ms = self.clock.now_ms
        last_ms = None
        for elapsed_ms in range(0, 2 * _BOUNDS.evacuate_ms, _STEP_MS):
            self.clock.now_ms = started_ms + elapsed_ms
            step = step_by_ms.get(elapsed_ms)
            if step is not None:
                step()
            if self.sends():
                last_ms = elapsed_ms
        return last_ms

    def check_limits(
        self, evacuated_ms: int, drained_ms: int, drain: Callable[[], None]
    ) -> None:
        """Fail if u0 gets requests after the end of either limit."""
        last_ms = self.find_end_ms(
            {evacuated_ms: self.evacuate, drained_ms: drain}
        )
        assert last_ms is not None
        self.assertLess(last_ms, drained_ms + _BOUNDS.drain_ms)
        self.assertLess(last_ms, evacuated_ms + _BOUNDS.evacuate_ms)
        # Neither limit is cut short by much.
        self.assertGreater(
            last_ms,
            min(
                drained_ms + _BOUNDS.drain_ms // 2,
                evacuated_ms + _BOUNDS.evacuate_ms // 2,
            ),
        )

    def test_an_evacuation_extends_no_drain(self) -> None:
        """Guard against the limit of one that replaces that of the other."""
        for evacuated_ms, drained_ms in itertools.product(
            (0, 400, 1000, 2400), (20, 420, 1020, 2600)
        ):
            for drain in ('drain', 'hear_leaving'):
                self.setUp()
                self.check_limits(
                    evacuated_ms, drained_ms, getattr(self, drain)
                )

    def test_a_drain_goes_on_after_an_evacuation(self) -> None:
        """Guard against a drain that begins as its evacuation ends."""
        for taken_back_ms in (600, 2000):
            self.setUp()
            last_ms = self.find_end_ms(
                {
                    0: self.evacuate,
                    200: self.drain,
                    taken_back_ms: self.take_back,
                }
            )
            assert last_ms is not None
            self.assertLess(last_ms, 200 + _BOUNDS.drain_ms)

    def test_an_evacuation_goes_on_after_a_restart(self) -> None:
        """Guard against a process that escapes its domain's evacuation."""
        self.announce(born=1)

        def restart() -> None:
            self.announce(born=2)

        last_ms = self.find_end_ms(
            {
                0: self.evacuate,
                200: self.drain,
                400: restart,
            }
        )
        assert last_ms is not None
        self.assertLess(last_ms, _BOUNDS.evacuate_ms)
        self.assertGreater(last_ms, 200 + _BOUNDS.drain_ms)

    def test_a_wish_for_nothing_holds_amid_other_limits(self) -> None:
        """Guard against an evacuation that sets aside `Retry-After`."""
        upstream = self.cache.upstream_by_id['u0']
        load = upstream_load.get_load(self.gateway.upstream_loads, 'u0')
        upstream_load.back_off(upstream, load, self.clock.now_ms + 5000)
        for step in (self.evacuate, self.drain, self.take_back):
            step()
            self.assertFalse(self.sends())
