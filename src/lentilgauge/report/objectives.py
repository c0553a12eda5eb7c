"""Read objectives from an INI file, one `[objective KIND]` each."""

import pathlib
from typing import Annotated

import pydantic
from returns import result

from lentilgauge import errors, settings
from lentilgauge.report import burn

Share = Annotated[float, pydantic.Field(gt=0, lt=1)]
_WORD = 'objective'


class ObjectiveModel(settings.Section):
    """Validate one objective."""

    availability: Share = 0.999
    latency_ms: Annotated[float, pydantic.Field(gt=0)] = 50
    in_time: Share = 0.99
    weight: Annotated[float, pydantic.Field(gt=0)] = 1


class ObjectivesFile(settings.Section):
    """Validate all objectives."""

    objectives: dict[settings.Name, ObjectiveModel]


def read_objectives(
    path: pathlib.Path,
) -> result.Result[list[burn.Objective], errors.Failure]:
    """Read objectives."""
    read = settings.read_sections(path)
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    named = {}
    for title, options in read.unwrap().items():
        word, _, kind = title.partition(' ')
        if word != _WORD:
            return result.Failure(
                errors.Failure(
                    kind=errors.ErrorKind.BAD_SETTINGS,
                    detail=(
                        f'{path}: section [{title}]: expected [{_WORD} KIND]'
                    ),
                ),
            )
        named[kind] = options
    validated = settings.validate(path, ObjectivesFile, {'objectives': named})
    return validated.map(_make_objectives)


def _make_objectives(model: ObjectivesFile) -> list[burn.Objective]:
    return [
        burn.Objective(
            kind=kind,
            availability=one.availability,
            latency_ms=one.latency_ms,
            in_time=one.in_time,
            weight=one.weight,
        )
        for kind, one in model.objectives.items()
    ]
