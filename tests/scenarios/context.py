"""State of a running scenario: cluster, responses, loads and the merged timeline of events."""

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
class Response:
    """Response to a request; `status` is 0 and `complete` is False if it was cut."""

    status: int
    headers: dict[str, str]
    body: bytes
    elapsed_s: float
    complete: bool


@dataclass
class LoadResult:
    """Results of an open-loop load.

    Attributes:
        responses: Responses received so far.
        keys: Idempotency keys or names of the requests.
        sent: Number of requests sent so far.
    """

    responses: list[Response] = field(default_factory=list)
    keys: list[str] = field(default_factory=list)
    sent: int = 0

    @property
    def incomplete_count(self) -> int:
        return sum(1 for response in self.responses if not response.complete)

    def count_errors(self) -> int:
        return sum(1 for response in self.responses if response.complete and response.status >= 400)


class ScenarioContext:
    """State of one scenario, shared by its steps.

    Attributes:
        work: Folder for configuration, settings and logs.
        example: Name of the example configuration.
        zones: Zones of the example that run.
        pools: Backend servers to start.
        vms_per_zone: Number of entry VMs in each zone.
        admins: Number of VMs with an administration API.
        timeouts: Overrides of the timeouts in the settings, in seconds.
        responses: Responses by name.
        loads: Loads by name.
        background_tasks: Running requests and loads by name.
        submissions: Responses to submitted changes by name.
        remembered_generations: Generations by VM, as of the step "remember".
        marked_times: Wall-clock times by name, as of the steps "mark".
        leaving_vms: VMs that the platform lists as leaving.
        cluster: Running processes.
        group: Task group of the background tasks.
    """

    def __init__(self, work: Path) -> None:
        self.work = work
        self.example = "estonia"
        self.zones: list[str] = []
        self.pools: list[Pool] = []
        self.vms_per_zone = 1
        self.admins = 1
        self.timeouts: dict[str, float] = {}
        self.responses: dict[str, Response] = {}
        self.loads: dict[str, LoadResult] = {}
        self.background_tasks: dict[str, asyncio.Task[None]] = {}
        self.submissions: dict[str, dict[str, Any]] = {}
        self.remembered_generations: dict[str, int] = {}
        self.marked_times: dict[str, float] = {}
        self.leaving_vms: set[str] = set()
        self.cluster: Cluster
        self.group: asyncio.TaskGroup

    def get_vm(self, word: str) -> Vm:
        """Returns the VM with a name or a number, counted from 1."""
        if word.isdigit():
            return self.cluster.vms[int(word) - 1]
        return next(vm for vm in self.cluster.vms if vm.name == word)

    async def call(
        self, vm: Vm, method: str, service: str, path: str, headers: dict[str, str], body: bytes
    ) -> Response:
        """Sends one request and reads the whole response."""
        started_at = time.monotonic()
        url = f"{vm.url}/services/{service}{path}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self.cluster.session.request(
                method, url, headers=headers, data=body or None, timeout=timeout
            ) as http_response:
                response_body = await http_response.read()
                elapsed_s = time.monotonic() - started_at
                return Response(
                    http_response.status,
                    dict(http_response.headers),
                    response_body,
                    elapsed_s,
                    True,
                )
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Response(0, {}, b"", time.monotonic() - started_at, False)

    async def read_ledgers(self) -> dict[str, dict[str, Any]]:
        """Returns the ledgers of all reachable backend servers by name."""
        ledgers = {}
        for name, (address, port) in self.cluster.backends.items():
            try:
                ledgers[name] = await self.cluster.get(f"http://{address}:{port}/ledger")
            except aiohttp.ClientError:
                continue
        return ledgers

    def merge_timeline(self) -> str:
        """Returns the latest events of all processes, ordered by time."""
        lines: list[str] = []
        for log in sorted(self.work.glob("*.log")):
            lines += [
                f"{line} [{log.stem}]"
                for line in log.read_text(errors="replace").splitlines()
                if "event=" in line or "Error" in line
            ]
        return "\n".join(sorted(lines)[-TIMELINE_LINES:])


class Caller:
    """A caller that caches each lookup for its whole time-to-live."""

    def __init__(
        self, context: ScenarioContext, service: str, fixed_vms: list[Vm], number: int
    ) -> None:
        self._context = context
        self._service = service
        self._fixed_vms = fixed_vms
        self._client = f"{CLIENT_PREFIX}.{number + 1}"
        self._entry_vms: list[Vm] = list(context.cluster.vms)
        self._expires_at = 0.0

    async def call(self, method: str, path: str, headers: dict[str, str], index: int) -> Response:
        """Sends one request to the entry VM at an index of the lookup."""
        entries = self._fixed_vms or await self._look_up()
        vm = entries[index % len(entries)]
        body = b"" if method in ("GET", "HEAD") else b"{}"
        return await self._context.call(vm, method, self._service, path, headers, body)

    async def _look_up(self) -> list[Vm]:
        if time.monotonic() < self._expires_at:
            return self._entry_vms
        for vm in self._entry_vms:
            try:
                response = await self._context.cluster.get(
                    f"{vm.url}/lookup", service=self._service, client=self._client
                )
            except aiohttp.ClientError:
                continue
            self._expires_at = time.monotonic() + response["ttl_s"]
            self._entry_vms = [self._context.get_vm(entry["vm"]) for entry in response["entries"]]
            break
        return self._entry_vms
