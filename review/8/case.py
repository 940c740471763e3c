"""CONFIG: one silent connection to the store keeps an old configuration in use for too long."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from deployment import CONFIG_APPLY_S
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
# Age of the answers to reads with `stale_ok`, with and without the disruption.
STALE_S = 2.0


async def case(deployment: Deployment) -> list[str]:
    record, store = deployment.record, deployment.store
    services = ["old", "new"]
    routes = [["/move/", "idempotent", "old", "3s", 2]]
    await store.put("op/config", build_configuration(3, routes, services))
    for service in services:
        for number in range(2):
            await deployment.add_server(f"i-{service}-{number}", service, "north-a")
    await deployment.start_gateways(["north-a", "north-a"])
    client = Client(record)
    calls: list[asyncio.Task[Call]] = []
    is_last = False

    async def send() -> None:
        number = 0
        while not is_last:
            gateway = deployment.gateways[number % len(deployment.gateways)]
            calls.append(asyncio.create_task(client.call(gateway, f"/move/{number}")))
            number += 1
            await asyncio.sleep(INTERVAL_S)

    sending = asyncio.create_task(send())
    await asyncio.sleep(2.0)
    if has_trouble():
        assert deployment.proxy is not None
        count = deployment.proxy.silence(lambda item: b"/v1/kv-watch" in item.head)
        record.write(f"trouble: {count} open connections with a waiting watch go silent for good")
    await asyncio.sleep(SILENCE_BEFORE_S)
    routes = [["/move/", "idempotent", "new", "3s", 2]]
    await store.put("op/config", build_configuration(5, routes, services))
    changed_at = time.monotonic()
    record.write(
        "acknowledged: version 5 sends /move/ to the service new; the store is undisturbed"
    )
    await asyncio.sleep(8.0)
    is_last = True
    await sending
    await asyncio.gather(*calls)

    sent_at = {call.request_id: call.sent_at for call in client.calls}
    limit = changed_at + CONFIG_APPLY_S
    late = [
        run
        for run in deployment.list_runs()
        if run.service == "old" and sent_at[run.request_id] > limit
    ]
    answered = sum(call.status == 200 for call in client.calls)
    record.write(f"{answered} of {len(client.calls)} requests answered with 200")
    if answered < 0.9 * len(client.calls):
        raise RuntimeError("too few requests were served")
    if not late:
        return []
    latest = max(sent_at[run.request_id] for run in late) - changed_at
    return [
        f"{len(late)} requests, sent later than {CONFIG_APPLY_S} s after the acknowledgement of "
        f"version 5, were run by the old service, the last one sent {latest:.2f} s after it"
    ]


if __name__ == "__main__":
    run_case(case, Path(__file__).parent, ZONES, stale_s=STALE_S)
