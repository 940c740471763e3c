"""Record of an entry VM that takes part in the cluster."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from briarfork.membership.interning import intern_values


class MemberState(Enum):
    """State of a member."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


# Precedence of states for records of the same incarnation and version.
STATE_ORDER = {
    MemberState.LIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEAVING: 3,
}


@dataclass(frozen=True, slots=True)
class Member:
    """The record of an entry VM that is exchanged between members.

    Attributes:
        vm: Name of the VM.
        address: IP address.
        zone: Availability zone.
        incarnation: Start time of its control process in milliseconds; a restart raises it.
        version: Incremented by the member itself with every change of its record.
        state: State of the member.
        ports: Port numbers by name: "entry", "permits", "control".
        serving: Whether its entry process runs, so that it can serve callers and follow the store.
        cores: Processor in cores, 0 if it does not tell.
        link_mbps: Bandwidth of its network link in Mbit/s, 0 if it does not tell.
    """

    vm: str
    address: str
    zone: str
    incarnation: int
    version: int
    state: MemberState
    ports: dict[str, int]
    serving: bool = False
    cores: float = 0.0
    link_mbps: float = 0.0

    def __post_init__(self) -> None:
        intern_values(self)

    def supersedes(self, other: Member) -> bool:
        """Returns whether this record replaces another record of the same VM."""
        return self.precedence_key() > other.precedence_key()

    def precedence_key(self) -> tuple[object, ...]:
        """Returns the key of a total order, so that the order of merging does not matter.

        The leaving state precedes the version, so a leaving VM stays leaving until it starts a new
        incarnation.
        """
        return (
            self.incarnation,
            self.state is MemberState.LEAVING,
            self.version,
            STATE_ORDER[self.state],
            self.serving,
            self.address,
            self.zone,
            sorted(self.ports.items()),
        )

    def with_state(self, state: MemberState) -> Member:
        """Returns a copy of the record with another state."""
        return replace(self, state=state)
