"""Calls to the platform's key-value service."""

from __future__ import annotations

import asyncio
import base64
import socket
import time
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import aiohttp
import msgspec

from briarfork.border.connector import DirectConnector
from briarfork.border.sending import SingleSendGuard
from briarfork.border.sending import build_send_trace
from briarfork.border.store import StoreUnavailable
from briarfork.platform.units import format_duration

if TYPE_CHECKING:
    from types import TracebackType

    from aiohttp.client_proto import ResponseHandler

    from briarfork.border.settings import Settings

Reply = TypeVar("Reply")
MILLISECONDS = 1000
# Probes on idle connections: a watch that went silent is found within 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# After the last failed call the store counts as unsound for this time: leases may have lapsed.
UNSOUND_S = 4.0


class HistoryGone(Exception):
    """The changes after a revision are no longer available; everything must be read again."""


class LeaseGone(Exception):
    """A lease that has ended."""


class Item(msgspec.Struct, frozen=True):
    """A key as the service returns it.

    Attributes:
        value: Standard base64.
        deleted: Whether this is the removal of the key.
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False

    def decode(self) -> bytes:
        """Returns the bytes of the value; bytes that are not base64 give an empty value."""
        try:
            return base64.b64decode(self.value, validate=True)
        except ValueError:
            return b""


class Page(msgspec.Struct, frozen=True):
    """Part of a range."""

    items: list[Item]
    store_revision: int
    has_more: bool = False


class Events(msgspec.Struct, frozen=True):
    """Changes that a watch has seen."""

    events: list[Item]
    store_revision: int


class GrantedLease(msgspec.Struct, frozen=True):
    """A lease."""

    lease: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys of a prefix and the revision from which a watch continues."""

    items: list[Item]
    revision: int


class StoreClient:
    """One client for all calls; each has a deadline and is written once."""

    def __init__(self, settings: Settings) -> None:
        self._url = settings.store_url
        self._timeouts = settings.timeouts
        self._failed_at = float("-inf")
        self._session = aiohttp.ClientSession(
            connector=StoreConnector(limit=0),
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

    def is_sound(self, now: float) -> bool:
        """Returns whether no call has failed lately."""
        return now - self._failed_at > UNSOUND_S

    async def list_all(self, prefix: str) -> Listing:
        """Returns all keys of a prefix.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        items: list[Item] = []
        revision = 0
        after = ""
        while True:
            params = {"prefix": prefix} | ({"after": after} if after else {})
            page = await self._call("GET", "/v1/kv-range", Page, params=params)
            items += page.items
            # The first page is the oldest, so a watch from its revision misses nothing.
            revision = revision or page.store_revision
            if not page.has_more or not page.items:
                return Listing(items, revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int) -> Events:
        """Waits for changes after a revision; returns none if none came in time.

        Raises:
            HistoryGone: If the changes are no longer available.
            StoreUnavailable: If the store does not answer.
        """
        wait_s = self._timeouts.watch_s
        params = {
            "prefix": prefix,
            "after": str(after),
            "wait_ms": str(round(wait_s * MILLISECONDS)),
        }
        limit_s = wait_s + self._timeouts.store_s
        return await self._call("GET", "/v1/kv-watch", Events, limit_s=limit_s, params=params)

    async def create_lease(self, ttl_s: float) -> int:
        """Creates a lease and returns its number.

        Raises:
            StoreUnavailable: If the store does not answer.
        """
        body = {"ttl_time": format_duration(ttl_s)}
        granted = await self._call("POST", "/v1/kv-lease", GrantedLease, json=body)
        return granted.lease

    async def renew_lease(self, lease: int) -> None:
        """Extends a lease.

        Raises:
            LeaseGone: If it has ended.
            StoreUnavailable: If the store does not answer.
        """
        await self._call("POST", f"/v1/kv-keep/{lease}", dict[str, Any])

    async def put(self, key: str, value: bytes, lease: int) -> None:
        """Writes a key that belongs to one VM alone and ends with its lease.

        Raises:
            LeaseGone: If the lease has ended.
            StoreUnavailable: If the store does not answer; the write may have taken effect.
        """
        put = {"key": key, "value": base64.b64encode(value).decode(), "lease": lease}
        body = {"expected": [], "puts": [put], "deletes": []}
        await self._call("POST", "/v1/kv-txn", dict[str, Any], json=body)

    async def delete(self, key: str) -> None:
        """Removes a key.

        Raises:
            StoreUnavailable: If the store does not answer; the removal may have taken effect.
        """
        body = {"expected": [], "puts": [], "deletes": [key]}
        await self._call("POST", "/v1/kv-txn", dict[str, Any], json=body)

    async def _call(
        self,
        method: str,
        path: str,
        expected: type[Reply],
        limit_s: float | None = None,
        **options: Any,
    ) -> Reply:
        self.calls += 1
        try:
            async with asyncio.timeout(limit_s or self._timeouts.store_s):
                async with self._session.request(
                    method, self._url + path, trace_request_ctx=SingleSendGuard(), **options
                ) as answer:
                    body = await answer.read()
                    if answer.status == HTTPStatus.GONE:
                        raise HistoryGone
                    if answer.status == HTTPStatus.NOT_FOUND:
                        raise LeaseGone
                    if answer.status != HTTPStatus.OK:
                        raise StoreUnavailable(f"{method} {path}: status {answer.status}")
                    return msgspec.json.decode(body, type=expected)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError) as error:
            self._failed_at = time.monotonic()
            detail = str(error) or type(error).__name__
            raise StoreUnavailable(f"{method} {path}: {detail}") from error
        except StoreUnavailable:
            self._failed_at = time.monotonic()
            raise


class StoreConnector(DirectConnector):
    """Sends keep-alive probes on its connections, so that a silent watch is found."""

    async def _wrap_create_connection(
        self, *args: Any, **kwargs: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        transport, protocol = await super()._wrap_create_connection(*args, **kwargs)
        connection = transport.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
        return transport, protocol
