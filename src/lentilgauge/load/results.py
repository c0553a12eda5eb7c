"""Files of request samples, as JSON lines."""

import pathlib
from collections.abc import Iterable

import pydantic

from lentilgauge.load import samples


class ResultLine(pydantic.BaseModel):
    """One sample of a run; times are in microseconds from the run's start."""

    kind: str
    key: str
    scheduled_us: int
    ended_us: int
    executed: bool
    outcome: samples.Outcome
    error: str


def write_results(
    path: pathlib.Path,
    request_samples: Iterable[samples.Sample],
) -> None:
    """Write the samples of a run, ordered by their scheduled arrival."""
    ordered = sorted(request_samples, key=lambda sample: sample.scheduled_us)
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
    """Read the samples of a run."""
    return [
        ResultLine.model_validate_json(line)
        for line in path.read_text(encoding='utf-8').splitlines()
    ]
