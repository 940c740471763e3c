"""The verbs of the scenario language; decorators fill their registry."""

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
from tests.scenarios.world import Caller
from tests.scenarios.world import LoadResult

if TYPE_CHECKING:
    from tests.scenarios.language import Step
    from tests.scenarios.world import World

Verb = Callable[["World", "Step"], Awaitable[None]]
VERBS: Registry[Verb] = Registry("scenario verb")
CLIENT = "127.10.0.7"
CALLERS = 8


@VERBS.register("use")
async def use(world: World, step: Step) -> None:
    """use EXAMPLE zones=A,B vms=N admins=N TIMEOUT=SECONDS ..."""
    options = dict(step.options)
    world.example = step.words[0]
    world.zones = options.pop("zones").split(",")
    world.vms_per_zone = int(options.pop("vms", "1"))
    world.admins = int(options.pop("admins", "1"))
    world.timeouts = {name: float(value) for name, value in options.items()}


@VERBS.register("pool")
async def pool(world: World, step: Step) -> None:
    """pool SERVICE servers=N slots=N run_ms=N, in every zone; other options go to the stand-in"""
    options = dict(step.options)
    count, slots = int(options.pop("servers", "1")), int(options.pop("slots", "3"))
    run_ms = float(options.pop("run_ms", "5"))
    extra = tuple(
        part for key, value in options.items() for part in (f"--{key.replace('_', '-')}", value)
    )
    for zone in world.zones:
        world.pools.append(Pool(step.words[0], zone, count, slots, run_ms, extra))


@VERBS.register("start")
async def start(world: World, step: Step) -> None:
    """start: starts everything and waits until the first configuration is in force"""
    if step.words:
        vm = world.find_vm(step.words[0])
        programs = tuple(vm.processes) if len(step.words) == 1 else step.words[1:]
        world.cluster.start(vm, programs)
        return
    answer = await world.cluster.submit()
    await world.cluster.wait_for_generation(answer["generation"])
    await world.cluster.wait_for_members()


@VERBS.register("submit")
async def submit(world: World, step: Step) -> None:
    """submit SERVICE spread=SITE:WEIGHT,... cap=RPS slope=PERCENT start_in=SECONDS as=NAME"""
    world.accepted[step.options.get("as", "last")] = await _submit(world, step, 0)


@VERBS.register("race")
async def race(world: World, step: Step) -> None:
    """race SERVICE by=N as=NAME: N operators submit different values for one document at once"""
    name = step.options["as"]
    generation = await world.cluster.read_generation(world.cluster.vms[0])
    answers = await asyncio.gather(
        *(
            _submit(world, step, index % world.admins, cap=200 + index, based_on=generation)
            for index in range(int(step.options["by"]))
        )
    )
    accepted = [answer for answer in answers if "generation" in answer]
    world.accepted[name] = {"accepted": len(accepted), "refused": len(answers) - len(accepted)}


@VERBS.register("withdraw")
async def withdraw(world: World, step: Step) -> None:
    """withdraw NAME"""
    generation = world.accepted[step.words[0]]["generation"]
    body = {"change_id": f"withdraw-{generation}", "author": "test", "reason": "test"}
    url = f"{world.cluster.vms[0].admin_url}/v1/changes/{generation}/withdraw"
    world.accepted["last"] = await world.cluster.post(url, body)


@VERBS.register("request")
async def request(world: World, step: Step) -> None:
    """request METHOD SERVICE PATH via=VM key=KEY as=NAME background=yes"""
    method, service, path = step.words
    headers = {"Test-Request": step.options.get("as", "last")}
    if "key" in step.options:
        headers["Idempotency-Key"] = step.options["key"]
    if "deadline_ms" in step.options:
        headers["Briarfork-Deadline-Ms"] = step.options["deadline_ms"]
    body = b"" if method in ("GET", "HEAD") else b"{}"
    vm = world.find_vm(step.options.get("via", "1"))
    name = step.options.get("as", "last")

    async def send() -> None:
        world.answers[name] = await world.call(vm, method, service, path, headers, body)

    if step.options.get("background") == "yes":
        world.pending[name] = world.group.create_task(send())
    else:
        await send()


@VERBS.register("load")
async def load(world: World, step: Step) -> None:
    """load METHOD SERVICE PATH rps=N seconds=N as=NAME keyed=yes retry=yes, in the background"""
    name = step.options["as"]
    world.loads[name] = LoadResult()
    world.pending[name] = world.group.create_task(_run_load(world, step, world.loads[name]))


@VERBS.register("finish")
async def finish(world: World, step: Step) -> None:
    """finish NAME: waits for a background request or load"""
    await world.pending.pop(step.words[0])


@VERBS.register("wait")
async def wait(world: World, step: Step) -> None:
    """wait SECONDS: lets a load go on for a stated time"""
    await asyncio.sleep(float(step.words[0]))


