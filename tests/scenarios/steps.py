"""Verbs of the scenario language, registered by decorators."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

from briarfork.registry import Registry
from tests.cluster import Cluster
from tests.cluster import Pool
from tests.cluster import copy_example_zones
from tests.scenarios.context import Caller
from tests.scenarios.context import LoadResult

if TYPE_CHECKING:
    from tests.scenarios.context import ScenarioContext
    from tests.scenarios.language import Step

Verb = Callable[["ScenarioContext", "Step"], Awaitable[None]]
VERBS: Registry[Verb] = Registry("scenario verb")
CLIENT = "127.10.0.7"
CALLERS = 8


@VERBS.register("use")
async def use_example(context: ScenarioContext, step: Step) -> None:
    """`use EXAMPLE zones=A,B vms=N admins=N TIMEOUT=SECONDS ...`: selects the configuration."""
    options = dict(step.options)
    context.example = step.words[0]
    context.zones = options.pop("zones").split(",")
    context.vms_per_zone = int(options.pop("vms", "1"))
    context.admins = int(options.pop("admins", "1"))
    context.timeouts = {name: float(value) for name, value in options.items()}


@VERBS.register("pool")
async def add_pool(context: ScenarioContext, step: Step) -> None:
    """`pool SERVICE servers=N slots=N run_ms=N ...`: adds backend servers in every zone.

    Other options are passed to the stand-in.
    """
    options = dict(step.options)
    count, slots = int(options.pop("servers", "1")), int(options.pop("slots", "3"))
    run_ms = float(options.pop("run_ms", "5"))
    extra_options = tuple(
        part for key, value in options.items() for part in (f"--{key.replace('_', '-')}", value)
    )
    for zone in context.zones:
        context.pools.append(Pool(step.words[0], zone, count, slots, run_ms, extra_options))


@VERBS.register("start")
async def start_processes(context: ScenarioContext, step: Step) -> None:
    """`start`: submits the first configuration and waits until it is in force on every VM.

    `start VM [PROGRAM ...]`: starts the programs of a VM again.
    """
    if step.words:
        vm = context.get_vm(step.words[0])
        programs = tuple(vm.processes) if len(step.words) == 1 else step.words[1:]
        context.cluster.start(vm, programs)
        return
    response = await context.cluster.submit()
    await context.cluster.wait_for_generation(response["generation"])
    await context.cluster.wait_for_members()


@VERBS.register("submit")
async def submit_change(context: ScenarioContext, step: Step) -> None:
    """`submit SERVICE spread=SITE:WEIGHT,... cap=RPS slope=PERCENT start_in=SECONDS as=NAME`.

    Submits a change of one service.
    """
    context.submissions[step.options.get("as", "last")] = await _submit(context, step, 0)


@VERBS.register("race")
async def submit_conflicting_changes(context: ScenarioContext, step: Step) -> None:
    """`race SERVICE by=N as=NAME`: submits N conflicting changes of one document concurrently."""
    name = step.options["as"]
    generation = await context.cluster.read_generation(context.cluster.vms[0])
    responses = await asyncio.gather(
        *(
            _submit(context, step, index % context.admins, cap=200 + index, based_on=generation)
            for index in range(int(step.options["by"]))
        )
    )
    accepted = [response for response in responses if "generation" in response]
    context.submissions[name] = {
        "accepted": len(accepted),
        "refused": len(responses) - len(accepted),
    }


@VERBS.register("withdraw")
async def withdraw_change(context: ScenarioContext, step: Step) -> None:
    """`withdraw NAME`: withdraws a submitted change."""
    generation = context.submissions[step.words[0]]["generation"]
    body = {"change_id": f"withdraw-{generation}", "author": "test", "reason": "test"}
    url = f"{context.cluster.vms[0].admin_url}/v1/changes/{generation}/withdraw"
    context.submissions["last"] = await context.cluster.post(url, body)


@VERBS.register("request")
async def send_request(context: ScenarioContext, step: Step) -> None:
    """`request METHOD SERVICE PATH via=VM key=KEY as=NAME background=yes`: sends a request."""
    method, service, path = step.words
    headers = {"Test-Request": step.options.get("as", "last")}
    if "key" in step.options:
        headers["Idempotency-Key"] = step.options["key"]
    if "deadline_ms" in step.options:
        headers["Briarfork-Deadline-Ms"] = step.options["deadline_ms"]
    body = b"" if method in ("GET", "HEAD") else b"{}"
    vm = context.get_vm(step.options.get("via", "1"))
    name = step.options.get("as", "last")

    async def send() -> None:
        context.responses[name] = await context.call(vm, method, service, path, headers, body)

    if step.options.get("background") == "yes":
        context.background_tasks[name] = context.group.create_task(send())
    else:
        await send()


@VERBS.register("load")
async def start_load(context: ScenarioContext, step: Step) -> None:
    """`load METHOD SERVICE PATH rps=N seconds=N as=NAME keyed=yes retry=yes`.

    Starts a load in the background.
    """
    name = step.options["as"]
    context.loads[name] = LoadResult()
    context.background_tasks[name] = context.group.create_task(
        _run_load(context, step, context.loads[name])
    )


@VERBS.register("finish")
async def finish_task(context: ScenarioContext, step: Step) -> None:
    """`finish NAME`: waits for a background request or load."""
    await context.background_tasks.pop(step.words[0])


@VERBS.register("wait")
async def wait(context: ScenarioContext, step: Step) -> None:
    """`wait SECONDS`: pauses the scenario while background loads continue."""
    await asyncio.sleep(float(step.words[0]))


@VERBS.register("kill")
async def kill_processes(context: ScenarioContext, step: Step) -> None:
    """`kill VM [PROGRAM ...]`: kills processes of a VM."""
    _send_signal(context, step, signal.SIGKILL)


@VERBS.register("pause")
async def pause_processes(context: ScenarioContext, step: Step) -> None:
    """`pause VM [PROGRAM ...]`: suspends processes of a VM."""
    _send_signal(context, step, signal.SIGSTOP)


@VERBS.register("wake")
async def resume_processes(context: ScenarioContext, step: Step) -> None:
    """`wake VM [PROGRAM ...]`: resumes suspended processes of a VM."""
    _send_signal(context, step, signal.SIGCONT)


@VERBS.register("stop")
async def stop_vm(context: ScenarioContext, step: Step) -> None:
    """`stop VM`: stops a VM gracefully and waits until its processes have exited."""
    await context.cluster.stop(context.get_vm(step.words[0]))


@VERBS.register("store")
async def set_store_fault(context: ScenarioContext, step: Step) -> None:
    """`store up|down|refuse|slow|lose [delay_s=N] [count=N]`: injects a fault of the store."""
    body: dict[str, Any] = {"mode": step.words[0], **step.options}
    await context.cluster.post(f"{context.cluster.store_url}/fault", body)


@VERBS.register("platform")
async def set_platform_fault(context: ScenarioContext, step: Step) -> None:
    """`platform up|down`: stops or resumes the responses of the platform's list of VMs."""
    await context.cluster.post(f"{context.cluster.platform_url}/fault", {"mode": step.words[0]})


