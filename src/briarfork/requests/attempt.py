"""Progress of an attempt to run a request, and the rules for retrying it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.requests.deadline import Deadline


class AttemptResult(Enum):
    """How far an attempt got that did not deliver a complete response to the caller."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    SENT_WITHOUT_ANSWER = "sent without answer"
    ANSWER_STARTED = "answer started"


class SendForbidden(Exception):
    """Raised if a request must not be written to a connection."""


class Attempt:
    """One attempt to run a request, from the selection of a server to the response.

    The connection calls `mark_sent` before it writes the first byte, so the reported outcome never
    depends on the type of a later error.

    Example:
        >>> from briarfork.requests.deadline import Deadline
        >>> attempt = Attempt(Deadline(expires_at=10.0))
        >>> attempt.result.value
        'not sent'
        >>> attempt.mark_sent(now=9.0)
        >>> attempt.result.value
        'sent without answer'
    """

    __slots__ = ("_refused", "_response_started", "_sent", "deadline")

    def __init__(self, deadline: Deadline) -> None:
        self.deadline = deadline
        self._sent = False
        self._refused = False
        self._response_started = False

    def mark_sent(self, now: float) -> None:
        """Records that the request is about to be written to a connection.

        Raises:
            SendForbidden: If the request was written before or its deadline has expired. This
                stops retries inside the HTTP library, and a VM that was paused after it had
                claimed the request.
        """
        if self._sent:
            raise SendForbidden("the request was already written to a connection")
        if self.deadline.has_expired(now):
            raise SendForbidden("the deadline expired before the request was sent")
        self._sent = True

    def mark_refused(self) -> None:
        """Records that the server reported that it did not run the request."""
        self._refused = True

    def mark_response_started(self) -> None:
        """Records that the beginning of the response is sent to the caller."""
        self._response_started = True

    @property
    def result(self) -> AttemptResult:
        """The result if the attempt failed now."""
        if self._response_started:
            return AttemptResult.ANSWER_STARTED
        if self._refused:
            return AttemptResult.REFUSED
        return AttemptResult.SENT_WITHOUT_ANSWER if self._sent else AttemptResult.NOT_SENT


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that did not end with a complete response.

    Attributes:
        result: How far the attempt got. It counts as sent once a byte was passed to a socket.
        idempotent: Whether the request may safely run more than once.
        replayable: Whether the body can be sent again.
        resumable: Whether the rest of the response can be requested separately.
    """

    result: AttemptResult
    idempotent: bool
    replayable: bool
    resumable: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have run the request."""
        return self.result in (AttemptResult.SENT_WITHOUT_ANSWER, AttemptResult.ANSWER_STARTED)

    def may_retry(self) -> bool:
        """Returns whether the retry rule for the result allows another attempt."""
        return RETRY_RULES.get(self.result.value)(self)


RETRY_RULES: Registry[Callable[[FailedAttempt], bool]] = Registry("retry rule")


@RETRY_RULES.register(AttemptResult.NOT_SENT.value)
def retry_not_sent(attempt: FailedAttempt) -> bool:
    """Allows a retry of any request, because nothing was passed to a socket."""
    return attempt.replayable


@RETRY_RULES.register(AttemptResult.REFUSED.value)
def retry_refused(attempt: FailedAttempt) -> bool:
    """Allows a retry of any request, because the server reported that it did not run it."""
    return attempt.replayable


@RETRY_RULES.register(AttemptResult.SENT_WITHOUT_ANSWER.value)
def retry_unanswered(attempt: FailedAttempt) -> bool:
    """Allows a retry only of idempotent requests, because the request may have run."""
    return attempt.idempotent and attempt.replayable


@RETRY_RULES.register(AttemptResult.ANSWER_STARTED.value)
def retry_started(attempt: FailedAttempt) -> bool:
    """Allows a retry only if it can continue the response of which the caller has a part."""
    return attempt.idempotent and attempt.replayable and attempt.resumable
