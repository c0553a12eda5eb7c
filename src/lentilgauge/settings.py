"""Read INI settings and refuse whatever does not fit."""

import configparser
import pathlib
from collections.abc import Mapping
from typing import Annotated, Literal, TypeVar

import pydantic
from returns import result

from lentilgauge import errors

LAST_PORT = 65_535
_DAY_MS = 86_400_000
_LEAST_FRESHNESS_MS = 3000
#: How many messages in a row may be lost before their loss has effect.
_LEAST_TRIES = 3

Port = Annotated[int, pydantic.Field(ge=1, le=LAST_PORT)]
PositiveMs = Annotated[int, pydantic.Field(gt=0, le=_DAY_MS)]
#: An entry at rest hears once a second how fresh what it knows is.
FreshnessMs = Annotated[int, pydantic.Field(ge=_LEAST_FRESHNESS_MS, le=_DAY_MS)]
Name = Annotated[
    str,
    pydantic.Field(pattern='^[a-z0-9][a-z0-9._-]{0,62}$'),
]


class Section(pydantic.BaseModel):
    """Validate one section: unknown options are refused."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class LogSettings(Section):
    """Say how much is logged and in which form."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    form: Literal['human', 'json'] = 'human'


class VmSettings(Section):
    """Name the entry VM that a process runs on."""

    id: Name
    failure_domain: Name
    address: pydantic.IPvAnyAddress


class PlatformSettings(Section):
    """Locate the platform's object API and VM list."""

    address: pydantic.IPvAnyAddress
    port: Port
    timeout_ms: PositiveMs = 1000
    watch_ms: PositiveMs = 600


class ControllerSettings(Section):
    """Set a controller's port and its intervals."""

    port: Port
    lease_ms: PositiveMs = 1200
    heartbeat_ms: PositiveMs = 300
    call_timeout_ms: PositiveMs = 200
    peer_heartbeat_ms: PositiveMs = 250
    peer_timeout_ms: PositiveMs = 600
    confirm_ms: PositiveMs = 1000
    vm_list_ms: PositiveMs = 1000
    confirm_grace_ms: PositiveMs = 2500
    vouch_ms: PositiveMs = 4000
    vouch_timeout_ms: PositiveMs = 500
    clock_drift_per_mille: Annotated[int, pydantic.Field(ge=0, le=100)] = 2
    entry_freshness_ms: FreshnessMs = 5000
    moves_in_flight: Annotated[int, pydantic.Field(ge=1, le=1000)] = 4


class EntrySettings(Section):
    """Set an entry's port and what it accepts from callers."""

    port: Port
    admin_port: Port
    body_limit_bytes: Annotated[int, pydantic.Field(gt=0)] = 1_048_576
    header_limit_bytes: Annotated[int, pydantic.Field(gt=0)] = 16_384
    freshness_ms: FreshnessMs = 5000
    stop_notice_ms: PositiveMs = 1000
    stop_grace_ms: PositiveMs = 10_000


class ControllerFile(Section):
    """Validate the settings file of a controller."""

    vm: VmSettings
    platform: PlatformSettings
    controller: ControllerSettings
    log: LogSettings = LogSettings()

    @pydantic.model_validator(mode='after')
    def check_intervals(self) -> 'ControllerFile':
        """Refuse intervals that would make a system at rest fail over."""
        lengths = self.controller
        if lengths.heartbeat_ms * _LEAST_TRIES > lengths.lease_ms:
            raise ValueError(
                'lease_ms must be at least three times heartbeat_ms',
            )
        if self.platform.watch_ms * _LEAST_TRIES > lengths.confirm_grace_ms:
            raise ValueError(
                'confirm_grace_ms must be at least three times watch_ms',
            )
        return self


class LocalControllerSettings(Section):
    """Locate the controller on the same VM."""

    address: pydantic.IPvAnyAddress
    port: Port


class EntryFile(Section):
    """Validate the settings file of an entry."""

    vm: VmSettings
    controller: LocalControllerSettings
    entry: EntrySettings
    log: LogSettings = LogSettings()


FileModel = TypeVar('FileModel', bound=Section)
FileResult = result.Result[FileModel, errors.Failure]


def _refuse(detail: str) -> errors.Failure:
    return errors.Failure(kind=errors.ErrorKind.BAD_SETTINGS, detail=detail)


def _describe(path: pathlib.Path, problem: Mapping[str, object]) -> str:
    """Name file, section, option and what was expected."""
    where = problem['loc']
    parts = [str(part) for part in where] if isinstance(where, tuple) else []
    section = parts[0] if parts else '?'
    place = f'{path}: section [{section}]'
    if len(parts) > 1:
        place = f'{place}, option {".".join(parts[1:])}'
    given = problem['input']
    shown = '' if isinstance(given, dict) else f' (got {given!r})'
    return f'{place}: {problem["msg"]}{shown}'


def read_sections(
    path: pathlib.Path,
) -> result.Result[dict[str, dict[str, str]], errors.Failure]:
    """Read an INI file into its sections, without interpolation."""
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        inline_comment_prefixes=('#',),
    )
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as unreadable:
        return result.Failure(_refuse(f'{path}: {unreadable}'))
    try:
        parser.read_string(text, source=str(path))
    except configparser.Error as malformed:
        return result.Failure(_refuse(str(malformed)))
    return result.Success(
        {name: dict(parser.items(name)) for name in parser.sections()}
    )


def validate(
    path: pathlib.Path,
    model: type[FileModel],
    sections: Mapping[str, object],
) -> FileResult[FileModel]:
    """Validate sections against a model; a failure names every place."""
    try:
        return result.Success(model.model_validate(sections))
    except pydantic.ValidationError as invalid:
        lines = [_describe(path, dict(found)) for found in invalid.errors()]
        return result.Failure(_refuse('\n'.join(lines)))


def read_settings(
    path: pathlib.Path,
    model: type[FileModel],
) -> FileResult[FileModel]:
    """Read and validate a settings file."""
    return read_sections(path).bind(
        lambda sections: validate(path, model, sections),
    )
