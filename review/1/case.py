"""A faulty server sends a second copy of its refusal; the request is sent to it again and runs.

One server of the service stands in each zone. It refuses some requests (not executed) and runs the
others. The second copy of a refusal follows late, on the connection on which the next request, the
repetition of the refused one, is in progress.
"""

import asyncio
import random
import time
from collections import Counter
from pathlib import Path

from deployment import TROUBLE
from deployment import Answer
from deployment import Deployment
from deployment import Received
from deployment import Server
from deployment import Vm
from deployment import build_route
from deployment import run_case

PROMISES = (408, 421, 429, 503)
# Two disruptions of the length that the site file names, with a calm time between them.
WINDOWS = 2
WINDOW_S = 5.0
PAUSE_S = 3.0
WORK_S = 0.06
SLOTS = 3
# Requests that the servers refuse, and answers of the faulty server that have a second copy.
REFUSED_SHARE = 0.1
COPIED_SHARE = 0.03
COPY_DELAY_S = 0.02
DEADLINE_S = 4.0


class SheddingServer(Server):
    """Refuses a share of the requests; one that is faulty repeats some of its refusals late."""

    random = random.Random(30)
    is_faulty = False
    answers = 0
    copies = 0

    async def respond(self, request: Received, writer: asyncio.StreamWriter) -> None:
        self.answers += 1
        if self.random.random() >= REFUSED_SHARE:
            await super().respond(request, writer)
            return
        fields = {"X-Briarfork-Not-Executed": "1"}
        self.case.record.write(f"{self.name} refuses {request.id} (not executed)")
        data = self.write(writer, request, 503, b"", fields)
        if self.is_faulty and self.copies + 1 <= COPIED_SHARE * self.answers:
            self.copies += 1
            self.tasks = [*getattr(self, "tasks", []), asyncio.create_task(
                self._send_copy(request, writer, data)
            )]  # fmt: skip

    async def _send_copy(
        self, request: Received, writer: asyncio.StreamWriter, data: bytes
    ) -> None:
        await asyncio.sleep(COPY_DELAY_S)
        if not writer.is_closing():
            self.case.record.write(f"{self.name} sends a second copy of the refusal {request.id}")
            writer.write(data)


async def send_orders(case: Deployment, vm: Vm, answers: dict[str, Answer], ends_at: float) -> None:
    """Sends one order after the other; none is repeated."""
    while time.monotonic() < ends_at:
        request_id = case.build_id()
        path = f"/order/{len(answers)}"
        answers[request_id] = await case.call(vm, "POST", path, DEADLINE_S, request_id, b"x" * 2000)


async def play() -> bool:
    folder = Path(__file__).parent
    zones = {f"north-{letter}": "north" for letter in "abcd"}
    async with Deployment(folder, zones) as case:
        servers = [
            SheddingServer(case, f"i-{zone}", "orders", zone, SLOTS, WORK_S) for zone in zones
        ]
        for server in servers:
            await case.add_server(server)
        route = build_route("order", "non_idempotent", "orders", 2.5, 0.6, 2)
        await case.configure([route], ["orders"])
        for zone in zones:
            await case.add_vm(f"front-{zone}-1", zone)
        await case.wait_until_ready()
        await asyncio.sleep(2.0)
        answers: dict[str, Answer] = {}
        for _ in range(WINDOWS):
            for server in servers[: len(servers) // 2]:
                server.is_faulty = TROUBLE
            ends_at = time.monotonic() + WINDOW_S
            await asyncio.gather(
                *(send_orders(case, vm, answers, ends_at) for vm in case.vms.values())
            )
            for server in servers:
                server.is_faulty = False
            await asyncio.sleep(PAUSE_S)
        runs = Counter(request_id for server in servers for request_id, _ in server.runs)
        twice = [request_id for request_id in answers if runs[request_id] > 1]
        refused = [
            request_id
            for request_id, answer in answers.items()
            if answer.status in PROMISES and runs[request_id]
        ]
        for request_id in twice:
            case.record.write(f"TWICE: {request_id} ran {runs[request_id]} times")
        for request_id in refused:
            case.record.write(f"REFUSED: {request_id} got {answers[request_id].status} and ran")
        statuses = Counter(answer.status for answer in answers.values())
        copies = {server.name: f"{server.copies} of {server.answers}" for server in servers}
        case.record.write(
            f"result: {len(answers)} requests, answers {dict(statuses)}, second copies {copies}, "
            f"TWICE {len(twice)}, REFUSED {len(refused)}"
        )
        return bool(twice or refused)


run_case(play)
