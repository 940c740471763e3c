"""Runs entry VMs and stand-ins as processes; each VM has its own loopback address."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any

import aiohttp
import yaml

from briarfork.border.files import load_documents

ROOT = Path(__file__).parent.parent
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.05
PORT_NAMES = ("entry", "permits", "control", "local", "admin")
PROGRAMS = ("control", "entry", "admin")


def find_free_port(address: str) -> int:
    """Returns a port that is free on an address."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((address, 0))
        return int(probe.getsockname()[1])


def copy_example_zones(example: str, zones: list[str], folder: Path) -> Path:
    """Copies an example restricted to some zones, so that each remaining site has running VMs.

    Args:
        example: Name of a folder in examples/.
        zones: Zones to keep.
        folder: Folder to create.

    Returns:
        The created folder.
    """
    example_folder = ROOT / "examples" / example
    base = yaml.safe_load((example_folder / "base.yaml").read_text())
    for service in base["services"].values():
        service["spread"] = {zone: 1 for zone in zones}
        service["regional_spread"] = {
            region: remaining_weights
            for region, weights in service["regional_spread"].items()
            if (
                remaining_weights := {
                    zone: weight for zone, weight in weights.items() if zone in zones
                }
            )
        }
    (folder / "sites").mkdir(parents=True)
    (folder / "base.yaml").write_text(yaml.safe_dump(base, sort_keys=False))
    for zone in zones:
        overlay = (example_folder / "sites" / f"{zone}.yaml").read_text()
        (folder / "sites" / f"{zone}.yaml").write_text(overlay)
    return folder


def find_free_ports(address: str) -> dict[str, int]:
    """Returns distinct free ports by name; retried, since one port can be found twice."""
    ports: dict[str, int] = {}
    while len(set(ports.values())) < len(PORT_NAMES):
        ports = {name: find_free_port(address) for name in PORT_NAMES}
    return ports


@dataclass
class Pool:
    """Backend servers of one service in one zone.

    Attributes:
        service: Name of the service.
        zone: Zone of the servers.
        count: Number of servers.
        slots: Slots of each server.
        run_ms: Mean run time of a request, in milliseconds.
        options: Further arguments of the backend stand-in.
    """

    service: str
    zone: str
    count: int
    slots: int = 3
    run_ms: float = 5.0
    options: tuple[str, ...] = ()


@dataclass
class Vm:
    """An entry VM and its processes.

    Attributes:
        name: Name of the VM.
        zone: Zone of the VM.
        address: Loopback address of the VM.
        ports: Listening ports by name.
        settings: Path of the settings file.
        processes: Running processes by program.
    """

    name: str
    zone: str
    address: str
    ports: dict[str, int]
    settings: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)

    @property
    def url(self) -> str:
        return f"http://{self.address}:{self.ports['entry']}"

    @property
    def admin_url(self) -> str:
        return f"http://{self.address}:{self.ports['admin']}"


