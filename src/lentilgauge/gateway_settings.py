"""Settings of a gateway process, read from an INI file and validated.

The older daemons use pydantic for theirs, which is heavier than msgspec; a
restarted gateway should serve requests within a fraction of a second.
"""

import configparser
import pathlib
from typing import Annotated, Literal

import msgspec
from returns import result

from lentilgauge import errors

_MAX_PORT = 65_535

Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]


class MetricsSection(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Where counters and histograms are served."""

    port: Port = 9464


class LogSection(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Which log lines are written.

    The level `changes` leaves out those on answered and abandoned requests.
    """

    level: Literal['all', 'changes'] = 'all'


class GatewayFile(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Sections of a gateway's settings file."""

    metrics: MetricsSection = MetricsSection()
    log: LogSection = LogSection()


FileResult = result.Result[GatewayFile, errors.Failure]


def _make_failure(detail: str) -> FileResult:
    return result.Failure(
        errors.Failure(kind=errors.ErrorKind.BAD_SETTINGS, detail=detail),
    )


def read_gateway_file(path: pathlib.Path) -> FileResult:
    """Read a settings file.

    A failure names the file, the option and what was expected there.
    """
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        inline_comment_prefixes=('#',),
    )
    try:
        parser.read_string(path.read_text(encoding='utf-8'), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return _make_failure(f'{path}: {error}')
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        settings = msgspec.convert(sections, GatewayFile, strict=False)
    except msgspec.ValidationError as error:
        return _make_failure(f'{path}: {error}')
    return result.Success(settings)
