"""Client for the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
import time
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
from briarfork.border.events import Event
from briarfork.border.memory import read_memory
from briarfork.border.responses import read_body
from briarfork.border.sending import SingleSendGuard
from briarfork.border.sending import build_send_trace
from briarfork.border.store import StoreUnavailable
from briarfork.platform.names import NO_KEYS_PREFIX
from briarfork.platform.names import STORE_ERA
from briarfork.platform.store_era import Lease
from briarfork.platform.store_era import StaleResponse
from briarfork.platform.store_era import StoreEra
from briarfork.platform.store_era import StorePosition
from briarfork.platform.store_health import StoreHealth
from briarfork.platform.store_messages import Events
from briarfork.platform.store_messages import GrantedLease
from briarfork.platform.store_messages import Page
from briarfork.platform.units import format_duration

if TYPE_CHECKING:
    from types import TracebackType

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings
    from briarfork.platform.store_messages import Item

ResponseT = TypeVar("ResponseT")
MS_PER_S = 1000
# A page has 1 MB of values, in base64; a watch returns all changes since a revision.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# A response of changes from this size on is logged.
LOGGED_CHANGES_BYTES = 256 * 1024
# A long listing is also logged after each part of this size: a process may end before the last one.
LOGGED_LISTING_BYTES = 32 * 1024 * 1024


class HistoryUnavailable(Exception):
    """The changes after a revision are no longer available, so all keys must be read again."""


class LeaseExpired(Exception):
    """The lease has expired."""


StatusErrors = Mapping[int, type[Exception]]
NO_ERRORS: StatusErrors = MappingProxyType({})
LEASE_ERRORS: StatusErrors = MappingProxyType({HTTPStatus.NOT_FOUND: LeaseExpired})


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys with a prefix, and the position after which to watch for changes."""

    items: list[Item]
    position: StorePosition


@dataclass(frozen=True, slots=True)
class Reply(Generic[ResponseT]):
    """The decoded response to a call, its era and the size of its body."""

    body: ResponseT
    era: int
    size_bytes: int


@dataclass(slots=True)
class StoreReading:
    """How much was read from the store.

    Attributes:
        started: Time at which the reading began, in seconds on the monotonic clock.
        responses: Number of responses.
        keys: Number of keys in them.
        size_bytes: Size of their bodies.
    """

    started: float
    responses: int = 0
    keys: int = 0
    size_bytes: int = 0

    def add(self, size_bytes: int, keys: int) -> None:
        """Adds a response."""
        self.responses += 1
        self.keys += keys
        self.size_bytes += size_bytes


