"""A measured control process and its peers, which run the same code inside this process."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
import time
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import psutil
import yaml

from briarfork.border.events import EventLog
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Hello
from briarfork.border.messages import VmList
from briarfork.border.messages import split_records
from briarfork.border.settings import Ports
from briarfork.border.settings import Settings
from briarfork.border.streams import MessageStream
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import connect
from briarfork.border.streams import serve
from briarfork.control.node import ControlNode
from briarfork.control.peers import maintain_peers
from briarfork.control.peers import run_peer_stream
from briarfork.membership import ListedVm
from briarfork.membership import ListRecord
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.membership import Roster
from tests.cluster import find_free_port

if TYPE_CHECKING:
    from types import TracebackType

ROOT = Path(__file__).parent.parent.parent
NETWORK = 21
CONTROL_PORT = 7100
ZONES = 40
STEADY_TOLERANCE = 0.2
SAMPLE_S = 2.0
STEADY_TIMEOUT_S = 30.0
URL = "http://127.0.0.1:1"


@dataclass(frozen=True, slots=True)
class Usage:
    """Resource usage of a control process.

    Attributes:
        cpu_percent: Processor time in percent of one core.
        bytes_s: Bytes sent and received on its streams per second.
        resident_mb: Resident memory in MB.
    """

    cpu_percent: float
    bytes_s: float
    resident_mb: float


def build_member(number: int, zones: int) -> Member:
    address = f"127.{NETWORK}.{100 + number // 250}.{1 + number % 250}"
    ports = {"entry": 8080, "permits": 7101, "control": CONTROL_PORT}
    name, zone = f"entry-{number:05d}", f"zone-{number % zones:02d}"
    return Member(name, address, zone, 1, 1, MemberState.LIVE, ports, True)


def build_listed_vm(member: Member) -> ListedVm:
    return ListedVm(
        member.vm, member.address, member.zone, "entry", "live", member.ports, member.zone
    )


class Fleet:
    """A measured control process with a stand-in of its entry process and in-process peers.

    In fleets of up to 100 members, all other members run as peers that are connected to each other.
    In larger fleets only the neighbours of the measured process run; the other members exist only
    as records.
    """

    def __init__(self, work: Path, size: int, zones: int = ZONES) -> None:
        self._members = [build_member(number, zones) for number in range(size)]
        self._is_full_mesh = size <= 100
        self._settings = work / f"control-{size}.yaml"
        self._log = work / f"control-{size}.log"
        self._local_port = find_free_port(self._members[0].address)
        self._streams: set[MessageStream] = set()
        self.nodes: list[ControlNode] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._servers: list[asyncio.Server] = []
        self._process: subprocess.Popen[bytes]

    async def __aenter__(self) -> Fleet:
        measured_member = self._members[0]
        roster = Roster(measured_member)
        roster.merge(self._members)
        peers = self._members[1:] if self._is_full_mesh else roster.list_neighbours()
        for peer in peers:
            await self._start_peer(peer)
        self._start_control(peers)
        self._tasks.append(asyncio.ensure_future(self._run_entry_stand_in()))
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, _: TracebackType | None
    ) -> None:
        self._process.kill()
        self._process.wait()
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for stream in self._streams:
            stream.abort()
        await asyncio.sleep(0)

    async def wait_until_steady(self) -> None:
        """Waits until the byte rate is stable or `STEADY_TIMEOUT_S` has passed."""
        previous_bytes_s = 0.0
        deadline = time.monotonic() + STEADY_TIMEOUT_S
        while time.monotonic() < deadline:
            bytes_s = (await self.measure(SAMPLE_S)).bytes_s
            if (
                previous_bytes_s
                and abs(bytes_s - previous_bytes_s) <= STEADY_TOLERANCE * previous_bytes_s
            ):
                return
            previous_bytes_s = bytes_s

    async def measure(self, window_s: float) -> Usage:
        """Returns the mean usage during a time window in seconds."""
        process = psutil.Process(self._process.pid)
        started, cpu_before, bytes_before = (
            time.monotonic(),
            process.cpu_times(),
            self._count_bytes(),
        )
        await asyncio.sleep(window_s)
        elapsed, cpu_after = time.monotonic() - started, process.cpu_times()
        cpu_s = cpu_after.user + cpu_after.system - cpu_before.user - cpu_before.system
        resident_mb = process.memory_info().rss / 1e6
        return Usage(
            100 * cpu_s / elapsed, (self._count_bytes() - bytes_before) / elapsed, resident_mb
        )

    def _count_bytes(self) -> int:
        for node in self.nodes:
            self._streams |= {link.stream for link in node.links if link.vm == self._members[0].vm}
        return sum(stream.bytes_sent + stream.bytes_received for stream in self._streams)

    def _start_control(self, peers: list[Member]) -> None:
        measured_member = self._members[0]
        seeds = [f"{peer.address}:{CONTROL_PORT}" for peer in peers[:6]]
        body = {
            "vm": measured_member.vm,
            "zone": measured_member.zone,
            "address": measured_member.address,
            "store_url": URL,
            "platform_url": URL,
            "peers": seeds,
            "ports": {"control": CONTROL_PORT, "local": self._local_port},
        }
        self._settings.write_text(yaml.safe_dump(body))
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "briarfork.control.main", str(self._settings)],
                env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
                stdout=log,
                stderr=log,
            )

    async def _start_peer(self, member: Member) -> None:
        ports = Ports(control=CONTROL_PORT)
        seeds = [f"{peer.address}:{CONTROL_PORT}" for peer in self._members[1:4]]
        settings = Settings(member.vm, member.zone, member.address, URL, URL, seeds, ports)
        node = ControlNode(settings, EventLog("capacity"))
        self.nodes.append(node)
        self._servers.append(
            await serve(member.address, CONTROL_PORT, partial(run_peer_stream, node))
        )
        if self._is_full_mesh:
            self._tasks.append(asyncio.ensure_future(maintain_peers(node)))
        else:
            node.directory.merge(
                [ListRecord(1, build_listed_vm(other)) for other in self._members], 0.0
            )
            node.roster.merge(other for other in self._members[1:] if other != member)

    async def _run_entry_stand_in(self) -> None:
        """Connects like the entry process of a follower and sends heartbeats."""
        while True:
            try:
                stream = await connect(self._members[0].address, self._local_port, 1.0)
                break
            except StreamClosed:
                await asyncio.sleep(0.05)
        stream.send(Hello(self._members[0].vm, self._members[0].zone))
        listed = [build_listed_vm(member) for member in self._members]
        for part, more in split_records(listed):
            stream.send(VmList(part, None, more))

        async def send_heartbeats() -> None:
            while True:
                stream.send(Heartbeat())
                await asyncio.sleep(1.0)

        async with asyncio.TaskGroup() as group:
            group.create_task(send_heartbeats())
            while True:
                await stream.receive(30.0)
