"""A late heartbeat of a leaving server, older than its report, brings the server back into use.

The answers of the store to one heartbeat of two servers are lost, and the writes take effect 5.9 s
later. Meanwhile one server has reported that it is draining, and the other one, which never reports
that, has removed its entry. The late writes have a lower `sequence` and the same `born`. The next
heartbeat corrects the first entry; the second one ends after three heartbeats of silence.
"""

import asyncio
import itertools
import time
from collections import Counter
from pathlib import Path

from deployment import HEARTBEAT_S
from deployment import TROUBLE
from deployment import Deployment
from deployment import Received
from deployment import Server
from deployment import Vm
from deployment import build_route
from deployment import run_case

DRAIN_S = 2.5
MISSED_HEARTBEATS = 3
# The page: a lost write is done 1 to 6 s later.
LATE_S = 5.9
# The server drains this long after the store was last disrupted, so the store is stable again.
DRAINS_AFTER_S = 4.1
SERVES_AFTER_REPORT_S = 8.0
PER_S = 50.0
OBJECTS = 26
WORK_S = 0.2


class LeavingServer(Server):
    """Notes when the requests reach it."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.arrivals: list[tuple[str, float]] = []

    async def respond(self, request: Received, writer: asyncio.StreamWriter) -> None:
        self.arrivals.append((request.id, time.monotonic()))
        await super().respond(request, writer)


async def send_requests(case: Deployment, vms: list[Vm], sent: dict[str, float]) -> None:
    tasks = set()
    for number, vm in enumerate(itertools.cycle(vms)):
        request_id = case.build_id()
        sent[request_id] = time.monotonic()
        task = asyncio.create_task(
            case.call(
                vm, "GET", f"/look/{number}", 3.0, request_id, object_key=str(number % OBJECTS)
            )
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / PER_S)


async def play() -> bool:
    zones = {"north-a": "north", "north-b": "north"}
    async with Deployment(Path(__file__).parent, zones) as case:
        servers = [
            LeavingServer(case, f"i-{zone}-{number}", "lookups", zone, 3, WORK_S)
            for zone in zones
            for number in (1, 2)
        ]
        for server in servers:
            await case.add_server(server)
        await case.configure(
            [build_route("look", "idempotent", "lookups", 2.0, 0.5, 2, True)], ["lookups"]
        )
        for zone in zones:
            await case.add_vm(f"front-{zone}-1", zone)
        await case.wait_until_ready()
        sent: dict[str, float] = {}
        load = asyncio.create_task(send_requests(case, list(case.vms.values()), sent))
        await asyncio.sleep(3.0)
        draining, removed = servers[0], servers[2]
        lost_at = time.monotonic()
        late_entries = {}
        for server in (draining, removed):
            # This write gets no answer now and takes effect late.
            server.sequence += 1
            late_entries[server.name] = server.build_entry()
        if TROUBLE:
            case.record.write(f"store: loses the answers to heartbeats of {[*late_entries]}")
        await asyncio.sleep(lost_at + DRAINS_AFTER_S - time.monotonic())
        draining.state = "draining"
        await draining.write_entry()
        case.record.write(f"store: acknowledges {draining.name} {draining.build_entry()['status']}")
        removed.beating = False
        await case.store.delete(f"servers/{removed.name}")
        case.record.write(f"store: acknowledges that {removed.name} is removed")
        acknowledged_at = time.monotonic()
        await asyncio.sleep(lost_at + LATE_S - time.monotonic())
        if TROUBLE:
            for name, entry in late_entries.items():
                await case.accept_entry(name, entry)
                case.record.write(f"store: the late write of {name} is done, {entry['status']}")
            await asyncio.sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
            await case.store.delete(f"servers/{removed.name}")
            case.record.write(f"store: the entry of {removed.name} expires")
        await asyncio.sleep(acknowledged_at + SERVES_AFTER_REPORT_S - time.monotonic())
        load.cancel()
        late = [
            (request_id, at - acknowledged_at, server.name)
            for server in (draining, removed)
            for request_id, at in server.arrivals
            if at > acknowledged_at + DRAIN_S
        ]
        for request_id, after_s, name in late:
            case.record.write(
                f"DRAIN: {request_id}, sent {sent[request_id] - acknowledged_at:.3f} s after the "
                f"acknowledgement, reached {name} after {after_s:.3f} s"
            )
        counts = dict(Counter(name for _, _, name in late))
        case.record.write(f"result: {len(sent)} requests, DRAIN {len(late)}: {counts}")
        return bool(late)


run_case(play)
