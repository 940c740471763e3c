"""Settings and readiness of a gateway process, which has a loopback address of its own."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from briarfork.platform import names

FRONT_PORT, READY_PORT, LOOKUP_PORT = 8641, 8640, 8644
INTERNAL_PORTS = [7620, 7635]
HEARTBEAT_S = 0.5
# Time limits that the VMs get in their settings.
DRAIN_S, APPLY_S, GRACE_S = 2.5, 2.5, 6.0
BOUNDS = [f"grace={GRACE_S:.0f}s", f"drain={DRAIN_S}s", f"config_apply={APPLY_S}s", "ttl_max=5s"]
READY_TIMEOUT_S = 0.5
KB_PER_MB = 1024
NS_PER_S = 10**9


@dataclass(frozen=True)
class VmSettings:
    """What differs between gateways.

    Attributes:
        name: Name of the VM.
        zone: Zone of the VM.
        address: Loopback address of the VM.
        store: Address and port of the store.
        memory_mb: Memory of the VM.
    """

    name: str
    zone: str
    address: str
    store: str
    memory_mb: int


def build_settings(vm: VmSettings, zones: dict[str, str]) -> dict[str, Any]:
    """Returns the contents of the settings file of a gateway; `zones` names their regions."""
    return {
        "node": vm.name,
        "ip": vm.address,
        "zone": vm.zone,
        "region": zones[vm.zone],
        "zones": zones,
        "listen": {
            "front": f"{vm.address}:{FRONT_PORT}",
            "ready": f"{vm.address}:{READY_PORT}",
            "directory": f"{vm.address}:{LOOKUP_PORT}",
        },
        "internal_ports": INTERNAL_PORTS,
        "heartbeat": f"{HEARTBEAT_S * 1000:.0f}ms",
        "bounds": BOUNDS,
        "limits": {"memory_mb": vm.memory_mb},
        "platform": {"address": vm.store, "min_ttl": "1000ms"},
    }


async def is_ready(address: str) -> bool:
    """Returns whether the gateway at an address says that it is ready."""
    try:
        async with asyncio.timeout(READY_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(address, READY_PORT)
            writer.write(f"GET {names.READY_PATH} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
    except (OSError, TimeoutError):
        return False


def read_peak_mb(pid: int) -> float:
    """Returns the highest resident memory of a process so far, 0 once it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0.0
    # A process that has exited and was not waited for has no memory.
    return int(status.partition("VmHWM:")[2].split()[0]) / KB_PER_MB if "VmHWM" in status else 0.0


def read_processor_wait_s(pid: int) -> float:
    """Returns for how long a process was ready to run but had no processor, 0 once it has ended."""
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / NS_PER_S
    except OSError:
        return 0.0
