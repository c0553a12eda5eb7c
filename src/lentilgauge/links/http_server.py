"""Serve JSON messages over HTTP from plain functions."""

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

#: Control messages stay under the platform's limit for one object.
CONTROL_BODY_LIMIT_BYTES = 4_194_304
JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain; charset=utf-8'
_BACKLOG = 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """Hold one received control request.

    `text_by_parameter` holds the last text of each query parameter.
    """

    method: str
    path: str
    text_by_parameter: Mapping[str, str]
    headers: httputil.HTTPHeaders
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Hold one answer to a control request."""

    status: int = http.HTTPStatus.OK
    body: bytes = b''
    content_type: str = JSON_TYPE


Responder = Callable[[Request], Awaitable[Response]]
Predicate = Callable[[], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Match a method and a path prefix; the longest prefix wins."""

    method: str
    prefix: str


Routes = Mapping[Route, Responder]


class Message(Protocol):
    """Stand for any message that can be written as JSON."""

    def model_dump_json(self) -> str:
        """Write the message as JSON."""


def respond(message: Message, status: int = 200) -> Response:
    """Answer with a message as JSON."""
    return Response(
        status=status,
        body=message.model_dump_json().encode(),
    )


def respond_failure(failure: errors.Failure) -> Response:
    """Answer with a failure, by the table of answers."""
    answer = errors.ANSWERS[failure.kind]
    message = error_messages.ErrorMessage(
        kind=failure.kind,
        detail=failure.detail,
        ran=answer.ran,
    )
    return respond(message, answer.status)


def respond_text(text: str) -> Response:
    """Answer with plain text."""
    return Response(body=text.encode(), content_type=TEXT_TYPE)


def _find_responder(routes: Routes, method: str, path: str) -> Responder | None:
    matching = [
        route
        for route in routes
        if route.method == method and path.startswith(route.prefix)
    ]
    if not matching:
        return None
    return routes[max(matching, key=lambda route: len(route.prefix))]


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
    """Answer a request by the routes."""
    responder = _find_responder(routes, request.method, request.path)
    if responder is None:
        return respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.NO_SUCH_KIND,
                detail=f'nothing answers {request.method} {request.path}',
            ),
        )
    try:
        return await responder(request)
    except ValueError as invalid:
        return respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_REQUEST,
                detail=str(invalid),
            ),
        )


async def _answer(
    routes: Routes,
    received: httputil.HTTPServerRequest,
) -> None:
    try:
        response = await make_response(routes, _read_request(received))
    except Exception:
        # The peer must not wait for an answer that will never come.
        loguru.logger.exception('control request failed')
        response = respond_failure(
            errors.Failure(
                kind=errors.ErrorKind.INTERNAL,
                detail='the request failed inside this process',
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
            'Content-Type': response.content_type,
            'Content-Length': str(len(response.body)),
        }
    )
    connection.write_headers(start_line, headers, response.body)
    connection.finish()


def make_callback(
    routes: Routes,
) -> Callable[[httputil.HTTPServerRequest], None]:
    """Make the function that answers each received request."""
    running: set[asyncio.Task[None]] = set()

    def accept_request(received: httputil.HTTPServerRequest) -> None:
        task = asyncio.ensure_future(_answer(routes, received))
        running.add(task)
        task.add_done_callback(running.discard)

    return accept_request


def start_server(
    *,
    routes: Routes,
    address: str,
    port: int,
) -> httpserver.HTTPServer:
    """Listen on an address and answer requests by the routes."""
    server = httpserver.HTTPServer(
        make_callback(routes),
        max_body_size=CONTROL_BODY_LIMIT_BYTES,
    )
    server.add_sockets(netutil.bind_sockets(port, address, backlog=_BACKLOG))
    return server
