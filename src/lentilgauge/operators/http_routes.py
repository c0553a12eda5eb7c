"""HTTP routes of a controller for operators, peers and entries.

The routes for health checks and metrics serve entries too.
"""

from returns import result

from lentilgauge import errors, metrics
from lentilgauge.links import (
    http_server,
    metrics_messages,
    relay_link,
    witness_link,
)
from lentilgauge.operators import changes, status
from lentilgauge.services import keys, slots
from lentilgauge.vms import controller as controller_module
from lentilgauge.vms import membership, replica, settlement, witnesses

#: Limit on the time that a request for changes is held open.
_MAX_WAIT_MS = 30_000


async def _wait_for_changes(
    controller: controller_module.Controller,
    after: int,
    wait_ms: int,
) -> None:
    deadline_ms = controller.now_ms() + min(wait_ms, _MAX_WAIT_MS)
    while not replica.list_changes(controller.replica, after):
        remaining_ms = deadline_ms - controller.now_ms()
        if remaining_ms <= 0:
            break
        await controller_module.wait_for_change(controller, remaining_ms)


def _read_start_serial(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> int:
    """Read the serial after which the client asks for changes.

    A serial of another incarnation is void, so all changes are sent.
    """
    query = request.text_by_parameter
    if query.get('source') != controller.incarnation:
        return 0
    return int(query.get('after', '0'))


def make_relay_routes(
    controller: controller_module.Controller,
) -> http_server.Routes:
    """Make the routes that entries and peer controllers use."""

    async def get_changes(
        request: http_server.Request,
    ) -> http_server.Response:
        after = _read_start_serial(controller, request)
        wait_ms = int(request.text_by_parameter.get('wait_ms', '0'))
        await _wait_for_changes(controller, after, wait_ms)
        changed = replica.list_changes(controller.replica, after)
        return http_server.respond(
            relay_link.RelayMessage(
                source=controller.incarnation,
                serial=controller.replica.serial,
                confirmed_age_ms=controller_module.get_confirmed_age_ms(
                    controller,
                ),
                fresh_age_ms=controller_module.get_freshness_age_ms(
                    controller,
                ),
                changed=changed,
            ),
        )

    async def answer_heartbeat(
        request: http_server.Request,
    ) -> http_server.Response:
        return membership.answer_heartbeat(controller)

    async def step_down(request: http_server.Request) -> http_server.Response:
        return settlement.answer_step_down(controller, request)

    async def vouch(request: http_server.Request) -> http_server.Response:
        return witnesses.answer_vouch(controller, request)

    async def release(request: http_server.Request) -> http_server.Response:
        return witnesses.answer_release(controller, request)

    return {
        http_server.Route('GET', relay_link.CHANGES_PATH): get_changes,
        http_server.Route('GET', membership.HEARTBEAT_PATH): answer_heartbeat,
        http_server.Route('POST', settlement.STEP_DOWN_PATH): step_down,
        http_server.Route('POST', witness_link.VOUCH_PATH): vouch,
        http_server.Route('POST', witness_link.RELEASE_PATH): release,
    }


def _respond_change(
    change_result: changes.ChangeResult,
) -> http_server.Response:
    if isinstance(change_result, result.Success):
        return http_server.respond(change_result.unwrap())
    return http_server.respond_failure(change_result.failure())


def make_command_routes(
    controller: controller_module.Controller,
) -> http_server.Routes:
    """Make the routes by which operators change the configuration."""

    async def configure(request: http_server.Request) -> http_server.Response:
        message = changes.ConfigureMessage.model_validate_json(request.body)
        return _respond_change(
            await changes.replace_configuration(controller, message),
        )

    async def set_domain(request: http_server.Request) -> http_server.Response:
        message = changes.SetDomainMessage.model_validate_json(request.body)
        return _respond_change(await changes.set_domain(controller, message))

    async def set_upstream(
        request: http_server.Request,
    ) -> http_server.Response:
        message = changes.SetUpstreamMessage.model_validate_json(request.body)
        return _respond_change(
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
    """Make the routes for status, health and metrics."""

    async def get_status(request: http_server.Request) -> http_server.Response:
        return http_server.respond(status.make_status(controller))

    async def get_owner(request: http_server.Request) -> http_server.Response:
        return _respond_owner(controller, request)

    return {
        http_server.Route('GET', '/status'): get_status,
        http_server.Route('GET', '/owner'): get_owner,
        **make_health_routes(
            controller.metrics,
            lambda: controller.replica.confirmed_ms is not None,
        ),
    }


def make_health_routes(
    process_metrics: metrics.Metrics,
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
                detail='this process is not ready to serve requests',
            ),
        )

    async def get_metrics(
        request: http_server.Request,
    ) -> http_server.Response:
        if request.text_by_parameter.get('format') == 'json':
            return http_server.respond(
                metrics_messages.export_metrics(process_metrics)
            )
        return http_server.respond_text(metrics.render_text(process_metrics))

    return {
        http_server.Route('GET', '/healthz'): get_health,
        http_server.Route('GET', '/readyz'): get_ready,
        http_server.Route('GET', '/metrics'): get_metrics,
    }


def _respond_owner(
    controller: controller_module.Controller,
    request: http_server.Request,
) -> http_server.Response:
    service_name = request.text_by_parameter.get('service', '')
    service = controller.replica.config.service_by_name.get(service_name)
    slot_map = controller.replica.slot_map_by_service.get(service_name)
    if service is None or slot_map is None or not service.keyed:
        return http_server.respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_COMMAND,
                detail=f'there is no keyed service {service_name!r}',
            ),
        )
    normalised_key = keys.normalise_key(
        request.text_by_parameter.get('key', '')
    )
    if not isinstance(normalised_key, result.Success):
        return http_server.respond_failure(normalised_key.failure())
    slot = slots.find_slot(normalised_key.unwrap(), service.slot_count)
    return http_server.respond(
        status.OwnerStatus(
            service=service_name,
            slot=slot,
            owner=slot_map.owner_by_slot[slot],
            epoch=slot_map.epoch_by_slot[slot],
        ),
    )
