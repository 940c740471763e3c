"""Stand-in for the platform's list of live and leaving VMs.

`POST /vms` sets the list, which is published after the delay `--lag-s`. `POST /fault` with the
`mode` "down" leaves calls without a response.
"""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from aiohttp import web

HANG_S = 60.0


@dataclass(slots=True)
class PlatformState:
    """Published list and injected faults.

    Attributes:
        lag_s: Delay in seconds until a new list is published.
        vms: Published list.
        mode: "up" or "down".
        calls: Number of reads of the list.
    """

    lag_s: float
    vms: list[dict[str, Any]] = field(default_factory=list)
    mode: str = "up"
    calls: int = 0


STATE = web.AppKey("state", PlatformState)
routes = web.RouteTableDef()


@routes.get("/vms")
async def list_vms(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.calls += 1
    if state.mode == "down":
        await asyncio.sleep(HANG_S)
    return web.json_response({"vms": state.vms})


@routes.post("/vms")
async def set_vms(request: web.Request) -> web.Response:
    state = request.app[STATE]
    vms = (await request.json())["vms"]
    if state.vms:
        asyncio.get_running_loop().call_later(state.lag_s, setattr, state, "vms", vms)
    else:
        state.vms = vms
    return web.json_response({})


@routes.post("/fault")
async def set_fault(request: web.Request) -> web.Response:
    request.app[STATE].mode = (await request.json()).get("mode", "up")
    return web.json_response({})


@routes.get("/calls")
async def count_calls(request: web.Request) -> web.Response:
    return web.json_response({"GET vms": request.app[STATE].calls})


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--lag-s", type=float, default=0.0)
    arguments = parser.parse_args()
    app = web.Application()
    app[STATE] = PlatformState(arguments.lag_s)
    app.add_routes(routes)
    web.run_app(app, host=arguments.address, port=arguments.port, print=None, shutdown_timeout=0.2)


if __name__ == "__main__":
    main()
