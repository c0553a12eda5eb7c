"""HTTP API of the platform stand-in: objects, watches, VM list, faults."""

import asyncio
import dataclasses
import http

import pydantic
from tornado import httpserver

from lentilgauge import clock, errors
from lentilgauge.links import http_server, platform_messages
from lentilgauge.standins import store as store_module

_OBJECT_PREFIX = '/objects/'
#: Delay of a request while the platform is down, and of a lost answer.
_UNANSWERED_SECONDS = 30


class FaultsMessage(pydantic.BaseModel):
    """Faults that the stand-in has to show.

    `down` leaves requests unanswered, `delay_ms` delays them, and
    `lose_answers` is the number of next writes that take effect without an
    answer. An unanswered request gets its answer after 30 seconds, when its
    caller has given up.
    """

    down: bool = False
    delay_ms: int = 0
    lose_answers: int = 0


class AccountingMessage(pydantic.BaseModel):
    """Number of calls that the platform has billed, by kind."""

    reads: int
    writes: int
    watches: int


@dataclasses.dataclass(slots=True, kw_only=True)
class VmList:
    """VMs as the platform lists them, which lags behind their real state."""

    by_id: dict[str, platform_messages.ListedVm] = dataclasses.field(
        default_factory=dict,
    )


class VmStateMessage(pydantic.BaseModel):
    """State of a VM that the VM list shows after `lag_ms`."""

    id: str
    leaving: bool = False
    gone: bool = False
    lag_ms: int = 0


async def _apply_delays(store: store_module.Store) -> None:
    if store.faults.down:
        await asyncio.sleep(_UNANSWERED_SECONDS)
    if store.faults.delay_ms:
        await asyncio.sleep(clock.to_seconds(store.faults.delay_ms))


def _respond_refusal(kind: errors.ErrorKind) -> http_server.Response:
    return http_server.respond_failure(
        errors.Failure(kind=kind, detail='request refused by the object store'),
    )


def make_object_routes(store: store_module.Store) -> http_server.Routes:
    """Make the routes of the object API."""

    async def get_object(request: http_server.Request) -> http_server.Response:
        await _apply_delays(store)
        store.accounting.reads += 1
        current = store.object_by_name.get(
            request.path.removeprefix(_OBJECT_PREFIX)
        )
        if current is None:
            return _respond_refusal(errors.ErrorKind.NO_SUCH_KIND)
        return http_server.respond(current)

    async def put_object(request: http_server.Request) -> http_server.Response:
        await _apply_delays(store)
        message = platform_messages.PutMessage.model_validate_json(
            request.body,
        )
        name = request.path.removeprefix(_OBJECT_PREFIX)
        stored = await store_module.put_object(store, name, message)
        if store.faults.lose_answers:
            store.faults.lose_answers -= 1
            await asyncio.sleep(_UNANSWERED_SECONDS)
        if stored is None:
            return _respond_refusal(errors.ErrorKind.CONFLICT)
        return http_server.respond(stored)

    async def watch(request: http_server.Request) -> http_server.Response:
        await _apply_delays(store)
        changes = await store_module.wait_for_changes(
            store,
            int(request.text_by_parameter.get('after', '0')),
            clock.to_seconds(
                int(request.text_by_parameter.get('wait_ms', '0'))
            ),
        )
        # An outage that began during the wait delays this answer too.
        await _apply_delays(store)
        return http_server.respond(changes)

    return {
        http_server.Route('GET', _OBJECT_PREFIX): get_object,
        http_server.Route('PUT', _OBJECT_PREFIX): put_object,
        http_server.Route('GET', '/watch'): watch,
    }


def make_fault_routes(store: store_module.Store) -> http_server.Routes:
    """Make the routes through which a test sets faults and reads counts."""

    async def set_faults(request: http_server.Request) -> http_server.Response:
        message = FaultsMessage.model_validate_json(request.body)
        store.faults = store_module.Faults(
            down=message.down,
            delay_ms=message.delay_ms,
            lose_answers=message.lose_answers,
        )
        return http_server.respond(message)

    async def get_accounting(
        request: http_server.Request,
    ) -> http_server.Response:
        return http_server.respond(
            AccountingMessage(
                reads=store.accounting.reads,
                writes=store.accounting.writes,
                watches=store.accounting.watches,
            ),
        )

    return {
        http_server.Route('POST', '/faults'): set_faults,
        http_server.Route('GET', '/accounting'): get_accounting,
    }


def make_vm_routes(vm_list: VmList) -> http_server.Routes:
    """Make the routes of the VM list and of the changes to it."""

    async def get_vms(request: http_server.Request) -> http_server.Response:
        listed_vms = list(vm_list.by_id.values())
        return http_server.respond(
            platform_messages.VmListMessage(vms=listed_vms)
        )

    async def set_vm(request: http_server.Request) -> http_server.Response:
        message = VmStateMessage.model_validate_json(request.body)
        asyncio.get_running_loop().call_later(
            clock.to_seconds(message.lag_ms),
            _apply_vm_state,
            vm_list,
            message,
        )
        return http_server.respond(message, http.HTTPStatus.ACCEPTED)

    return {
        http_server.Route('GET', '/vms'): get_vms,
        http_server.Route('POST', '/vms'): set_vm,
    }


def _apply_vm_state(vm_list: VmList, message: VmStateMessage) -> None:
    if message.gone:
        vm_list.by_id.pop(message.id, None)
        return
    vm_list.by_id[message.id] = platform_messages.ListedVm(
        id=message.id,
        leaving=message.leaving,
    )


def start_platform(*, address: str, port: int) -> httpserver.HTTPServer:
    """Start the platform stand-in on the running event loop."""
    store = store_module.Store()
    return http_server.start_server(
        routes={
            **make_object_routes(store),
            **make_fault_routes(store),
            **make_vm_routes(VmList()),
        },
        address=address,
        port=port,
    )
