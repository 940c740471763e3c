"""Environment of a soak test: gateways, backend servers, store and network links."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import TYPE_CHECKING
from typing import Any

from briarfork.platform import names
from tests.soak.backend import Backend
from tests.soak.ledger import Ledger
from tests.soak.vms import VM_MEMORY_MB
from tests.soak.vms import Vm
from tests.standins.gateway import HEARTBEAT_S
from tests.standins.gateway import VmSettings
from tests.standins.gateway import build_settings
from tests.standins.gateway import is_ready
from tests.standins.key_value import KeyValueStore
from tests.standins.link import Conditions
from tests.standins.link import Link

if TYPE_CHECKING:
    from pathlib import Path

ZONES = {"a": "north", "b": "north", "c": "south"}
VMS = {"vm-1": "a", "vm-2": "a", "vm-3": "b", "vm-4": "c"}
SERVICES = ("lookups", "orders", "archive")
SERVERS_PER_ZONE = 2
SLOTS = 4
# Routes of this service show which configuration is in force; it has no servers.
PROBED_SERVICE = "probed"
HOST = "soak.example"
SERVER_PORT, STORE_PORT = 9000, 8642
MISSED_HEARTBEATS = 3
NS_PER_MS = 10**6
EVACUATE_S, RECOVERY_S = 5.0, 15.0
START_TIMEOUT_S = 15.0
ROUTE_COLUMNS = ["name", "host", "prefix", "kind", "timeout", "slo", "service", "max_attempts"]
SERVICE_COLUMNS = ["name", "max_connections", "cold_start", "cold_per_s"]


@dataclass
class ServerEndpoint:
    """An address of a backend server with its current incarnation.

    Attributes:
        address: Address that the gateways connect to.
        backend: Current incarnation.
        link: Proxy between the gateways and the backend server.
        conditions: Conditions of that link.
        state: State in the registered entry, "ready" or "draining".
        listed: Whether heartbeats are sent.
        sequence: Sequence number of the latest heartbeat.
        last_heartbeat: Monotonic time of the latest heartbeat.
        born: Start of the incarnation in Unix milliseconds.
        large_fields: Further fields of its entry, which make it large.
    """

    address: str
    backend: Backend
    link: Link
    conditions: Conditions
    state: str = "ready"
    listed: bool = True
    sequence: int = 0
    last_heartbeat: float = 0.0
    born: int = 0
    large_fields: dict[str, str] = field(default_factory=dict)


def read_unix_ms() -> int:
    return time.time_ns() // NS_PER_MS


def build_next_entry(endpoint: ServerEndpoint) -> dict[str, Any]:
    """Returns the entry of the next heartbeat of a server."""
    endpoint.sequence += 1
    backend = endpoint.backend
    info = {"service": backend.service, "zone": backend.zone, "slots": backend.slots}
    info |= endpoint.large_fields
    status = {"state": endpoint.state, "sequence": endpoint.sequence, "cold_remaining": "0ms"}
    address = f"{endpoint.address}:{SERVER_PORT}"
    return {"address": address, "info": info, "status": status, "born": endpoint.born}


def drop_sequence(entry: dict[str, Any]) -> dict[str, Any]:
    return entry | {"status": entry["status"] | {"sequence": 0}}


@dataclass
class SoakEnvironment:
    """All processes, servers and links of one soak; an async context manager.

    Attributes:
        work: Folder for settings and logs.
        random: Source of random numbers.
        network: Second octet of all loopback addresses.
        scale: Number of VMs and servers as a multiple of the usual ones.
        ledger: Record of requests and faults.
        store: Stand-in of the platform's key-value service.
        vms: Gateways by name.
        endpoints: Addresses of backend servers.
        version: Version of the latest configuration.
        versions: All versions so far; each configuration has a route "/vN/" for each of them.
        configuration: The latest configuration.
        incarnations: Number of backend servers started so far.
    """

    work: Path
    random: Random
    network: int = 61
    scale: int = 1
    ledger: Ledger = field(default_factory=Ledger)
    store: KeyValueStore = field(default_factory=lambda: KeyValueStore(era=1))
    vms: dict[str, Vm] = field(default_factory=dict)
    endpoints: list[ServerEndpoint] = field(default_factory=list)
    version: int = 0
    versions: list[int] = field(default_factory=list)
    configuration: dict[str, Any] = field(default_factory=dict)
    incarnations: int = 0

    async def __aenter__(self) -> SoakEnvironment:
        await self.store.start(self._get_address(0, 1), STORE_PORT)
        for zone in ZONES:
            for service in SERVICES:
                for _ in range(self.scale * SERVERS_PER_ZONE):
                    await self._add_endpoint(service, zone)
        await self.write_configuration("orders")
        for number in range(self.scale * len(VMS)):
            zone = list(VMS.values())[number % len(VMS)]
            await self._add_vm(f"vm-{number + 1}", zone, number)
        self._heartbeat_task = asyncio.create_task(self._send_heartbeats())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not all([await self.is_ready(vm) for vm in self.vms.values()]):
                await asyncio.sleep(0.1)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._heartbeat_task.cancel()
        for vm in self.vms.values():
            await vm.close()
        for endpoint in self.endpoints:
            await endpoint.link.close()
            await endpoint.backend.stop()
        await self.store.close()

    async def is_ready(self, vm: Vm) -> bool:
        return await is_ready(vm.address)

    async def write_configuration(self, move_service: str) -> None:
        """Writes a configuration that sends the route "move" to a service."""
        self.version += self.random.randint(1, 3)
        rows = [
            ["lookup", HOST, "/lookup/", "idempotent", "3s", "0.6s", "lookups", 3],
            ["order", HOST, "/order/", "non_idempotent", "4s", "1s", "orders", 2],
            ["load", HOST, "/load/", "download", "3s", "0.6s", "archive", 2],
            ["upload", HOST, "/upload/", "upload", "3s", "0.6s", "orders", 2],
            ["file", HOST, "/file/", "download", "6s", "1s", "archive", 2],
            ["move", HOST, "/move/", "idempotent", "3s", "0.6s", move_service, 2],
        ]
        self.versions.append(self.version)
        rows += [
            [f"v{version}", HOST, f"/v{version}/", "idempotent", "1s", "0.5s", PROBED_SERVICE, 1]
            for version in self.versions
        ]
        services = [[name, 200, "1s", 10.0] for name in (*SERVICES, PROBED_SERVICE)]
        self.configuration = {
            "version": self.version,
            "routes": {"columns": ROUTE_COLUMNS, "rows": rows},
            "services": {"columns": SERVICE_COLUMNS, "rows": services},
        }
        await self.store.put(names.CONFIGURATION_KEY, self.configuration)
        self.ledger.configurations.append((time.monotonic(), move_service))
        self.ledger.version_times[self.version] = time.monotonic()

    async def rewrite_configuration(self) -> None:
        """Writes the latest configuration again if the store holds an older one."""
        held = json.loads(self.store.items[names.CONFIGURATION_KEY].value)
        if held["version"] < self.version:
            await self.store.put(names.CONFIGURATION_KEY, self.configuration)

    async def expire_ended_servers(self) -> None:
        """Removes the entries of servers that have ended, as the store does without heartbeats."""
        present = {names.SERVER_PREFIX + item.backend.name for item in self.endpoints}
        incarnations = f"{names.SERVER_PREFIX}i-"
        for key in [key for key in self.store.items if key.startswith(incarnations)]:
            if key not in present:
                await self.store.delete(key)

    async def register(self, endpoint: ServerEndpoint, now: float) -> None:
        """Writes the entry of a backend server, as its heartbeat does."""
        await self.write_entry(endpoint, build_next_entry(endpoint), now)

    async def write_entry(
        self, endpoint: ServerEndpoint, entry: dict[str, Any], now: float
    ) -> None:
        """Writes an entry; one that differs only in its sequence number changes nothing."""
        endpoint.last_heartbeat = now
        key = names.SERVER_PREFIX + endpoint.backend.name
        item = self.store.items.get(key)
        if item is None or drop_sequence(json.loads(item.value)) != drop_sequence(entry):
            await self.store.put(key, entry)

    async def restart_backend(self, endpoint: ServerEndpoint, service: str) -> None:
        """Starts a new incarnation at the same address."""
        zone = endpoint.backend.zone
        self.incarnations += 1
        endpoint.backend = Backend(
            f"i-{self.incarnations}", service, zone, SLOTS, self.ledger, Random(self.incarnations)
        )
        await endpoint.backend.start(self._get_backend_address(endpoint.address), SERVER_PORT)
        endpoint.state, endpoint.sequence, endpoint.listed = "ready", 0, True
        endpoint.born = read_unix_ms()

    async def _send_heartbeats(self) -> None:
        while True:
            now = time.monotonic()
            for endpoint in self.endpoints:
                if self.store.down:
                    continue
                if endpoint.listed and now - endpoint.last_heartbeat >= HEARTBEAT_S:
                    await self.register(endpoint, now)
                key = names.SERVER_PREFIX + endpoint.backend.name
                is_expired = now - endpoint.last_heartbeat > MISSED_HEARTBEATS * HEARTBEAT_S
                if is_expired and not endpoint.listed and key in self.store.items:
                    await self.store.delete(key)
            await asyncio.sleep(HEARTBEAT_S / 5)

    async def _add_endpoint(self, service: str, zone: str) -> None:
        address = self._get_address(1, len(self.endpoints) + 1)
        conditions = Conditions()
        link = Link((self._get_backend_address(address), SERVER_PORT), lambda _: conditions)
        self.incarnations += 1
        backend = Backend(
            f"i-{self.incarnations}", service, zone, SLOTS, self.ledger, Random(self.incarnations)
        )
        await backend.start(self._get_backend_address(address), SERVER_PORT)
        await link.start(address, SERVER_PORT)
        endpoint = ServerEndpoint(address, backend, link, conditions, born=read_unix_ms())
        self.endpoints.append(endpoint)
        await self.register(endpoint, time.monotonic())

    async def _add_vm(self, name: str, zone: str, number: int) -> None:
        address, store_address = self._get_address(3, number + 1), self._get_address(4, number + 1)
        conditions = Conditions()
        link = Link((self._get_address(0, 1), STORE_PORT), lambda _: conditions)
        await link.start(store_address, STORE_PORT)
        vm = Vm(name, zone, address, self.work, self.ledger, link, conditions)
        settings = build_settings(
            VmSettings(name, zone, address, f"{store_address}:{STORE_PORT}", VM_MEMORY_MB), ZONES
        )
        vm.settings_path.write_text(json.dumps(settings))
        self.vms[name] = vm
        await vm.start()

    def _get_address(self, part: int, number: int) -> str:
        return f"127.{self.network}.{part}.{number}"

    def _get_backend_address(self, address: str) -> str:
        """Returns the address that the backend server behind a link listens on."""
        first, second, _, last = address.split(".")
        return f"{first}.{second}.2.{last}"
