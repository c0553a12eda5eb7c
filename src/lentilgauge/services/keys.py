"""Normalise keys; no other module may."""

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
    """Return a key's bytes: NFC, UTF-8, stripped, 1 to 512 bytes.

    Two spellings of one key must never reach two owners.
    """
    stripped = unicodedata.normalize('NFC', text).strip()
    if not stripped:
        return _refuse('the key is empty')
    if any(char < _FIRST_PRINTABLE for char in stripped):
        return _refuse('the key has control characters')
    try:
        key = stripped.encode('utf-8')
    except UnicodeEncodeError:
        return _refuse('the key is not valid UTF-8')
    if len(key) > MAX_KEY_BYTES:
        return _refuse(f'the key is over {MAX_KEY_BYTES} bytes')
    return result.Success(key)


def normalise_segment(segment: str) -> KeyResult:
    """Normalise a key from a path segment with percent escapes."""
    try:
        text = url_parse.unquote(segment, errors='strict')
    except UnicodeDecodeError:
        return _refuse('the key is not valid UTF-8')
    return normalise_key(text)


def normalise_header(text: str) -> KeyResult:
    """Normalise a key from a header, whose bytes are UTF-8.

    The HTTP library reads header bytes as Latin-1 text.
    """
    try:
        decoded = text.encode('latin-1').decode('utf-8')
    except UnicodeError:
        return _refuse('the key is not valid UTF-8')
    return normalise_key(decoded)