@VERBS.register("backend")
async def set_backend_state(context: ScenarioContext, step: Step) -> None:
    """`backend NAME fault=F state=S slow_factor=N`: sets the state of backend servers.

    A trailing * in NAME selects all servers with that prefix.
    """
    values: dict[str, Any] = {k: "" if v == "none" else v for k, v in step.options.items()}
    if "slow_factor" in values:
        values["slow_factor"] = float(values["slow_factor"])
    prefix = step.words[0].removesuffix("*")
    for name, (address, port) in context.cluster.backends.items():
        if name == prefix or (step.words[0].endswith("*") and name.startswith(prefix)):
            await context.cluster.post(f"http://{address}:{port}/control", values)


@VERBS.register("leave")
async def list_as_leaving(context: ScenarioContext, step: Step) -> None:
    """`leave NAME ...`: makes the platform list these VMs as leaving."""
    context.leaving_vms |= set(step.words)
    await context.cluster.publish(frozenset(context.leaving_vms))


@VERBS.register("mark")
async def mark_time(context: ScenarioContext, step: Step) -> None:
    """`mark NAME`: records the current time."""
    context.marked_times[step.words[0]] = time.time()


@VERBS.register("remember")
async def remember_generations(context: ScenarioContext, step: Step) -> None:
    """`remember generations`: records the generation of each VM."""
    for vm in context.cluster.vms:
        context.remembered_generations[vm.name] = await context.cluster.read_generation(vm)


