"""Settings of the programs, read from one YAML file for each VM."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import msgspec
import yaml
from msgspec import Meta

from briarfork.errors import BadSettings

if TYPE_CHECKING:
    from pathlib import Path

Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=3600)]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[a-z0-9][a-z0-9.-]*$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+$")]
PeerAddress = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:]+:[0-9]+$")]
Url = Annotated[str, Meta(pattern=r"^https?://[^/]+$")]


class Ports(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Port numbers on the VM's address.

    Attributes:
        entry: Lookups and requests, HTTP.
        permits: Permits for slots, from entry processes of other VMs.
        control: Streams from control processes of other VMs.
        local: The control process, for the entry process of the same VM.
        admin: Administration API, HTTP.
        control_listen: Where control listens if a forwarder stands in front of `control`.
    """

    entry: Port = 8080
    permits: Port = 7101
    control: Port = 7100
    local: Port = 7102
    admin: Port = 8081
    control_listen: Port | None = None


class Statsd(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where metrics are sent, over UDP."""

    host: Address = "127.0.0.1"
    port: Port = 8125
    prefix: Name = "briarfork"


class Timeouts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Deadlines of all waits, in seconds.

    Attributes:
        store_s: One call to the store, watches aside.
        watch_s: One waiting watch. A store that was restored to an older state ends no watch, so
            this bounds the time until it is noticed; 80 followers make 16 calls a second.
        list_s: Pause between reads of the list of VMs.
        connect_s: One connection attempt.
        heartbeat_s: Pause between heartbeats on a stream.
        silence_s: Silence after which a stream counts as dead.
        reconnect_s: Pause before a stream is dialled again.
        permit_heartbeat_s: Pause between heartbeats on a stream for permits.
        permit_silence_s: Silence after which a stream for permits counts as dead.
        progress_s: Longest pause between two parts of an answer.
        connection_age_s: Age at which an idle connection to a backend server is closed.
        spread_s: Time in which the news of a leaving VM reaches all others.
        stop_s: Longest wait for requests in progress at a planned stop.
    """

    store_s: Seconds = 1.0
    watch_s: Seconds = 5.0
    list_s: Seconds = 1.0
    connect_s: Seconds = 1.0
    heartbeat_s: Seconds = 1.0
    silence_s: Seconds = 3.0
    reconnect_s: Seconds = 0.5
    permit_heartbeat_s: Seconds = 0.1
    permit_silence_s: Seconds = 0.5
    progress_s: Seconds = 10.0
    connection_age_s: Seconds = 60.0
    spread_s: Seconds = 2.0
    stop_s: Seconds = 900.0


class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on memory that one caller can use.

    Attributes:
        header_bytes: All headers of one request.
        buffered_body_bytes: Largest body that is held in memory to be sent again.
        keyed_body_bytes: Largest body of a request with an idempotency key.
        chunk_bytes: Part of a body in flight in one direction.
    """

    header_bytes: Annotated[int, Meta(ge=1024)] = 16384
    buffered_body_bytes: Annotated[int, Meta(ge=0)] = 65536
    keyed_body_bytes: Annotated[int, Meta(ge=1024)] = 1048576
    chunk_bytes: Annotated[int, Meta(ge=1024)] = 65536


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of all programs on one VM.

    Attributes:
        vm: Name of the VM.
        zone: Its availability zone.
        address: Its IP address; every port is opened on it.
        store_url: The platform's key-value service.
        platform_url: The platform's list of VMs.
        peers: Control processes to dial while the roster is empty, as "address:port".
    """

    vm: Name
    zone: Name
    address: Address
    store_url: Url
    platform_url: Url
    peers: list[PeerAddress] = []
    ports: Ports = Ports()
    statsd: Statsd | None = None
    timeouts: Timeouts = Timeouts()
    limits: Limits = Limits()


def load_settings(path: Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        BadSettings: Lists every fault with file, key and what was expected.
    """
    try:
        body = yaml.safe_load(path.read_text())
    except OSError as error:
        raise BadSettings([f"{path}: expected a readable file: {error.strerror}"]) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise BadSettings([f"{path}: expected YAML: {error}"]) from error
    faults = [f"{path}: {fault}" for fault in _find_faults(body, Settings, "")]
    if faults:
        raise BadSettings(faults)
    return msgspec.convert(body, Settings)


def _find_faults(body: Any, model: type[msgspec.Struct], place: str) -> list[str]:
    """Checks key by key, because msgspec stops at the first fault of a map."""
    if not isinstance(body, dict):
        return [f"{place or 'top level'}: expected a map"]
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    faults = [
        f"{place}{key}: unknown key, expected one of: {', '.join(fields)}"
        for key in body
        if key not in fields
    ]
    for name, field in fields.items():
        if name not in body:
            if field.required:
                faults.append(f"{place}{name}: expected a value")
            continue
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            faults += _find_faults(body[name], field.type, f"{place}{name}.")
            continue
        try:
            msgspec.convert(body[name], field.type)
        except msgspec.ValidationError as error:
            faults.append(f"{place}{name}: {str(error).replace('`', '')}")
    return faults
