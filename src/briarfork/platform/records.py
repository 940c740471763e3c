"""Decodes what operators and backend servers have written into the product's types."""

from __future__ import annotations

from typing import Annotated
from typing import Any
from typing import Literal

import msgspec
from msgspec import Meta

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.membership import Member
from briarfork.platform.units import parse_duration
from briarfork.pools import Instance
from briarfork.routing import CallerLimits
from briarfork.routing import RequestKind
from briarfork.routing import Route
from briarfork.routing import RouteTable
from briarfork.routing import ServicePolicy
from briarfork.routing import Share

Text = Annotated[str, Meta(min_length=1)]
Count = Annotated[int, Meta(ge=0)]
Positive = Annotated[int, Meta(ge=1)]
Prefix = Annotated[str, Meta(pattern=r"^/(.*/)?$")]
MILLISECONDS = 1000.0


class UnreadableRecord(BriarforkError):
    """A record that another writer has left, or that is cut short; it is ignored."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.INVALID_CONFIGURATION, detail)


class Columns(msgspec.Struct, frozen=True):
    """A table: names of fields, and rows of values in that order."""

    columns: list[str]
    rows: list[list[Any]]

    def list_rows(self) -> list[dict[str, Any]]:
        """Returns the rows as maps; null means that a field is left out."""
        return [
            {
                name: value
                for name, value in zip(self.columns, row, strict=True)
                if value is not None
            }
            for row in self.rows
        ]


class SplitRow(msgspec.Struct, frozen=True):
    """A service's part of a route."""

    service: Text
    weight: Annotated[float, Meta(ge=0)]


class RouteRow(msgspec.Struct, frozen=True):
    """A route.

    Attributes:
        slo: Time within which a response earns its full credit, as text.
        timeout: Longest time that a caller is kept waiting, as text.
    """

    name: Text
    host: Text
    prefix: Prefix
    kind: RequestKind
    timeout: str
    slo: str
    priority: Count = 0
    service: Text | None = None
    traffic_split: list[SplitRow] | None = None
    max_attempts: Positive = 1
    sticky_sessions: bool = False
    allowed_regions: list[str] = []

    def translate(self) -> Route:
        """Returns the product's route.

        Raises:
            ValueError: If the route names no service, or a time is malformed.
        """
        parts = self.traffic_split or []
        shares = tuple(Share(part.service, part.weight) for part in parts if part.weight > 0)
        if not shares:
            if self.service is None:
                raise ValueError(f"route {self.name!r}: expected a service")
            shares = (Share(self.service, 1.0),)
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
    """A service."""

    name: Text
    max_connections: Positive = 100
    cold_start: str = "0s"
    cold_per_s: Annotated[float, Meta(ge=0)] = 0.0

    def translate(self) -> ServicePolicy:
        """Returns the product's service.

        Raises:
            ValueError: If a time is malformed.
        """
        cold_s = parse_duration(self.cold_start)
        return ServicePolicy(self.name, self.max_connections, cold_s, self.cold_per_s)


class LimitsRow(msgspec.Struct, frozen=True):
    """What callers may send."""

    max_header_bytes: Positive = 16384
    max_body_bytes: Positive = 67108864
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """The whole configuration."""

    version: Positive
    routes: Columns
    services: Columns
    limits: LimitsRow = LimitsRow()


class InstanceInfo(msgspec.Struct, frozen=True):
    """What does not change while a backend server runs."""

    service: Text
    zone: Text
    slots: Positive


class InstanceStatus(msgspec.Struct, frozen=True):
    """What a backend server says of itself with each heartbeat.

    Attributes:
        cold_remaining: How long its caches stay cold, as text.
    """

    state: Literal["ready", "draining"]
    sequence: int
    cold_remaining: str = "0ms"


class InstanceRecord(msgspec.Struct, frozen=True):
    """A backend server's entry.

    Attributes:
        born: Unix millisecond of its start.
    """

    address: Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
    info: InstanceInfo
    status: InstanceStatus
    born: int = 0


def decode_configuration(value: bytes) -> RouteTable:
    """Returns the configuration of a record.

    Raises:
        UnreadableRecord: If any part of it cannot be read or names an unknown service.
    """
    try:
        record = msgspec.json.decode(value, type=ConfigurationRecord)
        services = [
            msgspec.convert(row, ServiceRow).translate() for row in record.services.list_rows()
        ]
        routes = [msgspec.convert(row, RouteRow).translate() for row in record.routes.list_rows()]
        limits = CallerLimits(
            record.limits.max_header_bytes,
            record.limits.max_body_bytes,
            parse_duration(record.limits.header_timeout),
            parse_duration(record.limits.idle_timeout),
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise UnreadableRecord(f"configuration: {error}") from error
    _check_routes(routes, {service.name for service in services})
    return RouteTable(record.version, routes, services, limits)


def decode_instance(name: str, value: bytes, now: float) -> Instance:
    """Returns the backend server of an entry.

    Args:
        name: Its id.
        value: The entry.
        now: Monotonic time at which the entry was read.

    Raises:
        UnreadableRecord: If the entry cannot be read.
    """
    try:
        record = msgspec.json.decode(value, type=InstanceRecord)
        host, _, port = record.address.rpartition(":")
        return Instance(
            name=name,
            service=record.info.service,
            zone=record.info.zone,
            address=host,
            port=int(port),
            slots=record.info.slots,
            draining=record.status.state == "draining",
            cold_until=now + parse_duration(record.status.cold_remaining),
            started_at_ms=record.born,
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise UnreadableRecord(f"server {name}: {error}") from error


def decode_member(value: bytes) -> Member:
    """Returns the entry VM of a record.

    Raises:
        UnreadableRecord: If the record cannot be read.
    """
    try:
        return msgspec.json.decode(value, type=Member)
    except msgspec.DecodeError as error:
        raise UnreadableRecord(f"member: {error}") from error


def encode_member(member: Member) -> bytes:
    """Returns the record of an entry VM."""
    return msgspec.json.encode(member)


def _check_routes(routes: list[Route], services: set[str]) -> None:
    places = set()
    for route in routes:
        for share in route.shares:
            if share.service not in services:
                raise UnreadableRecord(f"route {route.name!r}: unknown service {share.service!r}")
        if (route.host, route.prefix) in places:
            raise UnreadableRecord(f"route {route.name!r}: another route has its host and prefix")
        places.add((route.host, route.prefix))
