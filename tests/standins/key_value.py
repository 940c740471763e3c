"""Stand-in for the platform's key-value service with leases, history and watches."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import Any

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Written out: the cases in review/ run this module without the package.
ERA_HEADER = "Store-Era"
FIRST_REVISION = 10
LEASE_POLL_INTERVAL_S = 0.05
# A page ends with the item that reaches one of these limits.
PAGE_ITEMS = 500
PAGE_BYTES = 10**6
# Shorter parts of a response are sent together.
MIN_PART_BYTES = 65536


@lru_cache(maxsize=64)
def encode_value(value: bytes) -> bytes:
    """Returns a value as it is sent; large ones are sent often."""
    return base64.b64encode(value)


@dataclass(slots=True)
class Lease:
    ttl_s: float
    expires_at: float


@dataclass(slots=True)
class Item:
    key: str
    value: bytes
    revision: int
    lease: int = 0
    deleted: bool = False

    def encode(self) -> list[bytes]:
        """Returns the item as JSON in parts, of which equal values share the longest one."""
        fields: dict[str, Any] = {"key": self.key, "revision": self.revision}
        if self.deleted:
            return [json.dumps(fields | {"deleted": True}).encode()]
        fields |= {"created": self.revision, "lease": self.lease}
        start = json.dumps(fields).removesuffix("}")
        return [f'{start}, "value": "'.encode(), encode_value(self.value), b'"}']


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """What the store held at one moment.

    Attributes:
        lease_times: Times-to-live of the leases by their numbers, which start anew at a restore.
    """

    items: dict[str, Item]
    history: list[Item]
    lease_times: dict[int, float]
    revision: int
    compacted_revision: int
    last_lease: int


@dataclass
class KeyValueStore:
    """HTTP server with the stored items and the injected faults.

    Attributes:
        items: Current items by key.
        history: All writes and deletions since the last compaction.
        compacted_revision: Watches from an earlier revision are rejected with status 410.
        down: Whether every call is answered with status 503; leases still expire.
        silences: Number of silent periods so far. A call that a silent period overlaps never gets a
            response; its connection stays open.
        silent: Whether a silent period lasts.
        delay_s: Delay before each response, in seconds.
        odd_answer: Status and body with which every call is answered, None for proper responses.
        lose: Number of upcoming writes whose responses are lost after the write took effect.
        watch_failures: Number of upcoming watches that are answered with status 503.
        calls: Number of calls so far.
        full_calls: Number of calls so far other than stale reads, which cost a tenth.
        era: Number that all answers carry, None for a store that tells none. It rises when the
            store comes back from a copy.
        last_lease: Number of the latest lease.
        changed: Notified after each write.
    """

    items: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = FIRST_REVISION
    compacted_revision: int = FIRST_REVISION
    down: bool = False
    silent: bool = False
    silences: int = 0
    delay_s: float = 0.0
    odd_answer: tuple[int, bytes] | None = None
    lose: int = 0
    watch_failures: int = 0
    calls: int = 0
    full_calls: int = 0
    era: int | None = None
    last_lease: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self, address: str, port: int) -> None:
        app = web.Application(middlewares=[self._inject_faults])
        app.router.add_get("/v1/kv-range", self._list_range)
        app.router.add_get("/v1/kv-watch", self._watch)
        app.router.add_post("/v1/kv-txn", self._commit_transaction)
        app.router.add_post("/v1/kv-lease", self._grant_lease)
        app.router.add_post("/v1/kv-keep/{lease}", self._renew_lease)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()
        self._expiry_task = asyncio.create_task(self._expire_leases())

    async def close(self) -> None:
        self._expiry_task.cancel()
        await self._runner.cleanup()

    async def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a JSON value, as operators and backend servers do, and returns the revision."""
        return await self.write({key: (json.dumps(value).encode(), lease)}, [])

    async def delete(self, key: str) -> int:
        return await self.write({}, [key])

    async def write(self, puts: dict[str, tuple[bytes, int]], deletes: list[str]) -> int:
        """Writes and deletes keys in one revision, if that changes anything.

        Returns:
            The store's revision.
        """
        if not puts and not any(key in self.items for key in deletes):
            # A revision without an event looks to a watch like a change that it has missed.
            return self.revision
        self.revision += 1
        for key, (value, lease) in puts.items():
            self.items[key] = Item(key, value, self.revision, lease)
            self.history.append(self.items[key])
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.history.append(Item(key, b"", self.revision, deleted=True))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def forget_history(self) -> None:
        """Compacts the history, so that watches from earlier revisions fail."""
        self.compacted_revision = self.revision
        self.history.clear()
        async with self.changed:
            self.changed.notify_all()

    def take_copy(self) -> StoreCopy:
        """Returns a copy of all that the store holds."""
        lease_times = {number: lease.ttl_s for number, lease in self.leases.items()}
        return StoreCopy(
            dict(self.items),
            list(self.history),
            lease_times,
            self.revision,
            self.compacted_revision,
            self.last_lease,
        )

    async def restore(self, copy: StoreCopy) -> None:
        """Comes back from a copy in the next era; revisions and lease numbers are used again."""
        self.era = (self.era or 0) + 1
        self.items, self.history = dict(copy.items), list(copy.history)
        now = time.monotonic()
        self.leases = {
            number: Lease(ttl_s, now + ttl_s) for number, ttl_s in copy.lease_times.items()
        }
        self.revision, self.compacted_revision = copy.revision, copy.compacted_revision
        self.last_lease = copy.last_lease
        async with self.changed:
            self.changed.notify_all()

    def start_silence(self) -> None:
        """Leaves pending and new calls without a response, with their connections open."""
        self.silent = True
        self.silences += 1

    def end_silence(self) -> None:
        """Answers new calls again; calls that the silent period overlapped stay unanswered."""
        self.silent = False

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls += 1
        self.full_calls += "stale_ok" not in request.query
        era = self.era
        if self.down:
            return _name_era(web.Response(status=503), era)
        if self.odd_answer is not None:
            odd = web.Response(status=self.odd_answer[0], body=self.odd_answer[1])
            return _name_era(odd, era)
        silences = self.silences
        response: web.StreamResponse = _name_era(await handler(request), self.era)
        if self.silent or self.silences != silences:
            await asyncio.Event().wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.lose and request.method == "POST":
            self.lose -= 1
            # The transport is None if the caller has closed the connection in the meantime.
            if request.transport is not None:
                request.transport.abort()
        return _name_era(web.Response(status=503), era) if self.down else response

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(LEASE_POLL_INTERVAL_S)
            now = time.monotonic()
            for number in [
                number for number, lease in self.leases.items() if lease.expires_at <= now
            ]:
                del self.leases[number]
                await self.write(
                    {}, [key for key, item in self.items.items() if item.lease == number]
                )

    async def _list_range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = self._select_page(keys)
        return self._respond("items", page, has_more=len(keys) > len(page))

    def _select_page(self, keys: list[str]) -> list[Item]:
        page: list[Item] = []
        size = 0
        for key in keys[:PAGE_ITEMS]:
            page.append(self.items[key])
            size += len(self.items[key].value)
            if size >= PAGE_BYTES:
                break
        return page

    async def _watch(self, request: web.Request) -> web.Response:
        if self.watch_failures:
            self.watch_failures -= 1
            return web.Response(status=503)
        prefix, after = request.query["prefix"], int(request.query["after"])
        expires_at = time.monotonic() + int(request.query["wait_ms"]) / 1000.0
        era = self.era
        # A restored store does not have the later revisions of the era before.
        while self.compacted_revision <= after <= self.revision and self.era == era:
            events = [i for i in self.history if i.revision > after and i.key.startswith(prefix)]
            remaining_s = expires_at - time.monotonic()
            if events or remaining_s <= 0.0 or self.down:
                return self._respond("events", events)
            try:
                async with asyncio.timeout(remaining_s), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                continue
        return web.Response(status=410)

    async def _commit_transaction(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["expected"]:
            known = self.items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                return web.Response(status=412)
        if any(row["lease"] and row["lease"] not in self.leases for row in body["puts"]):
            return web.Response(status=404)
        puts = {r["key"]: (base64.b64decode(r["value"]), r["lease"]) for r in body["puts"]}
        return web.json_response({"revision": await self.write(puts, body["deletes"])})

    async def _grant_lease(self, request: web.Request) -> web.Response:
        ttl_text = (await request.json())["ttl_time"]
        units_per_s = 1000.0 if ttl_text.endswith("ms") else 1.0
        ttl_s = float(ttl_text.rstrip("ms")) / units_per_s
        self.last_lease += 1
        number = self.last_lease
        self.leases[number] = Lease(ttl_s, time.monotonic() + ttl_s)
        return web.json_response({"lease": number, "ttl_time": ttl_text})

    async def _renew_lease(self, request: web.Request) -> web.Response:
        lease = self.leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.Response(status=404)
        lease.expires_at = time.monotonic() + lease.ttl_s
        return web.json_response({})

    def _respond(self, name: str, items: list[Item], **fields: Any) -> web.Response:
        start = json.dumps({**fields, "store_revision": self.revision}).removesuffix("}")
        parts = [f'{start}, "{name}": ['.encode()]
        for number, item in enumerate(items):
            parts += [b", "] * (number > 0) + item.encode()
        parts.append(b"]}")
        # The parts are sent one by one, so that many large values do not hold up other calls.
        length = str(sum(len(part) for part in parts))
        headers = {"Content-Length": length, "Content-Type": "application/json"}
        return web.Response(body=_iterate(parts), headers=headers)


async def _iterate(parts: list[bytes]) -> AsyncIterator[bytes]:
    short = b""
    for part in parts:
        short += part
        if len(short) >= MIN_PART_BYTES:
            yield short
            short = b""
    yield short


def _name_era(response: web.StreamResponse, era: int | None) -> web.StreamResponse:
    if era is not None:
        response.headers[ERA_HEADER] = str(era)
    return response
