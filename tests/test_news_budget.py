"""Test how soon all VMs hear of a change as the granter loses the store."""

import asyncio
import types
import unittest

import loguru

from lentilgauge.platform import store_adapter
from lentilgauge.upstreams import upstream_state
from lentilgauge.vms import granter_handover, peer_routes, term_check
from tests import (
    gateway_fixtures,
    granting_model,
    test_granting_model,
    test_handover_news,
    test_succession,
    virtual_time,
)

#: A call and its answer between any two failure domains, or to the store.
_CALL_MS = 50
#: Bounds on drains and configurations that the users set for fleets of a size.
_BOUND_MS_BY_VM_COUNT = types.MappingProxyType({20: 2000, 90: 2500, 195: 3000})
_VM_COUNT = 6
_UPSTREAM_COUNT = 2
#: The store turns a third of the VMs away, the granter among them.
_CUT_COUNT = 2
#: From the acknowledgement of a change to its effect at every VM in touch: the
#: smallest of the users' bounds on drains and configurations.
_NEWS_BOUND_S = gateway_fixtures.BOUNDS.drain_ms / 1000
#: Times from the start of a term, so that the cut falls anywhere between two
#: checks of the term.
_OFFSETS_S = tuple(number * 0.09 for number in range(10))
#: How soon a call fails at a VM that the store turns away: silence, and answers
#: that refuse it or resets.
_SILENCE_S = store_adapter.CALL_TIMEOUT_MS / 1000
_REFUSAL_S = 0
#: Answers that come in time, are overdue, or come too late for a VM that asks
#: on behalf of the granter.
_SLOW_ANSWERS_S = (0.29, 0.36, 0.39, 0.45, 0.6, 0.9)
_SLOW_S = 10


class NewsStepsTest(unittest.TestCase):
    """The steps of docs/PLATFORM.md, "How soon news reaches every VM"."""

    def sum_steps_ms(self, vm_count: int) -> int:
        """Sum the worst case of each step as the store falls silent."""
        return sum(
            (
                term_check.TERM_CHECK_INTERVAL_MS,
                term_check.STORE_SILENCE_MS,
                granter_handover.TICK_MS,
                # A VM asks the store, and answers.
                2 * _CALL_MS,
                # The request to take over.
                _CALL_MS,
                # The successor reads and writes the record, lists the topics.
                3 * _CALL_MS,
                # News goes to the former granter, from it to the others,
                # and these ask the successor.
                3 * (_CALL_MS + peer_routes.BATCH_WINDOW_MS),
                peer_routes.compute_pacing_interval_ms(vm_count),
            )
        )

    def test_the_steps_keep_the_bounds(self) -> None:
        """Guard against a step that lengthens the sum beyond the bound."""
        for vm_count, bound_ms in _BOUND_MS_BY_VM_COUNT.items():
            self.assertLess(self.sum_steps_ms(vm_count), bound_ms)

    def test_the_steps_keep_the_bounds_if_a_successor_fails(self) -> None:
        """Guard against a wait for a successor that takes over too late."""
        retry_ms = sum(
            (
                # The request that has no effect.
                _CALL_MS,
                granter_handover.MAX_SUCCESSION_MS,
                # Another VM asks the store, and answers.
                2 * _CALL_MS,
            )
        )
        for vm_count, bound_ms in _BOUND_MS_BY_VM_COUNT.items():
            sum_ms = self.sum_steps_ms(vm_count) + retry_ms
            self.assertLess(sum_ms, bound_ms)

    def test_a_sound_successor_has_time_to_take_over(self) -> None:
        """Guard against two VMs that are asked where one would do."""
        # The successor reads and writes the record and answers a long poll.
        needed_ms = 3 * _CALL_MS + peer_routes.BATCH_WINDOW_MS
        self.assertGreater(granter_handover.MAX_SUCCESSION_MS, needed_ms)


class NewsBudgetTest(unittest.TestCase):
    """VMs that the store answers hear of each change in time."""

    def setUp(self) -> None:
        """Log nothing."""
        loguru.logger.remove()

    def measure_news_s(self, seed: int, offset_s: float) -> float:
        """Return how late the last VM in touch hears of a drain, in seconds."""
        model = granting_model.Model(
            virtual_time.VirtualLoop(), seed, _VM_COUNT, _UPSTREAM_COUNT
        )
        model.store.failure_s = self.failure_s
        delays_s: list[float] = []
        virtual_time.run_and_close(
            model.loop, drain_amid_cut(model, offset_s, delays_s)
        )
        self.assertEqual(model.violations, [])
        return delays_s[0]

    def check_news(self) -> None:
        """Fail if any news is late, wherever the cut falls."""
        delay_by_offset_s = {
            offset_s: self.measure_news_s(seed, offset_s)
            for seed, offset_s in enumerate(_OFFSETS_S)
        }
        late = {
            offset_s: round(delay_s, 2)
            for offset_s, delay_s in delay_by_offset_s.items()
            if delay_s > _NEWS_BOUND_S
        }
        self.assertEqual(late, {})

    def test_news_as_the_store_falls_silent_for_some(self) -> None:
        """Guard against waits between a cut and its news that add up."""
        self.failure_s = _SILENCE_S
        self.check_news()

    def test_news_as_the_store_refuses_some(self) -> None:
        """Guard against waits that only refusals bring."""
        self.failure_s = _REFUSAL_S
        self.check_news()


class SlowStoreTest(unittest.TestCase):
    """A store that is slow for all VMs is no reason to hand over."""

    def test_a_slow_store_replaces_no_granter(self) -> None:
        """Guard against handovers while no VM is answered any sooner."""
        loguru.logger.remove()
        for seed, answer_s in enumerate(_SLOW_ANSWERS_S):
            model = granting_model.Model(
                virtual_time.VirtualLoop(), seed, _VM_COUNT, _UPSTREAM_COUNT
            )
            terms: list[int] = []
            virtual_time.run_and_close(
                model.loop, slow_store_down(model, answer_s, terms)
            )
            self.assertEqual(len(set(terms)), 1, answer_s)
            self.assertEqual(model.violations, [])


async def slow_store_down(
    model: granting_model.Model, answer_s: float, terms: list[int]
) -> None:
    """Note the term before and after a time in which the store is slow."""
    await test_granting_model.start_all_vms(model)
    terms.append(test_succession.find_latest_term(model))
    model.store.answer_s = answer_s
    await asyncio.sleep(_SLOW_S)
    terms.append(test_succession.find_latest_term(model))


async def drain_amid_cut(
    model: granting_model.Model, offset_s: float, delays_s: list[float]
) -> None:
    """Drain an upstream just after the granter and others lost the store."""
    await test_granting_model.start_all_vms(model)
    await asyncio.sleep(offset_s)
    granter = test_granting_model.pick_granter(model)
    others = [name for name in model.vm_names if name != granter]
    model.store.unreachable_for.update((granter, *others[: _CUT_COUNT - 1]))
    await asyncio.sleep(0.02)
    test_succession.drain_upstream(model, 'u1')
    started_at = model.loop.time()
    in_touch = others[_CUT_COUNT - 1 :]
    await test_handover_news.wait_until(
        lambda: all(knows_drain(model, name) for name in in_touch)
    )
    delays_s.append(model.loop.time() - started_at)


def knows_drain(model: granting_model.Model, vm: str) -> bool:
    """Return whether a VM knows that an upstream drains."""
    state_cache = model.vm_by_name[vm].gateway.state_cache
    return any(
        upstream.state is upstream_state.State.DRAINING
        for upstream in state_cache.upstream_by_id.values()
    )
