"""Settings of a gateway process, read from an INI file and validated.

The older daemons use pydantic for theirs, which is heavier than msgspec; a
restarted gateway should serve requests within a fraction of a second.
"""

import configparser
import pathlib
import types
from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec
from returns import result

from lentilgauge import errors

_MAX_PORT = 65_535
_EXPECTED_BY_SECTION: Mapping[str, Mapping[str, str]] = types.MappingProxyType(
    {
        'metrics': {'port': f'an integer from 1 to {_MAX_PORT}'},
        'log': {'level': 'all or changes'},
    },
)

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

    A failure names the file, the section, the option and what was expected
    there.
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
        place = _describe_first_error(sections, str(error))
        return _make_failure(f'{path}: {place} ({error})')
    return result.Success(settings)


def _describe_first_error(
    sections: Mapping[str, Mapping[str, str]],
    error_text: str,
) -> str:
    """Describe what the first invalid section or option should have been."""
    for section, options in sections.items():
        expected_by_option = _EXPECTED_BY_SECTION.get(section)
        if expected_by_option is None:
            return f'section [{section}]: expected [metrics] or [log]'
        for option, text in options.items():
            place = f'section [{section}], option {option}'
            if option not in expected_by_option:
                return f'{place}: expected {", ".join(expected_by_option)}'
            if f'$.{section}.{option}`' in error_text:
                expected = expected_by_option[option]
                return f'{place}: expected {expected}, got {text!r}'
    return error_text


def describe_unusable_port(
    path: pathlib.Path, address: str, port: int, error: OSError
) -> str:
    """Describe why the metrics can't be served at a file's port."""
    return (
        f'{path}: section [metrics], option port: expected a port that is free '
        f'on {address}, got {port} ({error})'
    )
