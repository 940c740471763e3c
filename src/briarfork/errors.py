"""The closed list of error kinds and the answer that belongs to each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final


class ErrorKind(Enum):
    """Every kind of error that a program of briarfork reports."""

    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TOO_LARGE = "body_too_large"
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
    CLAIM_UNAVAILABLE = "claim_unavailable"
    STORE_UNAVAILABLE = "store_unavailable"
    TOO_MANY_REQUESTS = "too_many_requests"
    PEER_PROTOCOL = "peer_protocol"
    BAD_SETTINGS = "bad_settings"
    INTERNAL = "internal"


class Outcome(Enum):
    """What a caller may conclude about the request that an error answers."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to one kind of error.

    Attributes:
        status: HTTP status.
        retryable: Whether the same request may succeed later without a change to it.
        outcome: Whether the request is known not to have run.
        exit_status: Exit status of a command that ends with this error.
    """

    status: int
    retryable: bool
    outcome: Outcome
    exit_status: int = 1


ANSWERS: Final[dict[ErrorKind, Answer]] = {
    ErrorKind.BAD_REQUEST: Answer(400, False, Outcome.NOT_RUN),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, False, Outcome.NOT_RUN),
    ErrorKind.UNKNOWN_PATH: Answer(404, False, Outcome.NOT_RUN),
    ErrorKind.HEADER_TOO_LARGE: Answer(431, False, Outcome.NOT_RUN),
    ErrorKind.BODY_TOO_LARGE: Answer(413, False, Outcome.NOT_RUN),
    ErrorKind.UNAUTHORIZED: Answer(401, False, Outcome.NOT_RUN),
    ErrorKind.FORBIDDEN: Answer(403, False, Outcome.NOT_RUN),
    ErrorKind.CONFLICT: Answer(409, False, Outcome.NOT_RUN, exit_status=3),
    ErrorKind.INVALID_CONFIGURATION: Answer(422, False, Outcome.NOT_RUN),
    ErrorKind.DUPLICATE_REQUEST: Answer(409, True, Outcome.UNKNOWN),
    ErrorKind.DEADLINE_EXPIRED: Answer(504, True, Outcome.NOT_RUN),
    ErrorKind.OUTCOME_UNKNOWN: Answer(504, False, Outcome.UNKNOWN),
    ErrorKind.OVERLOADED: Answer(503, True, Outcome.NOT_RUN),
    ErrorKind.NO_SERVER: Answer(503, True, Outcome.NOT_RUN),
    ErrorKind.NO_CONFIGURATION: Answer(503, True, Outcome.NOT_RUN),
    ErrorKind.CLAIM_UNAVAILABLE: Answer(503, True, Outcome.NOT_RUN),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, True, Outcome.UNKNOWN, exit_status=4),
    ErrorKind.TOO_MANY_REQUESTS: Answer(429, True, Outcome.NOT_RUN),
    ErrorKind.PEER_PROTOCOL: Answer(400, False, Outcome.NOT_RUN),
    ErrorKind.BAD_SETTINGS: Answer(500, False, Outcome.NOT_RUN, exit_status=2),
    ErrorKind.INTERNAL: Answer(500, False, Outcome.UNKNOWN),
}


class BriarforkError(Exception):
    """Base of all errors that briarfork raises on purpose.

    Attributes:
        kind: The entry of the closed list.
        detail: Names the fault and the place, for people.
    """

    def __init__(self, kind: ErrorKind, detail: str) -> None:
        super().__init__(f"{kind.value}: {detail}")
        self.kind = kind
        self.detail = detail

    @property
    def answer(self) -> Answer:
        """The row of the answer table for this error."""
        return ANSWERS[self.kind]


class InvalidConfiguration(BriarforkError):
    """Operators' files that break a rule.

    Attributes:
        faults: One line for each fault: file, key and what was expected.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__(ErrorKind.INVALID_CONFIGURATION, "; ".join(faults))
        self.faults = faults


class BadSettings(BriarforkError):
    """A settings file that breaks a rule.

    Attributes:
        faults: One line for each fault: file, key and what was expected.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__(ErrorKind.BAD_SETTINGS, "; ".join(faults))
        self.faults = faults


class NotRun(BriarforkError):
    """A request that is refused and provably did not run."""


class SiteUnreachable(NotRun):
    """A request that no VM able to grant a slot of its site could be asked for."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.OVERLOADED, detail)


class OutcomeUnknown(BriarforkError):
    """A request that may or may not have run."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.OUTCOME_UNKNOWN, detail)
