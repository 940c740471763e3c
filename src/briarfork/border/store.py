"""Client of the platform's key-value service."""

from __future__ import annotations

import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from briarfork.border.responses import read_body
from briarfork.border.sending import SingleSendGuard
from briarfork.border.transfer import Transfer
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.border.settings import Settings

ABSENT = 0
# A range has up to 100 entries, and a part of a snapshot 250,000 characters.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
EXPECTED_STATUSES = frozenset({HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.CONFLICT})


class StoreUnavailable(BriarforkError):
    """Raised when the store does not respond; a write may have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.STORE_UNAVAILABLE, detail)


class StoreConflict(BriarforkError):
    """Raised when a compare-and-swap finds a revision other than the expected one."""

    def __init__(self, key: str, expected: int, found: int) -> None:
        super().__init__(ErrorKind.CONFLICT, f"{key}: expected revision {expected}, found {found}")
        self.found = found


@dataclass(frozen=True, slots=True)
class Entry:
    """Key with its value and the revision of its last write."""

    key: str
    value: str
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """Entries with a key prefix, and the store revision at which they were read."""

    entries: list[Entry]
    revision: int


class Store:
    """Client of the key-value service.

    Every call has a timeout. That of a read is extended while its response arrives.
    """

    def __init__(self, settings: Settings, session: aiohttp.ClientSession) -> None:
        self._url = settings.store_url
        self._timeouts = settings.timeouts
        self._session = session
        self.calls = 0

    async def get(self, key: str) -> Entry | None:
        """Returns an entry, or None if the key does not exist.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        status, body = await self._call("GET", f"/kv/{key}")
        if status == HTTPStatus.NOT_FOUND:
            return None
        return Entry(key, body["value"], body["revision"])

    async def put(self, key: str, value: str, expect: int, lease: str | None = None) -> int:
        """Writes a value if the key has the expected revision.

        Returns:
            The new revision of the key.

        Raises:
            StoreConflict: If the key has another revision.
            StoreUnavailable: If the store does not respond; the write may have taken effect.
        """
        request = {"value": value, "expect": expect, "lease": lease}
        status, body = await self._call("PUT", f"/kv/{key}", json=request)
        if status == HTTPStatus.CONFLICT:
            raise StoreConflict(key, expect, body["revision"])
        return int(body["revision"])

    async def delete(self, key: str, expect: int) -> None:
        """Deletes a key if it has the expected revision.

        Raises:
            StoreConflict: If the key has another revision.
            StoreUnavailable: If the store does not respond; the delete may have taken effect.
        """
        params = {"expect": str(expect)}
        status, body = await self._call("DELETE", f"/kv/{key}", params=params)
        if status == HTTPStatus.CONFLICT:
            raise StoreConflict(key, expect, body["revision"])

    async def list_range(self, prefix: str, after: str = "", limit: int = 100) -> Listing:
        """Returns a page of the entries with a key prefix, ordered by key.

        Args:
            prefix: Prefix of the keys.
            after: Key after which the page starts.
            limit: Largest number of entries.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        _, body = await self._call("GET", "/range", params=params)
        return _parse_listing(body)

    async def watch(self, prefix: str, after: int) -> Listing:
        """Waits for writes to keys with a prefix after a store revision.

        Returns:
            The written entries; empty if there is no write within the watch timeout.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        wait_s = self._timeouts.watch_s
        params = {"prefix": prefix, "after": str(after), "timeout_s": str(wait_s)}
        timeout_s = wait_s + self._timeouts.store_s
        _, body = await self._call("GET", "/watch", timeout_s=timeout_s, params=params)
        return _parse_listing(body)

    async def create_lease(self, ttl_s: float) -> str:
        """Creates a lease and returns its name.

        Raises:
            StoreUnavailable: If the store does not respond.
        """
        _, body = await self._call("POST", "/leases", json={"ttl_s": ttl_s})
        return str(body["lease"])

    async def _call(
        self, method: str, path: str, timeout_s: float | None = None, **options: Any
    ) -> tuple[int, dict[str, Any]]:
        self.calls += 1
        transfer = Transfer(timeout_s or self._timeouts.store_s, self._timeouts.store_s)
        try:
            async with (
                transfer.timeout,
                self._session.request(
                    method, self._url + path, trace_request_ctx=SingleSendGuard(), **options
                ) as response,
            ):
                if response.status not in EXPECTED_STATUSES:
                    raise StoreUnavailable(f"{method} {path}: status {response.status}")
                # Responses to writes are short, and callers wait for them.
                on_part = transfer.extend if method == "GET" else None
                body = await read_body(response, MAX_RESPONSE_BYTES, on_part)
                return response.status, json.loads(body)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError, RecursionError) as error:
            detail = str(error) or type(error).__name__
            raise StoreUnavailable(f"{method} {path}: {detail}") from error


def _parse_listing(body: dict[str, Any]) -> Listing:
    entries = [Entry(item["key"], item["value"], item["revision"]) for item in body["entries"]]
    return Listing(entries, body["revision"])
