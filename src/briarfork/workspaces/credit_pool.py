"""The token buckets of a pool of entitlements, at the VM that owns the credit of the fleet."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NamedTuple

from briarfork.workspaces.attachments import Attachments
from briarfork.workspaces.attachments import is_recent

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarfork.workspaces.quota_bounds import QuotaBounds
    from briarfork.workspaces.workspace import Workspace

# Wait that is named while a pool has no rate, as all its VMs may still count in another pool.
UNKNOWN_WAIT_S = 1.0


class CreditReport(NamedTuple):
    """What the owner of a zone has done with credit since its last report.

    Attributes:
        used: Requests admitted.
        returned: Credit that is not needed.
        wanted: Credit that is asked for.
    """

    workspace: str
    wanted: int = 0
    used: int = 0
    returned: int = 0


class CreditSupply(NamedTuple):
    """Credit for the owner of a zone.

    Attributes:
        wait_s: Time until the next credit, 0 if some was granted or the limit is not known.
    """

    workspace: str
    granted: int = 0
    wait_s: float = 0.0


@dataclass(slots=True)
class _Bucket:
    workspace: Workspace
    level: float
    clock: float
    outstanding: int = 0


class CreditPool:
    """Token buckets whose rates and depths follow the number of attached VMs.

    Handles a workspace that sends at many times its rate from any zones, the loss of VMs and
    zones, and a limit that is lowered. Credit that is granted and not reported as used counts
    against the depth of its bucket, so fetching it ahead does not add to a burst.

    Attributes:
        attachments: The owners of zones that are attached.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self.attachments = Attachments()
        self._bounds = bounds
        self._limits: Mapping[str, Workspace] = {}
        self._fleet_vms = 1
        self._updated_at = -math.inf
        # Time for which the pool has had all entitlements; buckets are refilled by it.
        self._clock = 0.0
        self._grown_clock = 0.0
        self._buckets: dict[str, _Bucket] = {}
        self._held: dict[str, dict[str, int]] = {}

    def set_limits(self, limits: Mapping[str, Workspace]) -> None:
        """Replaces the workspaces that have a quota; new limits apply from now on."""
        self._settle_all()
        self._limits = limits
        for name in [name for name in self._buckets if name not in limits]:
            del self._buckets[name]

    def update(self, fleet_vms: int, now: float) -> None:
        """Accounts for the time until now and for attachments that have ended.

        Args:
            fleet_vms: Largest recent number of serving VMs.
            now: Time in seconds.
        """
        for ends_at, peer in self.attachments.pop_ended(now):
            self._advance(ends_at)
            for name, count in self._held.pop(peer, {}).items():
                bucket = self._buckets.get(name)
                if bucket is not None:
                    bucket.outstanding -= count
        self._advance(now)
        if fleet_vms < self._fleet_vms:
            self._note_growth()
        self._fleet_vms = max(1, fleet_vms)
        if not self.attachments.vms:
            # What the VMs use elsewhere is not known here, so a later pool starts anew.
            self._buckets.clear()
            self._held.clear()
            self._clock = self._grown_clock = 0.0

    def attach(self, peer: str, stamp: float, entitled: int, vms: int, now: float) -> bool:
        """Attaches the owner of a zone if its message is recent, and returns whether it was."""
        if not is_recent(stamp, now):
            return False
        old_entitled, old_vms = self.attachments.count(peer)
        if entitled > old_entitled or vms > old_vms:
            # The room that a pool gains is empty: its levels must not follow the new depth.
            self._note_growth()
        self.attachments.renew(peer, stamp, entitled, vms, now)
        return True

    def exchange(self, peer: str, reports: Iterable[CreditReport]) -> list[CreditSupply]:
        """Books the reports of an attached owner of a zone and grants it credit."""
        held = self._held.setdefault(peer, {})
        return [self._exchange(held, report) for report in reports]

    def _exchange(self, held: dict[str, int], report: CreditReport) -> CreditSupply:
        workspace = self._limits.get(report.workspace)
        if workspace is None:
            held.pop(report.workspace, None)
            return CreditSupply(report.workspace)
        bucket = self._settle(workspace)
        before = held.get(workspace.name, 0)
        closed = min(before, report.returned + report.used)
        # Requests beyond the credit that was held were admitted against this exchange.
        debt = max(0, report.used - max(0, before - report.returned))
        bucket.outstanding -= closed
        bucket.level += report.returned - debt
        self._limit_level(bucket)
        granted = self._choose_grant(bucket, report.wanted)
        bucket.level -= granted
        bucket.outstanding += granted
        held[workspace.name] = before - closed + granted
        wait_s = 0.0
        if report.wanted and not granted:
            wait_s = self._compute_wait(bucket)
        return CreditSupply(workspace.name, granted, wait_s)

    @staticmethod
    def _choose_grant(bucket: _Bucket, wanted: int) -> int:
        """Returns the credit to grant; half of a scarce level is left for other zones."""
        available = int(max(0.0, bucket.level))
        return min(wanted, max(1, available // 2)) if available else 0

    def _compute_wait(self, bucket: _Bucket) -> float:
        rate_per_s = bucket.workspace.rate_per_s * self._share
        return (1.0 - bucket.level) / rate_per_s if rate_per_s > 0.0 else UNKNOWN_WAIT_S

    @property
    def _share(self) -> float:
        return min(1.0, self.attachments.entitled / self._fleet_vms)

    def _settle(self, workspace: Workspace) -> _Bucket:
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            # A bucket that nobody has used since the pool grew last has been refilled since then.
            refilled = workspace.rate_per_s * (self._clock - self._grown_clock)
            bucket = _Bucket(workspace, self._compute_start(workspace) + refilled, self._clock)
            self._buckets[workspace.name] = bucket
        bucket.level += workspace.rate_per_s * (self._clock - bucket.clock)
        bucket.clock, bucket.workspace = self._clock, workspace
        self._limit_level(bucket)
        return bucket

    def _limit_level(self, bucket: _Bucket) -> None:
        depth = self._bounds.compute_depth(bucket.workspace) * self._share
        depth = max(depth, self._compute_start(bucket.workspace))
        bucket.level = min(bucket.level, max(0.0, depth - bucket.outstanding))

    def _compute_start(self, workspace: Workspace) -> float:
        part = min(1.0, self.attachments.vms / self._fleet_vms)
        return self._bounds.compute_start(workspace) * part

    def _note_growth(self) -> None:
        self._settle_all()
        self._grown_clock = self._clock

    def _settle_all(self) -> None:
        for bucket in self._buckets.values():
            self._settle(bucket.workspace)

    def _advance(self, now: float) -> None:
        if self._updated_at > -math.inf and now > self._updated_at:
            self._clock += (now - self._updated_at) * self._share
        self._updated_at = max(self._updated_at, now)
