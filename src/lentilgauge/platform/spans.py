"""Read and write the platform's spans of time: `1500ms`, `2.5s`."""

_MS = 'ms'
_SECOND = 's'
_MS_PER_SECOND = 1000


def read_span_ms(text: str) -> int:
    """Read a span as milliseconds; raise `ValueError` for anything else."""
    if text.endswith(_MS):
        return round(float(text.removesuffix(_MS)))
    if text.endswith(_SECOND):
        return round(float(text.removesuffix(_SECOND)) * _MS_PER_SECOND)
    raise ValueError(f'{text!r} is no span of time')


def write_span(span_ms: int) -> str:
    """Write a span of milliseconds."""
    return f'{span_ms}{_MS}'
