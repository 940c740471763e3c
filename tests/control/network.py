"""A cluster whose control streams, store calls and list reads pass through simulated links."""

from __future__ import annotations

import asyncio
import re
import time
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Self

import yaml

from briarfork.border.files import load_documents
from tests.cluster import Cluster
from tests.cluster import find_free_port
from tests.standins.link import Conditions
from tests.standins.link import Link

if TYPE_CHECKING:
    from tests.cluster import Vm

ROOT = Path(__file__).parent.parent.parent
FOLDER = ROOT / "examples" / "estonia"
ZONES = ["north-a", "north-b", "south-a", "south-b", "west-a", "west-b"]
NETWORK = 21
POLL_INTERVAL_S = 0.02
IN_FORCE = re.compile(r"name=configuration_in_force .*generation=(\d+) at=([0-9.]+)")


def find_unused_port(vm: Vm) -> int:
    """Returns a free port that is not yet reserved by the VM.

    Ports are chosen before any is bound, so the system may offer the same one twice.
    """
    while (port := find_free_port(vm.address)) in vm.ports.values():
        continue
    return port


class LinkedCluster(Cluster):
    """A cluster with simulated links between VMs, and to the store and the platform by zone."""

    def __init__(
        self,
        work: Path,
        zones: list[str],
        vms_per_zone: int = 1,
        lag_s: dict[str, float] | None = None,
        **options: Any,
    ) -> None:
        """Creates the cluster.

        Args:
            work: Directory for settings and logs.
            zones: Availability zones.
            vms_per_zone: Number of VMs in each zone.
            lag_s: Zones that read a separate VM list, with the lag of that list in seconds.
            **options: Further options of `Cluster`.
        """
        options.setdefault("network", NETWORK)
        super().__init__(FOLDER, work, zones, vms_per_zone, **options)
        self.peer_conditions: dict[tuple[str, str], Conditions] = {}
        self.platform_conditions: dict[str, Conditions] = {zone: Conditions() for zone in zones}
        self.links: list[Link] = []
        self.control_links: dict[str, Link] = {}
        self.list_urls: dict[str, str] = {}
        self._lag_s = lag_s or {}
        self._submitted = 0

    def get_peer_conditions(self, source: str, target: str) -> Conditions:
        """Returns the link conditions of control streams that one VM opens to another."""
        pair = (source, target)
        if pair not in self.peer_conditions:
            self.peer_conditions[pair] = Conditions()
        return self.peer_conditions[pair]

    def list_conditions(self, zone: str) -> list[Conditions]:
        """Returns the conditions of all links between a zone and other zones, each way."""
        return [
            self.get_peer_conditions(one.name, other.name)
            for one in self.vms
            for other in self.vms
            if (one.zone == zone) != (other.zone == zone)
        ]

    async def publish(self, leaving: frozenset[str] = frozenset()) -> None:
        if not self.links:
            await self._start_links()
        await super().publish(leaving)
        body = await self.get(f"{self.platform_url}/vms")
        for url in self.list_urls.values():
            await self.post(f"{url}/vms", body)

    async def wait_for_lag(self, zone: str) -> None:
        """Waits until the VM list of a zone equals that of the other zones."""
        while await self.get(f"{self.list_urls[zone]}/vms") != await self.get(
            f"{self.platform_url}/vms"
        ):
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_reads(self, count: int) -> None:
        """Waits until every VM list has been read `count` more times."""
        for url in [self.platform_url, *self.list_urls.values()]:
            calls = (await self.get(f"{url}/calls"))["GET vms"]
            while (await self.get(f"{url}/calls"))["GET vms"] < calls + count:
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _start_platform_services(self) -> None:
        await super()._start_platform_services()
        for zone, lag_s in self._lag_s.items():
            address = f"127.{self._network}.0.1"
            port = find_free_port(address)
            command = ["tests.standins.platform", "--address", address, "--port", str(port)]
            name = f"platform-{zone}"
            self._processes[name] = self._spawn(name, [*command, "--lag-s", str(lag_s)])
            self.list_urls[zone] = f"http://{address}:{port}"
            await self._wait_for_port(address, port)

    async def __aenter__(self) -> Self:
        await super().__aenter__()
        return self

    async def __aexit__(self, *details: object) -> None:
        await super().__aexit__(*details)
        for link in self.links:
            await link.close()

    async def submit_change(self) -> tuple[int, float]:
        """Submits a small change and returns its generation and the time before the call."""
        self._submitted += 1
        documents = load_documents(self.folder).by_name
        scoring = {**documents["services/scoring"], "deadline_ms": 2000 + self._submitted}
        started = time.time()
        answer = await self.submit(edits={"services/scoring": scoring})
        assert "generation" in answer, answer
        return int(answer["generation"]), started

    async def submit_all(self) -> tuple[int, float]:
        """Submits all documents and waits until they are in force on every VM.

        Returns:
            The generation and the time at which it was in force everywhere.
        """
        answer = await self.submit()
        await self.wait_for_generation(answer["generation"])
        return int(answer["generation"]), time.time()

    async def wait_until_in_force(self, vm: Vm, generation: int) -> float:
        """Waits until a generation is in force on a VM and returns the time of the log event."""
        while True:
            for found in IN_FORCE.finditer(self.read_log(vm, "entry")):
                if int(found[1]) >= generation:
                    return float(found[2])
            await asyncio.sleep(POLL_INTERVAL_S)

    async def measure_propagation_time(self, timeout_s: float) -> float:
        """Submits a change and returns the time until it is in force on every VM."""
        generation, started = await self.submit_change()
        async with asyncio.timeout(timeout_s):
            times = await asyncio.gather(
                *(self.wait_until_in_force(vm, generation) for vm in self.vms)
            )
        return max(times) - started

    async def wait_for_event(self, vm: Vm, program: str, text: str, start: int = 0) -> float:
        """Waits until the log matches after a position; returns the monotonic time."""
        while not re.search(text, self.read_log(vm, program)[start:]):
            await asyncio.sleep(POLL_INTERVAL_S)
        return time.monotonic()

    async def wait_for_lookups(self, vm: Vm, names: set[str]) -> float:
        """Waits until a lookup returns exactly these VMs; returns the monotonic time."""
        while True:
            answer = await self.get(f"{vm.url}/lookup", service="scoring")
            if {entry["vm"] for entry in answer.get("entries", [])} == names:
                return time.monotonic()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_for_listed(self, vm: Vm) -> None:
        """Waits until the control process of a VM has the platform's list."""
        await self.wait_for_event(vm, "control", "list_changed")

    def _add_vm(self, index: int, zone: str, number: int) -> None:
        super()._add_vm(index, zone, number)
        vm = self.vms[-1]
        for name in list(vm.ports):
            del vm.ports[name]
            vm.ports[name] = find_unused_port(vm)

    def _write_settings(self) -> None:
        super()._write_settings()
        for vm in self.vms:
            body = yaml.safe_load(vm.settings.read_text())
            vm.ports["control_listen"] = find_unused_port(vm)
            body["ports"] = vm.ports
            for key in ("store_url", "platform_url"):
                port = vm.ports[f"{key}_link"] = find_unused_port(vm)
                body[key] = f"http://{vm.address}:{port}"
            body["ports"] = {k: v for k, v in vm.ports.items() if not k.endswith("_link")}
            vm.settings.write_text(yaml.safe_dump(body))

    async def _start_links(self) -> None:
        names = {vm.address: vm.name for vm in self.vms}
        for seed, vm in enumerate(self.vms):

            def choose_peer(source: str, target: str = vm.name) -> Conditions:
                return self.get_peer_conditions(names.get(source, source), target)

            def choose_platform(_: str, zone: str = vm.zone) -> Conditions:
                return self.platform_conditions[zone]

            link = Link((vm.address, vm.ports["control_listen"]), choose_peer, seed)
            await link.start(vm.address, vm.ports["control"])
            self.control_links[vm.name] = link
            self.links.append(link)
            for key in ("store_url", "platform_url"):
                url = getattr(self, key)
                if key == "platform_url":
                    url = self.list_urls.get(vm.zone, url)
                host, _, port = url.removeprefix("http://").rpartition(":")
                link = Link((host, int(port)), choose_platform, seed)
                await link.start(vm.address, vm.ports[f"{key}_link"])
                self.links.append(link)
