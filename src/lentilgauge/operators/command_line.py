"""The `lentilgauge` command: show the cluster's state and change it."""

import asyncio
import pathlib
import sys
from collections.abc import Callable, Coroutine
from urllib import parse as url_parse

import pydantic
from returns import result

from lentilgauge import errors, programs
from lentilgauge.links import http_client, operator_link
from lentilgauge.operators import changes, status, tables, versions
from lentilgauge.operators import explain as explain_module
from lentilgauge.services import configuration

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
_TIMEOUT_MS = 15_000
_DEFAULT_CONTROLLER = 'http://127.0.0.1:7100'

AnyReply = operator_link.AnswerResult[pydantic.BaseModel]


def _make_link(controller: str) -> operator_link.OperatorLink:
    return operator_link.OperatorLink(
        client=http_client.make_client(),
        base_url=controller.rstrip('/'),
        timeout_ms=_TIMEOUT_MS,
    )


async def _send_request(
    controller: str,
    operator_request: operator_link.OperatorRequest,
    model: type[operator_link.Message],
) -> operator_link.AnswerResult[operator_link.Message]:
    return await operator_link.send_request(
        _make_link(controller), operator_request, model
    )


async def _collect_versions(
    controller: str,
) -> operator_link.AnswerResult[versions.VersionsMessage]:
    # The HTTP client must be made on the event loop that uses it.
    return await versions.collect_versions(_make_link(controller))


def _print_reply(
    pending_reply: Coroutine[
        object,
        object,
        operator_link.AnswerResult[operator_link.Message],
    ],
    render: Callable[[operator_link.Message], str],
) -> None:
    """Wait for a reply and print it, or exit with the code of its failure."""
    reply = asyncio.run(pending_reply)
    if isinstance(reply, result.Success):
        sys.stdout.write(f'{render(reply.unwrap())}\n')
        return
    _exit_with_failure(reply.failure())


def _exit_with_failure(failure: errors.Failure) -> None:
    sys.stderr.write(f'{failure.kind}: {failure.detail}\n')
    bad_input = failure.kind in {
        errors.ErrorKind.BAD_SETTINGS,
        errors.ErrorKind.BAD_COMMAND,
    }
    sys.exit(EXIT_BAD_INPUT if bad_input else EXIT_FAILED)


def _render_accepted(message: changes.AcceptedMessage) -> str:
    return f'accepted as version {message.version}'


def _render_json(message: pydantic.BaseModel) -> str:
    return message.model_dump_json(indent=2)


def show_status(
    controller: str = _DEFAULT_CONTROLLER,
    *,
    json: bool = False,
) -> None:
    """Show services, upstreams, VMs and leases as seen by one controller."""
    _print_reply(
        _send_request(
            controller,
            operator_link.OperatorRequest(method='GET', path='/status'),
            status.StatusMessage,
        ),
        _render_json if json else tables.render_status,
    )


def show_versions(
    controller: str = _DEFAULT_CONTROLLER,
    *,
    json: bool = False,
) -> None:
    """Show which VM runs which version of the configuration."""
    _print_reply(
        _collect_versions(controller),
        _render_json if json else tables.render_versions,
    )


def show_owner(
    service: str,
    key: str,
    controller: str = _DEFAULT_CONTROLLER,
) -> None:
    """Show which upstream owns a key of a service."""
    query = url_parse.urlencode({'service': service, 'key': key})
    _print_reply(
        _send_request(
            controller,
            operator_link.OperatorRequest(method='GET', path=f'/owner?{query}'),
            status.OwnerStatus,
        ),
        _render_json,
    )


def apply_configuration(
    path: str,
    expected_version: int = 0,
    controller: str = _DEFAULT_CONTROLLER,
) -> None:
    """Replace the configuration if it is at the expected version."""
    loaded = configuration.read_configuration(pathlib.Path(path))
    if not isinstance(loaded, result.Success):
        _exit_with_failure(loaded.failure())
        return
    _print_reply(
        _send_request(
            controller,
            operator_link.OperatorRequest(
                method='PUT',
                path='/configuration',
                message=changes.ConfigureMessage(
                    expected_version=expected_version,
                    configuration=loaded.unwrap(),
                ),
            ),
            changes.AcceptedMessage,
        ),
        _render_accepted,
    )


def set_domain(
    name: str,
    state: str,
    controller: str = _DEFAULT_CONTROLLER,
) -> None:
    """Take a failure domain `out` of service or bring it back `in`."""
    _print_reply(
        _send_request(
            controller,
            operator_link.OperatorRequest(
                method='POST',
                path='/failure-domain',
                message=changes.SetDomainMessage(
                    name=name,
                    out=_parse_state(state, 'out', 'in'),
                ),
            ),
            changes.AcceptedMessage,
        ),
        _render_accepted,
    )


def set_upstream(
    upstream_id: str,
    state: str,
    controller: str = _DEFAULT_CONTROLLER,
) -> None:
    """Drain an upstream (`drain`) or return it to service (`serve`)."""
    _print_reply(
        _send_request(
            controller,
            operator_link.OperatorRequest(
                method='POST',
                path='/upstream',
                message=changes.SetUpstreamMessage(
                    id=upstream_id,
                    draining=_parse_state(state, 'drain', 'serve'),
                ),
            ),
            changes.AcceptedMessage,
        ),
        _render_accepted,
    )


def _parse_state(state: str, on_state: str, off_state: str) -> bool:
    if state not in {on_state, off_state}:
        _exit_with_failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_COMMAND,
                detail=f'expected {on_state!r} or {off_state!r}, got {state!r}',
            ),
        )
    return state == on_state


def explain(request_id: str, *log_files: str) -> None:
    """Show from gateways' log files how a request was handled, and why."""
    lines = explain_module.read_lines(
        pathlib.Path(str(log_file)) for log_file in log_files
    )
    timeline = explain_module.make_timeline(lines, str(request_id))
    sys.stdout.write(explain_module.render_timeline(timeline))


def main() -> None:
    """Run the command that the arguments name."""
    programs.run_program(
        {
            'status': show_status,
            'owner': show_owner,
            'versions': show_versions,
            'apply': apply_configuration,
            'domain': set_domain,
            'upstream': set_upstream,
            'explain': explain,
        }
    )
