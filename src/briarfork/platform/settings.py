"""Loads the settings of a VM in the platform's format and converts them."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import msgspec
from msgspec import Meta

from briarfork.border.settings import Limits
from briarfork.border.settings import Ports
from briarfork.border.settings import Settings
from briarfork.border.settings import Timeouts
from briarfork.errors import BadSettings
from briarfork.gateway.location import Location
from briarfork.gateway.retries import RetryLimits
from briarfork.platform.units import parse_duration
from briarfork.workspaces import QuotaBounds

if TYPE_CHECKING:
    from pathlib import Path

SETTINGS_VARIABLE = "BRIARFORK_SETTINGS"

SocketAddress = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]+$")]
NonEmptyStr = Annotated[str, Meta(min_length=1)]

# A round trip to another region takes 110 ms; a lost SYN packet is sent again after 1 s.
CONNECT_S = 0.4
# Backend servers close idle connections after 10 s.
CONNECTION_AGE_S = 8.0
# Traffic between zones is charged, so permit streams send fewer heartbeats than by default.
PERMIT_HEARTBEAT_S = 0.25
PERMIT_SILENCE_S = 0.8
# Longest duration of one watch call. Reads of the store's revision detect a lost watch in between.
WATCH_S = 20.0
# Callers repeat lookups after this time, which bounds how long they use a VM that is gone.
LOOKUP_TTL_S = 2.0
# A VM that died is listed for this long; a shorter lease expires when two renewals are lost.
LEASE_S = 4.0
# The store removes the entry of a backend server after so many intervals without a heartbeat.
MISSED_HEARTBEATS = 3
# Each fetch of changes is a call to the store, so fetches are spaced out. The pause is this
# fraction of the shorter bound on noticing a draining server or a new configuration.
FETCH_PAUSE_FRACTION = 0.25
# With strict revocation, keys are refused from this fraction of the bound on. The rest covers the
# requests that are on their way to a server.
REVOKE_FRACTION = 0.8
BYTES_PER_MB = 1024 * 1024
# Parts of a VM's memory for the bodies of requests and for responses; the rest is for the process
# and for unread bytes of connections. A VM with 300 MB can hold two responses of the largest size.
BODY_MEMORY_FRACTION = 0.25
RESPONSE_MEMORY_FRACTION = 0.22


class IncompleteSettings(BadSettings):
    """Raised if a settings file is missing or is not JSON, as while it is being written."""


class Listen(msgspec.Struct, frozen=True):
    """Addresses that this process listens on."""

    front: SocketAddress
    ready: SocketAddress
    directory: SocketAddress


class Store(msgspec.Struct, frozen=True):
    """The key-value store.

    Attributes:
        min_ttl: Shortest time-to-live of a lease, as duration text.
    """

    address: SocketAddress
    min_ttl: str = "1000ms"


class VmLimits(msgspec.Struct, frozen=True):
    """Resources of this VM; those that are not known are 0.

    Attributes:
        cpu_share: Share of its cores that the VM may use.
    """

    memory_mb: Annotated[int, Meta(ge=64)] = 256
    cpu_share: Annotated[float, Meta(ge=0)] = 0.0
    cores: Annotated[float, Meta(ge=0)] = 0.0
    link_mbps: Annotated[float, Meta(ge=0)] = 0.0


class BootFile(msgspec.Struct, frozen=True):
    """The fields of the settings file that this program uses; others are ignored.

    Attributes:
        heartbeat: Interval at which backend servers renew their entries, as duration text.
    """

    node: NonEmptyStr
    ip: Annotated[str, Meta(pattern=r"^[0-9.]+$")]
    zone: NonEmptyStr
    region: NonEmptyStr
    zones: dict[str, str]
    listen: Listen
    internal_ports: Annotated[list[int], Meta(min_length=2, max_length=2)]
    platform: Store
    limits: VmLimits = VmLimits()
    bounds: list[str] = []
    heartbeat: str = "1500ms"


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of the gateway program.

    Attributes:
        common: Settings that all programs share.
        location: Location of this VM and the regions of all zones.
        retry_limits: Limits on the retries of all VMs together.
        ready: Address and port of the readiness check.
        lookup: Address and port of lookups.
        metrics: Address and port of the metrics.
        cores: Processor of this VM in cores, 0 if unknown.
        link_mbps: Bandwidth of this VM in Mbit/s, 0 if unknown.
        memory_mb: Memory above which the platform kills the process.
        grace_s: Time between SIGTERM and SIGKILL.
        lookup_ttl_s: Time-to-live of a lookup response.
        lease_s: Time-to-live of this VM's registration without a renewal.
        fetch_pause_s: Pause after a fetch of changes, so that the next fetch returns several.
        entry_ttl_s: Time after which the store removes the entry of a silent backend server.
        max_configuration_age_s: Age of the configuration from which keys are no longer accepted,
            infinite if they are accepted at any age.
        quota_bounds: How closely the quotas of workspaces hold.
    """

    common: Settings
    location: Location
    retry_limits: RetryLimits
    ready: tuple[str, int]
    lookup: tuple[str, int]
    metrics: tuple[str, int]
    cores: float
    link_mbps: float
    memory_mb: int
    grace_s: float
    lookup_ttl_s: float
    lease_s: float
    fetch_pause_s: float
    entry_ttl_s: float
    max_configuration_age_s: float
    quota_bounds: QuotaBounds


