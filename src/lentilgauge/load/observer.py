"""Ask the processes of an experiment what is true, and command them."""

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

_TIMEOUT_MS = 2000
_POLL_SECONDS = 0.02
SETTLE_SECONDS = 30


class NotReachedError(RuntimeError):
    """Report that a state was not reached in time."""


async def ask(
    client: http_client.Client,
    base_url: str,
    question: operator_link.Question,
    model: type[operator_link.Message],
) -> operator_link.AnswerResult[operator_link.Message]:
    """Ask one process one question."""
    link = operator_link.OperatorLink(
        client=client,
        base_url=base_url,
        timeout_ms=_TIMEOUT_MS,
    )
    return await operator_link.ask(link, question, model)


async def get_status(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
) -> operator_link.AnswerResult[status.StatusMessage]:
    """Ask a controller what it knows."""
    return await ask(
        client,
        cluster.get_url(topology.name_controller(vm)),
        operator_link.Question(method='GET', path='/status'),
        status.StatusMessage,
    )


async def get_metrics(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
) -> operator_link.AnswerResult[metrics_messages.MetricsMessage]:
    """Read a controller's metrics."""
    return await ask(
        client,
        cluster.get_url(topology.name_controller(vm)),
        operator_link.Question(method='GET', path='/metrics?format=json'),
        metrics_messages.MetricsMessage,
    )


def is_settled(message: status.StatusMessage) -> bool:
    """Tell whether every slot is owned and none moves."""
    return all(
        service.vacant == 0 and service.moving == 0 and service.balanced
        for service in message.services
    ) and bool(message.services)


def has_available(message: status.StatusMessage, count: int) -> bool:
    """Tell whether as many upstreams are available."""
    return sum(one.available for one in message.upstreams) == count


async def wait_until_settled(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
    available: int,
) -> status.StatusMessage:
    """Wait until a controller sees the system at rest."""
    deadline_ms = clock.read_monotonic_ms() + SETTLE_SECONDS * (
        clock.MS_PER_SECOND
    )
    while clock.read_monotonic_ms() < deadline_ms:
        asked = await get_status(cluster, client, vm)
        if isinstance(asked, result.Success):
            message: status.StatusMessage = asked.unwrap()
            if is_settled(message) and has_available(message, available):
                return message
        await asyncio.sleep(_POLL_SECONDS)
    raise NotReachedError(f'{vm.id} sees no settled system')


async def wait_until_ready(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
) -> None:
    """Wait until a VM's entry takes work."""
    url = f'{cluster.get_url(topology.name_admin(vm))}/readyz'
    for _ in range(int(SETTLE_SECONDS / _POLL_SECONDS)):
        sent = await http_client.send_call(
            client,
            http_client.Call(method='GET', url=url, timeout_ms=_TIMEOUT_MS),
        )
        if _is_ok(sent):
            return
        await asyncio.sleep(_POLL_SECONDS)
    raise NotReachedError(f'the entry of {vm.id} is not ready')


def _is_ok(sent: http_client.CallResult) -> bool:
    return (
        isinstance(sent, result.Success)
        and sent.unwrap().status == http.HTTPStatus.OK
    )


async def configure(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
) -> operator_link.AnswerResult[changes.AcceptedMessage]:
    """Hand the system its configuration."""
    path = pathlib.Path(cluster.folder / 'configuration.ini')
    read = configuration.read_configuration(path)
    if not isinstance(read, result.Success):
        return result.Failure(read.failure())
    return await command(
        cluster,
        client,
        vm,
        operator_link.Question(
            method='PUT',
            path='/configuration',
            message=changes.ConfigureMessage(
                expected_version=0,
                configuration=read.unwrap(),
            ),
        ),
    )


async def command(
    cluster: cluster_module.Cluster,
    client: http_client.Client,
    vm: topology.Vm,
    question: operator_link.Question,
) -> operator_link.AnswerResult[changes.AcceptedMessage]:
    """State through a controller what should become true."""
    return await ask(
        client,
        cluster.get_url(topology.name_controller(vm)),
        question,
        changes.AcceptedMessage,
    )


def make_domain_question(name: str, *, out: bool) -> operator_link.Question:
    """Make the command that takes a domain out or returns it."""
    return operator_link.Question(
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
    """Make a stand-in misbehave."""
    is_upstream = isinstance(faults, upstream_server.FaultsMessage)
    path = '/control/faults' if is_upstream else '/faults'
    await ask(
        client,
        cluster.get_url(name),
        operator_link.Question(method='POST', path=path, message=faults),
        type(faults),
    )
