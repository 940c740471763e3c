"""A VM that runs the programs of briarfork."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from enum import Enum

from briarfork.membership.sharing import share_values


class MemberState(Enum):
    """Condition of a member; within one incarnation it only moves forward in this order."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


STATE_ORDER = {
    MemberState.LIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEAVING: 3,
}


@dataclass(frozen=True, slots=True)
class Member:
    """One entry VM as others know it.

    Attributes:
        vm: Name of the VM.
        address: IP address.
        zone: Availability zone.
        incarnation: Start time of its control process in milliseconds; a restart raises it.
        version: Raised by the member itself with every change of its record.
        state: Condition.
        ports: Port numbers by name: "entry", "permits", "control".
        serving: Whether its entry process runs, so that it may get callers and follow the store.
    """

    vm: str
    address: str
    zone: str
    incarnation: int
    version: int
    state: MemberState
    ports: dict[str, int]
    serving: bool = False

    def __post_init__(self) -> None:
        share_values(self)

    def supersedes(self, other: Member) -> bool:
        """Returns whether this record is newer evidence than another one of the same VM."""
        return self.order() > other.order()

    def order(self) -> tuple[object, ...]:
        """Returns the key of a total order, so that any order of merging gives the same result.

        Leaving goes before the version: a leaving VM stays leaving until a new incarnation.
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
        """Returns the record with another state."""
        return replace(self, state=state)