def load_platform_settings(path: Path) -> PlatformSettings:
    """Reads and checks a settings file of the platform.

    Raises:
        IncompleteSettings: If the file cannot be read or is not JSON.
        BadSettings: Lists every invalid key with the file and the expected value.
    """
    try:
        body = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise IncompleteSettings([f"{path}: expected a readable file: {error.strerror}"]) from error
    except msgspec.DecodeError as error:
        raise IncompleteSettings([f"{path}: expected JSON: {error}"]) from error
    errors = [f"{path}: {error_text}" for error_text in _find_errors(body, BootFile, "")]
    if errors:
        raise BadSettings(errors)
    return _build_settings(msgspec.convert(body, BootFile), path)


def _build_settings(boot: BootFile, path: Path) -> PlatformSettings:
    bounds = dict(item.split("=", 1) for item in boot.bounds if "=" in item)
    try:
        grace_s = parse_duration(bounds.get("grace", "6s"))
        ttl_s = min(LOOKUP_TTL_S, parse_duration(bounds.get("ttl_max", "5s")))
        propagation_s = min(
            parse_duration(bounds.get(name, "2500ms")) for name in ("drain", "config_apply")
        )
        retry_limits = RetryLimits(
            float(bounds.get("retry_budget_ratio", "0.2")),
            float(bounds.get("retry_budget_slack", "60")),
        )
        lease_s = max(LEASE_S, parse_duration(boot.platform.min_ttl))
        entry_ttl_s = MISSED_HEARTBEATS * parse_duration(boot.heartbeat)
        max_configuration_age_s = _parse_configuration_age(bounds)
        quota_bounds = _parse_quota_bounds(bounds)
    except ValueError as error:
        raise BadSettings([f"{path}: bounds: {error}"]) from error
    address, port = _split_address(boot.listen.front)
    store = f"http://{boot.platform.address}"
    common = Settings(
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
        limits=Limits(
            body_memory_bytes=int(BODY_MEMORY_FRACTION * boot.limits.memory_mb * BYTES_PER_MB),
            response_memory_bytes=int(
                RESPONSE_MEMORY_FRACTION * boot.limits.memory_mb * BYTES_PER_MB
            ),
        ),
    )
    return PlatformSettings(
        common=common,
        location=Location(boot.zone, boot.region, dict(boot.zones)),
        retry_limits=retry_limits,
        ready=_split_address(boot.listen.ready),
        lookup=_split_address(boot.listen.directory),
        metrics=(boot.ip, boot.internal_ports[1]),
        cores=boot.limits.cpu_share * boot.limits.cores,
        link_mbps=boot.limits.link_mbps,
        memory_mb=boot.limits.memory_mb,
        grace_s=grace_s,
        lookup_ttl_s=ttl_s,
        lease_s=lease_s,
        fetch_pause_s=FETCH_PAUSE_FRACTION * propagation_s,
        entry_ttl_s=entry_ttl_s,
        max_configuration_age_s=max_configuration_age_s,
        quota_bounds=quota_bounds,
    )


def _parse_configuration_age(bounds: dict[str, str]) -> float:
    """Returns the age from which keys are no longer accepted, in seconds.

    Raises:
        ValueError: If a bound is malformed.
    """
    strict = bounds.get("strict_revoke", "false")
    if strict not in ("true", "false"):
        raise ValueError(f"strict_revoke: expected true or false, found {strict!r}")
    if strict == "false":
        return math.inf
    return REVOKE_FRACTION * parse_duration(bounds.get("revoke", "5s"))


def _parse_quota_bounds(bounds: dict[str, str]) -> QuotaBounds:
    """Returns how closely quotas hold.

    Raises:
        ValueError: If a bound is malformed.
    """
    overshoot = float(bounds.get("quota_overshoot", "0.1"))
    slack = float(bounds.get("quota_slack", "20"))
    if not (0.0 <= overshoot <= 10.0 and 0.0 <= slack <= 1e6):
        raise ValueError("quota_overshoot, quota_slack: expected numbers from 0 on")
    return QuotaBounds(parse_duration(bounds.get("quota_window", "5s")), overshoot, slack)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _find_errors(body: Any, model: type[msgspec.Struct], path: str) -> list[str]:
    """Checks key by key, because msgspec stops at the first invalid key of a map."""
    if not isinstance(body, dict):
        return [f"{path or 'top level'}: expected a map"]
    errors: list[str] = []
    for field in msgspec.structs.fields(model):
        if field.name not in body:
            if field.required:
                errors.append(f"{path}{field.name}: expected a value")
        elif isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            errors += _find_errors(body[field.name], field.type, f"{path}{field.name}.")
        else:
            try:
                msgspec.convert(body[field.name], field.type)
            except msgspec.ValidationError as error:
                errors.append(f"{path}{field.name}: {str(error).replace('`', '')}")
    return errors
