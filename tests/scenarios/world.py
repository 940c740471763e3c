"""What a running scenario holds: processes, answers, loads and the merged timeline of events."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

if TYPE_CHECKING:
    import asyncio
    from pathlib import Path

    from tests.cluster import Cluster
    from tests.cluster import Pool
    from tests.cluster import Vm

TIMELINE_LINES = 80
CALL_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class Answer:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    elapsed_s: float
    whole: bool


@dataclass
class LoadResult:
    """What the callers of an open-loop load got."""

    answers: list[Answer] = field(default_factory=list)
    keys: list[str] = field(default_factory=list)
    sent: int = 0

    @property
    def cut(self) -> int:
        return sum(1 for answer in self.answers if not answer.whole)

    def count_errors(self) -> int:
        return sum(1 for answer in self.answers if answer.whole and answer.status >= 400)


class World:
    """State of one scenario."""

    def __init__(self, work: Path) -> None:
        self.work = work
        self.example = "estonia"
        self.zones: list[str] = []
        self.pools: list[Pool] = []
        self.vms_per_zone = 1
        self.admins = 1
        self.timeouts: dict[str, float] = {}
        self.answers: dict[str, Answer] = {}
        self.loads: dict[str, LoadResult] = {}
        self.pending: dict[str, asyncio.Task[None]] = {}
        self.accepted: dict[str, dict[str, Any]] = {}
        self.generations: dict[str, int] = {}
        self.leaving: set[str] = set()
        self.cluster: Cluster
        self.group: asyncio.TaskGroup

    def find_vm(self, word: str) -> Vm:
        """Finds a VM by its number, from 1 on, or its name."""
        if word.isdigit():
            return self.cluster.vms[int(word) - 1]
        return next(vm for vm in self.cluster.vms if vm.name == word)

    async def call(
        self, vm: Vm, method: str, service: str, path: str, headers: dict[str, str], body: bytes
    ) -> Answer:
        """Sends one request and reads the whole answer."""
        started = time.monotonic()
        url = f"{vm.url}/services/{service}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.cluster.session.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            ) as reply:
                content = await reply.read()
                elapsed_s = time.monotonic() - started
                return Answer(reply.status, dict(reply.headers), content, elapsed_s, True)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Answer(0, {}, b"", time.monotonic() - started, False)

    async def read_ledgers(self) -> dict[str, dict[str, Any]]:
        """Reads the ledgers of all backend servers that answer."""
        ledgers = {}
        for name, (address, port) in self.cluster.backends.items():
            try:
                ledgers[name] = await self.cluster.get(f"http://{address}:{port}/ledger")
            except aiohttp.ClientError:
                continue
        return ledgers

    def merge_timeline(self) -> str:
        """Returns the last events of all processes, in order of time."""
        lines: list[str] = []
        for log in sorted(self.work.glob("*.log")):
            lines += [
                f"{line} [{log.stem}]"
                for line in log.read_text(errors="replace").splitlines()
                if "event=" in line or "Error" in line
            ]
        return "\n".join(sorted(lines)[-TIMELINE_LINES:])
