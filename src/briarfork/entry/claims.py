"""Claims on idempotency keys, kept in the store."""

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
# Creating the same claim again is idempotent and settles a write whose answer was lost.
OPEN_ATTEMPTS = 3
# A repeated write after the first covers a lost response without holding the caller for long.
REPLACE_ATTEMPTS = 2
# Bounds the memory for an outage of the store: 4 KiB of answer each.
MAX_POSTPONED = 1000
POSTPONED_PAUSE_S = 1.0


class ClaimRecord(msgspec.Struct, frozen=True):
    """The form in which the store keeps a claim; the body is in base64."""

    attempt: str
    body_digest: str
    state: ClaimState
    status: int = 0
    content_type: str = ""
    body: str | None = None


class ClaimBook:
    """Opens, finishes and abandons claims."""

    def __init__(self, store: Store, events: EventLog) -> None:
        self._store = store
        self._events = events
        self._lease = ""
        self._lease_created_at = 0.0
        self._postponed: deque[tuple[Claim, Claim | None]] = deque(maxlen=MAX_POSTPONED)

    async def open(self, claim: Claim) -> StoredResponse | None:
        """Records a claim before its request is sent.

        Returns:
            None if the request may be sent, or the stored answer of the first request.

        Raises:
            NotRun: If the store does not confirm the claim.
            BriarforkError: If the first request has started and its answer is not known.
        """
        try:
            lease = await self._find_lease()
            return await self._create(claim, lease)
        except StoreUnavailable as error:
            # The write may have taken effect, and a repeat of the request would find it.
            self._postpone(claim, None)
            raise NotRun(
                ErrorKind.CLAIM_UNAVAILABLE,
                f"the store did not confirm the idempotency key: {error.detail}",
            ) from error

    async def finish(self, claim: Claim, answer: StoredResponse) -> None:
        """Records the answer for repeats of the request, later if the store is down."""
        await self._replace(claim, claim.finish(answer))

    async def abandon(self, claim: Claim) -> bool:
        """Removes the claim of a request that provably did not run.

        Returns:
            Whether the store has confirmed it; if not, it is tried again later.
        """
        return await self._replace(claim, None)

    async def run(self) -> None:
        """Makes the updates that the store did not confirm."""
        while True:
            while self._postponed:
                claim, replacement = self._postponed.popleft()
                try:
                    await self._write(claim, replacement)
                except StoreUnavailable:
                    self._postpone(claim, replacement)
                    break
            await asyncio.sleep(POSTPONED_PAUSE_S)

    async def _create(self, claim: Claim, lease: str) -> StoredResponse | None:
        for attempt in range(OPEN_ATTEMPTS):
            try:
                await self._store.put(_name(claim), _encode(claim), ABSENT, lease)
                return None
            except StoreConflict:
                return await self._resolve_conflict(claim)
            except StoreUnavailable:
                # A store that was restored does not know the lease.
                self._lease = ""
                if attempt == OPEN_ATTEMPTS - 1:
                    raise
                lease = await self._find_lease()
        return None

    async def _resolve_conflict(self, claim: Claim) -> StoredResponse | None:
        entry = await self._store.get(_name(claim))
        if entry is None:
            raise NotRun(ErrorKind.CLAIM_UNAVAILABLE, "the claim changed; try again")
        known = _decode(claim, entry.value)
        if known.attempt == claim.attempt:
            return None
        return known.replay(claim.body_digest)

    async def _replace(self, claim: Claim, replacement: Claim | None) -> bool:
        for _ in range(REPLACE_ATTEMPTS):
            try:
                await self._write(claim, replacement)
                return True
            except StoreUnavailable as error:
                detail = error.detail
        self._events.record(Event.CLAIM_LEFT, claim=_name(claim), reason=detail)
        self._postpone(claim, replacement)
        return False

    async def _write(self, claim: Claim, replacement: Claim | None) -> None:
        """Replaces or removes a claim that is still the own one; does nothing otherwise."""
        entry = await self._store.get(_name(claim))
        if entry is None or _decode(claim, entry.value).attempt != claim.attempt:
            return
        try:
            if replacement is None:
                await self._store.delete(_name(claim), entry.revision)
            else:
                lease = await self._find_lease()
                value = _encode(replacement)
                await self._store.put(_name(claim), value, entry.revision, lease)
        except StoreConflict:
            # Nobody else writes an own claim: an earlier write whose answer was lost did.
            return

    def _postpone(self, claim: Claim, replacement: Claim | None) -> None:
        self._postponed.append((claim, replacement))

    async def _find_lease(self) -> str:
        now = time.monotonic()
        if not self._lease or now - self._lease_created_at > LEASE_RENEWAL_S:
            self._lease = await self._store.create_lease(CLAIM_TTL_S)
            self._lease_created_at = now
        return self._lease


def _name(claim: Claim) -> str:
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