@VERBS.register("kill")
async def kill(world: World, step: Step) -> None:
    """kill VM [PROGRAM ...]"""
    _signal(world, step, signal.SIGKILL)


@VERBS.register("pause")
async def pause(world: World, step: Step) -> None:
    """pause VM [PROGRAM ...]"""
    _signal(world, step, signal.SIGSTOP)


@VERBS.register("wake")
async def wake(world: World, step: Step) -> None:
    """wake VM [PROGRAM ...]"""
    _signal(world, step, signal.SIGCONT)


@VERBS.register("stop")
async def stop(world: World, step: Step) -> None:
    """stop VM: a planned stop; waits until its processes have ended"""
    await world.cluster.stop(world.find_vm(step.words[0]))


@VERBS.register("store")
async def store(world: World, step: Step) -> None:
    """store up|down|refuse|slow|lose [delay_s=N] [count=N]"""
    body: dict[str, Any] = {"mode": step.words[0], **step.options}
    await world.cluster.post(f"{world.cluster.store_url}/fault", body)


@VERBS.register("platform")
async def platform(world: World, step: Step) -> None:
    """platform up|down"""
    await world.cluster.post(f"{world.cluster.platform_url}/fault", {"mode": step.words[0]})


@VERBS.register("backend")
async def backend(world: World, step: Step) -> None:
    """backend NAME fault=F state=S slow_factor=N; NAME may end with * for several servers"""
    values: dict[str, Any] = {k: "" if v == "none" else v for k, v in step.options.items()}
    if "slow_factor" in values:
        values["slow_factor"] = float(values["slow_factor"])
    prefix = step.words[0].removesuffix("*")
    for name, (address, port) in world.cluster.backends.items():
        if name == prefix or (step.words[0].endswith("*") and name.startswith(prefix)):
            await world.cluster.post(f"http://{address}:{port}/control", values)


@VERBS.register("leave")
async def leave(world: World, step: Step) -> None:
    """leave NAME ...: the platform lists these VMs as leaving"""
    world.leaving |= set(step.words)
    await world.cluster.publish(frozenset(world.leaving))


@VERBS.register("mark")
async def mark(world: World, step: Step) -> None:
    """mark NAME: notes the time"""
    world.marks[step.words[0]] = time.time()


@VERBS.register("remember")
async def remember(world: World, step: Step) -> None:
    """remember generations: notes the generation of each VM"""
    for vm in world.cluster.vms:
        world.generations[vm.name] = await world.cluster.read_generation(vm)


def build_cluster(world: World, network: int) -> Cluster:
    """Returns the cluster that the first steps describe."""
    return Cluster(
        copy_example_zones(world.example, world.zones, world.work / "configuration"),
        world.work,
        world.zones,
        vms_per_zone=world.vms_per_zone,
        pools=world.pools,
        timeouts=world.timeouts,
        admins=world.admins,
        network=network,
        client=CLIENT,
    )


def _signal(world: World, step: Step, number: signal.Signals) -> None:
    vm = world.find_vm(step.words[0])
    for program in step.words[1:] or vm.processes:
        process = vm.processes[program]
        process.send_signal(number)
        if number is signal.SIGKILL:
            process.wait()


async def _submit(
    world: World, step: Step, admin: int, cap: int | None = None, based_on: int | None = None
) -> dict[str, Any]:
    url = world.cluster.vms[admin].admin_url
    name = f"services/{step.words[0]}"
    current = await world.cluster.get(f"{url}/v1/documents")
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
    answer: dict[str, Any] = await world.cluster.post(f"{url}/v1/changes", body)
    return answer


async def _run_load(world: World, step: Step, result: LoadResult) -> None:
    """Sends requests at a constant rate, whatever happens to the earlier ones."""
    method, service, path = step.words
    rate, seconds = float(step.options["rps"]), float(step.options["seconds"])
    retry = step.options.get("retry") == "yes"
    keyed = step.options.get("keyed") == "yes"
    fixed = [world.find_vm(step.options["via"])] if "via" in step.options else []
    callers = [Caller(world, service, fixed, number) for number in range(CALLERS)]
    started = time.monotonic()

    async def send(index: int) -> None:
        name = f"{step.options['as']}-{index}"
        headers = {"Idempotency-Key": name} if keyed else {"Test-Request": name}
        caller = callers[index % CALLERS]
        answer = await caller.call(method, path, headers, 0)
        if retry and (answer.status == 0 or answer.status >= 500):
            answer = await caller.call(method, path, headers, 1)
        result.answers.append(answer)

    async with asyncio.TaskGroup() as group:
        for index in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, started + index / rate - time.monotonic()))
            result.sent += 1
            result.keys.append(f"{step.options['as']}-{index}")
            group.create_task(send(index))
