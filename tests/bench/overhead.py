"""Compares the throughput of requests and lookups with plain aiohttp in alternating rounds.

Run `python -m tests.bench.overhead`. Each program under test has one process. The load comes from
separate processes, so that the load generator does not limit the measured throughput.
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
from tests.entry.environment import CLIENT
from tests.entry.environment import NETWORK
from tests.entry.environment import ZONE
from tests.entry.environment import write_documents

ADDRESS = f"127.{NETWORK}.210.1"
ROUNDS = 5
ROUND_S = 2.0
CLIENTS = 3
CONNECTIONS = 8
TARGET_RATIOS = {"requests": 0.8, "lookups": 0.7}


async def serve_plain_proxy(port: int, target: str) -> None:
    """Runs a plain aiohttp proxy that forwards requests and answers lookups with a constant."""
    session = aiohttp.ClientSession(auto_decompress=False)

    async def forward(request: web.Request) -> web.StreamResponse:
        url = f"{target}/{request.match_info['path']}"
        async with session.request(
            request.method, url, headers=request.headers
        ) as upstream_response:
            response = web.StreamResponse(
                status=upstream_response.status, headers=upstream_response.headers
            )
            await response.prepare(request)
            async for chunk in upstream_response.content.iter_any():
                await response.write(chunk)
            await response.write_eof()
            return response

    async def look_up(request: web.Request) -> web.Response:
        return web.json_response({"service": request.query["service"], "entries": []})

    app = web.Application()
    app.router.add_get("/lookup", look_up)
    app.router.add_route("*", "/services/{service}/{path:.*}", forward)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, ADDRESS, port).start()
    await asyncio.Event().wait()


async def run_closed_loop(url: str) -> None:
    """Sends requests in a closed loop and prints the responses per second."""
    served = 0
    ends_at = time.monotonic() + ROUND_S

    async def send_requests(session: aiohttp.ClientSession) -> None:
        nonlocal served
        while time.monotonic() < ends_at:
            async with session.get(url) as response:
                await response.read()
                served += response.status == 200

    connector = aiohttp.TCPConnector(local_addr=(CLIENT, 0))
    async with aiohttp.ClientSession(connector=connector) as session, asyncio.TaskGroup() as group:
        for _ in range(CONNECTIONS):
            group.create_task(send_requests(session))
    print(served / ROUND_S)


def start_process(*arguments: str) -> subprocess.Popen[bytes]:
    command = [sys.executable, "-m", "tests.bench.overhead", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


async def measure(url: str) -> float:
    clients = [start_process("load", url) for _ in range(CLIENTS)]
    outputs = [await asyncio.to_thread(client.communicate) for client in clients]
    return sum(float(output[0]) for output in outputs)


async def compare(name: str, briarfork_url: str, plain_url: str) -> None:
    pairs = [(await measure(briarfork_url), await measure(plain_url)) for _ in range(ROUNDS)]
    ratio = statistics.median(briarfork_rate / plain_rate for briarfork_rate, plain_rate in pairs)
    briarfork_rate, plain_rate = (statistics.median(column) for column in zip(*pairs, strict=True))
    print(
        f"{name}: {briarfork_rate:.0f}/s against {plain_rate:.0f}/s, "
        f"ratio {ratio:.2f}, goal {TARGET_RATIOS[name]}"
    )


async def run() -> None:
    with tempfile.TemporaryDirectory() as work:
        folder = write_documents(Path(work) / "documents", slots=100)
        pools = [Pool("results", ZONE, 2, 100, 0.001)]
        async with Cluster(
            folder, Path(work), [ZONE], 1, pools=pools, network=NETWORK, client=CLIENT
        ) as cluster:
            response = await cluster.submit()
            await cluster.wait_for_generation(response["generation"])
            address, target = next(iter(cluster.backends.values()))
            port = find_free_port(ADDRESS)
            plain_process = start_process("bare", str(port), f"http://{address}:{target}")
            try:
                # Both programs must respond before the first round; the list of VMs is read once
                # per second.
                await asyncio.sleep(3.0)
                briarfork_url, plain_url = cluster.vms[0].url, f"http://{ADDRESS}:{port}"
                for name, path in (
                    ("requests", "/services/results/x"),
                    ("lookups", "/lookup?service=results"),
                ):
                    await compare(name, briarfork_url + path, plain_url + path)
            finally:
                plain_process.terminate()
                plain_process.wait()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", nargs="?", default="run", choices=["run", "bare", "load"])
    parser.add_argument("values", nargs="*")
    arguments = parser.parse_args()
    if arguments.part == "bare":
        uvloop.run(serve_plain_proxy(int(arguments.values[0]), arguments.values[1]))
    elif arguments.part == "load":
        uvloop.run(run_closed_loop(arguments.values[0]))
    else:
        uvloop.run(run())


if __name__ == "__main__":
    main()
