"""Validation of the configuration from INI files or the platform's store."""

import pathlib
import types
from typing import Annotated

import pydantic
from returns import result

from lentilgauge import errors, settings
from lentilgauge.services import catalog

#: Limit that lets a service's slots and epochs fit into one platform object.
MAX_SLOTS = 32_768
#: Name of the platform's object that holds the configuration.
OBJECT_NAME = 'configuration'
_KEY_SEGMENT = '{key}'
_KIND_WORDS = 3

Positive = Annotated[int, pydantic.Field(gt=0)]
Weight = Annotated[float, pydantic.Field(gt=0, le=1000)]
Method = Annotated[str, pydantic.Field(pattern='^(GET|HEAD|POST|PUT|DELETE)$')]
Template = Annotated[str, pydantic.Field(pattern=r'^(/[\w.~-]+|/\{key\})+$')]


class ServiceModel(settings.Section):
    """Options of a service."""

    slots: Annotated[int, pydantic.Field(ge=0, le=MAX_SLOTS)] = 0


class KindModel(settings.Section):
    """Options of a kind of request."""

    service: settings.Name
    method: Method
    path: Template
    idempotent: bool
    key_header: str = ''
    priority: Annotated[int, pydantic.Field(ge=0, le=2)] = 1
    weight: Weight = 1
    timeout_ms: settings.PositiveMs = 2000


class UpstreamModel(settings.Section):
    """Options of an upstream."""

    service: settings.Name
    failure_domain: settings.Name
    address: pydantic.IPvAnyAddress
    port: settings.Port
    control_port: Annotated[int, pydantic.Field(ge=0, le=settings.MAX_PORT)] = 0
    concurrency: Positive = 2
    connections: Positive = 120
    checks_tokens: bool = True
    weight: Weight = 1
    draining: bool = False


class FailureDomainModel(settings.Section):
    """Options of a failure domain."""

    out: bool = False


class ConfigurationModel(settings.Section):
    """Complete configuration, in which every reference must resolve.

    `write_ids` are the ids of the latest writes to the platform's object, by
    which a writer recognises a write whose reply it lost.
    """

    services: dict[settings.Name, ServiceModel] = pydantic.Field(
        default_factory=dict,
    )
    kinds: dict[settings.Name, KindModel] = pydantic.Field(
        default_factory=dict,
    )
    upstreams: dict[settings.Name, UpstreamModel] = pydantic.Field(
        default_factory=dict,
    )
    failure_domains: dict[settings.Name, FailureDomainModel] = pydantic.Field(
        default_factory=dict,
    )
    write_ids: list[str] = pydantic.Field(
        default_factory=list,
    )

    @pydantic.model_validator(mode='after')
    def check_references(self) -> 'ConfigurationModel':
        """Reject references to services or failure domains that don't exist."""
        for name, kind in self.kinds.items():
            _check_kind(self, name, kind)
        for upstream_id, upstream in self.upstreams.items():
            _expect(upstream.service in self.services, upstream_id, 'service')
            _expect(
                upstream.failure_domain in self.failure_domains,
                upstream_id,
                'failure_domain',
            )
        return self


def _expect(condition: bool, name: str, option: str) -> None:
    if not condition:
        raise ValueError(f'{name}: option {option} refers to an unknown name')


def _check_kind(
    model: ConfigurationModel,
    name: str,
    kind: KindModel,
) -> None:
    service = model.services.get(kind.service)
    if service is None:
        raise ValueError(f'{name}: option service refers to an unknown name')
    has_key = _KEY_SEGMENT in kind.path or kind.key_header
    if service.slots and not has_key:
        raise ValueError(
            f'{name}: a kind of a keyed service needs {_KEY_SEGMENT} in its '
            'path or the option key_header',
        )


def _make_kind(name: str, model: KindModel) -> catalog.Kind:
    return catalog.Kind(
        name=name,
        service=model.service,
        method=model.method,
        template=model.path,
        idempotent=model.idempotent,
        key_header=model.key_header,
        priority=catalog.Priority(model.priority),
        weight=model.weight,
        timeout_ms=model.timeout_ms,
    )


def _make_upstream(name: str, model: UpstreamModel) -> catalog.Upstream:
    return catalog.Upstream(
        id=name,
        service=model.service,
        failure_domain=model.failure_domain,
        address=str(model.address),
        port=model.port,
        control_port=model.control_port,
        concurrency=model.concurrency,
        connections=model.connections,
        checks_tokens=model.checks_tokens,
        weight=model.weight,
        draining=model.draining,
    )


def make_catalog(
    version: int,
    model: ConfigurationModel,
) -> catalog.Catalog:
    """Build the catalog of a validated configuration."""
    return catalog.Catalog(
        version=version,
        service_by_name={
            name: catalog.Service(name=name, slot_count=service.slots)
            for name, service in model.services.items()
        },
        kinds=tuple(
            _make_kind(name, kind) for name, kind in model.kinds.items()
        ),
        upstream_by_id={
            name: _make_upstream(name, upstream)
            for name, upstream in model.upstreams.items()
        },
        failure_domain_by_name={
            name: catalog.FailureDomain(name=name, out=domain.out)
            for name, domain in model.failure_domains.items()
        },
    )


_GROUP_BY_PREFIX = types.MappingProxyType(
    {
        'service': 'services',
        'kind': 'kinds',
        'upstream': 'upstreams',
        'failure_domain': 'failure_domains',
    }
)


def read_configuration(
    path: pathlib.Path,
) -> settings.FileResult[ConfigurationModel]:
    """Read an INI file with sections such as `[upstream NAME]`."""
    return settings.read_sections(path).bind(
        lambda sections: _group_sections(path, sections),
    )


def _group_sections(
    path: pathlib.Path,
    sections: dict[str, dict[str, str]],
) -> settings.FileResult[ConfigurationModel]:
    groups: dict[str, dict[str, object]] = {}
    for title, options in sections.items():
        prefix, _, name = title.partition(' ')
        group = _GROUP_BY_PREFIX.get(prefix)
        if group is None or not name:
            return result.Failure(
                errors.Failure(
                    kind=errors.ErrorKind.BAD_SETTINGS,
                    detail=(
                        f'{path}: section [{title}]: expected one of '
                        f'{", ".join(_GROUP_BY_PREFIX)} followed by a name'
                    ),
                ),
            )
        groups.setdefault(group, {})[name.strip()] = options
    return settings.validate_sections(path, ConfigurationModel, groups)
