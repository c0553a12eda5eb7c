"""JSON format of error responses."""

import msgspec

from lentilgauge import errors


class ErrorMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an error response.

    `ran` says whether the request may have been executed.
    """

    kind: errors.ErrorKind
    detail: str
    ran: errors.ExecutionClaim
    request_id: str = ''

    def model_dump_json(self) -> str:
        """Serialize the message to JSON."""
        return msgspec.json.encode(self).decode()


def parse_error(body: bytes) -> ErrorMessage:
    """Parse the body of an error response; raise `ValueError` if invalid."""
    return msgspec.json.decode(body, type=ErrorMessage)
