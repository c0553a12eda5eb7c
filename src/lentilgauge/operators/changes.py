"""Accept changes of configuration, all or nothing."""

import pydantic
from returns import result

from lentilgauge import errors, logs
from lentilgauge.services import configuration
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import object_writes, replica


class ConfigureMessage(pydantic.BaseModel):
    """Ask for a new configuration over an expected version."""

    expected_version: int
    configuration: configuration.ConfigurationModel


class SetDomainMessage(pydantic.BaseModel):
    """Ask to take a failure domain out or to return it."""

    name: str
    out: bool


class SetUpstreamMessage(pydantic.BaseModel):
    """Ask to drain an upstream or to return it."""

    id: str
    draining: bool


class AcceptedMessage(pydantic.BaseModel):
    """Say that the platform holds a new version of the configuration."""

    version: int


AcceptResult = result.Result[AcceptedMessage, errors.Failure]


def _read_model(
    controller: controller_module.Controller,
) -> configuration.ConfigurationModel:
    found = controller.replica.object_by_name.get(configuration.OBJECT_NAME)
    body = {} if found is None else found.body
    return configuration.ConfigurationModel.model_validate(body)


def _refuse(kind: errors.ErrorKind, detail: str) -> AcceptResult:
    return result.Failure(errors.Failure(kind=kind, detail=detail))


async def replace_configuration(
    controller: controller_module.Controller,
    message: ConfigureMessage,
) -> AcceptResult:
    """Replace the whole configuration if its version is the expected one."""
    name = configuration.OBJECT_NAME
    known = replica.get_version(controller.replica, name)
    if known < message.expected_version:
        await object_writes.refresh_object(controller, name)
        known = replica.get_version(controller.replica, name)
    if known != message.expected_version:
        return _refuse(
            errors.ErrorKind.CONFLICT,
            f'the configuration is at version {known}',
        )
    current = _read_model(controller)
    wanted = message.configuration.model_copy(
        update={'write_ids': current.write_ids},
    )
    written = await object_writes.write_model(controller, name, wanted)
    if not isinstance(written, result.Success):
        return result.Failure(written.failure())
    accepted = AcceptedMessage(version=written.unwrap().version)
    logs.log_change('configuration accepted', version=accepted.version)
    return result.Success(accepted)


async def set_domain(
    controller: controller_module.Controller,
    message: SetDomainMessage,
) -> AcceptResult:
    """Take a failure domain out, or return it."""
    current = _read_model(controller)
    if message.name not in current.failure_domains:
        return _refuse(
            errors.ErrorKind.BAD_COMMAND,
            f'there is no failure domain {message.name!r}',
        )
    domains = {
        **current.failure_domains,
        message.name: configuration.FailureDomainModel(out=message.out),
    }
    return await _change(controller, current, {'failure_domains': domains})


async def set_upstream(
    controller: controller_module.Controller,
    message: SetUpstreamMessage,
) -> AcceptResult:
    """Drain an upstream, or return it."""
    current = _read_model(controller)
    found = current.upstreams.get(message.id)
    if found is None:
        return _refuse(
            errors.ErrorKind.BAD_COMMAND,
            f'there is no upstream {message.id!r}',
        )
    upstreams = {
        **current.upstreams,
        message.id: found.model_copy(update={'draining': message.draining}),
    }
    return await _change(controller, current, {'upstreams': upstreams})


async def _change(
    controller: controller_module.Controller,
    current: configuration.ConfigurationModel,
    update: dict[str, object],
) -> AcceptResult:
    return await replace_configuration(
        controller,
        ConfigureMessage(
            expected_version=controller.replica.config.version,
            configuration=current.model_copy(update=update),
        ),
    )
