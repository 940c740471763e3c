"""Client for the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
import math
import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import Generic
from typing import TypeVar

import aiohttp
import msgspec

from briarfork.border.connector import DirectConnector
from briarfork.border.responses import ResponseTooLong
from briarfork.border.responses import read_body
from briarfork.border.sending import SingleSendGuard
from briarfork.border.sending import build_send_trace
from briarfork.border.store import StoreUnavailable
from briarfork.border.transfer import Transfer
from briarfork.border.transfer import TransferTime
from briarfork.platform.listing import LAST_KEY
from briarfork.platform.listing import Page
from briarfork.platform.names import NO_KEYS_PREFIX
from briarfork.platform.names import STORE_ERA
from briarfork.platform.store_entries import read_entries
from briarfork.platform.store_era import Lease
from briarfork.platform.store_era import StaleResponse
from briarfork.platform.store_era import StoreEra
from briarfork.platform.store_era import StorePosition
from briarfork.platform.store_health import StoreHealth
from briarfork.platform.store_messages import Events
from briarfork.platform.store_messages import GrantedLease
from briarfork.platform.store_messages import RangePage
from briarfork.platform.store_reading import ReadingKind
from briarfork.platform.store_reading import ReadingTotals
from briarfork.platform.store_reading import StoreReading
from briarfork.platform.units import format_duration

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from collections.abc import Callable
    from types import TracebackType

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings
    from briarfork.platform.store_entries import StoreEntry

ResponseT = TypeVar("ResponseT")
MS_PER_S = 1000
# A page has 1 MB of values and at most one value of 1 MB beyond that, in base64.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# A watch returns all changes since a revision, whose size nothing bounds. Those that are longer
# than this are read page by page.
MAX_CHANGES_BYTES = 4 * 1024 * 1024
# The part of a path that names the call.
CALL_PART = 2
PAGE_RETRIES = 2
PAGE_RETRY_PAUSE_S = 0.3


class HistoryUnavailable(Exception):
    """The changes after a revision are no longer available, so all keys must be read again."""


class ChangesTooLong(Exception):
    """The changes after a revision are too long for a response, so all keys must be read again."""


class LeaseExpired(Exception):
    """The lease has expired."""


StatusErrors = Mapping[int, type[Exception]]
NO_ERRORS: StatusErrors = MappingProxyType({})
LEASE_ERRORS: StatusErrors = MappingProxyType({HTTPStatus.NOT_FOUND: LeaseExpired})


@dataclass(frozen=True, slots=True)
class Changes:
    """What has changed after a position.

    Attributes:
        entries: Entries of the changed keys that concern a gateway.
        position: Position up to which the changes are complete.
        has_events: Whether any key has changed.
    """

    entries: list[StoreEntry]
    position: StorePosition
    has_events: bool


@dataclass(frozen=True, slots=True)
class Reply(Generic[ResponseT]):
    """The decoded response to a call, its era, the size of its body and its time."""

    body: ResponseT
    era: int
    size_bytes: int
    time: TransferTime


class StoreClient:
    """Client for the store; each call has a timeout and is sent at most once.

    Responses of an earlier era of the store are discarded. A call that depends on an era, because
    it names a revision or a lease, fails once that era has ended.

    Attributes:
        health: What the calls show about the store.
        era: The era of the store.
        calls: Number of calls so far.
        failures: Number of failed calls so far, by call.
        readings: How much was read so far, by kind.
        pages_read: Number of pages of listings so far.
        page_revision: Revision of the store that the latest page showed.
        changes_received_at: Time at which a part of the response to a watch last arrived, in
            seconds on the monotonic clock.
    """

    def __init__(self, settings: Settings, events: EventLog) -> None:
        self._url = settings.store_url
        self._timeouts = settings.timeouts
        self._events = events
        self.health = StoreHealth(events)
        self.era = StoreEra(events)
        self._session = aiohttp.ClientSession(
            connector=DirectConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=settings.timeouts.store_s),
            trace_configs=[build_send_trace()],
        )
        self.calls = 0
        self.failures: Counter[str] = Counter()
        self.readings = {kind: ReadingTotals() for kind in ReadingKind}
        self.pages_read = 0
        self.page_revision = 0
        self.changes_received_at = -math.inf

    async def __aenter__(self) -> StoreClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._session.close()

    async def list_pages(self, prefix: str) -> AsyncIterator[Page]:
        """Yields the entries of all keys with a prefix page by page, all of one era.

        Each page is decoded before the next one is read, so that the memory which a listing takes
        does not depend on the size of the values. Pages are not a snapshot, so a page that fails is
        read again without those before it.

        Raises:
            EraEnded: If the era changed between two pages.
            StoreUnavailable: If the calls for a page fail.
        """
        position: StorePosition | None = None
        reading = StoreReading(self._events, self.readings[ReadingKind.LISTING])
        after = ""
        while True:
            reply = await self._read_page(prefix, after, position)
            self.pages_read += 1
            self.page_revision = reply.body.store_revision
            is_first = position is None
            # A watch from the revision of the first page includes changes made between pages.
            position = position or StorePosition(reply.era, reply.body.store_revision)
            items = reply.body.items
            is_last = not reply.body.has_more or not items
            reading.add_page(reply.size_bytes, len(items), reply.time.call_s, is_last)
            if is_last:
                self.health.record_view()
            elif items[-1].key <= after:
                failure = StoreUnavailable(f"GET /v1/kv-range: pages repeat after key {after}")
                self.record_failure("/v1/kv-range", failure.detail)
                raise failure
            last_key = LAST_KEY if is_last else items[-1].key
            yield Page(read_entries(items), last_key, position, is_first, is_last)
            if is_last:
                return
            after = items[-1].key

    async def _read_page(
        self, prefix: str, after: str, position: StorePosition | None
    ) -> Reply[RangePage]:
        """Returns the page after a key; later pages are tried several times.

        Raises:
            EraEnded: If the era of the position has ended.
            StoreUnavailable: If all tries fail.
        """
        params = {"prefix": prefix} | ({"after": after} if after else {})
        era = position.era if position else None
        for _ in range(PAGE_RETRIES if position else 0):
            try:
                return await self._call("GET", "/v1/kv-range", RangePage, era=era, params=params)
            except StoreUnavailable:
                await asyncio.sleep(PAGE_RETRY_PAUSE_S)
        return await self._call("GET", "/v1/kv-range", RangePage, era=era, params=params)

    async def watch(
        self, prefix: str, after: StorePosition, *, wait_s: float | None = None
    ) -> Changes:
        """Waits for changes after a position; returns none if none occur within the time.

        Args:
            prefix: Prefix of the keys.
            after: The position.
            wait_s: Longest time to wait, by default that of the settings.

        Raises:
            ChangesTooLong: If the changes are longer than a response may be.
            EraEnded: If the era of the position has ended.
            HistoryUnavailable: If the changes are no longer available.
            StoreUnavailable: If the call fails.
        """
        wait_s = self._timeouts.watch_s if wait_s is None else wait_s
        reading = StoreReading(self._events, self.readings[ReadingKind.CHANGES])
        params = {
            "prefix": prefix,
            "after": str(after.revision),
            "wait_ms": str(round(wait_s * MS_PER_S)),
        }
        reply = await self._call(
            "GET",
            "/v1/kv-watch",
            Events,
            era=after.era,
            timeout_s=wait_s + self._timeouts.store_s,
            errors={HTTPStatus.GONE: HistoryUnavailable},
            params=params,
            on_part=self._record_changes_received,
            max_bytes=MAX_CHANGES_BYTES,
            too_long=ChangesTooLong,
        )
        self.health.record_view()
        reading.add_changes(reply.size_bytes, len(reply.body.events), reply.time.body_s)
        position = StorePosition(after.era, reply.body.store_revision)
        return Changes(read_entries(reply.body.events), position, bool(reply.body.events))

    def _record_changes_received(self) -> None:
        self.changes_received_at = time.monotonic()

    async def read_revision(self, era: int, *, stale: bool = True) -> int:
        """Returns a revision that the store has reached in an era.

        Args:
            era: The era.
            stale: Whether a newer one may exist. Stale reads cost a tenth of other reads.

        Raises:
            EraEnded: If the era has ended.
            StoreUnavailable: If the call fails.
        """
        params = {"prefix": NO_KEYS_PREFIX} | ({"stale_ok": "1"} if stale else {})
        reply = await self._call("GET", "/v1/kv-range", RangePage, era=era, params=params)
        return reply.body.store_revision

    async def create_lease(self, ttl_s: float) -> Lease:
        """Creates a lease.

        Raises:
            StoreUnavailable: If the call fails.
        """
        body = {"ttl_time": format_duration(ttl_s)}
        reply = await self._call("POST", "/v1/kv-lease", GrantedLease, json=body)
        return Lease(reply.era, reply.body.lease)

    async def renew_lease(self, lease: Lease) -> None:
        """Renews a lease.

        Raises:
            EraEnded: If the era of the lease has ended.
            LeaseExpired: If the lease has expired.
            StoreUnavailable: If the call fails.
        """
        path = f"/v1/kv-keep/{lease.number}"
        await self._call("POST", path, dict[str, Any], era=lease.era, errors=LEASE_ERRORS)

    async def put(self, key: str, value: bytes, lease: Lease) -> None:
        """Writes a key that only one VM writes and that is deleted when its lease expires.

        Raises:
            EraEnded: If the era of the lease has ended; the write may have taken effect.
            LeaseExpired: If the lease has expired.
            StoreUnavailable: If the call fails; the write may have taken effect.
        """
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease.number}
        body = {"expected": [], "puts": [put], "deletes": []}
        path = "/v1/kv-txn"
        await self._call(
            "POST", path, dict[str, Any], era=lease.era, errors=LEASE_ERRORS, json=body
        )

    async def delete(self, key: str) -> None:
        """Deletes a key.

        Raises:
            StoreUnavailable: If the call fails; the deletion may have taken effect.
        """
        body = {"expected": [], "puts": [], "deletes": [key]}
        await self._call("POST", "/v1/kv-txn", dict[str, Any], json=body)

    def record_failure(self, path: str, reason: str) -> None:
        """Counts and reports that a call failed.

        Args:
            path: Path of the call, whose last part may be a number.
            reason: Why it failed.
        """
        self.failures[path.split("/")[CALL_PART]] += 1
        self.health.record_failure(reason)

    async def _call(
        self,
        method: str,
        path: str,
        expected: type[ResponseT],
        era: int | None = None,
        timeout_s: float | None = None,
        on_part: Callable[[], None] | None = None,
        errors: StatusErrors = NO_ERRORS,
        max_bytes: int = MAX_RESPONSE_BYTES,
        too_long: type[Exception] | None = None,
        **options: Any,
    ) -> Reply[ResponseT]:
        """Returns the decoded response to a call.

        Args:
            method: HTTP method.
            path: Path of the call.
            expected: Type of the response.
            era: Era on which the call depends, None if it depends on none.
            timeout_s: Longest time until the body of the response begins, and between two of its
                parts; by default that of the settings.
            on_part: Called after each part of the body.
            errors: The errors that statuses mean in response to this call. Other failures mean that
                the store is unavailable.
            max_bytes: Longest body of the response.
            too_long: The error that a longer body means, None if the store is then unavailable.
            options: Further arguments of the HTTP request.

        Raises:
            EraEnded: If the era on which the call depends has ended.
            StoreUnavailable: If there is no valid response.
        """
        sent_in = self.era.current
        self.era.check(sent_in, era)
        self.calls += 1
        call = f"{method} {path}"
        transfer = Transfer(timeout_s or self._timeouts.store_s, self._timeouts.store_s, on_part)
        try:
            async with (
                transfer.timeout,
                self._session.request(
                    method, self._url + path, trace_request_ctx=SingleSendGuard(), **options
                ) as response,
            ):
                transfer.begin_body()
                found = self.era.observe(response.headers.get(STORE_ERA), sent_in)
                self.era.check(found, era)
                body = await read_body(response, max_bytes, transfer.extend)
                if response.status in errors:
                    raise errors[response.status]
                decoded = _decode_response(call, response.status, body, expected)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError) as error:
            if too_long is not None and isinstance(error, ResponseTooLong):
                raise too_long(call) from error
            failure = StoreUnavailable(f"{call}: {str(error) or type(error).__name__}")
            self.record_failure(path, failure.detail)
            raise failure from error
        except StaleResponse:
            # The store answers; this response was only late.
            raise
        except StoreUnavailable as error:
            self.record_failure(path, error.detail)
            raise
        # The era may have ended while the body was read.
        self.era.check(found, era)
        self.health.record_response()
        return Reply(decoded, found, len(body), transfer.measure())


def _decode_response(call: str, status: int, body: bytes, expected: type[ResponseT]) -> ResponseT:
    if status != HTTPStatus.OK:
        raise StoreUnavailable(f"{call}: status {status}")
    return msgspec.json.decode(body, type=expected)
