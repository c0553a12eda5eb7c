"""Serve operators, peers and the entries of the same VM."""

from returns import result

from lentilgauge import errors, metrics
from lentilgauge.links import (
    http_server,
    metrics_messages,
    relay,
    witness_link,
)
from lentilgauge.operators import changes, status
from lentilgauge.services import keys, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership, replica, settlement, witnesses

_MOST_WAIT_MS = 30_000


async def _wait_past(
    controller: controller_module.Controller,
    after: int,
    wait_ms: int,
) -> None:
    deadline_ms = controller.now_ms() + min(wait_ms, _MOST_WAIT_MS)
    while not replica.list_changes(controller.replica, after):
        left_ms = deadline_ms - controller.now_ms()
        if left_ms <= 0:
            break
        await controller_module.wait_for_change(controller, left_ms)


def _read_after(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> int:
    """Read after which serial of ours changes are wanted."""
    given = request.text_by_parameter
    if given.get('source') != controller.incarnation:
        return 0
    return int(given.get('after', '0'))


def make_relay_routes(
    controller: controller_module.Controller,
) -> http_server.Routes:
    """Make the routes for entries and peers."""

    async def get_changes(
        request: http_server.Request,
    ) -> http_server.Response:
        after = _read_after(controller, request)
        wait_ms = int(request.text_by_parameter.get('wait_ms', '0'))
        await _wait_past(controller, after, wait_ms)
        changed = replica.list_changes(controller.replica, after)
        return http_server.respond(
            relay.RelayMessage(
                source=controller.incarnation,
                serial=controller.replica.serial,
                confirmed_age_ms=controller_module.get_confirmed_age_ms(
                    controller,
                ),
                fresh_age_ms=controller_module.get_fresh_age_ms(
                    controller,
                ),
                changed=changed,
            ),
        )

    async def answer_heartbeat(
        request: http_server.Request,
    ) -> http_server.Response:
        return http_server.Response()

    async def step_down(request: http_server.Request) -> http_server.Response:
        return settlement.step_down(controller, request)

    async def vouch(request: http_server.Request) -> http_server.Response:
        return witnesses.answer_vouch(controller, request)

    async def release(request: http_server.Request) -> http_server.Response:
        return witnesses.answer_release(controller, request)

    return {
        http_server.Route('GET', relay.CHANGES_PATH): get_changes,
        http_server.Route('GET', membership.HEARTBEAT_PATH): answer_heartbeat,
        http_server.Route('POST', settlement.STEP_DOWN_PATH): step_down,
        http_server.Route('POST', witness_link.VOUCH_PATH): vouch,
        http_server.Route('POST', witness_link.RELEASE_PATH): release,
    }


def _respond_accepted(accepted: changes.AcceptResult) -> http_server.Response:
    if isinstance(accepted, result.Success):
        return http_server.respond(accepted.unwrap())
    return http_server.respond_failure(accepted.failure())


def make_command_routes(
    controller: controller_module.Controller,
) -> http_server.Routes:
    """Make the routes that state what should become true."""

    async def configure(request: http_server.Request) -> http_server.Response:
        message = changes.ConfigureMessage.model_validate_json(request.body)
        return _respond_accepted(
            await changes.replace_configuration(controller, message),
        )

    async def set_domain(request: http_server.Request) -> http_server.Response:
        message = changes.SetDomainMessage.model_validate_json(request.body)
        return _respond_accepted(await changes.set_domain(controller, message))

    async def set_upstream(
        request: http_server.Request,
    ) -> http_server.Response:
        message = changes.SetUpstreamMessage.model_validate_json(request.body)
        return _respond_accepted(
            await changes.set_upstream(controller, message),
        )

    return {
        http_server.Route('PUT', '/configuration'): configure,
        http_server.Route('POST', '/failure-domain'): set_domain,
        http_server.Route('POST', '/upstream'): set_upstream,
    }


def make_query_routes(
    controller: controller_module.Controller,
) -> http_server.Routes:
    """Make the routes that say what is true now."""

    async def get_status(request: http_server.Request) -> http_server.Response:
        return http_server.respond(status.show_status(controller))

    async def get_owner(request: http_server.Request) -> http_server.Response:
        return _show_owner(controller, request)

    return {
        http_server.Route('GET', '/status'): get_status,
        http_server.Route('GET', '/owner'): get_owner,
        **make_health_routes(
            controller.metrics,
            lambda: controller.replica.confirmed_ms is not None,
        ),
    }


def make_health_routes(
    counted: metrics.Metrics,
    is_ready: http_server.Predicate,
) -> http_server.Routes:
    """Make the routes for health checks and metrics scrapers."""

    async def get_health(request: http_server.Request) -> http_server.Response:
        return http_server.respond_text('ok\n')

    async def get_ready(request: http_server.Request) -> http_server.Response:
        if is_ready():
            return http_server.respond_text('ready\n')
        return http_server.respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.CONFIGURATION_STALE,
                detail='this process does not take work now',
            ),
        )

    async def get_metrics(
        request: http_server.Request,
    ) -> http_server.Response:
        if request.text_by_parameter.get('format') == 'json':
            return http_server.respond(metrics_messages.export_metrics(counted))
        return http_server.respond_text(metrics.render_text(counted))

    return {
        http_server.Route('GET', '/healthz'): get_health,
        http_server.Route('GET', '/readyz'): get_ready,
        http_server.Route('GET', '/metrics'): get_metrics,
    }


def _show_owner(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    name = request.text_by_parameter.get('service', '')
    service = controller.replica.config.service_by_name.get(name)
    slot_map = controller.replica.slot_map_by_service.get(name)
    if service is None or slot_map is None or not service.keyed:
        return http_server.respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_COMMAND,
                detail=f'there is no keyed service {name!r}',
            ),
        )
    normalised = keys.normalise_key(request.text_by_parameter.get('key', ''))
    if not isinstance(normalised, result.Success):
        return http_server.respond_failure(normalised.failure())
    slot = slots.find_slot(normalised.unwrap(), service.slot_count)
    return http_server.respond(
        status.OwnerStatus(
            service=name,
            slot=slot,
            owner=slot_map.owner_by_slot[slot],
            epoch=slot_map.epoch_by_slot[slot],
        ),
    )
