"""The processes and links of one soak: gateways, backend servers, the store and the operator."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from briarfork.platform import names
from briarfork.platform.settings import SETTINGS_VARIABLE
from tests.soak.backend import Backend
from tests.soak.ledger import Ledger
from tests.standins.key_value import KeyValueStore
from tests.standins.link import Conditions
from tests.standins.link import Link

if TYPE_CHECKING:
    from asyncio.subprocess import Process

ROOT = Path(__file__).parent.parent.parent
ZONES = {"a": "north", "b": "north", "c": "south"}
VMS = {"vm-1": "a", "vm-2": "a", "vm-3": "b", "vm-4": "c"}
SERVICES = ("lookups", "orders", "archive")
SERVERS_PER_ZONE = 2
SLOTS = 4
HOST = "soak.example"
FRONT_PORT, READY_PORT, LOOKUP_PORT = 8641, 8640, 8644
INTERNAL_PORTS = [7620, 7635]
SERVER_PORT, STORE_PORT = 9000, 8642
HEARTBEAT_S = 0.5
MISSED_HEARTBEATS = 3
# Bounds of the promises, as the settings of the VMs state them.
DRAIN_S, EVACUATE_S, APPLY_S, GRACE_S, RECOVERY_S = 2.5, 5.0, 2.5, 6.0, 15.0
BOUNDS = [f"grace={GRACE_S:.0f}s", f"drain={DRAIN_S}s", f"config_apply={APPLY_S}s", "ttl_max=5s"]
START_S = 15.0
RESTART_S = 0.3
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout", "slo", "service", "max_attempts"]
SERVICE_COLUMNS = ["name", "max_connections", "cold_start", "cold_per_s"]


@dataclass
class Vm:
    """A gateway's process and the link between it and the store."""

    name: str
    zone: str
    address: str
    link: Link
    conditions: Conditions
    process: Process | None = None
    stopping: bool = False
    watcher: asyncio.Task[None] | None = None


@dataclass
class Site:
    """An address of a backend server, its present incarnation and the link to it."""

    address: str
    backend: Backend
    link: Link
    conditions: Conditions
    state: str = "ready"
    listed: bool = True
    sequence: int = 0
    last_beat: float = 0.0


