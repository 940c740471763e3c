"""Settings of the programs, read from one YAML file per VM."""

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
        entry: HTTP port for lookups and requests.
        permits: Port for permit requests from entry processes of other VMs.
        control: Port for streams from control processes of other VMs.
        local: Port of the control process for the entry process of the same VM.
        admin: HTTP port of the administration API.
        control_listen: Port to bind instead of `control` if a forwarder listens on `control`.
    """

    entry: Port = 8080
    permits: Port = 7101
    control: Port = 7100
    local: Port = 7102
    admin: Port = 8081
    control_listen: Port | None = None


class Statsd(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """UDP endpoint that metrics are sent to."""

    host: Address = "127.0.0.1"
    port: Port = 8125
    prefix: Name = "briarfork"


class Timeouts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Timeouts and intervals, in seconds.

    Attributes:
        store_s: Timeout of a store call other than a watch.
        watch_s: Timeout of a watch without writes. Restoring the store to an older state ends no
            watch, so this bounds the time until the rollback is detected. At the default of 5 s,
            80 followers make 16 calls per second.
        list_s: Polling interval of the VM list.
        connect_s: Timeout of a connection attempt.
        heartbeat_s: Interval between heartbeats on a stream.
        silence_s: Time without a message after which a stream is considered dead.
        reconnect_s: Delay before reconnecting a stream.
        permit_heartbeat_s: Interval between heartbeats on a permit stream.
        permit_silence_s: Time without a message after which a permit stream is considered dead.
        progress_s: Timeout between two chunks of a response.
        connection_age_s: Age at which an idle connection to a backend server is closed.
        spread_s: Time allowed for the state of a leaving VM to reach all other VMs.
        stop_s: Longest wait for requests in progress during a planned stop.
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
    """Limits on the memory used by clients, in bytes.

    Attributes:
        header_bytes: Largest total size of the headers of a request.
        buffered_body_bytes: Largest request body that is buffered for retries.
        keyed_body_bytes: Largest body of a request with an idempotency key.
        chunk_bytes: Size of the body chunk in flight in one direction.
        body_memory_bytes: Size of all request bodies that a gateway holds at a time.
        response_memory_bytes: Size of all responses that a gateway holds at a time.
    """

    header_bytes: Annotated[int, Meta(ge=1024)] = 16384
    buffered_body_bytes: Annotated[int, Meta(ge=0)] = 65536
    keyed_body_bytes: Annotated[int, Meta(ge=1024)] = 1048576
    chunk_bytes: Annotated[int, Meta(ge=1024)] = 65536
    body_memory_bytes: Annotated[int, Meta(ge=1048576)] = 67108864
    response_memory_bytes: Annotated[int, Meta(ge=1048576)] = 67108864


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of all programs on one VM.

    Attributes:
        vm: Name of the VM.
        zone: Availability zone of the VM.
        address: IP address of the VM; all ports are bound to it.
        store_url: URL of the platform's key-value service.
        platform_url: URL of the platform's VM list.
        peers: Control processes to connect to while the roster is empty, as "address:port".
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
    """Reads and validates a settings file.

    Raises:
        BadSettings: Lists every error with file, key and expected value.
    """
    try:
        body = yaml.safe_load(path.read_text())
    except OSError as error:
        raise BadSettings([f"{path}: expected a readable file: {error.strerror}"]) from error
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        raise BadSettings([f"{path}: expected YAML: {error}"]) from error
    errors = [f"{path}: {line}" for line in _find_errors(body, Settings, "")]
    if errors:
        raise BadSettings(errors)
    return msgspec.convert(body, Settings)


def _find_errors(body: Any, model: type[msgspec.Struct], prefix: str) -> list[str]:
    """Validates each key separately, because msgspec stops at the first error of a map."""
    if not isinstance(body, dict):
        return [f"{prefix or 'top level'}: expected a map"]
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    errors = [
        f"{prefix}{key}: unknown key, expected one of: {', '.join(fields)}"
        for key in body
        if key not in fields
    ]
    for name, field in fields.items():
        if name not in body:
            if field.required:
                errors.append(f"{prefix}{name}: expected a value")
            continue
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            errors += _find_errors(body[name], field.type, f"{prefix}{name}.")
            continue
        try:
            msgspec.convert(body[name], field.type)
        except msgspec.ValidationError as error:
            errors.append(f"{prefix}{name}: {str(error).replace('`', '')}")
    return errors
