"""Handling of requests: deadlines, retries, budgets, claims and downloads."""

from briarfork.requests.attempt import RETRY_RULES
from briarfork.requests.attempt import Attempt
from briarfork.requests.attempt import AttemptResult
from briarfork.requests.attempt import FailedAttempt
from briarfork.requests.attempt import SendForbidden
from briarfork.requests.body_memory import BodyMemory
from briarfork.requests.body_memory import Reservation
from briarfork.requests.budget import HEDGE_RATIO
from briarfork.requests.budget import RETRY_RATIO
from briarfork.requests.budget import HedgeBudget
from briarfork.requests.budget import RetryBudget
from briarfork.requests.claim import Claim
from briarfork.requests.claim import ClaimState
from briarfork.requests.claim import StoredResponse
from briarfork.requests.claim import digest_body
from briarfork.requests.claim import digest_request
from briarfork.requests.claim import validate_idempotency_key
from briarfork.requests.deadline import Deadline
from briarfork.requests.download import Download
from briarfork.requests.download import ResponseHead
from briarfork.requests.pipeline import AheadBudget
from briarfork.requests.pipeline import PipelineWindow
from briarfork.requests.pipeline import Turn
from briarfork.requests.response_memory import DropReason
from briarfork.requests.response_memory import HeldResponse
from briarfork.requests.response_memory import ResponseDropped
from briarfork.requests.response_memory import ResponseMemory

__all__ = [
    "HEDGE_RATIO",
    "RETRY_RATIO",
    "RETRY_RULES",
    "AheadBudget",
    "Attempt",
    "AttemptResult",
    "BodyMemory",
    "Claim",
    "ClaimState",
    "Deadline",
    "Download",
    "DropReason",
    "FailedAttempt",
    "HedgeBudget",
    "HeldResponse",
    "PipelineWindow",
    "Reservation",
    "ResponseDropped",
    "ResponseHead",
    "ResponseMemory",
    "RetryBudget",
    "SendForbidden",
    "StoredResponse",
    "Turn",
    "digest_body",
    "digest_request",
    "validate_idempotency_key",
]
