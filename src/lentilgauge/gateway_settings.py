"""Read a gateway's own INI settings, and refuse whatever does not fit.

The older daemons read theirs with a heavier library; a gateway that is
started anew should serve within a fraction of a second.
"""

import configparser
import pathlib
from typing import Annotated, Literal

import msgspec
from returns import result

from lentilgauge import errors

_LAST_PORT = 65_535

Port = Annotated[int, msgspec.Meta(ge=1, le=_LAST_PORT)]


class MetricsSection(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Say where counters and histograms are served."""

    port: Port = 9464


class LogSection(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Say which lines are written: all, or all but those on answers."""

    level: Literal['all', 'changes'] = 'all'


class GatewayFile(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Validate a gateway's settings file."""

    metrics: MetricsSection = MetricsSection()
    log: LogSection = LogSection()


FileResult = result.Result[GatewayFile, errors.Failure]


def _refuse(detail: str) -> FileResult:
    return result.Failure(
        errors.Failure(kind=errors.ErrorKind.BAD_SETTINGS, detail=detail),
    )


def read_gateway_file(path: pathlib.Path) -> FileResult:
    """Read the file; a failure names file, place and what was expected."""
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        inline_comment_prefixes=('#',),
    )
    try:
        parser.read_string(path.read_text(encoding='utf-8'), source=str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as fault:
        return _refuse(f'{path}: {fault}')
    sections = {name: dict(parser.items(name)) for name in parser.sections()}
    try:
        found = msgspec.convert(sections, GatewayFile, strict=False)
    except msgspec.ValidationError as fault:
        return _refuse(f'{path}: {fault}')
    return result.Success(found)
