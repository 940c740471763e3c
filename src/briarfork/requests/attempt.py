"""What happened to a request on its way, and what may follow from it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable


class AttemptResult(Enum):
    """The possible ends of an attempt that brought no answer to the caller."""

    NOT_SENT = "not sent"
    REFUSED = "refused"
    SENT_WITHOUT_ANSWER = "sent without answer"
    ANSWER_STARTED = "answer started"


@dataclass(frozen=True, slots=True)
class FailedAttempt:
    """An attempt that did not end with a whole answer.

    Attributes:
        result: How far it came. Once a byte was handed to a socket it counts as sent.
        idempotent: Whether running the request again does no harm.
        replayable: Whether the body can be sent again.
    """

    result: AttemptResult
    idempotent: bool
    replayable: bool

    @property
    def may_have_run(self) -> bool:
        """Whether the request may have run at the server."""
        return self.result in (AttemptResult.SENT_WITHOUT_ANSWER, AttemptResult.ANSWER_STARTED)

    def may_repeat(self) -> bool:
        """Returns whether the rules of the request allow another attempt."""
        return RETRY_RULES.get(self.result.value)(self)


RETRY_RULES: Registry[Callable[[FailedAttempt], bool]] = Registry("retry rule")


@RETRY_RULES.register(AttemptResult.NOT_SENT.value)
def retry_not_sent(attempt: FailedAttempt) -> bool:
    """Nothing reached a socket, so any request may be sent."""
    return attempt.replayable


@RETRY_RULES.register(AttemptResult.REFUSED.value)
def retry_refused(attempt: FailedAttempt) -> bool:
    """The server itself said that it did not run the request."""
    return attempt.replayable


@RETRY_RULES.register(AttemptResult.SENT_WITHOUT_ANSWER.value)
def retry_unanswered(attempt: FailedAttempt) -> bool:
    """The request may have run, so only an idempotent one may run again."""
    return attempt.idempotent and attempt.replayable


@RETRY_RULES.register(AttemptResult.ANSWER_STARTED.value)
def retry_started(attempt: FailedAttempt) -> bool:
    """The caller holds part of the answer; only a range resume could continue it."""
    return False
