"""Requests: deadlines, retries, budgets, claims and downloads."""

from briarfork.requests.attempt import RETRY_RULES
from briarfork.requests.attempt import Attempt
from briarfork.requests.attempt import AttemptResult
from briarfork.requests.attempt import FailedAttempt
from briarfork.requests.attempt import SendForbidden
from briarfork.requests.budget import HEDGE_RATIO
from briarfork.requests.budget import RETRY_RATIO
from briarfork.requests.budget import Budget
from briarfork.requests.budget import HedgeBudget
from briarfork.requests.claim import Claim
from briarfork.requests.claim import ClaimState
from briarfork.requests.claim import StoredAnswer
from briarfork.requests.claim import check_key
from briarfork.requests.claim import digest_body
from briarfork.requests.claim import digest_request
from briarfork.requests.deadline import Deadline
from briarfork.requests.download import AnswerHead
from briarfork.requests.download import Download

__all__ = [
    "HEDGE_RATIO",
    "RETRY_RATIO",
    "RETRY_RULES",
    "AnswerHead",
    "Attempt",
    "AttemptResult",
    "Budget",
    "Claim",
    "ClaimState",
    "Deadline",
    "Download",
    "FailedAttempt",
    "HedgeBudget",
    "SendForbidden",
    "StoredAnswer",
    "check_key",
    "digest_body",
    "digest_request",
]
