"""Settings of a VM in the platform's format, turned into the product's settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import msgspec
from msgspec import Meta

from briarfork.border.settings import Ports
from briarfork.border.settings import Settings
from briarfork.border.settings import Timeouts
from briarfork.errors import BadSettings
from briarfork.gateway.place import Place
from briarfork.gateway.repeats import RepeatBounds
from briarfork.platform.units import parse_duration

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS_VARIABLE = "BRIARFORK_SETTINGS"

SocketAddress = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]+$")]
Text = Annotated[str, Meta(min_length=1)]

# One round trip to another region takes 110 ms; a lost opening packet is sent again after 1 s.
CONNECT_S = 0.4
# Backend servers close idle connections after 10 s.
CONNECTION_AGE_S = 8.0
# Between zones each heartbeat is paid for, so streams use fewer of them than by default.
PERMIT_HEARTBEAT_S = 0.25
PERMIT_SILENCE_S = 0.8
# How often a waiting watch is renewed. Keep-alive probes find a connection that went silent.
WATCH_S = 20.0
# Callers ask again after this time, so it bounds how long they use a VM that is gone.
LOOKUP_TTL_S = 2.0
# A VM that died is named for this long; a shorter lease ends when two renewals are lost.
LEASE_S = 4.0
# Each fetch of changes is a call to the store. A server that leaves and a new configuration must
# be known in time, so this part of the shorter bound passes between two fetches.
FETCH_SHARE = 0.25


class Listen(msgspec.Struct, frozen=True):
    """Addresses that this process opens."""

    front: SocketAddress
    ready: SocketAddress
    directory: SocketAddress


class Store(msgspec.Struct, frozen=True):
    """The key-value service.

    Attributes:
        min_ttl: Shortest lifetime of a lease, as text.
    """

    address: SocketAddress
    min_ttl: str = "1000ms"


class BootFile(msgspec.Struct, frozen=True):
    """The fields that this program uses; others are ignored."""

    node: Text
    ip: Annotated[str, Meta(pattern=r"^[0-9.]+$")]
    zone: Text
    region: Text
    zones: dict[str, str]
    listen: Listen
    internal_ports: Annotated[list[int], Meta(min_length=2, max_length=2)]
    platform: Store
    bounds: list[str] = []


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the gateway on the platform.

    Attributes:
        product: Settings that all programs share.
        place: Where this VM is, and the other zones.
        repeat_bounds: What all VMs together may repeat.
        ready: Address and port of the readiness check.
        lookup: Address and port of lookups.
        metrics: Address and port of counters and histograms.
        grace_s: Time from the request to stop to the kill.
        lookup_ttl_s: Lifetime of the answer to a lookup.
        lease_s: Lifetime of this VM's entry among the members without a renewal.
        changes_pause_s: Pause after a fetch of changes, in which further ones gather.
    """

    product: Settings
    place: Place
    repeat_bounds: RepeatBounds
    ready: tuple[str, int]
    lookup: tuple[str, int]
    metrics: tuple[str, int]
    grace_s: float
    lookup_ttl_s: float
    lease_s: float
    changes_pause_s: float


def load_platform_settings(path: Path) -> PlatformSettings:
    """Reads and checks a settings file of the platform.

    Raises:
        BadSettings: Lists every fault with file, key and what was expected.
    """
    try:
        body = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise BadSettings([f"{path}: expected a readable file: {error.strerror}"]) from error
    except msgspec.DecodeError as error:
        raise BadSettings([f"{path}: expected JSON: {error}"]) from error
    faults = [f"{path}: {fault}" for fault in _find_faults(body, BootFile, "")]
    if faults:
        raise BadSettings(faults)
    return _translate(msgspec.convert(body, BootFile), path)


def _translate(boot: BootFile, path: Path) -> PlatformSettings:
    bounds = dict(item.split("=", 1) for item in boot.bounds if "=" in item)
    try:
        grace_s = parse_duration(bounds.get("grace", "6s"))
        ttl_s = min(LOOKUP_TTL_S, parse_duration(bounds.get("ttl_max", "5s")))
        known_s = min(
            parse_duration(bounds.get(name, "2500ms")) for name in ("drain", "config_apply")
        )
        repeat_bounds = RepeatBounds(
            float(bounds.get("retry_budget_ratio", "0.2")),
            float(bounds.get("retry_budget_slack", "60")),
        )
        lease_s = max(LEASE_S, parse_duration(boot.platform.min_ttl))
    except ValueError as error:
        raise BadSettings([f"{path}: bounds: {error}"]) from error
    address, port = _split(boot.listen.front)
    store = f"http://{boot.platform.address}"
    product = Settings(
        vm=boot.node,
        zone=boot.zone,
        address=address,
        store_url=store,
        platform_url=store,
        ports=Ports(entry=port, permits=boot.internal_ports[0]),
        timeouts=Timeouts(
            watch_s=WATCH_S,
            connect_s=CONNECT_S,
            permit_heartbeat_s=PERMIT_HEARTBEAT_S,
            permit_silence_s=PERMIT_SILENCE_S,
            connection_age_s=CONNECTION_AGE_S,
        ),
    )
    return PlatformSettings(
        product=product,
        place=Place(boot.zone, boot.region, dict(boot.zones)),
        repeat_bounds=repeat_bounds,
        ready=_split(boot.listen.ready),
        lookup=_split(boot.listen.directory),
        metrics=(boot.ip, boot.internal_ports[1]),
        grace_s=grace_s,
        lookup_ttl_s=ttl_s,
        lease_s=lease_s,
        changes_pause_s=FETCH_SHARE * known_s,
    )


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _find_faults(body: Any, model: type[msgspec.Struct], place: str) -> list[str]:
    """Checks key by key, because msgspec stops at the first fault of a map."""
    if not isinstance(body, dict):
        return [f"{place or 'top level'}: expected a map"]
    faults: list[str] = []
    for field in msgspec.structs.fields(model):
        if field.name not in body:
            if field.required:
                faults.append(f"{place}{field.name}: expected a value")
        elif isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            faults += _find_faults(body[field.name], field.type, f"{place}{field.name}.")
        else:
            try:
                msgspec.convert(body[field.name], field.type)
            except msgspec.ValidationError as error:
                faults.append(f"{place}{field.name}: {str(error).replace('`', '')}")
    return faults
