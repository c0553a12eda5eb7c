"""Limits of a gateway's HTTP server that its configuration sets."""

from tornado import httpserver

from lentilgauge import clock
from lentilgauge.vms import gateway as gateway_module

#: Idle connections stay open for at least this long.
MIN_IDLE_SECONDS = 30
#: The server's idle timeout relative to the one configured for callers. The
#: server's is longer, so that callers close first and no request is sent on a
#: connection that is being closed.
_IDLE_TIMEOUT_FACTOR = 1.25
#: The HTTP library's limit on heads relative to the configured one, which may
#: be understood without the request line.
_HEADER_LIMIT_FACTOR = 2


def follow_configuration(
    gateway: gateway_module.Gateway,
    server: httpserver.HTTPServer,
) -> None:
    """Update the server's limits whenever a configuration is adopted."""

    def update_limits() -> None:
        configuration = gateway.state_cache.configuration
        if configuration is None:
            return
        idle_seconds = clock.to_seconds(configuration.idle_timeout_ms)
        server.conn_params.header_timeout = max(
            idle_seconds * _IDLE_TIMEOUT_FACTOR,
            MIN_IDLE_SECONDS,
        )
        server.conn_params.max_header_size = (
            configuration.max_header_bytes * _HEADER_LIMIT_FACTOR
        )

    gateway.state_cache.change_listeners.append(update_limits)
