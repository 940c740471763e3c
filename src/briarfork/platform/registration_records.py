"""Entries by which backend servers and entry VMs register in the platform's store."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated
from typing import Literal

import msgspec
from msgspec import Meta

from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.platform.records import InvalidRecord
from briarfork.platform.records import decode_record
from briarfork.platform.units import parse_duration
from briarfork.pools import Instance

Port = Annotated[int, Meta(ge=1, le=65535)]
# Bounds for values of other writers; real servers have a few slots and are cold for seconds.
Slots = Annotated[int, Meta(ge=1, le=10_000)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Int64 = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
MAX_COLD_S = 3600.0
# Ports that other VMs and callers connect to.
MEMBER_PORTS = ("entry", "permits")


# Other writers may write names of a megabyte, and a VM keeps the names of all servers.
Name = Annotated[str, Meta(min_length=1, max_length=1024)]
Address = Annotated[str, Meta(max_length=64, pattern=r"^[0-9.]+:[0-9]{1,5}$")]


class InstanceInfo(msgspec.Struct, frozen=True):
    """Attributes of a backend server that do not change while it runs."""

    service: Name
    zone: Name
    slots: Slots


class InstanceStatus(msgspec.Struct, frozen=True):
    """The status that a backend server reports with each heartbeat.

    Attributes:
        cold_remaining: How long its caches stay cold, as duration text.
    """

    state: Literal["ready", "draining"]
    sequence: Int64
    cold_remaining: str = "0ms"

    def parse_cold_s(self) -> float:
        """Returns how long the caches of the server stay cold, in seconds.

        Raises:
            ValueError: If the text is not a duration or the duration is too long.
        """
        cold_s = parse_duration(self.cold_remaining)
        if cold_s > MAX_COLD_S:
            raise ValueError(f"cold_remaining: expected at most {MAX_COLD_S:.0f} s")
        return cold_s


class InstanceRecord(msgspec.Struct, frozen=True):
    """The registration entry of a backend server.

    Attributes:
        born: Start time in Unix milliseconds.
    """

    address: Address
    info: InstanceInfo
    status: InstanceStatus
    born: Int64 = 0

    def parse_address(self) -> tuple[str, int]:
        """Returns the IP address and the port.

        Raises:
            ValueError: If one of them is invalid.
        """
        host, _, port = self.address.rpartition(":")
        return str(IPv4Address(host)), msgspec.convert(int(port), Port)


class MemberRecord(msgspec.Struct, frozen=True):
    """The entry of an entry VM, with the fields of `Member`."""

    vm: Name
    address: Name
    zone: Name
    incarnation: Int64
    version: Int64
    state: MemberState
    ports: Annotated[dict[Name, Port], Meta(max_length=16)]
    serving: bool = False
    cores: NonNegativeFloat = 0.0
    link_mbps: NonNegativeFloat = 0.0

    def build_member(self) -> Member:
        """Returns the entry VM.

        Raises:
            ValueError: If its address is invalid or it has no port for callers or permits.
        """
        for name in MEMBER_PORTS:
            if name not in self.ports:
                raise ValueError(f"ports: expected a port named {name!r}")
        IPv4Address(self.address)
        return Member(**msgspec.structs.asdict(self))


def decode_instance(name: str, value: bytes, now: float) -> Instance:
    """Returns the backend server of a registration entry.

    Args:
        name: Id of the server.
        value: Encoded entry.
        now: Monotonic time at which the entry was read.

    Raises:
        InvalidRecord: If the entry cannot be decoded.
    """
    record = decode_record(f"server {name}", value, InstanceRecord)
    try:
        host, port = record.parse_address()
        return Instance(
            name=name,
            service=record.info.service,
            zone=record.info.zone,
            address=host,
            port=port,
            slots=record.info.slots,
            draining=record.status.state == "draining",
            cold_until=now + record.status.parse_cold_s(),
            started_at_ms=record.born,
            sequence=record.status.sequence,
        )
    except ValueError as error:
        raise InvalidRecord(f"server {name}: {error}") from error


def decode_member(value: bytes) -> Member:
    """Returns the entry VM of a record.

    Raises:
        InvalidRecord: If the record cannot be decoded.
    """
    record = decode_record("member", value, MemberRecord)
    try:
        return record.build_member()
    except ValueError as error:
        raise InvalidRecord(f"member: {error}") from error


def encode_member(member: Member) -> bytes:
    """Returns the encoded record of an entry VM."""
    return msgspec.json.encode(member)
