"""DENIED: kept connections go on with the limits of the configuration under which they began."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import CONFIG_APPLY_S
from deployment import LOCALHOST
from deployment import STABLE_WINDOW_S
from deployment import Call
from deployment import Client
from deployment import Deployment
from deployment import Gateway
from deployment import Record
from deployment import build_configuration
from deployment import build_request_head
from deployment import has_trouble
from deployment import read_message
from deployment import run_case

ZONES = {"north-a": "north"}
CONNECTIONS = 20
# Requests of each connection before and after the change.
REQUESTS = 3
PAUSE_S = 0.2
LIMIT_BEFORE, LIMIT_AFTER = 16384, 65536
# Bytes of the long heads: within the first limit without the change, within the second with it.
SHORT_HEAD, LONG_HEAD = 12_000, 40_000
LINE_BYTES = 4_000
# A network delivers a head in segments of about this size.
SEGMENT_BYTES, SEGMENT_PAUSE_S = 1_448, 0.001


class KeptConnection:
    """A client that sends one request after another on one connection."""

    def __init__(self, record: Record, client: Client, gateway: Gateway) -> None:
        self._record, self._client, self._gateway = record, client, gateway
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        self._reader, self._writer = await asyncio.open_connection(LOCALHOST, self._gateway.front)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()

    async def call(self, head_bytes: int) -> Call:
        """Sends a request with a head of a size, and reads its answer."""
        if self._reader is None or self._writer is None:
            await self.open()
        assert self._reader is not None and self._writer is not None
        call = Call(self._client.build_id(), self._gateway.name, "/read/1", 0.0)
        self._client.calls.append(call)
        head = build_request_head(call.request_id, "GET", call.target, 3000)[:-2]
        number = 0
        while len(head) < head_bytes - LINE_BYTES:
            head += b"X-Note-%d: %s\r\n" % (number, b"n" * LINE_BYTES)
            number += 1
        head += b"\r\n"
        self._record.write(f"sent {call.request_id} with a head of {len(head)} bytes")
        for start in range(0, len(head), SEGMENT_BYTES):
            self._writer.write(head[start : start + SEGMENT_BYTES])
            await asyncio.sleep(SEGMENT_PAUSE_S)
        try:
            async with asyncio.timeout(3.5):
                message = await read_message(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            call.error, message = type(error).__name__, None
        if message is not None:
            call.status = message.status
        if message is None or message.headers.get("connection", "").lower() == "close":
            # A sound client opens another connection.
            self._writer.close()
            self._reader = self._writer = None
        self._record.write(f"answered {call.request_id} {call.status} {call.error}")
        return call


async def case(deployment: Deployment) -> list[str]:
    record, store = deployment.record, deployment.store
    routes = [["/read/", "idempotent", "pool", "3s", 2]]
    before = build_configuration(3, routes, ["pool"], max_header_bytes=LIMIT_BEFORE)
    await store.put("op/config", before)
    for number in range(3):
        await deployment.add_server(f"i-{number}", "pool", "north-a", slots=16)
    await deployment.start_gateways(["north-a", "north-a"])
    await asyncio.sleep(STABLE_WINDOW_S)
    client = Client(record)
    kept = [
        KeptConnection(record, client, deployment.gateways[number % 2])
        for number in range(CONNECTIONS)
    ]

    async def send_all(head_bytes: int) -> list[Call]:
        calls = []
        for _ in range(REQUESTS):
            calls += await asyncio.gather(*(connection.call(head_bytes) for connection in kept))
            await asyncio.sleep(PAUSE_S)
        return calls

    first = await send_all(SHORT_HEAD)
    if has_trouble():
        after = build_configuration(5, routes, ["pool"], max_header_bytes=LIMIT_AFTER)
        await store.put("op/config", after)
        record.write(f"acknowledged: version 5 with max_header_bytes {LIMIT_AFTER}")
    await asyncio.sleep(CONFIG_APPLY_S + 2.0)
    second = await send_all(LONG_HEAD if has_trouble() else SHORT_HEAD)
    for connection in kept:
        connection.close()

    served = sum(call.status == 200 for call in first)
    record.write(f"{served} of {len(first)} requests served before the change")
    if served < 0.9 * len(first):
        raise RuntimeError("too few requests were served before the change")
    denied = [call for call in second if call.status is not None and 300 <= call.status < 500]
    denied = [call for call in denied if call.status not in (408, 421, 429)]
    allowed = 5 + len(client.calls) / 500
    if len(denied) <= allowed:
        return []
    statuses = sorted({str(call.status) for call in denied})
    return [
        f"{len(denied)} of {len(second)} requests, sent later than {CONFIG_APPLY_S} s after the "
        f"acknowledgement of the limits that allow them, were answered with {', '.join(statuses)}; "
        f"{allowed:.1f} are allowed"
    ]


if __name__ == "__main__":
    run_case(case, Path(__file__).parent, ZONES)
