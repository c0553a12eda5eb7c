"""Serve the idempotency key registry to the entries of all VMs."""

from lentilgauge.contracts import once
from lentilgauge.links import http_server, once_link
from lentilgauge.vms import controller as controller_module


def make_once_routes(
    controller: controller_module.Controller,
) -> http_server.Routes:
    """Make the routes to reserve a key and to store its request's outcome."""
    registry = controller.once

    async def begin(request: http_server.Request) -> http_server.Response:
        message = once_link.BeginMessage.model_validate_json(request.body)
        key_state = once.begin(
            registry,
            once.Beginning(
                key=message.key,
                digest=message.digest,
                run_ms=message.run_ms,
                keep_ms=message.keep_ms,
            ),
            controller.now_ms(),
        )
        return http_server.respond(once_link.pack_known(key_state))

    async def end(request: http_server.Request) -> http_server.Response:
        message = once_link.EndMessage.model_validate_json(request.body)
        key_state = once_link.unpack_known(message.known)
        once.end(registry, message.key, key_state)
        return http_server.respond(message.known)

    return {
        http_server.Route('POST', once_link.BEGIN_PATH): begin,
        http_server.Route('POST', once_link.END_PATH): end,
    }
