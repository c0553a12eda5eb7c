"""Checks whether an entry may serve a request, and of its limits."""

from returns import result
from tornado import httputil, iostream

from lentilgauge import errors
from lentilgauge.links import upstream_data
from lentilgauge.vms import entry as entry_module

#: Further digits of a deadline are ignored. A number of nine digits without
#: leading zeros already exceeds the longest timeout of a kind, one day.
_MAX_DEADLINE_DIGITS = 9
#: Further digits of a length are ignored: Python raises at numbers of over
#: 4,300 digits, and one of 18 is already over any limit.
_MAX_LENGTH_DIGITS = 18


def make_body_failure(entry: entry_module.Entry) -> errors.Failure:
    """Describe that a body is over the limit."""
    return errors.Failure(
        kind=errors.ErrorKind.BODY_TOO_LARGE,
        detail=f'the body exceeds {entry.section.body_limit_bytes} bytes',
    )


def check_sizes(
    entry: entry_module.Entry,
    headers: httputil.HTTPHeaders,
) -> errors.Failure | None:
    """Check the size of the headers and of the body by `Content-Length`."""
    limit = entry.section.header_limit_bytes
    size = sum(len(name) + len(text) for name, text in headers.get_all())
    if size > limit:
        return errors.Failure(
            kind=errors.ErrorKind.HEADERS_TOO_LARGE,
            detail=f'the headers exceed {limit} bytes',
        )
    length = headers.get('Content-Length', '')
    # The HTTP library rejects any other value as ambiguous framing.
    is_number = length.isascii() and length.isdigit()
    digits = length.lstrip('0')[:_MAX_LENGTH_DIGITS] or '0'
    if is_number and int(digits) > entry.section.body_limit_bytes:
        return make_body_failure(entry)
    return None


def check_readiness(
    entry: entry_module.Entry, stream: iostream.BaseIOStream
) -> errors.Failure | None:
    """Check whether an entry may serve a request on a connection now."""
    if stream in entry.connections.ending:
        return errors.Failure(
            kind=errors.ErrorKind.LEAVING,
            detail='an earlier answer was the last on this connection',
        )
    if not entry_module.is_fresh(entry):
        return errors.Failure(
            kind=errors.ErrorKind.CONFIGURATION_STALE,
            detail='this entry cannot confirm its configuration as current',
        )
    return None


def parse_deadline_ms(
    entry: entry_module.Entry,
    kind_timeout_ms: int,
    headers: httputil.HTTPHeaders,
) -> result.Result[int, errors.Failure]:
    """Return the request's deadline on this process's monotonic clock.

    The deadline header has the milliseconds that the caller allows. The kind's
    timeout is the maximum, and applies if the header is missing.
    """
    deadline_text = headers.get(upstream_data.DEADLINE_MS)
    if deadline_text is None:
        return result.Success(entry.now_ms() + kind_timeout_ms)
    if not (deadline_text.isascii() and deadline_text.isdigit()):
        return result.Failure(
            errors.Failure(
                kind=errors.ErrorKind.BAD_REQUEST,
                detail=f'header {upstream_data.DEADLINE_MS} is not a number',
            ),
        )
    digits = deadline_text.lstrip('0') or '0'
    allowed_ms = min(int(digits[:_MAX_DEADLINE_DIGITS]), kind_timeout_ms)
    return result.Success(entry.now_ms() + allowed_ms)
