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
CLIENT_PREFIX = "127.10.0"


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
        self.marks: dict[str, float] = {}
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


class Caller:
    """A caller that caches lookups for their whole time-to-live."""

    def __init__(self, world: World, service: str, fixed: list[Vm], number: int) -> None:
        self._world = world
        self._service = service
        self._fixed = fixed
        self._client = f"{CLIENT_PREFIX}.{number + 1}"
        self._entries: list[Vm] = list(world.cluster.vms)
        self._expires_at = 0.0

    async def call(self, method: str, path: str, headers: dict[str, str], choice: int) -> Answer:
        """Sends one request to the entry VM that the lookup names first, or to a later one."""
        entries = self._fixed or await self._look_up()
        vm = entries[choice % len(entries)]
        body = b"" if method in ("GET", "HEAD") else b"{}"
        return await self._world.call(vm, method, self._service, path, headers, body)

    async def _look_up(self) -> list[Vm]:
        if time.monotonic() < self._expires_at:
            return self._entries
        for vm in self._entries:
            try:
                answer = await self._world.cluster.get(
                    f"{vm.url}/lookup", service=self._service, client=self._client
                )
            except aiohttp.ClientError:
                continue
            self._expires_at = time.monotonic() + answer["ttl_s"]
            self._entries = [self._world.find_vm(entry["vm"]) for entry in answer["entries"]]
            break
        return self._entries
