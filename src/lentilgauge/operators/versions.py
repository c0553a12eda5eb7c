"""Collection of the configuration versions that VMs run."""

import asyncio

import pydantic
from returns import result

from lentilgauge.links import operator_link
from lentilgauge.operators import status

_STATUS_REQUEST = operator_link.OperatorRequest(method='GET', path='/status')


class VmVersion(pydantic.BaseModel):
    """Configuration version of a VM; `None` if the VM did not answer."""

    vm: str
    state: str
    version: int | None
    confirmed_age_ms: int | None


class VersionsMessage(pydantic.BaseModel):
    """Versions of all VMs; `everywhere` if all live ones run the newest."""

    newest: int
    everywhere: bool
    vms: list[VmVersion]


async def _query_vm(
    link: operator_link.OperatorLink,
    vm: status.VmStatus,
) -> VmVersion:
    reply = await operator_link.send_request(
        operator_link.OperatorLink(
            client=link.client,
            base_url=vm.url,
            timeout_ms=link.timeout_ms,
        ),
        _STATUS_REQUEST,
        status.StatusMessage,
    )
    if not isinstance(reply, result.Success):
        return VmVersion(
            vm=vm.id,
            state=vm.state,
            version=None,
            confirmed_age_ms=None,
        )
    message: status.StatusMessage = reply.unwrap()
    return VmVersion(
        vm=vm.id,
        state=vm.state,
        version=message.configuration_version,
        confirmed_age_ms=message.confirmed_age_ms,
    )


async def collect_versions(
    link: operator_link.OperatorLink,
) -> operator_link.AnswerResult[VersionsMessage]:
    """Query one controller for the VMs, then each VM for its version."""
    reply = await operator_link.send_request(
        link, _STATUS_REQUEST, status.StatusMessage
    )
    if not isinstance(reply, result.Success):
        return result.Failure(reply.failure())
    message: status.StatusMessage = reply.unwrap()
    vm_versions = await asyncio.gather(
        *(_query_vm(link, vm) for vm in message.vms)
    )
    reported_versions = [
        vm_version.version
        for vm_version in vm_versions
        if vm_version.version is not None
    ]
    newest = max(reported_versions, default=message.configuration_version)
    return result.Success(
        VersionsMessage(
            newest=newest,
            everywhere=all(
                vm_version.version == newest
                for vm_version in vm_versions
                if vm_version.state == 'live'
            ),
            vms=list(vm_versions),
        ),
    )
