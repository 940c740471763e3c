"""All error kinds, the response to each of them, and the exceptions that carry them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final


class ErrorKind(Enum):
    """Kinds of errors that the programs of briarfork report."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TOO_LARGE = "body_too_large"
    MALFORMED_BODY = "malformed_body"
    REQUEST_TIMEOUT = "request_timeout"
    UNAUTHORIZED = "unauthorized"
    FORBIDDEN = "forbidden"
    CONFLICT = "conflict"
    INVALID_CONFIGURATION = "invalid_configuration"
    DUPLICATE_REQUEST = "duplicate_request"
    DEADLINE_EXPIRED = "deadline_expired"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OVERLOADED = "overloaded"
    NO_SERVER = "no_server"
    NO_CONFIGURATION = "no_configuration"
    STALE_CONFIGURATION = "stale_configuration"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    STORE_UNAVAILABLE = "store_unavailable"
    TOO_MANY_REQUESTS = "too_many_requests"
    PEER_PROTOCOL = "peer_protocol"
    BAD_SETTINGS = "bad_settings"
    INTERNAL = "internal"


class Outcome(Enum):
    """What is known about the execution of a request that failed with an error."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """The response to one kind of error.

    Attributes:
        status: HTTP status code.
        retryable: Whether the same request may succeed later.
        outcome: Whether the request is known not to have run.
        exit_status: Exit status of a command that fails with this error.
    """

    status: int
    retryable: bool
    outcome: Outcome
    exit_status: int = 1


ERROR_RESPONSES: Final[dict[ErrorKind, ErrorResponse]] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, False, Outcome.NOT_RUN),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, False, Outcome.NOT_RUN),
    ErrorKind.UNKNOWN_PATH: ErrorResponse(404, False, Outcome.NOT_RUN),
    ErrorKind.HEADER_TOO_LARGE: ErrorResponse(431, False, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, False, Outcome.NOT_RUN),
    ErrorKind.MALFORMED_BODY: ErrorResponse(400, False, Outcome.NOT_RUN),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, True, Outcome.NOT_RUN),
    ErrorKind.UNAUTHORIZED: ErrorResponse(401, False, Outcome.NOT_RUN),
    ErrorKind.FORBIDDEN: ErrorResponse(403, False, Outcome.NOT_RUN),
    ErrorKind.CONFLICT: ErrorResponse(409, False, Outcome.NOT_RUN, exit_status=3),
    ErrorKind.INVALID_CONFIGURATION: ErrorResponse(422, False, Outcome.NOT_RUN),
    ErrorKind.DUPLICATE_REQUEST: ErrorResponse(409, True, Outcome.UNKNOWN),
    ErrorKind.DEADLINE_EXPIRED: ErrorResponse(504, True, Outcome.NOT_RUN),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(504, False, Outcome.UNKNOWN),
    ErrorKind.OVERLOADED: ErrorResponse(503, True, Outcome.NOT_RUN),
    ErrorKind.NO_SERVER: ErrorResponse(503, True, Outcome.NOT_RUN),
    ErrorKind.NO_CONFIGURATION: ErrorResponse(503, True, Outcome.NOT_RUN),
    ErrorKind.STALE_CONFIGURATION: ErrorResponse(503, True, Outcome.NOT_RUN),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(503, True, Outcome.NOT_RUN),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, True, Outcome.UNKNOWN, exit_status=4),
    ErrorKind.TOO_MANY_REQUESTS: ErrorResponse(429, True, Outcome.NOT_RUN),
    ErrorKind.PEER_PROTOCOL: ErrorResponse(400, False, Outcome.NOT_RUN),
    ErrorKind.BAD_SETTINGS: ErrorResponse(500, False, Outcome.NOT_RUN, exit_status=2),
    ErrorKind.INTERNAL: ErrorResponse(500, False, Outcome.UNKNOWN),
}


class BriarforkError(Exception):
    """Base class of all errors that briarfork raises.

    Attributes:
        kind: Kind of the error.
        detail: Human-readable description of the error and where it occurred.
    """

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail

    @property
    def response(self) -> ErrorResponse:
        """The response for this kind of error."""
        return ERROR_RESPONSES[self.kind]


class InvalidConfiguration(BriarforkError):
    """Raised if configuration documents are invalid.

    Attributes:
        faults: One line for each fault, with the file, the key and the expected value.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__(ErrorKind.INVALID_CONFIGURATION, "; ".join(faults))
        self.faults = faults


class BadSettings(BriarforkError):
    """Raised if a settings file is invalid.

    Attributes:
        faults: One line for each fault, with the file, the key and the expected value.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__(ErrorKind.BAD_SETTINGS, "; ".join(faults))
        self.faults = faults


class NotRun(BriarforkError):
    """Raised if a request is refused and is known not to have run."""


class SiteUnreachable(NotRun):
    """Raised if no VM that can grant a slot of the site is reachable."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.OVERLOADED, detail)


class OutcomeUnknown(BriarforkError):
    """Raised if it is unknown whether a request has run."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, detail)
