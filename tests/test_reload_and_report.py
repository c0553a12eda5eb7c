"""Tests of reloaded settings and of error budget burn rates."""

import contextlib
import io
import json
import pathlib
import signal
import tempfile
import unittest

from lentilgauge import errors
from lentilgauge.load import (
    cluster,
    results,
    samples,
    topology,
    user_topologies,
)
from lentilgauge.report import burn_rates, command_line, scrapes
from tests import systems

OBJECTIVE = burn_rates.Objective(
    kind='lookup',
    availability=0.9,
    latency_ms=10,
    in_time=0.5,
    weight=3,
)


def make_observation(
    at_ms: float, latency_ms: float, error: str = ''
) -> burn_rates.Observation:
    """Make an observation of a lookup; it failed if an error is given."""
    return burn_rates.Observation(
        kind='lookup',
        at_ms=at_ms,
        executed=not error,
        latency_ms=latency_ms,
        error=error,
    )


class BurnTest(unittest.TestCase):
    """Burn rates that are measured from a few observations."""

    def test_a_rate_of_one_spends_the_budget(self) -> None:
        observations = [make_observation(number, 5) for number in range(9)]
        observations.append(make_observation(9, 5, 'overloaded'))
        measurement = burn_rates.measure_burn(OBJECTIVE, observations, 100)
        self.assertAlmostEqual(measurement.availability_rate, 1)
        self.assertEqual(measurement.count_by_error, {'overloaded': 1})
        self.assertEqual(measurement.latency_rate, 0)

    def test_late_answers_spend_the_latency_budget(self) -> None:
        measurement = burn_rates.measure_burn(
            OBJECTIVE, [make_observation(0, 11)], 100
        )
        # All answers are late, and half of them may be.
        self.assertAlmostEqual(measurement.latency_rate, 2)

    def test_late_answers_are_counted_among_answers(self) -> None:
        """Guard against failures that make answers seem in time."""
        observations = [make_observation(number, 11) for number in range(2)]
        observations += [
            make_observation(number, 5, 'overloaded') for number in range(8)
        ]
        measurement = burn_rates.measure_burn(OBJECTIVE, observations, 100)
        self.assertAlmostEqual(measurement.latency_rate, 2)
        counts = scrapes.RouteCounts(
            count_by_outcome={'executed': 2, 'overloaded': 8},
            count_by_bound_ms={10: 0, 25: 10},
        )
        measurement = scrapes.measure_route(OBJECTIVE, counts)
        self.assertAlmostEqual(measurement.latency_rate, 2)

    def test_an_empty_run_burns_nothing(self) -> None:
        """Guard against an exception in place of a report."""
        worst = burn_rates.find_worst_window(OBJECTIVE, [], 10)
        self.assertEqual((worst.requests, worst.availability_rate), (0, 0))
        failed = [make_observation(0, 5, 'overloaded')]
        measurement = burn_rates.measure_burn(OBJECTIVE, failed, 10)
        self.assertEqual(measurement.latency_rate, 0)

    def test_the_worst_window_is_found(self) -> None:
        observations = [
            make_observation(0, 1),
            make_observation(10, 1, 'no_owner'),
            make_observation(20, 1),
        ]
        worst = burn_rates.find_worst_window(OBJECTIVE, observations, 10)
        self.assertEqual((worst.requests, worst.failed), (1, 1))

    def test_a_run_is_reported(self) -> None:
        run_samples = [
            samples.Sample(
                kind='lookup',
                key='7',
                idempotency_key=str(number),
                scheduled_us=number * 1000,
                ended_us=number * 1000 + 2000,
                outcome=outcome,
                error=None,
            )
            for number, outcome in enumerate(
                (
                    samples.Outcome.EXECUTED,
                    samples.Outcome.NOT_RUN,
                )
            )
        ]
        printed = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            run_file = pathlib.Path(folder) / 'run.jsonl'
            results.write_results(run_file, run_samples)
            objectives_file = pathlib.Path(folder) / 'owed.ini'
            objectives_file.write_text(
                '[objective lookup]\navailability = 0.5\n'
            )
            with contextlib.redirect_stdout(printed):
                command_line.report_run(
                    str(run_file), str(objectives_file), windows='1'
                )
        self.assertIn('weighted by kind: 50.000%', printed.getvalue())
        self.assertIn('1.00', printed.getvalue())


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    """SIGHUP must apply the reloadable settings of a file, if it is valid."""

    async def test_an_entry_applies_new_limits(self) -> None:
        venture = user_topologies.make_venture_topology(
            vms=1, keyed=1, pooled=1, slots=4
        )
        async with systems.run_system(venture) as system:
            vm = system.vms[0]
            name = topology.name_entry(vm)
            path = system.cluster.folder / f'{name}.ini'
            valid_text = path.read_text(encoding='utf-8').rstrip()
            log_file = system.cluster.folder / f'{name}.log'
            # The invalid settings come first: they must change nothing.
            for setting, log_text, status in (
                ('none', 'settings refused', 200),
                ('10', 'settings reloaded', 413),
            ):
                text = f'{valid_text}\nbody_limit_bytes = {setting}\n'
                path.write_text(text, encoding='utf-8')
                cluster.send_signal(system.cluster, name, signal.SIGHUP)
                await systems.wait_for_text(log_file, log_text)
                called = await system.call(
                    'POST', '/settlements', body=b'x' * 11
                )
                self.assertEqual(called.unwrap().status, status)
            kind = json.loads(called.unwrap().body)['kind']
            self.assertEqual(kind, errors.ErrorKind.BODY_TOO_LARGE)
