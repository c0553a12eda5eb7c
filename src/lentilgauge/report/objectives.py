"""Objectives in an INI file, with a section `[objective KIND]` for each."""

import pathlib
from typing import Annotated

import pydantic
from returns import result

from lentilgauge import errors, settings
from lentilgauge.report import burn_rates

Share = Annotated[float, pydantic.Field(gt=0, lt=1)]
_SECTION_PREFIX = 'objective'


class ObjectiveModel(settings.Section):
    """Options of an objective and their defaults."""

    availability: Share = 0.999
    latency_ms: Annotated[float, pydantic.Field(gt=0)] = 50
    in_time: Share = 0.99
    weight: Annotated[float, pydantic.Field(gt=0)] = 1


class ObjectivesFile(settings.Section):
    """All objectives of a file, by kind of request."""

    objectives: dict[settings.Name, ObjectiveModel]


def read_objectives(
    path: pathlib.Path,
) -> result.Result[list[burn_rates.Objective], errors.Failure]:
    """Read the objectives of a file."""
    loaded = settings.read_sections(path)
    if not isinstance(loaded, result.Success):
        return result.Failure(loaded.failure())
    options_by_kind = {}
    for section, options in loaded.unwrap().items():
        prefix, _, kind = section.partition(' ')
        if prefix != _SECTION_PREFIX:
            return result.Failure(
                errors.Failure(
                    kind=errors.ErrorKind.BAD_SETTINGS,
                    detail=(
                        f'{path}: section [{section}]: expected '
                        f'[{_SECTION_PREFIX} KIND]'
                    ),
                ),
            )
        options_by_kind[kind] = options
    validated = settings.validate_sections(
        path, ObjectivesFile, {'objectives': options_by_kind}
    )
    return validated.map(_make_objectives)


def _make_objectives(model: ObjectivesFile) -> list[burn_rates.Objective]:
    return [
        burn_rates.Objective(
            kind=kind,
            availability=objective_model.availability,
            latency_ms=objective_model.latency_ms,
            in_time=objective_model.in_time,
            weight=objective_model.weight,
        )
        for kind, objective_model in model.objectives.items()
    ]