@dataclass
class World:
    """Everything that runs; `network` is the second number of its loopback addresses."""

    work: Path
    random: Random
    network: int = 61
    ledger: Ledger = field(default_factory=Ledger)
    store: KeyValueStore = field(default_factory=KeyValueStore)
    vms: dict[str, Vm] = field(default_factory=dict)
    sites: list[Site] = field(default_factory=list)
    version: int = 0
    starts: int = 0

    async def __aenter__(self) -> World:
        await self.store.start(self._at(0, 1), STORE_PORT)
        for zone in ZONES:
            for service in SERVICES:
                for _ in range(SERVERS_PER_ZONE):
                    await self._add_site(service, zone)
        await self.configure("orders")
        for number, (name, zone) in enumerate(VMS.items()):
            await self._add_vm(name, zone, number)
        self._beating = asyncio.create_task(self._beat())
        async with asyncio.timeout(START_S):
            while not all([await self.is_ready(vm) for vm in self.vms.values()]):
                await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._beating.cancel()
        for vm in self.vms.values():
            if vm.watcher is not None:
                vm.watcher.cancel()
            if vm.process is not None and vm.process.returncode is None:
                vm.process.kill()
                await vm.process.wait()
            await vm.link.close()
        for site in self.sites:
            await site.link.close()
            await site.backend.stop()
        await self.store.close()

    async def is_ready(self, vm: Vm) -> bool:
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(vm.address, READY_PORT)
                writer.write(f"GET {names.READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def configure(self, moving: str) -> None:
        """Writes a configuration whose route "moving" goes to a service."""
        self.version += self.random.randint(1, 3)
        rows = [
            ["lookup", HOST, "/lookup/", "idempotent", "3s", "0.6s", "lookups", 3],
            ["order", HOST, "/order/", "non_idempotent", "4s", "1s", "orders", 2],
            ["load", HOST, "/load/", "download", "3s", "0.6s", "archive", 2],
            ["move", HOST, "/move/", "idempotent", "3s", "0.6s", moving, 2],
        ]
        services = [[name, 200, "1s", 10.0] for name in SERVICES]
        body = {
            "version": self.version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
            "services": {"columns": SERVICE_COLUMNS, "rows": services},
        }
        await self.store.put(names.CONFIGURATION_KEY, body)
        self.ledger.versions.append((time.monotonic(), moving))

    async def start_vm(self, vm: Vm) -> None:
        """Starts the program of a VM; it is started again whenever it ends."""
        path = self.work / f"{vm.name}.json"
        vm.stopping = False
        vm.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "src" / "run_gateway.py"),
            env={SETTINGS_VARIABLE: str(path), "PATH": ""},
            stdout=(self.work / f"{vm.name}.log").open("ab"),
            stderr=asyncio.subprocess.STDOUT,
        )
        vm.watcher = asyncio.create_task(self._watch(vm, vm.process))

    def signal(self, vm: Vm, number: signal.Signals) -> None:
        """Sends a signal to the process that this soak started."""
        if vm.process is not None and vm.process.returncode is None:
            vm.stopping = vm.stopping or number in (signal.SIGKILL, signal.SIGTERM)
            vm.process.send_signal(number)

    async def register(self, site: Site, now: float) -> None:
        """Writes the entry of a server, as its heartbeat does."""
        site.sequence += 1
        site.last_beat = now
        backend = site.backend
        info = {"service": backend.service, "zone": backend.zone, "slots": backend.slots}
        status = {"state": site.state, "sequence": site.sequence, "cold_remaining": "0ms"}
        entry = {"address": f"{site.address}:{SERVER_PORT}", "info": info, "status": status}
        await self.store.put(names.SERVER_PREFIX + backend.name, entry)

    async def restart_backend(self, site: Site, service: str) -> None:
        """Starts another incarnation at the same address."""
        zone = site.backend.zone
        self.starts += 1
        site.backend = Backend(
            f"i-{self.starts}", service, zone, SLOTS, self.ledger, Random(self.starts)
        )
        await site.backend.start(self._hide(site.address), SERVER_PORT)
        site.state, site.sequence, site.listed = "ready", 0, True

    async def _watch(self, vm: Vm, process: Process) -> None:
        code = await process.wait()
        # A process that is stopped before it has started ends by the signal.
        if not vm.stopping or code not in (0, -signal.SIGKILL, -signal.SIGTERM):
            self.ledger.unplanned_ends.append(f"{vm.name} ended with {code}")
        await asyncio.sleep(RESTART_S)
        await self.start_vm(vm)

    async def _beat(self) -> None:
        while True:
            now = time.monotonic()
            for site in self.sites:
                if self.store.down:
                    continue
                if site.listed and now - site.last_beat >= HEARTBEAT_S:
                    await self.register(site, now)
                key = names.SERVER_PREFIX + site.backend.name
                silent = now - site.last_beat > MISSED_HEARTBEATS * HEARTBEAT_S
                if silent and not site.listed and key in self.store.items:
                    await self.store.delete(key)
            await asyncio.sleep(HEARTBEAT_S / 5)

    async def _add_site(self, service: str, zone: str) -> None:
        address = self._at(1, len(self.sites) + 1)
        conditions = Conditions()
        link = Link((self._hide(address), SERVER_PORT), lambda _: conditions)
        self.starts += 1
        backend = Backend(
            f"i-{self.starts}", service, zone, SLOTS, self.ledger, Random(self.starts)
        )
        await backend.start(self._hide(address), SERVER_PORT)
        await link.start(address, SERVER_PORT)
        site = Site(address, backend, link, conditions)
        self.sites.append(site)
        await self.register(site, time.monotonic())

    async def _add_vm(self, name: str, zone: str, number: int) -> None:
        address, store_address = self._at(3, number + 1), self._at(4, number + 1)
        conditions = Conditions()
        link = Link((self._at(0, 1), STORE_PORT), lambda _: conditions)
        await link.start(store_address, STORE_PORT)
        vm = Vm(name, zone, address, link, conditions)
        settings = {
            "node": name,
            "ip": address,
            "zone": zone,
            "region": ZONES[zone],
            "zones": ZONES,
            "listen": {
                "front": f"{address}:{FRONT_PORT}",
                "ready": f"{address}:{READY_PORT}",
                "directory": f"{address}:{LOOKUP_PORT}",
            },
            "internal_ports": INTERNAL_PORTS,
            "bounds": BOUNDS,
            "platform": {"address": f"{store_address}:{STORE_PORT}", "min_ttl": "1000ms"},
        }
        (self.work / f"{name}.json").write_text(json.dumps(settings))
        self.vms[name] = vm
        await self.start_vm(vm)

    def _at(self, part: int, number: int) -> str:
        return f"127.{self.network}.{part}.{number}"

    def _hide(self, address: str) -> str:
        """Returns the address behind the link that callers know."""
        first, second, _, last = address.split(".")
        return f"{first}.{second}.2.{last}"
