"""Find out which VM runs which version of the configuration."""

import asyncio

import pydantic
from returns import result

from lentilgauge.links import operator_link
from lentilgauge.operators import status

_STATUS = operator_link.Question(method='GET', path='/status')


class VmVersion(pydantic.BaseModel):
    """Show one VM's version; `None` where it did not answer."""

    vm: str
    state: str
    version: int | None
    confirmed_age_ms: int | None


class VersionsMessage(pydantic.BaseModel):
    """Show all VMs' versions, and whether all live ones run the newest."""

    newest: int
    everywhere: bool
    vms: list[VmVersion]


async def _ask_vm(
    link: operator_link.OperatorLink,
    vm: status.VmStatus,
) -> VmVersion:
    answered = await operator_link.ask(
        operator_link.OperatorLink(
            client=link.client,
            base_url=vm.url,
            timeout_ms=link.timeout_ms,
        ),
        _STATUS,
        status.StatusMessage,
    )
    if not isinstance(answered, result.Success):
        return VmVersion(
            vm=vm.id,
            state=vm.state,
            version=None,
            confirmed_age_ms=None,
        )
    message: status.StatusMessage = answered.unwrap()
    return VmVersion(
        vm=vm.id,
        state=vm.state,
        version=message.configuration_version,
        confirmed_age_ms=message.confirmed_age_ms,
    )


async def collect_versions(
    link: operator_link.OperatorLink,
) -> operator_link.AnswerResult[VersionsMessage]:
    """Ask one controller for the VMs, then each VM for its version."""
    answered = await operator_link.ask(link, _STATUS, status.StatusMessage)
    if not isinstance(answered, result.Success):
        return result.Failure(answered.failure())
    message: status.StatusMessage = answered.unwrap()
    asked = await asyncio.gather(*(_ask_vm(link, vm) for vm in message.vms))
    known = [one.version for one in asked if one.version is not None]
    newest = max(known, default=message.configuration_version)
    return result.Success(
        VersionsMessage(
            newest=newest,
            everywhere=all(
                one.version == newest for one in asked if one.state == 'live'
            ),
            vms=list(asked),
        ),
    )
