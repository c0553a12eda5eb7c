"""Changes of the configuration that operators request.

Each change is written as a whole or not at all.
"""

import pydantic
from returns import result

from lentilgauge import errors, logs
from lentilgauge.services import configuration
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import object_writes, replica


class ConfigureMessage(pydantic.BaseModel):
    """Request to replace the configuration if it is at `expected_version`."""

    expected_version: int
    configuration: configuration.ConfigurationModel


class SetDomainMessage(pydantic.BaseModel):
    """Request to take a failure domain out of service or to return it."""

    name: str
    out: bool


class SetUpstreamMessage(pydantic.BaseModel):
    """Request to drain an upstream or to return it to service."""

    id: str
    draining: bool


class AcceptedMessage(pydantic.BaseModel):
    """Reply to a change: the version under which the platform stored it."""

    version: int


ChangeResult = result.Result[AcceptedMessage, errors.Failure]


def _load_current_model(
    controller: controller_module.Controller,
) -> configuration.ConfigurationModel:
    stored = controller.replica.object_by_name.get(configuration.OBJECT_NAME)
    body = {} if stored is None else stored.body
    return configuration.ConfigurationModel.model_validate(body)


def _make_failure(kind: errors.ErrorKind, detail: str) -> ChangeResult:
    return result.Failure(errors.Failure(kind=kind, detail=detail))


async def replace_configuration(
    controller: controller_module.Controller,
    message: ConfigureMessage,
) -> ChangeResult:
    """Replace the whole configuration if its version is the expected one.

    A replica that is behind the expected version is refreshed first.
    """
    name = configuration.OBJECT_NAME
    current_version = replica.get_version(controller.replica, name)
    if current_version < message.expected_version:
        await object_writes.refresh_object(controller, name)
        current_version = replica.get_version(controller.replica, name)
    if current_version != message.expected_version:
        return _make_failure(
            errors.ErrorKind.CONFLICT,
            f'the configuration is at version {current_version}',
        )
    current = _load_current_model(controller)
    replacement = message.configuration.model_copy(
        update={'write_ids': current.write_ids},
    )
    write_result = await object_writes.write_if_unchanged(
        controller, name, replacement
    )
    if not isinstance(write_result, result.Success):
        return result.Failure(write_result.failure())
    accepted = AcceptedMessage(version=write_result.unwrap().version)
    logs.log_change('configuration accepted', version=accepted.version)
    return result.Success(accepted)


async def set_domain(
    controller: controller_module.Controller,
    message: SetDomainMessage,
) -> ChangeResult:
    """Take a failure domain out of service, or return it."""
    current = _load_current_model(controller)
    if message.name not in current.failure_domains:
        return _make_failure(
            errors.ErrorKind.BAD_COMMAND,
            f'there is no failure domain {message.name!r}',
        )
    domains = {
        **current.failure_domains,
        message.name: configuration.FailureDomainModel(out=message.out),
    }
    return await _update_configuration(
        controller, current, {'failure_domains': domains}
    )


async def set_upstream(
    controller: controller_module.Controller,
    message: SetUpstreamMessage,
) -> ChangeResult:
    """Drain an upstream, or return it to service."""
    current = _load_current_model(controller)
    upstream = current.upstreams.get(message.id)
    if upstream is None:
        return _make_failure(
            errors.ErrorKind.BAD_COMMAND,
            f'there is no upstream {message.id!r}',
        )
    upstreams = {
        **current.upstreams,
        message.id: upstream.model_copy(update={'draining': message.draining}),
    }
    return await _update_configuration(
        controller, current, {'upstreams': upstreams}
    )


async def _update_configuration(
    controller: controller_module.Controller,
    current: configuration.ConfigurationModel,
    update: dict[str, object],
) -> ChangeResult:
    return await replace_configuration(
        controller,
        ConfigureMessage(
            expected_version=controller.replica.config.version,
            configuration=current.model_copy(update=update),
        ),
    )