def build_cluster(context: ScenarioContext, network: int) -> Cluster:
    """Returns the cluster described by the steps "use" and "pool"."""
    return Cluster(
        copy_example_zones(context.example, context.zones, context.work / "configuration"),
        context.work,
        context.zones,
        vms_per_zone=context.vms_per_zone,
        pools=context.pools,
        timeouts=context.timeouts,
        admins=context.admins,
        network=network,
        client=CLIENT,
    )


def _send_signal(context: ScenarioContext, step: Step, signal_number: signal.Signals) -> None:
    vm = context.get_vm(step.words[0])
    for program in step.words[1:] or vm.processes:
        process = vm.processes[program]
        process.send_signal(signal_number)
        if signal_number is signal.SIGKILL:
            process.wait()


async def _submit(
    context: ScenarioContext,
    step: Step,
    admin: int,
    cap: int | None = None,
    based_on: int | None = None,
) -> dict[str, Any]:
    url = context.cluster.vms[admin].admin_url
    name = f"services/{step.words[0]}"
    current = await context.cluster.get(f"{url}/v1/documents")
    service = dict(current["documents"][name])
    shift = dict(service["shift"])
    shift["cap_rps"] = float(cap or step.options.get("cap", shift["cap_rps"]))
    shift["slope_percent_per_minute"] = float(
        step.options.get("slope", shift["slope_percent_per_minute"])
    )
    service["shift"] = shift
    if "spread" in step.options:
        pairs = [part.split(":") for part in step.options["spread"].split(",")]
        service["spread"] = {site: float(weight) for site, weight in pairs}
        service["regional_spread"] = {}
    body = {
        "change_id": f"change-{time.time_ns()}-{cap or 0}",
        "author": "test",
        "reason": "scenario",
        "edits": {name: service},
        "based_on": current["generation"] if based_on is None else based_on,
    }
    if "start_in" in step.options:
        body["start_at"] = time.time() + float(step.options["start_in"])
    response: dict[str, Any] = await context.cluster.post(f"{url}/v1/changes", body)
    return response


async def _run_load(context: ScenarioContext, step: Step, result: LoadResult) -> None:
    """Sends requests at a constant rate, independent of earlier responses."""
    method, service, path = step.words
    rate, seconds = float(step.options["rps"]), float(step.options["seconds"])
    retry = step.options.get("retry") == "yes"
    keyed = step.options.get("keyed") == "yes"
    fixed_vms = [context.get_vm(step.options["via"])] if "via" in step.options else []
    callers = [Caller(context, service, fixed_vms, number) for number in range(CALLERS)]
    started_at = time.monotonic()

    async def send(index: int) -> None:
        name = f"{step.options['as']}-{index}"
        headers = {"Idempotency-Key": name} if keyed else {"Test-Request": name}
        caller = callers[index % CALLERS]
        response = await caller.call(method, path, headers, 0)
        if retry and (response.status == 0 or response.status >= 500):
            response = await caller.call(method, path, headers, 1)
        result.responses.append(response)

    async with asyncio.TaskGroup() as group:
        for index in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started_at + index / rate - time.monotonic()))
            result.sent += 1
            result.keys.append(f"{step.options['as']}-{index}")
            group.create_task(send(index))
