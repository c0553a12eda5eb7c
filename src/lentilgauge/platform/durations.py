"""Parsing and formatting of the platform's durations: `1500ms`, `2.5s`."""

_MS_SUFFIX = 'ms'
_SECONDS_SUFFIX = 's'
_MS_PER_SECOND = 1000
#: The longest timeout that curl accepts, some 24 days.
MAX_DURATION_MS = 2_147_483_647


class Duration:
    """Duration in a message; `decode_field` decodes it from its text."""

    def __init__(self, text: str) -> None:
        """Parse the duration; raise `ValueError` if it is invalid."""
        self.ms = parse_duration_ms(text)


def parse_duration_ms(text: str) -> int:
    """Parse a duration to milliseconds; raise `ValueError` if invalid."""
    duration_ms = _parse_ms(text)
    if duration_ms < 0:
        raise _make_error(text)
    return duration_ms


def parse_remaining_ms(text: str) -> int:
    """Parse a remaining time, 0 if it has passed; raise `ValueError`."""
    return max(_parse_ms(text), 0)


def _parse_ms(text: str) -> int:
    if text.endswith(_MS_SUFFIX):
        duration_ms = _parse_number(text, _MS_SUFFIX)
    elif text.endswith(_SECONDS_SUFFIX):
        duration_ms = _parse_number(text, _SECONDS_SUFFIX) * _MS_PER_SECOND
    else:
        raise _make_error(text)
    # A number that isn't finite can't be rounded, and this excludes NaN too.
    if not abs(duration_ms) <= MAX_DURATION_MS:
        raise _make_error(text)
    return round(duration_ms)


def _parse_number(text: str, suffix: str) -> float:
    try:
        return float(text.removesuffix(suffix))
    except ValueError:
        raise _make_error(text) from None


def _make_error(text: str) -> ValueError:
    return ValueError(
        f'expected a duration from 0ms to {MAX_DURATION_MS}ms, such as '
        f'1500ms or 2.5s, got {text!r}',
    )


def decode_field(field_type: type, text: object) -> Duration:
    """Decode a message's `Duration`; raise `ValueError` if it is invalid.

    msgspec calls this for each such field and adds the field's path to the
    error.
    """
    if field_type is not Duration:
        raise NotImplementedError(f'{field_type} is not supported')
    if not isinstance(text, str):
        raise _make_error(str(text))
    return Duration(text)


def format_duration(duration_ms: int) -> str:
    """Format a duration given in milliseconds."""
    return f'{duration_ms}{_MS_SUFFIX}'
