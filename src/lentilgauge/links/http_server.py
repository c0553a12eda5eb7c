"""HTTP server for control requests, routed to plain functions.

They come from peers, operators and monitoring. Callers' requests to services
are handled by other servers.
"""

import asyncio
import dataclasses
import http
from collections.abc import Awaitable, Callable, Mapping
from typing import Protocol
from urllib import parse as url_parse

import loguru
from tornado import httpserver, httputil, netutil

from lentilgauge import errors
from lentilgauge.links import error_messages

#: Keeps control messages within the platform's size limit for one object.
CONTROL_BODY_LIMIT_BYTES = 4_194_304
JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; charset=utf-8'
_BACKLOG = 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Control request as received.

    `text_by_parameter` has the last value of each query parameter.
    """

    method: str
    path: str
    text_by_parameter: Mapping[str, str]
    headers: httputil.HTTPHeaders
    #: Not in the representation, like that of a response: the configuration
    #: that VMs pass on may have API keys.
    body: bytes = dataclasses.field(repr=False)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Response to a control request."""

    status: int = http.HTTPStatus.OK
    body: bytes = dataclasses.field(default=b'', repr=False)
    content_type: str = JSON_TYPE
    content_encoding: str = ''


Responder = Callable[[Request], Awaitable[Response]]
Predicate = Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Method and path prefix of the requests that a route serves.

    If several routes match a request, the one with the longest prefix is used.
    """

    method: str
    prefix: str


Routes = Mapping[Route, Responder]


class Message(Protocol):
    """Any message that can be serialized to JSON."""

    def model_dump_json(self) -> str:
        """Serialize the message to JSON."""


def respond(message: Message, status: int = 200) -> Response:
    """Make a response with a message as its JSON body."""
    return Response(
        status=status,
        body=message.model_dump_json().encode(),
    )


def respond_failure(failure: errors.Failure) -> Response:
    """Make an error response with the status from `errors.RESPONSE_BY_KIND`."""
    error_response = errors.RESPONSE_BY_KIND[failure.kind]
    message = error_messages.ErrorMessage(
        kind=failure.kind,
        detail=failure.detail,
        ran=error_response.execution_claim,
    )
    return respond(message, error_response.status)


def respond_text(text: str) -> Response:
    """Make a plain-text response."""
    return Response(body=text.encode(), content_type=TEXT_TYPE)


def _find_responder(routes: Routes, method: str, path: str) -> Responder | None:
    matching_routes = [
        route
        for route in routes
        if route.method == method and path.startswith(route.prefix)
    ]
    if not matching_routes:
        return None
    return routes[max(matching_routes, key=lambda route: len(route.prefix))]


def _read_request(received: httputil.HTTPServerRequest) -> Request:
    return Request(
        method=received.method or '',
        path=url_parse.unquote(received.path),
        text_by_parameter={
            name: texts[-1].decode('utf-8', 'replace')
            for name, texts in received.arguments.items()
        },
        headers=received.headers,
        body=received.body,
    )


async def make_response(routes: Routes, request: Request) -> Response:
    """Make the response of the matching route.

    A `ValueError` from the route becomes a `BAD_REQUEST` response.
    """
    responder = _find_responder(routes, request.method, request.path)
    if responder is None:
        return respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.NO_SUCH_KIND,
                detail=f'no route matches {request.method} {request.path}',
            ),
        )
    try:
        return await responder(request)
    except ValueError as error:
        return respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_REQUEST,
                detail=str(error),
            ),
        )


async def _answer_request(
    routes: Routes,
    received: httputil.HTTPServerRequest,
) -> None:
    try:
        response = await make_response(routes, _read_request(received))
    except Exception:
        # Without a response the peer would wait until its timeout.
        loguru.logger.exception('control request raised an exception')
        response = respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.INTERNAL,
                detail='internal error while processing the request',
            ),
        )
    _write_response(received, response)


def _write_response(
    received: httputil.HTTPServerRequest,
    response: Response,
) -> None:
    connection = received.connection
    if connection is None:
        return
    start_line = httputil.ResponseStartLine(
        'HTTP/1.1',
        response.status,
        http.HTTPStatus(response.status).phrase,
    )
    headers = httputil.HTTPHeaders(
        {
            'Content-Length': str(len(response.body)),
        }
    )
    if response.content_type:
        headers['Content-Type'] = response.content_type
    if response.content_encoding:
        headers['Content-Encoding'] = response.content_encoding
    connection.write_headers(start_line, headers, response.body)
    connection.finish()


def make_request_callback(
    routes: Routes,
) -> Callable[[httputil.HTTPServerRequest], None]:
    """Make the callback that answers each received request in its own task."""
    running_tasks: set[asyncio.Task[None]] = set()

    def accept_request(received: httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(_answer_request(routes, received))
        running_tasks.add(task)
        task.add_done_callback(running_tasks.discard)

    return accept_request


def start_server(
    *,
    routes: Routes,
    address: str,
    port: int,
) -> httpserver.HTTPServer:
    """Start a server that listens on an address and answers by the routes."""
    server = httpserver.HTTPServer(
        make_request_callback(routes),
        max_body_size=CONTROL_BODY_LIMIT_BYTES,
    )
    server.add_sockets(netutil.bind_sockets(port, address, backlog=_BACKLOG))
    return server
