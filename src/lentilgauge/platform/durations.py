"""Parsing and formatting of the platform's durations: `1500ms`, `2.5s`."""

_MS_SUFFIX = 'ms'
_SECONDS_SUFFIX = 's'
_MS_PER_SECOND = 1000


def parse_duration_ms(text: str) -> int:
    """Parse a duration to milliseconds; raise `ValueError` if invalid."""
    if text.endswith(_MS_SUFFIX):
        return round(float(text.removesuffix(_MS_SUFFIX)))
    if text.endswith(_SECONDS_SUFFIX):
        return round(float(text.removesuffix(_SECONDS_SUFFIX)) * _MS_PER_SECOND)
    raise ValueError(f'{text!r} is not a valid duration')


def format_duration(duration_ms: int) -> str:
    """Format a duration given in milliseconds."""
    return f'{duration_ms}{_MS_SUFFIX}'