class Cluster:
    """Stand-ins and entry VMs; an async context manager that kills all processes on exit.

    Args:
        folder: Folder with the configuration files to submit.
        work: Folder for settings and logs.
        zones: Zones in which entry VMs run.
        vms_per_zone: Number of entry VMs in each zone.
        pools: Backend servers to start.
        timeouts: Overrides of the timeouts in the settings, in seconds.
        admins: Number of VMs that also run the administration API.
        network: Second octet of all loopback addresses of the cluster.
        client: Source address of the requests.
    """

    def __init__(
        self,
        folder: Path,
        work: Path,
        zones: list[str],
        vms_per_zone: int = 1,
        pools: list[Pool] | None = None,
        timeouts: dict[str, float] | None = None,
        admins: int = 1,
        network: int = 1,
        client: str = "127.0.0.1",
    ) -> None:
        self.folder = folder
        self.work = work
        self.store_url = ""
        self.platform_url = ""
        self.zones = zones
        self.vms: list[Vm] = []
        self.backends: dict[str, tuple[str, int]] = {}
        self._vms_per_zone = vms_per_zone
        self._pools = pools or []
        self._timeouts = timeouts or {}
        self._admins = admins
        self._network = network
        self._client = client
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._listed_servers: list[dict[str, Any]] = []
        self.session: aiohttp.ClientSession

    async def __aenter__(self) -> Cluster:
        connector = aiohttp.TCPConnector(limit=0, local_addr=(self._client, 0))
        self.session = aiohttp.ClientSession(connector=connector)
        try:
            await self._start_platform_services()
            await self._start_backends()
            for index, zone in enumerate(self.zones):
                for number in range(1, self._vms_per_zone + 1):
                    self._add_vm(index, zone, number)
            self._write_settings()
            await self.publish()
            for index, vm in enumerate(self.vms):
                self.start(vm, PROGRAMS if index < self._admins else PROGRAMS[:2])
            await self._wait_until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *_: object) -> None:
        processes = [*self._processes.values()]
        processes += [process for vm in self.vms for process in vm.processes.values()]
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait(STOP_TIMEOUT_S)
        await self.session.close()

    def start(self, vm: Vm, programs: tuple[str, ...] = PROGRAMS) -> None:
        for program in programs:
            command = [f"briarfork.{program}.main", str(vm.settings)]
            log = f"{vm.name}-{program}"
            vm.processes[program] = self._spawn(log, command, append=True)

    async def stop(
        self, vm: Vm, signal_number: signal.Signals = signal.SIGTERM, timeout_s: float = 30.0
    ) -> float:
        """Signals the processes of a VM, waits for their exit and returns the elapsed seconds."""
        started = time.monotonic()
        for process in vm.processes.values():
            if process.poll() is None:
                process.send_signal(signal_number)
        for process in vm.processes.values():
            await asyncio.to_thread(process.wait, timeout_s)
        return time.monotonic() - started

    async def publish(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publishes the platform's list of VMs.

        Args:
            leaving: Names of the VMs to list as leaving.
        """
        entries = [
            {
                "vm": vm.name,
                "address": vm.address,
                "zone": vm.zone,
                "role": "entry",
                "state": "live",
                "ports": {name: vm.ports[name] for name in ("entry", "permits", "control")},
            }
            for vm in self.vms
        ]
        vms = [
            {**vm, "state": "leaving" if vm["vm"] in leaving else vm["state"]}
            for vm in entries + self._listed_servers
        ]
        await self.post(f"{self.platform_url}/vms", {"vms": vms})

    def add_listed_server(self, vm: str, service: str, zone: str, address: str, port: int) -> None:
        """Adds a backend server to the list of VMs; `publish` must be called afterwards."""
        self._listed_servers.append(
            {
                "vm": vm,
                "address": address,
                "zone": zone,
                "role": "backend",
                "site": zone,
                "service": service,
                "state": "live",
                "ports": {"http": port},
            }
        )

    async def post(self, url: str, body: Any) -> Any:
        async with self.session.post(url, json=body) as response:
            return await response.json()

    async def get(self, url: str, **params: str) -> Any:
        async with self.session.get(url, params=params) as response:
            return await response.json()

    async def submit(self, folder: Path | None = None, admin: int = 0, **fields: Any) -> Any:
        """Submits the files of a folder and returns the response of the administration API.

        Args:
            folder: Folder to submit; default: the folder of the cluster.
            admin: Index of the VM whose administration API is called.
            fields: Overrides of the fields of the change request.
        """
        url = self.vms[admin].admin_url
        current = await self.get(f"{url}/v1/documents")
        target_documents = load_documents(folder or self.folder).by_name
        current_documents = current["documents"]
        edits = {
            name: body
            for name, body in target_documents.items()
            if current_documents.get(name) != body
        }
        body = {
            "change_id": f"change-{time.time_ns()}",
            "author": "test",
            "reason": "test",
            "edits": edits,
            "based_on": current["generation"],
            **fields,
        }
        return await self.post(f"{url}/v1/changes", body)

    async def wait_for_generation(self, generation: int, timeout_s: float = 15.0) -> None:
        """Waits until the lookups of every VM report at least this generation."""
        async with asyncio.timeout(timeout_s):
            for vm in self.vms:
                while await self.read_generation(vm) < generation:
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_members(self, timeout_s: float = 15.0) -> None:
        """Waits until the lookups of every VM return all VMs."""
        service = self.list_services()[0]
        async with asyncio.timeout(timeout_s):
            for vm in self.vms:
                while True:
                    response = await self.get(f"{vm.url}/lookup", service=service)
                    if len(response["entries"]) == len(self.vms):
                        break
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def read_generation(self, vm: Vm) -> int:
        """Returns the generation reported by a lookup; -1 if the VM does not respond."""
        service = next(iter(self.list_services()))
        try:
            async with self.session.get(
                f"{vm.url}/lookup", params={"service": service}
            ) as response:
                return int((await response.json()).get("generation", 0))
        except aiohttp.ClientError:
            return -1

    def list_services(self) -> list[str]:
        return sorted(load_documents(self.folder).render().services)

    def read_log(self, vm: Vm, program: str) -> str:
        return (self.work / f"{vm.name}-{program}.log").read_text()

    async def _start_platform_services(self) -> None:
        address = f"127.{self._network}.0.1"
        store, platform = find_free_port(address), find_free_port(address)
        self.store_url = f"http://{address}:{store}"
        self.platform_url = f"http://{address}:{platform}"
        for name, port in (("store", store), ("platform", platform)):
            command = [f"tests.standins.{name}", "--address", address, "--port", str(port)]
            self._processes[name] = self._spawn(name, command)
        await self._wait_for_port(address, store)
        await self._wait_for_port(address, platform)

    async def _start_backends(self) -> None:
        """Starts one process per pool, which runs all servers of the pool."""
        for pool in self._pools:
            zone = self.zones.index(pool.zone)
            name = f"{pool.service}-{pool.zone}"
            listen_addresses = []
            for index in range(pool.count):
                address = f"127.{self._network}.{zone + 1}.{100 + len(self._listed_servers) % 100}"
                port = find_free_port(address)
                listen_addresses.append(f"{address}:{port}")
                self.backends[f"{name}-{index + 1}"] = (address, port)
                self.add_listed_server(
                    f"{name}-{index + 1}", pool.service, pool.zone, address, port
                )
            command = ["tests.standins.backend", "--name", name, "--slots", str(pool.slots)]
            command += ["--run-ms", str(pool.run_ms), *pool.options, "--listen", *listen_addresses]
            self._processes[name] = self._spawn(name, command)
        for address, port in self.backends.values():
            await self._wait_for_port(address, port)

    def _add_vm(self, index: int, zone: str, number: int) -> None:
        address = f"127.{self._network}.{index + 1}.{number}"
        ports = find_free_ports(address)
        name = f"entry-{zone}-{number}"
        self.vms.append(Vm(name, zone, address, ports, self.work / f"{name}.yaml"))

    def _write_settings(self) -> None:
        peers = [f"{vm.address}:{vm.ports['control']}" for vm in self.vms]
        for vm in self.vms:
            body = {
                "vm": vm.name,
                "zone": vm.zone,
                "address": vm.address,
                "store_url": self.store_url,
                "platform_url": self.platform_url,
                "peers": [peer for peer in peers if not peer.startswith(f"{vm.address}:")][:6],
                "ports": vm.ports,
                "timeouts": self._timeouts,
            }
            vm.settings.write_text(yaml.safe_dump(body))

    def _spawn(
        self, name: str, command: list[str], append: bool = False
    ) -> subprocess.Popen[bytes]:
        with (self.work / f"{name}.log").open("ab" if append else "wb") as log:
            return subprocess.Popen(
                [sys.executable, "-m", *command],
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
            )

    async def _wait_until_ready(self) -> None:
        for vm in self.vms:
            for program in vm.processes:
                await self._wait_for_port(vm.address, vm.ports[program])

    async def _wait_for_port(self, address: str, port: int) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(address, port)
                except OSError:
                    await asyncio.sleep(POLL_INTERVAL_S)
                    continue
                writer.close()
                return
