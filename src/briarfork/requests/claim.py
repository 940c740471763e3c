"""Claims on idempotency keys, which prevent a request from running twice."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun

MAX_KEY_LENGTH = 128
MAX_STORED_RESPONSE_BYTES = 4096


class ClaimState(Enum):
    """Progress of the request that holds a claim."""

    STARTED = "started"
    FINISHED = "finished"


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """The response to a finished request, stored for callers that repeat the request.

    Attributes:
        status: HTTP status code.
        content_type: Media type of the body.
        body: The complete body, or None if it was too large to store.
    """

    status: int
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Claim:
    """The exclusive right to run one non-idempotent request, recorded before it is sent.

    Attributes:
        service: Service of the request.
        digest: SHA-256 of service, method, path and key.
        attempt: Unique name of the attempt that holds the claim.
        body_digest: SHA-256 of the request body; the same key with another body is an error.
        state: Progress of the request.
        response: The response, once finished.
    """

    service: str
    digest: str
    attempt: str
    body_digest: str
    state: ClaimState = ClaimState.STARTED
    response: StoredResponse | None = None

    def finish(self, response: StoredResponse) -> Claim:
        """Returns the finished claim with the response for repeated requests.

        A body that exceeds the size limit is not stored.
        """
        if response.body is not None and len(response.body) > MAX_STORED_RESPONSE_BYTES:
            response = replace(response, body=None)
        return replace(self, state=ClaimState.FINISHED, response=response)

    def replay(self, body_digest: str) -> StoredResponse:
        """Returns the stored response for a repeated request.

        Raises:
            NotRun: If the repeated request has a different body.
            BriarforkError: If the first request has not finished or its body was not stored.
        """
        if body_digest != self.body_digest:
            raise NotRun(
                ErrorKind.BAD_REQUEST, "Idempotency-Key: already used with a different body"
            )
        if self.response is None:
            raise BriarforkError(
                ErrorKind.DUPLICATE_REQUEST,
                "a request with this key was started and its result is not known yet",
            )
        if self.response.body is None:
            raise BriarforkError(
                ErrorKind.DUPLICATE_REQUEST,
                f"a request with this key has finished with status {self.response.status}, "
                "but its response was too large to store",
            )
        return self.response


def validate_idempotency_key(key: str, *others: str) -> None:
    """Validates an idempotency key.

    Args:
        key: Value of the first `Idempotency-Key` header.
        others: Values of further `Idempotency-Key` headers, of which there must be none.

    Raises:
        NotRun: If the key is empty, too long, not printable ASCII or not the only one.
    """
    if others or not (0 < len(key) <= MAX_KEY_LENGTH and key.isascii() and key.isprintable()):
        raise NotRun(
            ErrorKind.BAD_REQUEST,
            f"Idempotency-Key: expected 1 to {MAX_KEY_LENGTH} printable ASCII characters",
        )


def digest_request(service: str, method: str, path: str, key: str) -> str:
    """Returns the digest that identifies the claim of a request."""
    return hashlib.sha256("\0".join((service, method, path, key)).encode()).hexdigest()


def digest_body(body: bytes) -> str:
    """Returns the digest by which request bodies are compared."""
    return hashlib.sha256(body).hexdigest()
