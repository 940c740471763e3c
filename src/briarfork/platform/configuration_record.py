"""The configuration as operators write it to the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Annotated
from typing import Any

import msgspec
from msgspec import Meta

from briarfork.platform.records import InvalidRecord
from briarfork.platform.records import NonEmptyStr
from briarfork.platform.records import decode_record
from briarfork.platform.units import parse_duration
from briarfork.routing import CallerLimits
from briarfork.routing import RequestKind
from briarfork.routing import Route
from briarfork.routing import RouteTable
from briarfork.routing import ServicePolicy
from briarfork.routing import TrafficShare
from briarfork.workspaces import Workspace
from briarfork.workspaces import WorkspaceDirectory

if TYPE_CHECKING:
    from collections.abc import Iterator

# Messages between VMs carry priorities, and they have no longer integers.
Priority = Annotated[int, Meta(ge=0, le=2**63 - 1)]
PositiveInt = Annotated[int, Meta(ge=1)]
# Metrics convert versions to floats, which integers without a bound overflow. A version far above
# those of the operator would also keep out every later configuration.
Version = Annotated[int, Meta(ge=1, le=2**63 - 1)]
NonNegative = Annotated[float, Meta(ge=0, le=1e9)]
# Text that can be sent as the value of a header. "$" would also match before a last line break.
HeaderValue = Annotated[
    str, Meta(pattern=r"^[^\x00-\x20\x7f-\x9f]([^\x00-\x1f\x7f-\x9f]*[^\x00-\x20\x7f-\x9f])?\Z")
]
Prefix = Annotated[str, Meta(pattern=r"^/(.*/)?$")]


class Columns(msgspec.Struct, frozen=True):
    """A table of column names and rows of values in the order of the columns."""

    columns: list[str]
    rows: list[list[Any]]

    def read_rows(self) -> Iterator[dict[str, Any]]:
        """Yields the rows as maps from column to value, without null values.

        Raises:
            ValueError: If a row has more or fewer values than there are columns.
        """
        for row in self.rows:
            cells = zip(self.columns, row, strict=True)
            yield {name: value for name, value in cells if value is not None}


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
    priority: Priority = 0
    service: NonEmptyStr | None = None
    traffic_split: list[SplitRow] | None = None
    max_attempts: PositiveInt = 1
    sticky_sessions: bool = False
    allowed_regions: list[str] = []
    public: bool = False

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
            public=self.public,
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


class WorkspaceRow(msgspec.Struct, frozen=True):
    """A workspace as operators write it.

    Attributes:
        rate_per_s: Requests per second of its quota, 0 without a quota.
    """

    name: HeaderValue
    api_keys: list[HeaderValue] = []
    priority: Priority | None = None
    rate_per_s: NonNegative = 0.0
    burst: NonNegative = 0.0
    allowed_regions: list[str] = []

    def build_workspace(self) -> Workspace:
        """Returns the workspace of this row."""
        return Workspace(
            self.name,
            self.rate_per_s,
            self.burst,
            self.priority,
            frozenset(self.allowed_regions),
        )


class LimitsRow(msgspec.Struct, frozen=True):
    """Limits on the requests of callers."""

    max_header_bytes: PositiveInt = 16384
    max_body_bytes: PositiveInt = 67108864
    header_timeout: str = "3s"
    idle_timeout: str = "15s"


class ConfigurationRecord(msgspec.Struct, frozen=True):
    """The whole configuration."""

    version: Version
    routes: Columns
    services: Columns
    limits: LimitsRow = LimitsRow()
    tenants: Columns | None = None


def decode_configuration(value: bytes) -> RouteTable:
    """Returns the route table of a configuration record.

    Raises:
        InvalidRecord: If any part of the record is invalid or a route names an unknown service.
    """
    record = decode_record("configuration", value, ConfigurationRecord)
    try:
        services = [
            msgspec.convert(row, ServiceRow).build_policy() for row in record.services.read_rows()
        ]
        routes = [msgspec.convert(row, RouteRow).build_route() for row in record.routes.read_rows()]
        limits = CallerLimits(
            record.limits.max_header_bytes,
            record.limits.max_body_bytes,
            parse_duration(record.limits.header_timeout),
            parse_duration(record.limits.idle_timeout),
        )
    except (msgspec.DecodeError, ValueError) as error:
        raise InvalidRecord(f"configuration: {error}") from error
    _check_routes(routes, {service.name for service in services})
    workspaces = None if record.tenants is None else _build_directory(record.tenants)
    return RouteTable(record.version, routes, services, limits, workspaces)


def _build_directory(table: Columns) -> WorkspaceDirectory:
    """Returns the workspaces by key.

    Raises:
        InvalidRecord: If a row is invalid, or two rows have the same name or key. It names the row,
            never a key.
    """
    by_key: dict[str, Workspace] = {}
    seen: set[str] = set()
    for number, row in _convert_workspaces(table):
        place = f"configuration: tenants: row {number} ({row.name!r})"
        if row.name in seen:
            raise InvalidRecord(f"{place}: another row has the same name")
        seen.add(row.name)
        workspace = row.build_workspace()
        for key in row.api_keys:
            holder = by_key.setdefault(key, workspace)
            if holder is not workspace:
                raise InvalidRecord(f"{place}: {holder.name!r} has the same key")
        if len(set(row.api_keys)) != len(row.api_keys):
            raise InvalidRecord(f"{place}: the same key twice")
    return WorkspaceDirectory(by_key)


def _convert_workspaces(table: Columns) -> Iterator[tuple[int, WorkspaceRow]]:
    """Yields the rows with their numbers, from 1.

    Raises:
        InvalidRecord: If a row is invalid.
    """
    number, name = 1, None
    try:
        for row in table.read_rows():
            name = row.get("name")
            yield number, msgspec.convert(row, WorkspaceRow)
            number, name = number + 1, None
    except (msgspec.DecodeError, ValueError) as error:
        place = f"row {number} ({name!r})" if isinstance(name, str) else f"row {number}"
        raise InvalidRecord(f"configuration: tenants: {place}: {error}") from error


def _check_routes(routes: list[Route], services: set[str]) -> None:
    seen = set()
    for route in routes:
        for share in route.shares:
            if share.service not in services:
                raise InvalidRecord(f"route {route.name!r}: unknown service {share.service!r}")
        if (route.host, route.prefix) in seen:
            raise InvalidRecord(f"route {route.name!r}: another route has the same host and prefix")
        seen.add((route.host, route.prefix))
