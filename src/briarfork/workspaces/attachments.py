"""Which VMs an owner of credit counts, and which owner a VM is counted at.

Every serving VM is entitled to the same part of each quota. Its entitlement is in the pool of one
owner at a time, so that the pools never exceed the quota together, whichever VMs reach each other.
An owner counts a VM only on the evidence of an echo: each answer carries a stamp of the owner's
clock, which the next message of the VM returns. A message that was delayed on its way therefore
attaches nobody.
"""

from __future__ import annotations

import itertools
import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

# A message with an older stamp does not renew an attachment. The stamp is at most one interval of
# messages and one round trip to another region old, 0.31 s.
MAX_STAMP_AGE_S = 0.5
# An attachment that is not renewed ends after this time, four intervals of messages. Both times
# add up to the time for which the entitlements of a lost owner are in no pool.
ATTACHMENT_S = 0.8
# An owner that answers nothing for this time is given up.
SILENCE_S = 0.4
# Messages without an answer that are remembered.
MAX_UNANSWERED = 64


def is_recent(stamp: float, now: float) -> bool:
    """Returns whether a message with this stamp was sent recently.

    Example:
        >>> is_recent(9.5, now=10.0), is_recent(0.0, now=10.0)
        (True, False)
    """
    return 0.0 <= now - stamp <= MAX_STAMP_AGE_S


@dataclass(slots=True)
class _Attached:
    ends_at: float
    entitled: int
    vms: int


class Attachments:
    """The VMs that are attached to an owner, alone or through the owner of their zone.

    Handles the loss, the freeze and the partition of many VMs at once.

    Attributes:
        entitled: Entitlements in the owner's pool.
        vms: VMs that use the pool, also those whose entitlement may still be in another one.
    """

    def __init__(self) -> None:
        self._attached: dict[str, _Attached] = {}
        self.entitled = 0
        self.vms = 0

    def renew(self, peer: str, stamp: float, entitled: int, vms: int, now: float) -> bool:
        """Attaches a peer if its message is recent, and returns whether it was."""
        if not is_recent(stamp, now):
            return False
        self._attached[peer] = _Attached(now + ATTACHMENT_S, entitled, vms)
        self._count()
        return True

    def release(self, peer: str) -> None:
        """Removes the entitlements of a peer that leaves; its credit ends with its attachment."""
        attached = self._attached.get(peer)
        if attached is not None:
            attached.entitled = attached.vms = 0
            self._count()

    def has(self, peer: str) -> bool:
        """Returns whether a peer is attached, also if it has left and its credit has not ended."""
        return peer in self._attached

    def count(self, peer: str) -> tuple[int, int]:
        """Returns the entitlements and the VMs that a peer has attached."""
        attached = self._attached.get(peer)
        return (attached.entitled, attached.vms) if attached is not None else (0, 0)

    def pop_ended(self, now: float) -> Iterator[tuple[float, str]]:
        """Removes ended attachments and yields the end and the peer of each, in order of ends."""
        ended = sorted((item.ends_at, peer) for peer, item in self._attached.items())
        for ends_at, peer in ended:
            if ends_at > now:
                return
            # The owner accounts for the time up to this end with the attachment still counted.
            yield ends_at, peer
            del self._attached[peer]
            self._count()

    def _count(self) -> None:
        self.entitled = sum(item.entitled for item in self._attached.values())
        self.vms = sum(item.vms for item in self._attached.values())


class Attachment:
    """The owner that a VM is attached to, as the VM knows it.

    Handles the loss of an owner: the VM may use the credit of another owner at once, but its
    entitlement counts there only when it can no longer count at the lost owner.

    Attributes:
        owner: Name of the owner, empty before the first one.
        confirmed_until: Time until which the owner counts this VM at least.
        round_trip_s: Time that the owner's last answer took, 0 if there was none.
    """

    def __init__(self, report_lag_s: float = 0.0) -> None:
        """Creates an attachment to no owner.

        Args:
            report_lag_s: Time that an owner needs to report the end of an attachment to the owner
                of the pool, 0 if it is this owner.
        """
        self._report_lag_s = report_lag_s
        self.owner = ""
        self.confirmed_until = -math.inf
        self.round_trip_s = 0.0
        self._numbers = itertools.count(1)
        self._sent: dict[int, float] = {}
        self._stamp = 0.0
        self._stamped_at = -math.inf
        # Times at which lost owners no longer count this VM, by the numbers of the messages that
        # told them; 0 for an owner that has not been told.
        self._lost_until: dict[int, float] = {}
        self._last_sent_at = -math.inf
        self._waiting_since: float | None = None

    def change_owner(self, owner: str) -> None:
        """Starts an attachment to another owner."""
        if self._stamped_at > -math.inf:
            ends_at = self._stamped_at + MAX_STAMP_AGE_S + ATTACHMENT_S + self._report_lag_s
            self._lost_until[0] = max(ends_at, self._lost_until.get(0, -math.inf))
        self.owner = owner
        self.confirmed_until = -math.inf
        self.round_trip_s = 0.0
        self._sent.clear()
        self._stamp, self._stamped_at = 0.0, -math.inf
        self._last_sent_at, self._waiting_since = -math.inf, None

    def leave(self) -> int:
        """Returns the number of a message that tells the owner that this VM leaves it."""
        number = next(self._numbers)
        if 0 in self._lost_until:
            self._lost_until[number] = self._lost_until.pop(0)
        return number

    def begin(self, now: float) -> tuple[int, float]:
        """Returns the number and the stamp of the next message to the owner."""
        number = next(self._numbers)
        self._sent[number] = now
        if len(self._sent) > MAX_UNANSWERED:
            del self._sent[next(iter(self._sent))]
        self._last_sent_at = now
        if self._waiting_since is None:
            self._waiting_since = now
        return number, self._stamp

    def confirm(self, number: int, stamp: float, attached: bool, now: float) -> None:
        """Records an answer."""
        ends_at = self._lost_until.get(number) if number else None
        if ends_at is not None:
            # The owner of a zone reports the leave with its next message.
            self._lost_until[number] = min(ends_at, now + self._report_lag_s)
        sent_at = self._sent.pop(number, None)
        if sent_at is None:
            return
        self._waiting_since = min(self._sent.values(), default=None)
        self.round_trip_s = now - sent_at
        if stamp > self._stamp or not attached:
            # The clock of an owner starts anew with its machine.
            self._stamp, self._stamped_at = stamp, now
        if attached:
            self.confirmed_until = max(self.confirmed_until, sent_at + ATTACHMENT_S)

    def is_entitled(self, now: float) -> bool:
        """Returns whether this VM's entitlement is in no pool of an earlier owner."""
        for number in [n for n, ends_at in self._lost_until.items() if ends_at <= now]:
            del self._lost_until[number]
        return not self._lost_until

    def is_silent(self, now: float) -> bool:
        """Returns whether the owner has left messages without an answer for too long."""
        return self._waiting_since is not None and now - self._waiting_since > SILENCE_S

    def is_due(self, now: float, interval_s: float) -> bool:
        """Returns whether the next message has to be sent to stay attached."""
        return now - self._last_sent_at >= interval_s or not self._stamp
