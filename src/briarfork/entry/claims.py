"""Repository of the claims on idempotency keys, which the store holds."""

from __future__ import annotations

import asyncio
import base64
import time
from collections import deque
from typing import TYPE_CHECKING

import msgspec

from briarfork.border.events import Event
from briarfork.border.store import ABSENT
from briarfork.border.store import StoreConflict
from briarfork.border.store import StoreUnavailable
from briarfork.errors import ErrorKind
from briarfork.errors import NotRun
from briarfork.requests import Claim
from briarfork.requests import ClaimState
from briarfork.requests import StoredResponse

if TYPE_CHECKING:
    from briarfork.border.events import EventLog
    from briarfork.border.store import Store

CLAIM_TTL_S = 24 * 3600.0
LEASE_RENEWAL_S = 3600.0
# Creating the same claim again is idempotent and resolves a write whose response was lost.
CREATE_ATTEMPTS = 3
# One retry covers a lost response without delaying the caller for long.
REPLACE_ATTEMPTS = 2
# Bounds the memory during an outage of the store; each write holds up to 4 KiB of a response.
MAX_PENDING_WRITES = 1000
PENDING_WRITES_INTERVAL_S = 1.0


class ClaimRecord(msgspec.Struct, frozen=True):
    """Stored form of a claim, with the body of the response in base64."""

    attempt: str
    body_digest: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: str | None = None


class ClaimRepository:
    """Opens, finishes and abandons claims in the store."""

    def __init__(self, store: Store, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._lease = ""
        self._lease_created_at = 0.0
        self._pending_writes: deque[tuple[Claim, Claim | None]] = deque(maxlen=MAX_PENDING_WRITES)

    async def open(self, claim: Claim) -> StoredResponse | None:
        """Stores a claim before its request is sent.

        Returns:
            None if the request may be sent, or the stored response to the first request.

        Raises:
            NotRun: If the store does not confirm the claim.
            BriarforkError: If the first request has started and its response is not known.
        """
        try:
            lease = await self._ensure_lease()
            return await self._create(claim, lease)
        except StoreUnavailable as error:
            # The write may have taken effect and would block a retry of the request.
            self._enqueue_write(claim, None)
            raise NotRun(
                ErrorKind.CLAIM_UNAVAILABLE,
                f"the store did not confirm the idempotency key: {error.detail}",
            ) from error

    async def finish(self, claim: Claim, answer: StoredResponse) -> None:
        """Stores the response for retries of the request, later if the store is unavailable."""
        await self._replace(claim, claim.finish(answer))

    async def abandon(self, claim: Claim) -> bool:
        """Removes the claim of a request that provably did not run.

        Returns:
            Whether the store has confirmed the removal; if not, it is retried later.
        """
        return await self._replace(claim, None)

    async def run(self) -> None:
        """Retries the writes that the store did not confirm."""
        while True:
            while self._pending_writes:
                claim, replacement = self._pending_writes.popleft()
                try:
                    await self._write(claim, replacement)
                except StoreUnavailable:
                    self._enqueue_write(claim, replacement)
                    break
            await asyncio.sleep(PENDING_WRITES_INTERVAL_S)

    async def _create(self, claim: Claim, lease: str) -> StoredResponse | None:
        for attempt in range(CREATE_ATTEMPTS):
            try:
                await self._store.put(_build_key(claim), _encode(claim), ABSENT, lease)
                return None
            except StoreConflict:
                return await self._resolve_conflict(claim)
            except StoreUnavailable:
                # A store that was restored from a backup does not know the lease.
                self._lease = ""
                if attempt == CREATE_ATTEMPTS - 1:
                    raise
                lease = await self._ensure_lease()
        return None

    async def _resolve_conflict(self, claim: Claim) -> StoredResponse | None:
        entry = await self._store.get(_build_key(claim))
        if entry is None:
            raise NotRun(ErrorKind.CLAIM_UNAVAILABLE, "the claim was removed meanwhile; try again")
        existing = _decode(claim, entry.value)
        if existing.attempt == claim.attempt:
            return None
        return existing.replay(claim.body_digest)

    async def _replace(self, claim: Claim, replacement: Claim | None) -> bool:
        for _ in range(REPLACE_ATTEMPTS):
            try:
                await self._write(claim, replacement)
                return True
            except StoreUnavailable as error:
                detail = error.detail
        self._events.record(Event.CLAIM_LEFT, claim=_build_key(claim), reason=detail)
        self._enqueue_write(claim, replacement)
        return False

    async def _write(self, claim: Claim, replacement: Claim | None) -> None:
        """Replaces or removes a claim if the same attempt still holds it."""
        entry = await self._store.get(_build_key(claim))
        if entry is None or _decode(claim, entry.value).attempt != claim.attempt:
            return
        try:
            if replacement is None:
                await self._store.delete(_build_key(claim), entry.revision)
            else:
                lease = await self._ensure_lease()
                value = _encode(replacement)
                await self._store.put(_build_key(claim), value, entry.revision, lease)
        except StoreConflict:
            # Only its holder writes a claim, so an earlier write with a lost response took effect.
            return

    def _enqueue_write(self, claim: Claim, replacement: Claim | None) -> None:
        self._pending_writes.append((claim, replacement))

    async def _ensure_lease(self) -> str:
        now = time.monotonic()
        if not self._lease or now - self._lease_created_at > LEASE_RENEWAL_S:
            self._lease = await self._store.create_lease(CLAIM_TTL_S)
            self._lease_created_at = now
        return self._lease


def _build_key(claim: Claim) -> str:
    return f"claims/{claim.service}/{claim.digest}"


def _encode(claim: Claim) -> str:
    answer = claim.response
    record = ClaimRecord(claim.attempt, claim.body_digest, claim.state)
    if answer is not None:
        body = None if answer.body is None else base64.b64encode(answer.body).decode()
        record = ClaimRecord(
            claim.attempt, claim.body_digest, claim.state, answer.status, answer.content_type, body
        )
    return msgspec.json.encode(record).decode()


def _decode(claim: Claim, value: str) -> Claim:
    record = msgspec.json.decode(value, type=ClaimRecord)
    answer = None
    if record.state is ClaimState.FINISHED:
        body = None if record.body is None else base64.b64decode(record.body)
        answer = StoredResponse(record.status, record.content_type, body)
    return Claim(
        claim.service, claim.digest, record.attempt, record.body_digest, record.state, answer
    )
