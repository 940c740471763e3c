"""Stand-in for the platform's key-value service.

Values have at most 1 MB. A page has as many entries as its call asks for, whatever their size,
and a watch returns all changes at once: the interface in docs/design.md names no other bound.

`POST /fault` sets the fault to inject, `mode`:

- "up": no fault
- "down": no response
- "refuse": the connection is closed
- "slow": each call is delayed by `delay_s`
- "slow pages": each entry of a page takes `delay_s`
- "lose": the responses to the next `count` writes are lost after the write took effect
- "late": the next `count` writes are applied after `delay_s`, even if the caller has given up
- "odd": each call is answered with the `status` and the text `body`
- "hold": the next `count` responses to `method` are held back until the mode changes

`GET /calls` returns the number of calls; a waiting watch counts as one. `GET /held` responds once a
response is held back. `POST /dump` returns the content and `POST /restore` replaces it.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from aiohttp.typedefs import Handler

HANG_S = 60.0
MAX_VALUE_BYTES = 1_000_000


@dataclass(slots=True)
class Item:
    value: str
    revision: int
    lease: str | None


@dataclass(slots=True)
class StoreState:
    """Stored items, leases and injected faults.

    Attributes:
        items: Current items by key.
        leases: Duration in seconds and monotonic expiry time by lease.
        revision: Revision of the latest write.
        calls: Number of calls by method and resource.
        mode: Injected fault; see the module docstring.
        delay_s: Delay in seconds of the modes "slow", "slow pages" and "late".
        lose: Number of upcoming writes whose responses are lost.
        late: Number of upcoming writes to delay.
        late_handled: Number of delayed writes that have been processed.
        hold: Number of upcoming responses to hold back.
        hold_method: Method whose responses are held back.
        odd_answer: Status and body of the mode "odd".
        held: Set once a response is held back.
        released: Set when the mode changes, which sends the held responses.
        write_condition: Notified after each write.
    """

    items: dict[str, Item] = field(default_factory=dict)
    leases: dict[str, tuple[float, float]] = field(default_factory=dict)
    revision: int = 0
    calls: dict[str, int] = field(default_factory=dict)
    mode: str = "up"
    delay_s: float = 0.0
    lose: int = 0
    late: int = 0
    late_handled: int = 0
    hold: int = 0
    hold_method: str = ""
    odd_answer: tuple[int, str] = (200, "")
    held: asyncio.Event = field(default_factory=asyncio.Event)
    released: asyncio.Event = field(default_factory=asyncio.Event)
    write_condition: asyncio.Condition = field(default_factory=asyncio.Condition)
    lease_numbers: itertools.count[int] = field(default_factory=lambda: itertools.count(1))

    def expire_leases(self) -> None:
        now = time.monotonic()
        expired = {name for name, (_, expires_at) in self.leases.items() if expires_at <= now}
        for name in expired:
            del self.leases[name]
        for key in [key for key, item in self.items.items() if item.lease in expired]:
            del self.items[key]

    def list_items(
        self, prefix: str, after_key: str = "", after_revision: int = 0
    ) -> list[dict[str, object]]:
        return [
            {"key": key, "value": item.value, "revision": item.revision}
            for key, item in sorted(self.items.items())
            if key.startswith(prefix) and key > after_key and item.revision > after_revision
        ]


STATE = web.AppKey("state", StoreState)
routes = web.RouteTableDef()


@routes.get("/kv/{key:.+}")
async def get_key(request: web.Request) -> web.Response:
    item = request.app[STATE].items.get(request.match_info["key"])
    if item is None:
        return web.json_response({}, status=404)
    return web.json_response({"value": item.value, "revision": item.revision})


@routes.put("/kv/{key:.+}")
async def put_key(request: web.Request) -> web.Response:
    state = request.app[STATE]
    body = await request.json()
    key = request.match_info["key"]
    item = state.items.get(key)
    revision = item.revision if item else 0
    if len(body["value"].encode()) > MAX_VALUE_BYTES:
        return web.json_response({"error": "the value is too large"}, status=413)
    if body["expect"] != revision:
        return web.json_response({"revision": revision}, status=409)
    if body.get("lease") and body["lease"] not in state.leases:
        return web.json_response({"error": "no such lease"}, status=400)
    async with state.write_condition:
        state.revision += 1
        state.items[key] = Item(body["value"], state.revision, body.get("lease"))
        state.write_condition.notify_all()
    return web.json_response({"revision": state.revision})


@routes.delete("/kv/{key:.+}")
async def delete_key(request: web.Request) -> web.Response:
    state = request.app[STATE]
    item = state.items.get(request.match_info["key"])
    revision = item.revision if item else 0
    if int(request.query["expect"]) != revision:
        return web.json_response({"revision": revision}, status=409)
    state.items.pop(request.match_info["key"], None)
    return web.json_response({})


@routes.get("/range")
async def list_range(request: web.Request) -> web.Response:
    state = request.app[STATE]
    entries = state.list_items(request.query["prefix"], request.query.get("after", ""))
    limit = int(request.query.get("limit", "100"))
    if state.mode == "slow pages":
        await asyncio.sleep(state.delay_s * min(limit, len(entries)))
    return web.json_response({"entries": entries[:limit], "revision": state.revision})


@routes.get("/watch")
async def watch(request: web.Request) -> web.Response:
    state = request.app[STATE]
    prefix, after = request.query["prefix"], int(request.query["after"])
    try:
        async with asyncio.timeout(float(request.query["timeout_s"])), state.write_condition:
            await state.write_condition.wait_for(
                lambda: state.list_items(prefix, after_revision=after)
            )
    except TimeoutError:
        pass
    entries = state.list_items(prefix, after_revision=after)
    return web.json_response({"entries": entries, "revision": state.revision})


@routes.post("/leases")
async def create_lease(request: web.Request) -> web.Response:
    state = request.app[STATE]
    ttl_s = float((await request.json())["ttl_s"])
    name = f"lease-{next(state.lease_numbers)}"
    state.leases[name] = (ttl_s, time.monotonic() + ttl_s)
    return web.json_response({"lease": name})


@routes.put("/leases/{name}")
async def renew_lease(request: web.Request) -> web.Response:
    state = request.app[STATE]
    name = request.match_info["name"]
    if name not in state.leases:
        return web.json_response({}, status=404)
    ttl_s, _ = state.leases[name]
    state.leases[name] = (ttl_s, time.monotonic() + ttl_s)
    return web.json_response({})


@routes.delete("/leases/{name}")
async def delete_lease(request: web.Request) -> web.Response:
    state = request.app[STATE]
    name = request.match_info["name"]
    if name in state.leases:
        state.leases[name] = (0.0, 0.0)
    state.expire_leases()
    return web.json_response({})


@routes.post("/fault")
async def set_fault(request: web.Request) -> web.Response:
    state = request.app[STATE]
    body = await request.json()
    state.mode = body.get("mode", "up")
    state.delay_s = float(body.get("delay_s", 0.0))
    state.lose = int(body.get("count", 1)) if state.mode == "lose" else 0
    state.late = int(body.get("count", 1)) if state.mode == "late" else 0
    state.hold = int(body.get("count", 1)) if state.mode == "hold" else 0
    state.hold_method = body.get("method", "GET")
    state.odd_answer = (int(body.get("status", 200)), body.get("body", ""))
    state.released.set()
    state.held, state.released = asyncio.Event(), asyncio.Event()
    return web.json_response({})


@routes.get("/held")
async def wait_held(request: web.Request) -> web.Response:
    await request.app[STATE].held.wait()
    return web.json_response({})


@routes.get("/calls")
async def count_calls(request: web.Request) -> web.Response:
    return web.json_response(request.app[STATE].calls)


@routes.post("/dump")
async def dump(request: web.Request) -> web.Response:
    state = request.app[STATE]
    items = {key: [item.value, item.revision] for key, item in state.items.items()}
    return web.json_response({"items": items, "revision": state.revision})


@routes.post("/restore")
async def restore(request: web.Request) -> web.Response:
    state = request.app[STATE]
    body = await request.json()
    state.items = {
        key: Item(value, revision, None) for key, (value, revision) in body["items"].items()
    }
    state.revision = body["revision"]
    return web.json_response({})


@web.middleware
async def inject_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    state = request.app[STATE]
    if request.path in ("/fault", "/held", "/calls", "/dump", "/restore"):
        return await handler(request)
    name = f"{request.method} {request.path.split('/')[1]}"
    state.calls[name] = state.calls.get(name, 0) + 1
    if state.mode == "down":
        await asyncio.sleep(HANG_S)
    if state.mode in ("down", "refuse"):
        _abort_connection(request)
    if state.mode == "odd":
        status, text = state.odd_answer
        return web.Response(status=status, text=text)
    if state.mode == "slow":
        await asyncio.sleep(state.delay_s)
    if state.late > 0 and request.method in ("PUT", "DELETE"):
        state.late -= 1
        await request.read()
        # Shielded, so that the write is applied even if the caller closes its connection.
        return await asyncio.shield(_handle_delayed_write(request, handler))
    state.expire_leases()
    response = await handler(request)
    if state.lose > 0 and request.method in ("PUT", "DELETE"):
        state.lose -= 1
        _abort_connection(request)
    if state.hold > 0 and request.method == state.hold_method:
        state.hold -= 1
        state.held.set()
        await state.released.wait()
    return response


async def _handle_delayed_write(request: web.Request, handler: Handler) -> web.StreamResponse:
    state = request.app[STATE]
    await asyncio.sleep(state.delay_s)
    try:
        return await handler(request)
    finally:
        state.late_handled += 1


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


def build_app() -> web.Application:
    app = web.Application(middlewares=[inject_faults], client_max_size=4 * 1024 * 1024)
    app[STATE] = StoreState()
    app.add_routes(routes)
    return app


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    web.run_app(
        build_app(), host=arguments.address, port=arguments.port, print=None, shutdown_timeout=0.2
    )


if __name__ == "__main__":
    main()
