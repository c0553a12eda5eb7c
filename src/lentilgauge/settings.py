"""Settings of controllers and entries, read from INI files and validated."""

import configparser
import pathlib
from collections.abc import Mapping
from typing import Annotated, Literal, TypeVar

import pydantic
from returns import result

from lentilgauge import errors

MAX_PORT = 65_535
_DAY_MS = 86_400_000
_MIN_FRESHNESS_MS = 3000
#: A timeout must span at least this many intervals between messages, so that
#: one or two lost messages don't expire it.
_MIN_MESSAGES_PER_TIMEOUT = 3

Port = Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]
PositiveMs = Annotated[int, pydantic.Field(gt=0, le=_DAY_MS)]
#: An idle entry hears only once a second how fresh its state is, so it would
#: reach a shorter limit in normal operation.
FreshnessMs = Annotated[int, pydantic.Field(ge=_MIN_FRESHNESS_MS, le=_DAY_MS)]
Name = Annotated[
    str,
    pydantic.Field(pattern='^[a-z0-9][a-z0-9._-]{0,62}$'),
]


class Section(pydantic.BaseModel):
    """Base class of sections, which rejects unknown options."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class LogSettings(Section):
    """The lowest level that is logged, and the format of log lines."""

    level: Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    form: Literal['human', 'json'] = 'human'


class VmSettings(Section):
    """The entry VM that a process runs on."""

    id: Name
    failure_domain: Name
    address: pydantic.IPvAnyAddress


class PlatformSettings(Section):
    """Address of the platform's object API and VM list, and its timeouts.

    `timeout_ms` limits each call, in addition to the waiting time of a watch.
    A watch without changes ends after `watch_ms`, which confirms that the
    controller's state is current.
    """

    address: pydantic.IPvAnyAddress
    port: Port
    timeout_ms: PositiveMs = 1000
    watch_ms: PositiveMs = 600


class ControllerSettings(Section):
    """A controller's port, intervals and limits.

    Leases last `lease_ms` and are renewed every `heartbeat_ms`. Calls to
    upstreams and other controllers take at most `call_timeout_ms`. Peers get
    a heartbeat every `peer_heartbeat_ms` and are marked as lost if they
    answer none for `peer_timeout_ms`.

    Every `confirm_ms` the controller checks its own announcement and, while
    the platform can't be reached, reads changes from peers. Once the
    platform's last confirmation of its state is `confirm_grace_ms` old, it
    grants leases only while a quorum of witnesses vouches for them. A vouch
    lasts `vouch_ms`, and a request for it takes at most `vouch_timeout_ms`.

    `entry_freshness_ms` is the `freshness_ms` of the entries, after which
    they stop using old state. `moves_in_flight` limits the concurrent slot
    moves by which a service is rebalanced. The platform's VM list is read
    every `vm_list_ms`; `clock_drift_per_mille` bounds the drift between the
    clocks of two VMs.
    """

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
    """An entry's ports, limits on requests and shutdown times.

    An entry whose state is older than `freshness_ms` refuses requests. When
    stopped it reports that it isn't ready, but serves requests for another
    `stop_notice_ms`, in which load balancers notice; then it waits up to
    `stop_grace_ms` for requests in flight. `memory_mb` and `max_fds` are the
    memory and the descriptors that the process may use; with 0, callers are
    limited by neither.
    """

    port: Port
    admin_port: Port
    body_limit_bytes: Annotated[int, pydantic.Field(gt=0)] = 1_048_576
    header_limit_bytes: Annotated[int, pydantic.Field(gt=0)] = 16_384
    freshness_ms: FreshnessMs = 5000
    stop_notice_ms: PositiveMs = 1000
    stop_grace_ms: PositiveMs = 10_000
    memory_mb: Annotated[int, pydantic.Field(ge=0)] = 0
    max_fds: Annotated[int, pydantic.Field(ge=0)] = 0


class ControllerFile(Section):
    """Sections of a controller's settings file."""

    vm: VmSettings
    platform: PlatformSettings
    controller: ControllerSettings
    log: LogSettings = LogSettings()

    @pydantic.model_validator(mode='after')
    def check_intervals(self) -> 'ControllerFile':
        """Reject intervals that could cause a failover in normal operation."""
        intervals = self.controller
        if (
            intervals.heartbeat_ms * _MIN_MESSAGES_PER_TIMEOUT
            > intervals.lease_ms
        ):
            raise ValueError(
                'lease_ms must be at least three times heartbeat_ms',
            )
        if (
            self.platform.watch_ms * _MIN_MESSAGES_PER_TIMEOUT
            > intervals.confirm_grace_ms
        ):
            raise ValueError(
                'confirm_grace_ms must be at least three times watch_ms',
            )
        return self


class LocalControllerSettings(Section):
    """Address of the controller on the same VM."""

    address: pydantic.IPvAnyAddress
    port: Port


class EntryFile(Section):
    """Sections of an entry's settings file."""

    vm: VmSettings
    controller: LocalControllerSettings
    entry: EntrySettings
    log: LogSettings = LogSettings()


FileModel = TypeVar('FileModel', bound=Section)
FileResult = result.Result[FileModel, errors.Failure]


def _make_failure(detail: str) -> errors.Failure:
    return errors.Failure(kind=errors.ErrorKind.BAD_SETTINGS, detail=detail)


def _describe_error(
    path: pathlib.Path, validation_error: Mapping[str, object]
) -> str:
    """Describe a validation error with its file, section and option."""
    location = validation_error['loc']
    location_parts = (
        [str(part) for part in location] if isinstance(location, tuple) else []
    )
    section = location_parts[0] if location_parts else '?'
    place = f'{path}: section [{section}]'
    if len(location_parts) > 1:
        place = f'{place}, option {".".join(location_parts[1:])}'
    rejected = validation_error['input']
    rejected_text = '' if isinstance(rejected, dict) else f' (got {rejected!r})'
    return f'{place}: {validation_error["msg"]}{rejected_text}'


def read_sections(
    path: pathlib.Path,
) -> result.Result[dict[str, dict[str, str]], errors.Failure]:
    """Parse an INI file into sections, without interpolating options."""
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section='',
        inline_comment_prefixes=('#',),
    )
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as read_error:
        return result.Failure(_make_failure(f'{path}: {read_error}'))
    try:
        parser.read_string(text, source=str(path))
    except configparser.Error as parse_error:
        return result.Failure(_make_failure(str(parse_error)))
    return result.Success(
        {name: dict(parser.items(name)) for name in parser.sections()}
    )


def validate_sections(
    path: pathlib.Path,
    model: type[FileModel],
    sections: Mapping[str, object],
) -> FileResult[FileModel]:
    """Validate sections against a model.

    A failure names every invalid option and what was expected there.
    """
    try:
        return result.Success(model.model_validate(sections))
    except pydantic.ValidationError as error:
        lines = [
            _describe_error(path, dict(error_details))
            for error_details in error.errors()
        ]
        return result.Failure(_make_failure('\n'.join(lines)))


def read_settings(
    path: pathlib.Path,
    model: type[FileModel],
) -> FileResult[FileModel]:
    """Read and validate a settings file."""
    return read_sections(path).bind(
        lambda sections: validate_sections(path, model, sections),
    )