class StoreClient:
    """Client for the store; each call has a timeout and is sent at most once.

    Responses of an earlier era of the store are discarded. A call that depends on an era, because
    it names a revision or a lease, fails once that era has ended.

    Attributes:
        health: What the calls show about the store.
        era: The era of the store.
        calls: Number of calls so far.
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

    async def __aenter__(self) -> StoreClient:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self._session.close()

    async def list_keys(self, prefix: str) -> Listing:
        """Returns all keys with a prefix, all of one era.

        Raises:
            EraEnded: If the era changed between two pages.
            StoreUnavailable: If the call fails.
        """
        items: list[Item] = []
        position: StorePosition | None = None
        reading = StoreReading(time.monotonic())
        next_logged_bytes = LOGGED_LISTING_BYTES
        after = ""
        while True:
            params = {"prefix": prefix} | ({"after": after} if after else {})
            era = position.era if position else None
            reply = await self._call("GET", "/v1/kv-range", Page, era=era, params=params)
            page = reply.body
            items += page.items
            reading.add(reply.size_bytes, len(page.items))
            if reading.size_bytes >= next_logged_bytes:
                self._log_reading("part of a listing", reading)
                next_logged_bytes += LOGGED_LISTING_BYTES
            # A watch from the revision of the first page includes changes made between pages.
            position = position or StorePosition(reply.era, page.store_revision)
            if not page.has_more or not page.items:
                self.health.record_view()
                self._log_reading("listing", reading)
                return Listing(items, position)
            if page.items[-1].key <= after:
                failure = StoreUnavailable(f"GET /v1/kv-range: pages repeat after key {after}")
                self.health.record_failure(failure.detail)
                raise failure
            after = page.items[-1].key

    async def watch(
        self, prefix: str, after: StorePosition, *, wait_s: float | None = None
    ) -> Events:
        """Waits for changes after a position; returns none if none occur within the time.

        Args:
            prefix: Prefix of the keys.
            after: The position.
            wait_s: Longest time to wait, by default that of the settings.

        Raises:
            EraEnded: If the era of the position has ended.
            HistoryUnavailable: If the changes are no longer available.
            StoreUnavailable: If the call fails.
        """
        wait_s = self._timeouts.watch_s if wait_s is None else wait_s
        started = time.monotonic()
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
        )
        self.health.record_view()
        if reply.size_bytes >= LOGGED_CHANGES_BYTES:
            reading = StoreReading(started)
            reading.add(reply.size_bytes, len(reply.body.events))
            self._log_reading("changes", reading)
        return reply.body

    def _log_reading(self, kind: str, reading: StoreReading) -> None:
        memory = read_memory()
        self._events.record(
            Event.STORE_READ,
            kind=kind,
            responses=reading.responses,
            keys=reading.keys,
            size_bytes=reading.size_bytes,
            elapsed_ms=round((time.monotonic() - reading.started) * MS_PER_S),
            resident_mb=round(memory.resident_mb),
            peak_mb=round(memory.peak_mb),
        )

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
        reply = await self._call("GET", "/v1/kv-range", Page, era=era, params=params)
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

    async def _call(
        self,
        method: str,
        path: str,
        expected: type[ResponseT],
        era: int | None = None,
        timeout_s: float | None = None,
        errors: StatusErrors = NO_ERRORS,
        **options: Any,
    ) -> Reply[ResponseT]:
        """Returns the decoded response to a call.

        Args:
            method: HTTP method.
            path: Path of the call.
            expected: Type of the response.
            era: Era on which the call depends, None if it depends on none.
            timeout_s: Longest time for the call, by default that of the settings.
            errors: The errors that statuses mean in response to this call. Other failures mean that
                the store is unavailable.
            options: Further arguments of the HTTP request.

        Raises:
            EraEnded: If the era on which the call depends has ended.
            StoreUnavailable: If there is no valid response.
        """
        sent_in = self.era.current
        self.era.check(sent_in, era)
        self.calls += 1
        call = f"{method} {path}"
        try:
            async with asyncio.timeout(timeout_s or self._timeouts.store_s):
                async with self._session.request(
                    method, self._url + path, trace_request_ctx=SingleSendGuard(), **options
                ) as response:
                    found = self.era.observe(response.headers.get(STORE_ERA), sent_in)
                    self.era.check(found, era)
                    body = await read_body(response, MAX_RESPONSE_BYTES)
                    if response.status in errors:
                        raise errors[response.status]
                    decoded = _decode_response(call, response.status, body, expected)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError) as error:
            failure = StoreUnavailable(f"{call}: {str(error) or type(error).__name__}")
            self.health.record_failure(failure.detail)
            raise failure from error
        except StaleResponse:
            # The store answers; this response was only late.
            raise
        except StoreUnavailable as error:
            self.health.record_failure(error.detail)
            raise
        # The era may have ended while the body was read.
        self.era.check(found, era)
        self.health.record_response()
        return Reply(decoded, found, len(body))


def _decode_response(call: str, status: int, body: bytes, expected: type[ResponseT]) -> ResponseT:
    if status != HTTPStatus.OK:
        raise StoreUnavailable(f"{call}: status {status}")
    return msgspec.json.decode(body, type=expected)
