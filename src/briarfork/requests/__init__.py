"""Requests: deadlines, retries, budgets and claims."""

from briarfork.requests.attempt import RETRY_RULES
from briarfork.requests.attempt import AttemptResult
from briarfork.requests.attempt import FailedAttempt
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

__all__ = [
    "HEDGE_RATIO",
    "RETRY_RATIO",
    "RETRY_RULES",
    "AttemptResult",
    "Budget",
    "Claim",
    "ClaimState",
    "Deadline",
    "FailedAttempt",
    "HedgeBudget",
    "StoredAnswer",
    "check_key",
    "digest_body",
    "digest_request",
]
