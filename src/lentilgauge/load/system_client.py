"""Query the state of an experiment's processes, and send them commands."""

import asyncio
import http
import pathlib

import pydantic
from returns import result

from lentilgauge import clock
from lentilgauge.links import http_client, metrics_messages, operator_link
from lentilgauge.load import cluster as cluster_module
from lentilgauge.load import topology
from lentilgauge.operators import changes, status
from lentilgauge.services import configuration
from lentilgauge.standins import upstream_server

_CALL_TIMEOUT_MS = 2000
_POLL_SECONDS = 0.02
SETTLE_TIMEOUT_SECONDS = 30


class StateTimeoutError(RuntimeError):
    """Raised when the system does not reach a state in time."""


async def send_request(
    client: http_client.Client,
    base_url: str,
    request: operator_link.OperatorRequest,
    model: type[operator_link.Message],
) -> operator_link.AnswerResult[operator_link.Message]:
    """Send a request to a process's operator interface; parse the answer."""
    link = operator_link.OperatorLink(
        client=client,
        base_url=base_url,
        timeout_ms=_CALL_TIMEOUT_MS,
    )
    return await operator_link.send_request(link, request, model)


async def get_status(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
) -> operator_link.AnswerResult[status.StatusMessage]:
    """Get the status that a controller reports."""
    return await send_request(
        client,
        cluster.get_url(topology.name_controller(vm)),
        operator_link.OperatorRequest(method='GET', path='/status'),
        status.StatusMessage,
    )


async def get_metrics(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
) -> operator_link.AnswerResult[metrics_messages.MetricsMessage]:
    """Get the metrics of a controller."""
    return await send_request(
        client,
        cluster.get_url(topology.name_controller(vm)),
        operator_link.OperatorRequest(
            method='GET', path='/metrics?format=json'
        ),
        metrics_messages.MetricsMessage,
    )


def is_settled(message: status.StatusMessage) -> bool:
    """Return whether no slot is vacant or moving and all services are balanced.

    A system without services isn't settled.
    """
    return all(
        service.vacant == 0 and service.moving == 0 and service.balanced
        for service in message.services
    ) and bool(message.services)


def has_available_upstreams(message: status.StatusMessage, count: int) -> bool:
    """Return whether exactly `count` upstreams are available."""
    return sum(upstream.available for upstream in message.upstreams) == count


async def wait_until_settled(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
    available_count: int,
) -> status.StatusMessage:
    """Wait until a controller reports a settled system.

    `available_count` is the number of upstreams that must be available. Raise
    `StateTimeoutError` if the system doesn't settle in time.
    """
    deadline_ms = clock.read_monotonic_ms() + SETTLE_TIMEOUT_SECONDS * (
        clock.MS_PER_SECOND
    )
    while clock.read_monotonic_ms() < deadline_ms:
        answer = await get_status(cluster, client, vm)
        if isinstance(answer, result.Success):
            message: status.StatusMessage = answer.unwrap()
            if is_settled(message) and has_available_upstreams(
                message,
                available_count,
            ):
                return message
        await asyncio.sleep(_POLL_SECONDS)
    raise StateTimeoutError(f'{vm.id} reported no settled system in time')


async def wait_until_ready(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
) -> None:
    """Wait until a VM's entry reports that it is ready.

    Raise `StateTimeoutError` if it isn't ready in time.
    """
    url = f'{cluster.get_url(topology.name_admin(vm))}/readyz'
    for _ in range(int(SETTLE_TIMEOUT_SECONDS / _POLL_SECONDS)):
        call_result = await http_client.send_call(
            client,
            http_client.Call(
                method='GET',
                url=url,
                timeout_ms=_CALL_TIMEOUT_MS,
            ),
        )
        if _is_ok(call_result):
            return
        await asyncio.sleep(_POLL_SECONDS)
    raise StateTimeoutError(f'the entry of {vm.id} was not ready in time')


def _is_ok(call_result: http_client.CallResult) -> bool:
    return (
        isinstance(call_result, result.Success)
        and call_result.unwrap().status == http.HTTPStatus.OK
    )


async def send_configuration(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
) -> operator_link.AnswerResult[changes.AcceptedMessage]:
    """Send the initial configuration, from `configuration.ini`."""
    path = pathlib.Path(cluster.folder / 'configuration.ini')
    parsed = configuration.read_configuration(path)
    if not isinstance(parsed, result.Success):
        return result.Failure(parsed.failure())
    return await send_command(
        cluster,
        client,
        vm,
        operator_link.OperatorRequest(
            method='PUT',
            path='/configuration',
            message=changes.ConfigureMessage(
                expected_version=0,
                configuration=parsed.unwrap(),
            ),
        ),
    )


async def send_command(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
    request: operator_link.OperatorRequest,
) -> operator_link.AnswerResult[changes.AcceptedMessage]:
    """Send a command to a controller; return whether it was accepted."""
    return await send_request(
        client,
        cluster.get_url(topology.name_controller(vm)),
        request,
        changes.AcceptedMessage,
    )


def make_domain_command(
    name: str, *, out: bool
) -> operator_link.OperatorRequest:
    """Make the command that takes a domain out of service or puts it back."""
    return operator_link.OperatorRequest(
        method='POST',
        path='/failure-domain',
        message=changes.SetDomainMessage(name=name, out=out),
    )


async def set_faults(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    name: str,
    faults: pydantic.BaseModel,
) -> None:
    """Set the faults that a stand-in or proxy injects."""
    is_upstream = isinstance(faults, upstream_server.FaultsMessage)
    path = '/control/faults' if is_upstream else '/faults'
    await send_request(
        client,
        cluster.get_url(name),
        operator_link.OperatorRequest(method='POST', path=path, message=faults),
        type(faults),
    )
