"""Client of the platform's key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from itertools import pairwise
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec

from briarfork.border.responses import ResponseTooLong
from briarfork.border.responses import read_body
from briarfork.border.sending import SingleSendGuard
from briarfork.border.transfer import Transfer
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.border.settings import Settings

ABSENT = 0
# A value of 1 MB takes up to 3 MB as escaped JSON.
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_VALUE_BYTES = 1_000_000
MAX_PAGE_ENTRIES = 100
# A page of so few entries is not what makes a call fail.
SMALL_PAGE_ENTRIES = 4
PAGE_GROWTH = 1.25

BodyT = TypeVar("BodyT")


class StoreUnavailable(BriarforkError):
    """Raised when the store does not respond; a write may have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)


class ResponseTooLarge(StoreUnavailable):
    """Raised when a response is longer than this client accepts."""


class StoreConflict(BriarforkError):
    """Raised when a compare-and-swap finds a revision other than the expected one."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(ErrorKind.CONFLICT, f"{key}: expected revision {expected}, found {found}")
        self.found = found


class Entry(msgspec.Struct, frozen=True):
    """Key with its value and the revision of its last write."""

    key: str
    value: str
    revision: int


class Listing(msgspec.Struct, frozen=True):
    """Entries with a key prefix, and the store revision at which they were read.

    Attributes:
        entries: The entries.
        revision: The store revision.
        has_more: Whether the store may hold further entries, of which the next page has some.
    """

    entries: list[Entry]
    revision: int
    has_more: bool = False

    @property
    def size(self) -> int:
        """Length of the values, in characters."""
        return sum(len(entry.value) for entry in self.entries)


class _StoredValue(msgspec.Struct, frozen=True):
    value: str
    revision: int


class _Revision(msgspec.Struct, frozen=True):
    revision: int


class _Lease(msgspec.Struct, frozen=True):
    lease: str


@dataclass(frozen=True, slots=True)
class _Reply:
    """The response to a call, whose name is for error messages."""

    call: str
    status: int
    body: bytes

    def decode(self, expected: type[BodyT]) -> BodyT:
        """Decodes the body.

        Raises:
            StoreUnavailable: If the body is not of the expected type.
        """
        try:
            return msgspec.json.decode(self.body, type=expected)
        except (msgspec.ValidationError, msgspec.DecodeError, RecursionError) as error:
            raise StoreUnavailable(f"{self.call}: {error}") from error


class Store:
    """Client of the key-value service.

    Every call has a timeout. That of a read is extended while its response arrives.
    """

    def __init__(self, settings: Settings, session: aiohttp.ClientSession) -> None:
        self._url = settings.store_url
        self._timeouts = settings.timeouts
        self._session = session
        # Falls while pages are too long, so that large values do not cost a call in vain each time.
        self._page_entries = MAX_PAGE_ENTRIES
        self.calls = 0

    async def get(self, key: str) -> Entry | None:
        """Returns an entry, or None if the key does not exist.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        reply = await self._call("GET", f"/kv/{key}", HTTPStatus.NOT_FOUND)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        stored = reply.decode(_StoredValue)
        return Entry(key, stored.value, stored.revision)

    async def put(self, key: str, value: str, expect: int, lease: str | None = None) -> int:
        """Writes a value if the key has the expected revision.

        Returns:
            The new revision of the key.

        Raises:
            BriarforkError: With kind `body_too_large` if the store takes no value of this size.
                Nothing was written then.
            StoreConflict: If the key has another revision.
            StoreUnavailable: If the store does not respond; the write may have taken effect.
        """
        size_bytes = len(value.encode())
        if size_bytes > MAX_VALUE_BYTES:
            raise BriarforkError(
                ErrorKind.BODY_TOO_LARGE,
                f"{key}: expected a value of at most {MAX_VALUE_BYTES} bytes, found {size_bytes}",
            )
        request = {"value": value, "expect": expect, "lease": lease}
        reply = await self._call("PUT", f"/kv/{key}", HTTPStatus.CONFLICT, json=request)
        revision = reply.decode(_Revision).revision
        if reply.status == HTTPStatus.CONFLICT:
            raise StoreConflict(key, expect, revision)
        return revision

    async def delete(self, key: str, expect: int) -> None:
        """Deletes a key if it has the expected revision.

        Raises:
            StoreConflict: If the key has another revision.
            StoreUnavailable: If the store does not respond; the delete may have taken effect.
        """
        params = {"expect": str(expect)}
        reply = await self._call("DELETE", f"/kv/{key}", HTTPStatus.CONFLICT, params=params)
        if reply.status == HTTPStatus.CONFLICT:
            raise StoreConflict(key, expect, reply.decode(_Revision).revision)

    async def list_range(
        self, prefix: str, after: str = "", limit: int = MAX_PAGE_ENTRIES
    ) -> Listing:
        """Returns a page of the entries with a key prefix, ordered by key.

        A page has fewer entries than asked for if their values are large, so that the memory for a
        page does not depend on what the store holds.

        Args:
            prefix: Prefix of the keys.
            after: Key after which the page starts.
            limit: Largest number of entries.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        limit = min(limit, self._page_entries)
        while True:
            try:
                listing = await self._read_page(prefix, after, limit)
            except ResponseTooLarge:
                if limit == 1:
                    raise
                limit //= 2
                self._page_entries = limit
            except StoreUnavailable:
                # The store may need longer than the timeout to begin a page of many large values.
                self._page_entries = max(SMALL_PAGE_ENTRIES, limit // 2)
                raise
            else:
                larger = 1 + int(self._page_entries * PAGE_GROWTH)
                self._page_entries = min(MAX_PAGE_ENTRIES, larger)
                return listing

    async def _read_page(self, prefix: str, after: str, limit: int) -> Listing:
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        reply = await self._call("GET", "/range", params=params)
        listing = reply.decode(Listing)
        keys = [entry.key for entry in listing.entries]
        if any(key <= previous for previous, key in pairwise([after, *keys])):
            raise StoreUnavailable(f"GET /range: entries repeat after key {after!r}")
        return Listing(listing.entries, listing.revision, len(keys) >= limit)

    async def watch(self, prefix: str, after: int) -> Listing:
        """Waits for writes to keys with a prefix after a store revision.

        Returns:
            The written entries; empty if there is no write within the watch timeout.

        Raises:
            ResponseTooLarge: If the written entries have to be read page by page.
            StoreUnavailable: If the store does not respond.
        """
        wait_s = self._timeouts.watch_s
        params = {"prefix": prefix, "after": str(after), "timeout_s": str(wait_s)}
        timeout_s = wait_s + self._timeouts.store_s
        reply = await self._call("GET", "/watch", timeout_s=timeout_s, params=params)
        return reply.decode(Listing)

    async def create_lease(self, ttl_s: float) -> str:
        """Creates a lease and returns its name.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        reply = await self._call("POST", "/leases", json={"ttl_s": ttl_s})
        return reply.decode(_Lease).lease

    async def _call(
        self,
        method: str,
        path: str,
        other_status: HTTPStatus = HTTPStatus.OK,
        timeout_s: float | None = None,
        **options: Any,
    ) -> _Reply:
        """Calls the store.

        Args:
            method: HTTP method.
            path: Path of the call.
            other_status: Status that is a proper response besides 200.
            timeout_s: Longest time until the body of the response begins, and between two of its
                parts; by default that of the settings.
            options: Further options of the request.

        Raises:
            StoreUnavailable: If the store does not respond properly.
        """
        self.calls += 1
        call = f"{method} {path}"
        transfer = Transfer(timeout_s or self._timeouts.store_s, self._timeouts.store_s)
        try:
            async with (
                transfer.timeout,
                self._session.request(
                    method, self._url + path, trace_request_ctx=SingleSendGuard(), **options
                ) as response,
            ):
                if response.status not in (HTTPStatus.OK, other_status):
                    raise StoreUnavailable(f"{call}: status {response.status}")
                # Responses to writes are short, and callers wait for them.
                on_part = transfer.extend if method == "GET" else None
                body = await read_body(response, MAX_RESPONSE_BYTES, on_part)
                return _Reply(call, response.status, body)
        except ResponseTooLong as error:
            raise ResponseTooLarge(f"{call}: {error}") from error
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
            detail = str(error) or type(error).__name__
            raise StoreUnavailable(f"{call}: {detail}") from error
