"""One incarnation of a backend server, as its registration entry describes it."""

from __future__ import annotations

from dataclasses import dataclass

from briarfork.pools.server import ServerAddress


@dataclass(frozen=True, slots=True, order=True)
class EntryPosition:
    """Place of an entry in the order in which a server wrote its entries.

    Attributes:
        started_at_ms: Start time of the incarnation in Unix milliseconds, 0 if unknown.
        sequence: Number of the heartbeat within the incarnation.
    """

    started_at_ms: int
    sequence: int


@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of a backend server.

    Attributes:
        name: Unique name, by which requests can be pinned to the server.
        service: Service that the server runs.
        zone: Availability zone.
        address: IP address.
        port: Port number.
        slots: Maximum number of concurrent requests.
        draining: Whether the server accepts no new requests.
        cold_until: Time at which its caches are warm, in seconds on the monotonic clock.
        started_at_ms: Start time in Unix milliseconds, 0 if unknown.
        sequence: Number of the heartbeat with which the entry was written.
    """

    name: str
    service: str
    zone: str
    address: str
    port: int
    slots: int
    draining: bool = False
    cold_until: float = 0.0
    started_at_ms: int = 0
    sequence: int = 0

    @property
    def position(self) -> EntryPosition:
        """Place of the entry among all entries of the server."""
        return EntryPosition(self.started_at_ms, self.sequence)

    def to_server_address(self) -> ServerAddress:
        """Returns the address and capacity for the owner of the slots."""
        return ServerAddress(self.name, self.address, self.port, self.slots, self.started_at_ms)
