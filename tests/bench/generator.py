"""Load generator process that sends its share of the arrivals at their intended times.

Each line on standard input is the path of a plan. The outcomes are written next to the plan, and
then a line is printed. Requests refused as not run are retried after a delay until the deadline, as
callers do. Latencies are measured from the intended start of the first attempt.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
import uvloop

RETRY_DELAY_S = 0.02
# A response that is missing for this long after the deadline counts as stalled.
STALL_TIMEOUT_S = 1.0


class Generator:
    """Sends the arrivals of one plan and records their outcomes."""

    def __init__(self, plan: dict[str, Any]) -> None:
        self._plan = plan
        self._sessions: dict[str, aiohttp.ClientSession] = {}
        self.outcomes: list[dict[str, Any]] = []

    async def run(self) -> None:
        for client in self._plan["urls"]:
            connector = aiohttp.TCPConnector(limit=0, local_addr=(client, 0))
            self._sessions[client] = aiohttp.ClientSession(connector=connector)
        async with asyncio.TaskGroup() as group:
            for arrival in self._plan["arrivals"]:
                start_at = self._plan["start_at"] + arrival["at_s"]
                await asyncio.sleep(max(0.0, start_at - time.time()))
                group.create_task(self._send(arrival, start_at))
        for session in self._sessions.values():
            await session.close()

    async def _send(self, arrival: dict[str, Any], start_at: float) -> None:
        refusals = 0
        delay_s = time.time() - start_at
        deadline_at = start_at + arrival["deadline_s"]
        while True:
            result = await self._attempt(arrival, deadline_at - time.time())
            if result != "not-run" or time.time() + RETRY_DELAY_S >= deadline_at:
                break
            refusals += 1
            await asyncio.sleep(RETRY_DELAY_S)
        self.outcomes.append(
            {
                "service": arrival["service"],
                "path": arrival["path"],
                "result": result,
                "refusals": refusals + (result == "not-run"),
                "latency_s": time.time() - start_at,
                "late_s": delay_s,
            }
        )

    async def _attempt(self, arrival: dict[str, Any], remaining_s: float) -> str:
        session = self._sessions[arrival["client"]]
        url = self._plan["urls"][arrival["client"]][arrival["service"]]
        headers = {
            "Test-Request": arrival["name"],
            "Briarfork-Deadline-Ms": str(max(1, int(remaining_s * 1000))),
        }
        if arrival["run_ms"]:
            headers["Test-Run-Ms"] = f"{arrival['run_ms']:.3f}"
        try:
            async with (
                asyncio.timeout(max(0.0, remaining_s) + STALL_TIMEOUT_S),
                session.request(
                    arrival["method"], url + arrival["path"], headers=headers
                ) as response,
            ):
                await response.read()
                if response.status < 300:
                    return "done"
                return response.headers.get("Briarfork-Outcome", "error")
        except TimeoutError:
            return "stalled"
        except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError, OSError):
            return "cut"


def main() -> None:
    for line in sys.stdin:
        path = Path(line.strip())
        generator = Generator(json.loads(path.read_text()))
        uvloop.run(generator.run())
        path.with_suffix(".out").write_text(json.dumps(generator.outcomes))
        print("done", flush=True)


if __name__ == "__main__":
    main()
