"""Shape a failure as it travels."""

import msgspec

from lentilgauge import errors


class ErrorMessage(msgspec.Struct, frozen=True, kw_only=True):
    """Carry a failure as a JSON body."""

    kind: errors.ErrorKind
    detail: str
    ran: errors.Ran
    request_id: str = ''

    def model_dump_json(self) -> str:
        """Write the message as JSON."""
        return msgspec.json.encode(self).decode()


def read_error(body: bytes) -> ErrorMessage:
    """Read a failure; raise `ValueError` for anything else."""
    return msgspec.json.decode(body, type=ErrorMessage)
