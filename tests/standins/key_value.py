"""Stand-in for the platform's key-value service, with leases, history and watches."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import time
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from aiohttp import web

FIRST_REVISION = 10
LAPSE_POLL_S = 0.05
PAGE_ITEMS = 500


@dataclass(slots=True)
class Lease:
    ttl_s: float
    ends_at: float


@dataclass(slots=True)
class Item:
    key: str
    value: bytes
    revision: int
    lease: int = 0
    deleted: bool = False

    def describe(self) -> dict[str, Any]:
        if self.deleted:
            return {"key": self.key, "revision": self.revision, "deleted": True}
        value = base64.b64encode(self.value).decode()
        return {
            "key": self.key,
            "value": value,
            "revision": self.revision,
            "created": self.revision,
            "lease": self.lease,
        }


@dataclass
class KeyValueStore:
    """The content and what is wrong with it.

    Attributes:
        down: Whether every call is answered with 503; leases run on.
        delay_s: Added to each answer.
        lose: Number of writes whose answers are lost although they took effect.
    """

    items: dict[str, Item] = field(default_factory=dict)
    history: list[Item] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = FIRST_REVISION
    compacted: int = FIRST_REVISION
    down: bool = False
    delay_s: float = 0.0
    lose: int = 0
    calls: int = 0
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)
    numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    async def start(self, address: str, port: int) -> None:
        app = web.Application(middlewares=[self._misbehave])
        app.router.add_get("/v1/kv-range", self._range)
        app.router.add_get("/v1/kv-watch", self._watch)
        app.router.add_post("/v1/kv-txn", self._commit)
        app.router.add_post("/v1/kv-lease", self._grant)
        app.router.add_post("/v1/kv-keep/{lease}", self._keep)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, address, port).start()
        self._lapsing = asyncio.create_task(self._lapse())

    async def close(self) -> None:
        self._lapsing.cancel()
        await self._runner.cleanup()

    async def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes a key as JSON, as operators and backend servers do, and returns the revision."""
        return await self.write({key: (json.dumps(value).encode(), lease)}, [])

    async def delete(self, key: str) -> int:
        return await self.write({}, [key])

    async def write(self, puts: dict[str, tuple[bytes, int]], deletes: list[str]) -> int:
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
        self.compacted = self.revision
        self.history.clear()
        async with self.changed:
            self.changed.notify_all()

    @web.middleware
    async def _misbehave(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls += 1
        if self.down:
            return web.Response(status=503)
        answer: web.StreamResponse = await handler(request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.lose and request.method == "POST":
            self.lose -= 1
            # A caller that has left meanwhile has lost its answer already.
            if request.transport is not None:
                request.transport.abort()
        return web.Response(status=503) if self.down else answer

    async def _lapse(self) -> None:
        while True:
            await asyncio.sleep(LAPSE_POLL_S)
            now = time.monotonic()
            for number in [number for number, lease in self.leases.items() if lease.ends_at <= now]:
                del self.leases[number]
                await self.write(
                    {}, [key for key, item in self.items.items() if item.lease == number]
                )

    async def _range(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page = [self.items[key].describe() for key in keys[:PAGE_ITEMS]]
        return self._answer(items=page, has_more=len(keys) > PAGE_ITEMS)

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        ends_at = time.monotonic() + int(request.query["wait_ms"]) / 1000.0
        while after >= self.compacted:
            seen = [i for i in self.history if i.revision > after and i.key.startswith(prefix)]
            left_s = ends_at - time.monotonic()
            if seen or left_s <= 0.0 or self.down:
                return self._answer(events=[item.describe() for item in seen])
            try:
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                continue
        return web.Response(status=410)

    async def _commit(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["expected"]:
            known = self.items.get(row["key"])
            if (known.revision if known else 0) != row["revision"]:
                return web.Response(status=412)
        if any(row["lease"] and row["lease"] not in self.leases for row in body["puts"]):
            return web.Response(status=404)
        puts = {r["key"]: (base64.b64decode(r["value"]), r["lease"]) for r in body["puts"]}
        return web.json_response({"revision": await self.write(puts, body["deletes"])})

    async def _grant(self, request: web.Request) -> web.Response:
        text = (await request.json())["ttl_time"]
        scale = 1000.0 if text.endswith("ms") else 1.0
        ttl_s = float(text.rstrip("ms")) / scale
        number = next(self.numbers)
        self.leases[number] = Lease(ttl_s, time.monotonic() + ttl_s)
        return web.json_response({"lease": number, "ttl_time": text})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = self.leases.get(int(request.match_info["lease"]))
        if lease is None:
            return web.Response(status=404)
        lease.ends_at = time.monotonic() + lease.ttl_s
        return web.json_response({})

    def _answer(self, **fields: Any) -> web.Response:
        return web.json_response({**fields, "store_revision": self.revision})
