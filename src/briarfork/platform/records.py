"""Decodes the platform's records, written by operators and backend servers, into domain types."""

from __future__ import annotations

from ipaddress import IPv4Address
from typing import Annotated
from typing import Any
from typing import Literal
from typing import TypeVar

import msgspec
from msgspec import Meta

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.membership import Member
from briarfork.membership import MemberState
from briarfork.platform.units import parse_duration
from briarfork.pools import Instance
from briarfork.routing import CallerLimits
from briarfork.routing import RequestKind
from briarfork.routing import Route
from briarfork.routing import RouteTable
from briarfork.routing import ServicePolicy
from briarfork.routing import TrafficShare

NonEmptyStr = Annotated[str, Meta(min_length=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
Port = Annotated[int, Meta(ge=1, le=65535)]
# Bounds for values of other writers; real servers have a few slots and are cold for seconds.
Slots = Annotated[int, Meta(ge=1, le=10_000)]
Int64 = Annotated[int, Meta(ge=-(2**63), le=2**63 - 1)]
MAX_COLD_S = 3600.0
# Ports that other VMs and callers connect to.
MEMBER_PORTS = ("entry", "permits")
Prefix = Annotated[str, Meta(pattern=r"^/(.*/)?$")]


RecordT = TypeVar("RecordT")


class InvalidRecord(BriarforkError):
    """A truncated or inconsistent record, or one of another writer; it is ignored."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.INVALID_CONFIGURATION, detail)


class Columns(msgspec.Struct, frozen=True):
    """A table of column names and rows of values in the order of the columns."""

    columns: list[str]
    rows: list[list[Any]]

    def list_rows(self) -> list[dict[str, Any]]:
        """Returns the rows as maps from column to value, without null values."""
        return [
            {
                name: value
                for name, value in zip(self.columns, row, strict=True)
                if value is not None
            }
            for row in self.rows
        ]


class SplitRow(msgspec.Struct, frozen=True):
    """The weight of one service in the traffic split of a route."""

    service: NonEmptyStr
    weight: Annotated[float, Meta(ge=0)]


class RouteRow(msgspec.Struct, frozen=True):
    """A route as operators write it.

    Attributes:
        slo: Response-time objective, as duration text.
        timeout: Longest time that a caller waits for its response, as duration text.
    """

    name: NonEmptyStr
    host: NonEmptyStr
    prefix: Prefix
    kind: RequestKind
    timeout: str
    slo: str
    priority: NonNegativeInt = 0
    service: NonEmptyStr | None = None
    traffic_split: list[SplitRow] | None = None
    max_attempts: PositiveInt = 1
    sticky_sessions: bool = False
    allowed_regions: list[str] = []

    def build_route(self) -> Route:
        """Returns the route of this row.

        Raises:
            ValueError: If the row names no service or a duration is malformed.
        """
        parts = self.traffic_split or []
        shares = tuple(TrafficShare(part.service, part.weight) for part in parts if part.weight > 0)
        if not shares:
            if self.service is None:
                raise ValueError(f"route {self.name!r}: expected a service")
            shares = (TrafficShare(self.service, 1.0),)
        return Route(
            name=self.name,
            host=self.host,
            prefix=self.prefix,
            kind=self.kind,
            timeout_s=parse_duration(self.timeout),
            objective_s=parse_duration(self.slo),
            priority=self.priority,
            shares=shares,
            max_attempts=self.max_attempts,
            sticky=self.sticky_sessions,
            regions=frozenset(self.allowed_regions),
        )


class ServiceRow(msgspec.Struct, frozen=True):
    """A service as operators write it."""

    name: NonEmptyStr
    max_connections: PositiveInt = 100
    cold_start: str = "0s"
    cold_per_s: Annotated[float, Meta(ge=0)] = 0.0

    def build_policy(self) -> ServicePolicy:
        """Returns the service policy of this row.

        Raises:
            ValueError: If a duration is malformed.
        """
        cold_s = parse_duration(self.cold_start)
        return ServicePolicy(self.name, self.max_connections, cold_s, self.cold_per_s)


class LimitsRow(msgspec.Struct, frozen=True):
    """Limits on the requests of callers."""

    max_header_bytes: PositiveInt = 16384
    max_body_bytes: PositiveInt = 67108864
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """The whole configuration."""

    version: PositiveInt
    routes: Columns
    services: Columns
    limits: LimitsRow = LimitsRow()


class InstanceInfo(msgspec.Struct, frozen=True):
    """Attributes of a backend server that do not change while it runs."""

    service: NonEmptyStr
    zone: NonEmptyStr
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

    address: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
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

    vm: NonEmptyStr
    address: str
    zone: NonEmptyStr
    incarnation: Int64
    version: Int64
    state: MemberState
    ports: dict[str, Port]
    serving: bool = False

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


def decode_configuration(value: bytes) -> RouteTable:
    """Returns the route table of a configuration record.

    Raises:
        InvalidRecord: If any part of the record is invalid or a route names an unknown service.
    """
    record = _decode("configuration", value, ConfigurationRecord)
    try:
        services = [
            msgspec.convert(row, ServiceRow).build_policy() for row in record.services.list_rows()
        ]
        routes = [msgspec.convert(row, RouteRow).build_route() for row in record.routes.list_rows()]
        limits = CallerLimits(
            record.limits.max_header_bytes,
            record.limits.max_body_bytes,
            parse_duration(record.limits.header_timeout),
            parse_duration(record.limits.idle_timeout),
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidRecord(f"configuration: {error}") from error
    _check_routes(routes, {service.name for service in services})
    return RouteTable(record.version, routes, services, limits)


def decode_instance(name: str, value: bytes, now: float) -> Instance:
    """Returns the backend server of a registration entry.

    Args:
        name: Id of the server.
        value: Encoded entry.
        now: Monotonic time at which the entry was read.

    Raises:
        InvalidRecord: If the entry cannot be decoded.
    """
    record = _decode(f"server {name}", value, InstanceRecord)
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
        )
    except ValueError as error:
        raise InvalidRecord(f"server {name}: {error}") from error


def decode_member(value: bytes) -> Member:
    """Returns the entry VM of a record.

    Raises:
        InvalidRecord: If the record cannot be decoded.
    """
    record = _decode("member", value, MemberRecord)
    try:
        return record.build_member()
    except ValueError as error:
        raise InvalidRecord(f"member: {error}") from error


def encode_member(member: Member) -> bytes:
    """Returns the encoded record of an entry VM."""
    return msgspec.json.encode(member)


def _decode(name: str, value: bytes, expected: type[RecordT]) -> RecordT:
    """Returns a record.

    Raises:
        InvalidRecord: If the value is not a record of this type.
    """
    try:
        return msgspec.json.decode(value, type=expected)
    except (msgspec.DecodeError, ValueError, RecursionError, OverflowError) as error:
        raise InvalidRecord(f"{name}: {error}") from error


def _check_routes(routes: list[Route], services: set[str]) -> None:
    seen = set()
    for route in routes:
        for share in route.shares:
            if share.service not in services:
                raise InvalidRecord(f"route {route.name!r}: unknown service {share.service!r}")
        if (route.host, route.prefix) in seen:
            raise InvalidRecord(f"route {route.name!r}: another route has the same host and prefix")
        seen.add((route.host, route.prefix))
