"""Serve the idempotency key registry to the entries of all VMs."""

from lentilgauge.contracts import idempotency_keys
from lentilgauge.links import http_server, idempotency_link
from lentilgauge.vms import controller as controller_module


def make_idempotency_routes(
    controller: controller_module.Controller,
) -> http_server.Routes:
    """Make the routes to reserve a key and to store its request's outcome."""
    registry = controller.idempotency_registry

    async def reserve(request: http_server.Request) -> http_server.Response:
        message = idempotency_link.ReservationMessage.model_validate_json(
            request.body
        )
        key_status = idempotency_keys.reserve_key(
            registry,
            idempotency_keys.ReservationRequest(
                key=message.key,
                digest=message.digest,
                run_ms=message.run_ms,
                keep_ms=message.keep_ms,
                request_id=message.request_id,
            ),
            controller.now_ms(),
        )
        return http_server.respond(idempotency_link.pack_key_status(key_status))

    async def store_outcome(
        request: http_server.Request,
    ) -> http_server.Response:
        message = idempotency_link.OutcomeMessage.model_validate_json(
            request.body
        )
        key_status = idempotency_link.unpack_key_status(message.known)
        idempotency_keys.record_outcome(
            registry, message.key, key_status, message.request_id
        )
        return http_server.respond(message.known)

    return {
        http_server.Route('POST', idempotency_link.RESERVE_PATH): reserve,
        http_server.Route('POST', idempotency_link.OUTCOME_PATH): store_outcome,
    }
