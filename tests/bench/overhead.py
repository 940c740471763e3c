"""Throughput of requests and lookups against bare aiohttp, in alternating rounds of one run.

Run `python -m tests.bench.overhead`. Each program under test has one process; the load comes from
processes of its own, so that the client is not what is measured.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
import uvloop
from aiohttp import web

from tests.cluster import Cluster
from tests.cluster import Pool
from tests.cluster import find_free_port
from tests.entry.scene import CLIENT
from tests.entry.scene import NETWORK
from tests.entry.scene import ZONE
from tests.entry.scene import write_documents

ADDRESS = f"127.{NETWORK}.210.1"
ROUNDS = 5
ROUND_S = 2.0
CLIENTS = 3
CONNECTIONS = 8
GOALS = {"requests": 0.8, "lookups": 0.7}


async def serve_bare(port: int, target: str) -> None:
    """Passes requests on, and answers lookups with a constant, with nothing but aiohttp."""
    session = aiohttp.ClientSession(auto_decompress=False)

    async def pass_on(request: web.Request) -> web.StreamResponse:
        url = f"{target}/{request.match_info['path']}"
        async with session.request(request.method, url, headers=request.headers) as answer:
            response = web.StreamResponse(status=answer.status, headers=answer.headers)
            await response.prepare(request)
            async for chunk in answer.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    async def look_up(request: web.Request) -> web.Response:
        return web.json_response({"service": request.query["service"], "entries": []})

    app = web.Application()
    app.router.add_get("/lookup", look_up)
    app.router.add_route("*", "/services/{service}/{path:.*}", pass_on)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, ADDRESS, port).start()
    await asyncio.Event().wait()


async def load(url: str) -> None:
    """Prints the answers a second of a closed loop."""
    served = 0
    stops_at = time.monotonic() + ROUND_S

    async def repeat(session: aiohttp.ClientSession) -> None:
        nonlocal served
        while time.monotonic() < stops_at:
            async with session.get(url) as answer:
                await answer.read()
                served += answer.status == 200

    connector = aiohttp.TCPConnector(local_addr=(CLIENT, 0))
    async with aiohttp.ClientSession(connector=connector) as session, asyncio.TaskGroup() as group:
        for _ in range(CONNECTIONS):
            group.create_task(repeat(session))
    print(served / ROUND_S)


def start(*arguments: str) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "tests.bench.overhead", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


async def measure(url: str) -> float:
    clients = [start("load", url) for _ in range(CLIENTS)]
    outputs = [await asyncio.to_thread(client.communicate) for client in clients]
    return sum(float(output[0]) for output in outputs)


async def compare(name: str, briarfork: str, bare: str) -> None:
    pairs = [(await measure(briarfork), await measure(bare)) for _ in range(ROUNDS)]
    ratio = statistics.median(own / other for own, other in pairs)
    own, other = (statistics.median(column) for column in zip(*pairs, strict=True))
    print(f"{name}: {own:.0f}/s against {other:.0f}/s, ratio {ratio:.2f}, goal {GOALS[name]}")


async def run() -> None:
    with tempfile.TemporaryDirectory() as work:
        folder = write_documents(Path(work) / "documents", slots=100)
        pools = [Pool("results", ZONE, 2, 100, 0.001)]
        async with Cluster(
            folder, Path(work), [ZONE], 1, pools=pools, network=NETWORK, client=CLIENT
        ) as cluster:
            answer = await cluster.submit()
            await cluster.wait_for_generation(answer["generation"])
            address, target = next(iter(cluster.backends.values()))
            port = find_free_port(ADDRESS)
            bare = start("bare", str(port), f"http://{address}:{target}")
            try:
                # Both answer before the first round; the list of VMs is read every second.
                await asyncio.sleep(3.0)
                own, other = cluster.vms[0].url, f"http://{ADDRESS}:{port}"
                for name, path in (
                    ("requests", "/services/results/x"),
                    ("lookups", "/lookup?service=results"),
                ):
                    await compare(name, own + path, other + path)
            finally:
                bare.terminate()
                bare.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="?", default="run", choices=["run", "bare", "load"])
    parser.add_argument("values", nargs="*")
    arguments = parser.parse_args()
    if arguments.part == "bare":
        uvloop.run(serve_bare(int(arguments.values[0]), arguments.values[1]))
    elif arguments.part == "load":
        uvloop.run(load(arguments.values[0]))
    else:
        uvloop.run(run())


if __name__ == "__main__":
    main()
