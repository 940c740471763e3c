"""Client for the platform's key-value store."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec

from briarfork.border.connector import DirectConnector
from briarfork.border.responses import read_body
from briarfork.border.sending import SingleSendGuard
from briarfork.border.sending import build_send_trace
from briarfork.border.store import StoreUnavailable
from briarfork.platform.names import NO_KEYS_PREFIX
from briarfork.platform.store_health import StoreHealth
from briarfork.platform.units import format_duration

if TYPE_CHECKING:
    from types import TracebackType

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings

ResponseT = TypeVar("ResponseT")
MS_PER_S = 1000
# A page has 1 MB of values, in base64; a watch returns all changes since a revision.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class HistoryUnavailable(Exception):
    """The changes after a revision are no longer available, so all keys must be read again."""


class LeaseExpired(Exception):
    """The lease has expired."""


StatusErrors = Mapping[int, type[Exception]]
NO_ERRORS: StatusErrors = MappingProxyType({})
LEASE_ERRORS: StatusErrors = MappingProxyType({HTTPStatus.NOT_FOUND: LeaseExpired})


class Item(msgspec.Struct, frozen=True):
    """A key as the store returns it.

    Attributes:
        value: Value in standard base64.
        deleted: Whether the key was deleted.
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False

    def decode(self) -> bytes:
        """Returns the decoded value, empty if it is not valid base64."""
        try:
            return base64.b64decode(self.value, validate=True)
        except ValueError:
            return b""


class Page(msgspec.Struct, frozen=True):
    """One page of a range query."""

    items: list[Item]
    store_revision: int
    has_more: bool = False


class Events(msgspec.Struct, frozen=True):
    """The changes that a watch returns."""

    events: list[Item]
    store_revision: int


class GrantedLease(msgspec.Struct, frozen=True):
    """The response to the creation of a lease."""

    lease: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys with a prefix, and the revision after which to watch for changes."""

    items: list[Item]
    revision: int


class StoreClient:
    """Client for the store; each call has a timeout and is sent at most once.

    Attributes:
        health: What the calls show about the store.
        calls: Number of calls so far.
    """

    def __init__(self, settings: Settings, events: EventLog) -> None:
        self._url = settings.store_url
        self._timeouts = settings.timeouts
        self.health = StoreHealth(events)
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
        """Returns all keys with a prefix.

        Raises:
            StoreUnavailable: If the call fails.
        """
        items: list[Item] = []
        revision = 0
        after = ""
        while True:
            params = {"prefix": prefix} | ({"after": after} if after else {})
            page = await self._call("GET", "/v1/kv-range", Page, params=params)
            items += page.items
            # A watch from the revision of the first page includes changes made between pages.
            revision = revision or page.store_revision
            if not page.has_more or not page.items:
                self.health.record_view()
                return Listing(items, revision)
            if page.items[-1].key <= after:
                failure = StoreUnavailable(f"GET /v1/kv-range: pages repeat after key {after}")
                self.health.record_failure(failure.detail)
                raise failure
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int) -> Events:
        """Waits for changes after a revision; returns none if none occur within the watch time.

        Raises:
            HistoryUnavailable: If the changes are no longer available.
            StoreUnavailable: If the call fails.
        """
        wait_s = self._timeouts.watch_s
        params = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait_s * MS_PER_S)),
        }
        timeout_s = wait_s + self._timeouts.store_s
        path = "/v1/kv-watch"
        events = await self._call(
            "GET",
            path,
            Events,
            timeout_s=timeout_s,
            errors={HTTPStatus.GONE: HistoryUnavailable},
            params=params,
        )
        self.health.record_view()
        return events

    async def read_revision(self, *, stale: bool = True) -> int:
        """Returns a revision that the store has reached.

        Args:
            stale: Whether a newer one may exist. Stale reads cost a tenth of other reads.

        Raises:
            StoreUnavailable: If the call fails.
        """
        params = {"prefix": NO_KEYS_PREFIX} | ({"stale_ok": "1"} if stale else {})
        page = await self._call("GET", "/v1/kv-range", Page, params=params)
        return page.store_revision

    async def create_lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its id.

        Raises:
            StoreUnavailable: If the call fails.
        """
        body = {"ttl_time": format_duration(ttl_s)}
        granted = await self._call("POST", "/v1/kv-lease", GrantedLease, json=body)
        return granted.lease

    async def renew_lease(self, lease: int) -> None:
        """Renews a lease.

        Raises:
            LeaseExpired: If the lease has expired.
            StoreUnavailable: If the call fails.
        """
        await self._call("POST", f"/v1/kv-keep/{lease}", dict[str, Any], errors=LEASE_ERRORS)

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Writes a key that only one VM writes and that is deleted when its lease expires.

        Raises:
            LeaseExpired: If the lease has expired.
            StoreUnavailable: If the call fails; the write may have taken effect.
        """
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expected": [], "puts": [put], "deletes": []}
        await self._call("POST", "/v1/kv-txn", dict[str, Any], errors=LEASE_ERRORS, json=body)

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
        timeout_s: float | None = None,
        errors: StatusErrors = NO_ERRORS,
        **options: Any,
    ) -> ResponseT:
        """Returns the decoded response to a call.

        Args:
            method: HTTP method.
            path: Path of the call.
            expected: Type of the response.
            timeout_s: Longest time for the call, by default that of the settings.
            errors: The errors that statuses mean in response to this call. Other failures mean that
                the store is unavailable.
            options: Further arguments of the HTTP request.

        Raises:
            StoreUnavailable: If there is no valid response.
        """
        self.calls += 1
        call = f"{method} {path}"
        try:
            async with asyncio.timeout(timeout_s or self._timeouts.store_s):
                async with self._session.request(
                    method, self._url + path, trace_request_ctx=SingleSendGuard(), **options
                ) as response:
                    body = await read_body(response, MAX_RESPONSE_BYTES)
                    if response.status in errors:
                        raise errors[response.status]
                    decoded = _decode_response(call, response.status, body, expected)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError) as error:
            failure = StoreUnavailable(f"{call}: {str(error) or type(error).__name__}")
            self.health.record_failure(failure.detail)
            raise failure from error
        except StoreUnavailable as error:
            self.health.record_failure(error.detail)
            raise
        self.health.record_response()
        return decoded


def _decode_response(call: str, status: int, body: bytes, expected: type[ResponseT]) -> ResponseT:
    if status != HTTPStatus.OK:
        raise StoreUnavailable(f"{call}: status {status}")
    return msgspec.json.decode(body, type=expected)
