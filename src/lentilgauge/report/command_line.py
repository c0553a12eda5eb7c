"""Run `lentilgauge-report`."""

import pathlib
import sys

from returns import result

from lentilgauge import programs
from lentilgauge.load import results
from lentilgauge.operators import tables
from lentilgauge.report import burn, objectives, scrapes

_EXIT_BAD_INPUT = 2
_MS_PER_SECOND = 1000


def _read_observations(path: str) -> list[burn.Observation]:
    return [
        burn.Observation(
            kind=one.kind,
            at_ms=one.scheduled_us / _MS_PER_SECOND,
            executed=one.executed,
            latency_ms=(one.ended_us - one.scheduled_us) / _MS_PER_SECOND,
            error=one.error,
        )
        for one in results.read_results(pathlib.Path(path))
    ]


def render_burns(burns: list[burn.Burn]) -> str:
    """Render burns as a table."""
    return tables.render_table(
        ('KIND', 'WINDOW s', 'SENT', 'FAILED', 'LATE', 'BURN', 'BURN LATE'),
        [
            [
                one.kind,
                f'{one.window_ms / _MS_PER_SECOND:g}',
                one.requests,
                one.failed,
                one.late,
                f'{one.availability_rate:.2f}',
                f'{one.latency_rate:.2f}',
            ]
            for one in burns
        ],
    )


def _parse_windows(windows: str) -> list[float]:
    return [float(one) * _MS_PER_SECOND for one in str(windows).split('/')]


def _read_objectives(objectives_file: str) -> list[burn.Objective]:
    """Read objectives, or exit after saying what is wrong with them."""
    read = objectives.read_objectives(pathlib.Path(objectives_file))
    if isinstance(read, result.Success):
        owed: list[burn.Objective] = read.unwrap()
        return owed
    sys.stderr.write(f'{read.failure().detail}\n')
    sys.exit(_EXIT_BAD_INPUT)


def report_metrics(objectives_file: str, *scraped: str) -> None:
    """Report routes' burn from gateways' metrics, one file a VM."""
    owed = _read_objectives(objectives_file)
    counts = scrapes.read_scrapes(pathlib.Path(path) for path in scraped)
    burns = [
        scrapes.measure_route(one, counts.get(one.kind, scrapes.RouteCounts()))
        for one in owed
    ]
    told = [
        f'{one.kind}: {outcome} {number}'
        for one in burns
        for outcome, number in sorted(one.errors.items())
    ]
    parts = (
        'Burn since the gateways started (1 spends the budget):',
        render_burns(burns),
        *told,
    )
    sys.stdout.write('\n'.join((*parts, '')))


def report_run(
    run: str,
    objectives_file: str,
    *,
    windows: str = '5/30/300',
) -> None:
    """Report a load run's burn; windows are in seconds, with slashes."""
    owed = _read_objectives(objectives_file)
    seen = _read_observations(run)
    spans = _parse_windows(windows)
    worst = [burn.find_worst_window(one, seen, spans[0]) for one in owed]
    weighted = burn.find_weighted_availability(owed, seen)
    parts = (
        'Burn in the windows that end with the run (1 spends the budget):',
        render_burns(burn.measure_windows(owed, seen, spans)),
        '',
        'The worst window of the run:',
        render_burns(worst),
        '',
        f'Availability weighted by kind: {weighted:.3f}%',
    )
    sys.stdout.write('\n'.join((*parts, '')))


def main() -> None:
    """Start from the command line."""
    programs.run_program({'run': report_run, 'metrics': report_metrics})
