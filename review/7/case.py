"""DRAIN: one silent connection to the store keeps a removed server in use for too long."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import DRAIN_S
from deployment import STABLE_WINDOW_S
from deployment import Call
from deployment import Client
from deployment import Deployment
from deployment import build_configuration
from deployment import has_trouble
from deployment import run_case

ZONES = {"north-a": "north"}
# More than the window for which the machines have to be undisturbed.
SILENCE_BEFORE_S = STABLE_WINDOW_S + 2.0
INTERVAL_S = 0.02
# How long the removed server goes on serving after the acknowledgement; then it exits.
SERVES_ON_S = DRAIN_S + 0.7


async def case(deployment: Deployment) -> list[str]:
    record, store = deployment.record, deployment.store
    routes = [
        ["/read/", "idempotent", "pool", "3s", 2],
        ["/order/", "non_idempotent", "pool", "3s", 2],
    ]
    await store.put("op/config", build_configuration(3, routes, ["pool"]))
    for number in range(3):
        await deployment.add_server(f"i-{number}", "pool", "north-a", run_s=0.1)
    await deployment.start_gateways(["north-a", "north-a"])
    client = Client(record)
    calls: list[asyncio.Task[Call]] = []
    is_last = False

    async def send() -> None:
        number = 0
        while not is_last:
            gateway = deployment.gateways[number % len(deployment.gateways)]
            if number % 4 < 2:
                call = client.call(gateway, f"/read/{number}")
            else:
                call = client.call(gateway, f"/order/{number}", method="POST", body=b"one order")
            calls.append(asyncio.create_task(call))
            number += 1
            await asyncio.sleep(INTERVAL_S)

    sending = asyncio.create_task(send())
    await asyncio.sleep(2.0)
    if has_trouble():
        assert deployment.proxy is not None
        count = deployment.proxy.silence(lambda item: b"/v1/kv-watch" in item.head)
        record.write(f"trouble: {count} open connections with a waiting watch go silent for good")
    await asyncio.sleep(SILENCE_BEFORE_S)
    # The server leaves without a report, and exits when it has served on for a while.
    await store.delete("servers/i-0")
    removed_at = time.monotonic()
    record.write("acknowledged: the entry of i-0 is removed; the store is undisturbed")
    await asyncio.sleep(SERVES_ON_S)
    cut = deployment.servers[0].exit()
    record.write(f"i-0 exits with {len(cut)} requests at work")
    await asyncio.sleep(5.0)
    is_last = True
    await sending
    await asyncio.gather(*calls)

    sent_at = {call.request_id: call.sent_at for call in client.calls}
    limit = removed_at + DRAIN_S
    late = [
        run
        for run in deployment.list_runs()
        if run.server == "i-0" and run.at > limit and sent_at[run.request_id] > limit
    ]
    answered = sum(call.status == 200 for call in client.calls)
    record.write(f"{answered} of {len(client.calls)} requests answered with 200")
    if answered < 0.9 * len(client.calls):
        raise RuntimeError("too few requests were served")
    lost = [
        call.request_id
        for call in client.calls
        if call.request_id in cut and call.target.startswith("/order/") and call.status != 200
    ]
    record.write(f"orders that were at work when i-0 exited, without a success: {lost}")
    if not late:
        return []
    latest = max(run.at for run in late) - removed_at
    return [
        f"{len(late)} requests, sent later than {DRAIN_S} s after the acknowledgement, reached the "
        f"removed server i-0, the last {latest:.2f} s after it"
    ]


if __name__ == "__main__":
    run_case(case, Path(__file__).parent, ZONES)
