"""Normalise keys, in this module only, so that all agree on a key's owner."""

import unicodedata
from urllib import parse as url_parse

from returns import result

from lentilgauge import errors

MAX_KEY_BYTES = 512
_FIRST_PRINTABLE = ' '

KeyResult = result.Result[bytes, errors.Failure]


def _refuse(detail: str) -> KeyResult:
    return result.Failure(
        errors.Failure(kind=errors.ErrorKind.BAD_KEY, detail=detail),
    )


def normalise_key(text: str) -> KeyResult:
    """Return the canonical form of a key, or why it is invalid.

    The text is normalised to NFC, stripped and encoded as 1 to 512 bytes of
    UTF-8, so that two spellings of one key never reach two owners.
    """
    stripped = unicodedata.normalize('NFC', text).strip()
    if not stripped:
        return _refuse('the key is empty')
    if any(char < _FIRST_PRINTABLE for char in stripped):
        return _refuse('the key contains control characters')
    try:
        key = stripped.encode('utf-8')
    except UnicodeEncodeError:
        return _refuse('the key is not valid UTF-8')
    if len(key) > MAX_KEY_BYTES:
        return _refuse(f'the key is longer than {MAX_KEY_BYTES} bytes')
    return result.Success(key)


def normalise_segment(segment: str) -> KeyResult:
    """Normalise a key from a percent-encoded path segment."""
    try:
        text = url_parse.unquote(segment, errors='strict')
    except UnicodeDecodeError:
        return _refuse('the key is not valid UTF-8')
    return normalise_key(text)


def normalise_header(text: str) -> KeyResult:
    """Normalise a key from a header whose bytes are UTF-8.

    The HTTP library decodes header bytes as Latin-1, which is undone first.
    """
    try:
        decoded = text.encode('latin-1').decode('utf-8')
    except UnicodeError:
        return _refuse('the key is not valid UTF-8')
    return normalise_key(decoded)
