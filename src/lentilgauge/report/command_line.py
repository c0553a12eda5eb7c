"""The `lentilgauge-report` command: burn rates of runs and gateways."""

import pathlib
import sys

from returns import result

from lentilgauge import programs
from lentilgauge.load import results
from lentilgauge.operators import tables
from lentilgauge.report import burn_rates, objectives, scrapes

_EXIT_BAD_INPUT = 2
#: Microseconds per millisecond, and milliseconds per second.
_KILO = 1000


def _read_observations(path: str) -> list[burn_rates.Observation]:
    return [
        burn_rates.Observation(
            kind=line.kind,
            at_ms=line.scheduled_us / _KILO,
            executed=line.executed,
            latency_ms=(line.ended_us - line.scheduled_us) / _KILO,
            error=line.error,
        )
        for line in results.read_results(pathlib.Path(path))
    ]


def render_burns(burns: list[burn_rates.BurnMeasurement]) -> str:
    """Render burn rates as a table."""
    return tables.render_table(
        ('KIND', 'WINDOW s', 'SENT', 'FAILED', 'LATE', 'BURN', 'BURN LATE'),
        [
            [
                measurement.kind,
                f'{measurement.window_ms / _KILO:g}',
                measurement.requests,
                measurement.failed,
                measurement.late,
                f'{measurement.availability_rate:.2f}',
                f'{measurement.latency_rate:.2f}',
            ]
            for measurement in burns
        ],
    )


def _parse_windows(windows: str) -> list[float]:
    return [float(seconds) * _KILO for seconds in str(windows).split('/')]


def _read_objectives(objectives_file: str) -> list[burn_rates.Objective]:
    """Read objectives, or print what is wrong with them and exit."""
    loaded = objectives.read_objectives(pathlib.Path(objectives_file))
    if isinstance(loaded, result.Success):
        objective_list: list[burn_rates.Objective] = loaded.unwrap()
        return objective_list
    sys.stderr.write(f'{loaded.failure().detail}\n')
    sys.exit(_EXIT_BAD_INPUT)


def report_metrics(objectives_file: str, *scrape_files: str) -> None:
    """Report the burn rates of routes from scraped metrics, one file a VM."""
    objective_list = _read_objectives(objectives_file)
    counts_by_route = scrapes.read_scrapes(
        pathlib.Path(path) for path in scrape_files
    )
    measurements = [
        scrapes.measure_route(
            objective,
            counts_by_route.get(objective.kind, scrapes.RouteCounts()),
        )
        for objective in objective_list
    ]
    error_lines = [
        f'{measurement.kind}: {error_kind} {error_count}'
        for measurement in measurements
        for error_kind, error_count in sorted(
            measurement.count_by_error.items()
        )
    ]
    report_lines = (
        'Burn rates since the gateways started (1 spends the budget):',
        render_burns(measurements),
        *error_lines,
    )
    sys.stdout.write('\n'.join((*report_lines, '')))


def report_run(
    run: str,
    objectives_file: str,
    *,
    windows: str = '5/30/300',
) -> None:
    """Report the burn rates of a load run.

    Windows are in seconds, separated by slashes.
    """
    objective_list = _read_objectives(objectives_file)
    observations = _read_observations(run)
    windows_ms = _parse_windows(windows)
    worst_windows = [
        burn_rates.find_worst_window(objective, observations, windows_ms[0])
        for objective in objective_list
    ]
    availability_percent = burn_rates.compute_weighted_availability(
        objective_list, observations
    )
    report_lines = (
        'Burn rates in windows that end with the run (1 spends the budget):',
        render_burns(
            burn_rates.measure_windows(objective_list, observations, windows_ms)
        ),
        '',
        'The worst window of the run:',
        render_burns(worst_windows),
        '',
        f'Availability weighted by kind: {availability_percent:.3f}%',
    )
    sys.stdout.write('\n'.join((*report_lines, '')))


def main() -> None:
    """Run the command that the arguments name."""
    programs.run_program({'run': report_run, 'metrics': report_metrics})
