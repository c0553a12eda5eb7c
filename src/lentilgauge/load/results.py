"""Keep the results of a run as JSON lines."""

import pathlib
from collections.abc import Iterable

import pydantic

from lentilgauge.load import samples


class ResultLine(pydantic.BaseModel):
    """Carry one sample of a run, times in microseconds from its start."""

    kind: str
    key: str
    scheduled_us: int
    ended_us: int
    executed: bool
    outcome: samples.Outcome
    error: str


def write_results(
    path: pathlib.Path,
    taken: Iterable[samples.Sample],
) -> None:
    """Write a run's samples in the order of their arrival."""
    ordered = sorted(taken, key=lambda sample: sample.scheduled_us)
    lines = [
        ResultLine(
            kind=sample.kind,
            key=sample.key,
            scheduled_us=sample.scheduled_us,
            ended_us=sample.ended_us,
            executed=sample.outcome is samples.Outcome.EXECUTED,
            outcome=sample.outcome,
            error=sample.error or '',
        ).model_dump_json()
        for sample in ordered
    ]
    path.write_text('\n'.join((*lines, '')), encoding='utf-8')


def read_results(path: pathlib.Path) -> list[ResultLine]:
    """Read a run's samples."""
    return [
        ResultLine.model_validate_json(line)
        for line in path.read_text(encoding='utf-8').splitlines()
    ]
