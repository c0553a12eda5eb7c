"""Decide to which workspace a caller's request belongs, by its API key."""

import dataclasses
import re
from collections.abc import Sequence

from returns import result
from tornado import httputil

from lentilgauge import errors
from lentilgauge.callers import gateway_request
from lentilgauge.services import routes, workspaces
from lentilgauge.vms import configuration_age
from lentilgauge.vms import gateway as gateway_module

_AUTHORIZATION = 'Authorization'
_BEARER = re.compile(r'bearer[ \t]+([^ \t]+)', re.ASCII | re.IGNORECASE)
#: A longer header isn't searched for a key.
_MAX_AUTHORIZATION_LENGTH = 2 * workspaces.MAX_KEY_BYTES
#: Share of the time allowed for a revocation after which the configuration is
#: too old for keys. A request accepted then runs before that time is over: 2 %
#: of clock error leaves 0.3 of 5 s for the way to the upstream. In contact with
#: the store the age stays below 1.6 s, so a VM that loses contact accepts keys
#: for at least 0.6 of the time allowed.
_MAX_AGE_SHARE = 0.92
#: An unknown key may have been added since, if the configuration is older than
#: the 2 s within which a new version is in force at all VMs.
_MAX_UNKNOWN_KEY_AGE_MS = 2000
#: A long poll brings the state to a VM within about this time, so that no
#: request needs to be repeated sooner.
_MIN_RETRY_MS = 300
#: The granter asks the store every 0.7 s, and VMs hear of the answer within the
#: time of a long poll. So news come within this time of the store's return, of
#: the end of a partition or of a suspension.
_MAX_RETRY_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Currency:
    """Age of the configuration, and the largest at which it serves for keys.

    Both are in milliseconds. `age_ms` is `None` if the age is unknown, and
    `max_age_ms` if there is no limit.
    """

    age_ms: int | None
    max_age_ms: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Workspace of a request, and the digest of the key that it came with.

    Both are `None` for a request that needs no key.
    """

    workspace: workspaces.Workspace | None = None
    key_digest: bytes | None = dataclasses.field(default=None, repr=False)


IdentityResult = result.Result[Identity, errors.Failure]


def parse_key(authorizations: Sequence[str]) -> bytes | None:
    """Return the key in a request's `Authorization` headers.

    Return `None` unless there is one such header, of the form `Bearer KEY`. The
    scheme is read in any case, and the key as the bytes that were received.
    """
    if len(authorizations) != 1:
        return None
    if len(authorizations[0]) > _MAX_AUTHORIZATION_LENGTH:
        return None
    matched = _BEARER.fullmatch(authorizations[0].strip(' \t'))
    if matched is None:
        return None
    try:
        return matched[1].encode('latin-1')
    except UnicodeEncodeError:
        # Not from the network, whose bytes are all read as characters.
        return None


def compute_max_age_ms(bounds: gateway_module.Bounds) -> int | None:
    """Return the age at which the configuration no longer serves for keys.

    It is in milliseconds, and `None` if there is no limit.
    """
    if not bounds.strict_revoke:
        return None
    return int(bounds.revoke_ms * _MAX_AGE_SHARE)


def check_currency(currency: Currency) -> errors.Failure | None:
    """Return a failure if the configuration is too old for any key.

    This addresses VMs that are cut off, were suspended or have just started
    while a key is revoked. They can't know that it is.
    """
    if currency.max_age_ms is None or _is_within(currency, currency.max_age_ms):
        return None
    return _refuse_stale(currency, currency.max_age_ms)


def identify(
    authorizations: Sequence[str],
    directory: workspaces.Directory,
    currency: Currency,
) -> IdentityResult:
    """Find the workspace of a request that needs a key.

    `authorizations` are the texts of the request's `Authorization` headers. The
    failure is `UNAUTHENTICATED`, or `CONFIGURATION_STALE` with a retry delay if
    the configuration is too old to tell. This addresses requests with any key
    while keys are added and removed, also by callers that nobody controls.
    """
    stale = check_currency(currency)
    if stale is not None:
        return result.Failure(stale)
    api_key = parse_key(authorizations)
    if api_key is None:
        return _refuse('the request has no API key')
    if len(api_key) > workspaces.MAX_KEY_BYTES:
        return _refuse('the API key is unknown')
    digest = workspaces.compute_digest(api_key)
    workspace = directory.workspace_by_digest.get(digest)
    if workspace is not None:
        return result.Success(Identity(workspace=workspace, key_digest=digest))
    if _is_within(currency, _MAX_UNKNOWN_KEY_AGE_MS):
        return _refuse('the API key is unknown')
    return result.Failure(_refuse_stale(currency, _MAX_UNKNOWN_KEY_AGE_MS))


def _is_within(currency: Currency, max_age_ms: int) -> bool:
    return currency.age_ms is not None and currency.age_ms <= max_age_ms


def _refuse(detail: str) -> IdentityResult:
    return result.Failure(
        errors.Failure(kind=errors.ErrorKind.UNAUTHENTICATED, detail=detail)
    )


def _refuse_stale(currency: Currency, max_age_ms: int) -> errors.Failure:
    """Make the failure of a request that a cut-off VM can't decide on.

    The retry delay grows with the time for which the state has been too old, up
    to the time within which news come once they can.
    """
    overdue_ms = 0
    if currency.age_ms is not None:
        overdue_ms = currency.age_ms - max_age_ms
    return errors.Failure(
        kind=errors.ErrorKind.CONFIGURATION_STALE,
        detail='the configuration may be out of date, so keys are not accepted',
        retry_after_ms=min(max(overdue_ms, _MIN_RETRY_MS), _MAX_RETRY_MS),
    )


def authenticate(
    gateway: gateway_module.Gateway,
    headers: httputil.HTTPHeaders,
    route: routes.Route,
    workspace_header: str,
) -> IdentityResult:
    """Identify a request's workspace and set the headers that it is sent with.

    The key is removed in a deployment with workspaces, and what the caller sent
    as `workspace_header` in any. Failures are those of `identify`.
    """
    authorizations = headers.get_list(_AUTHORIZATION)
    headers.pop(workspace_header, None)
    configuration = gateway.state_cache.configuration
    if configuration is None or configuration.directory is None:
        return result.Success(Identity())
    headers.pop(_AUTHORIZATION, None)
    if route.anonymous:
        return result.Success(Identity())
    identified = identify(
        authorizations, configuration.directory, _read_currency(gateway)
    )
    if isinstance(identified, result.Success):
        identity: Identity = identified.unwrap()
        if identity.workspace is not None:
            headers[workspace_header] = identity.workspace.name
    return identified


def check_again(
    gateway: gateway_module.Gateway, request: gateway_request.Request
) -> errors.Failure | None:
    """Return a failure if a request's key is no longer accepted.

    This addresses requests that wait for capacity while their key is revoked or
    their VM is cut off or suspended.
    """
    configuration = gateway.state_cache.configuration
    if request.key_digest is None or configuration is None:
        return None
    stale = check_currency(_read_currency(gateway))
    if stale is not None or configuration.directory is None:
        return stale
    if request.key_digest in configuration.directory.workspace_by_digest:
        return None
    return errors.Failure(
        kind=errors.ErrorKind.UNAUTHENTICATED,
        detail='the API key was removed while the request waited',
    )


def _read_currency(gateway: gateway_module.Gateway) -> Currency:
    return Currency(
        age_ms=configuration_age.compute_age_ms(gateway.state_cache),
        max_age_ms=compute_max_age_ms(gateway.bounds),
    )
