"""Measures the peak memory of a gateway while many callers send large bodies at once.

Prints one row for each size of the bodies: how the uploads ended and the peak of the process.
"""

from __future__ import annotations

import asyncio
import logging
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import aiohttp
import psutil

from briarfork.platform import names
from briarfork.platform.configuration_record import LimitsRow
from tests.soak.environment import HOST
from tests.soak.environment import SoakEnvironment
from tests.soak.vms import VM_MEMORY_MB
from tests.standins.gateway import FRONT_PORT

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

UPLOADS = 200
DEADLINE_S = 2.5
RUN_MS = 100
CHUNK = bytes(65536)
SAMPLE_S = 0.02
BYTES_PER_MB = 1024 * 1024
NETWORK = 67
# The mean and the largest body of a deployment with uploads, larger ones, one that fills the memory
# for bodies of the smallest VM, and the largest that the configuration allows.
SIZES = (
    60_000,
    360_000,
    2_000_000,
    8_000_000,
    VM_MEMORY_MB * BYTES_PER_MB // 4,
    LimitsRow().max_body_bytes,
)


async def send_body(size: int) -> AsyncIterator[bytes]:
    """Yields a body in chunks."""
    for start in range(0, size, len(CHUNK)):
        yield CHUNK[: size - start]


async def upload(session: aiohttp.ClientSession, address: str, number: int, size: int) -> str:
    """Sends one upload and returns how it ended."""
    headers = {
        "Host": HOST,
        names.ATTEMPT_ID: f"u{size}-{number}",
        names.DEADLINE_MS: str(int(DEADLINE_S * 1000)),
        "Content-Length": str(size),
    }
    url = f"http://{address}:{FRONT_PORT}/upload/{RUN_MS}"
    try:
        async with asyncio.timeout(2 * DEADLINE_S):
            async with session.post(url, headers=headers, data=send_body(size)) as response:
                await response.read()
                return str(response.status)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return type(error).__name__


async def sample_peak_mb(process: psutil.Process, stop: asyncio.Event) -> float:
    """Returns the largest resident memory of a process until the event, in MB."""
    peak = 0
    while not stop.is_set():
        peak = max(peak, process.memory_info().rss)
        await asyncio.sleep(SAMPLE_S)
    return peak / BYTES_PER_MB


async def measure(environment: SoakEnvironment, size: int) -> None:
    """Sends uploads of one size to one VM at once and prints a row."""
    vm = environment.vms["vm-1"]
    assert vm.process is not None
    stop = asyncio.Event()
    sampler = asyncio.create_task(sample_peak_mb(psutil.Process(vm.process.pid), stop))
    connector = aiohttp.TCPConnector(limit=UPLOADS)
    async with aiohttp.ClientSession(connector=connector) as session:
        outcomes = await asyncio.gather(
            *(upload(session, vm.address, number, size) for number in range(UPLOADS))
        )
    stop.set()
    counts = ", ".join(f"{name}: {count}" for name, count in sorted(Counter(outcomes).items()))
    print(f"| {size} | {await sampler:.1f} | {counts} |", flush=True)


async def main() -> None:
    logging.disable(logging.CRITICAL)
    print(f"{UPLOADS} uploads at once to a VM of {VM_MEMORY_MB} MB")
    print("| bytes each | peak MB | outcomes |\n| --- | --- | --- |")
    with tempfile.TemporaryDirectory(prefix="briarfork-uploads-") as folder:
        async with SoakEnvironment(Path(folder), Random(1), NETWORK) as environment:
            for size in SIZES:
                await measure(environment, size)


if __name__ == "__main__":
    asyncio.run(main())
