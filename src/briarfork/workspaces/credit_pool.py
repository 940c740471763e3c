"""The token buckets of a pool of entitlements, at the VM that owns the credit of the fleet."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import NamedTuple

from briarfork.workspaces.attachments import ATTACHMENT_S
from briarfork.workspaces.attachments import Attachments
from briarfork.workspaces.attachments import is_recent

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarfork.workspaces.quota_bounds import QuotaBounds
    from briarfork.workspaces.workspace import Workspace

# Part of its VMs whose entitlements a pool has when it is known whether a quota is used up.
KNOWN_PART = 0.5


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
        wait_s: Time until the pool has the credit that is missing, 0 if it has enough or does not
            know the workspace.
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
        self._attached_at = -math.inf
        # Time for which the pool has had all entitlements; buckets are refilled by it.
        self._clock = 0.0
        # Part of the VMs for which the buckets have got their start.
        self._started_part = 0.0
        self._buckets: dict[str, _Bucket] = {}
        self._held: dict[str, dict[str, int]] = {}
        # Credit of peers that started anew, with the time at which it ends.
        self._former: list[tuple[float, dict[str, int]]] = []

    def set_limits(self, limits: Mapping[str, Workspace]) -> None:
        """Replaces the workspaces that have a quota; new limits apply from now on."""
        self._settle_all()
        self._limits = limits
        for name in [name for name in self._buckets if name not in limits]:
            del self._buckets[name]
            for held in (*self._held.values(), *(held for _, held in self._former)):
                held.pop(name, None)
        self._settle_all()

    def update(self, fleet_vms: int, now: float) -> None:
        """Accounts for the time until now and for attachments that have ended.

        Args:
            fleet_vms: Largest recent number of serving VMs.
            now: Time in seconds.
        """
        for ends_at, peer in self.attachments.pop_ended(now):
            self._advance(ends_at)
            self._end_credit(self._held.pop(peer, {}))
        for _, held in (item for item in self._former if item[0] <= now):
            self._end_credit(held)
        self._former = [item for item in self._former if item[0] > now]
        self._advance(now)
        if fleet_vms < self._fleet_vms:
            self._settle_all()
        self._fleet_vms = max(1, fleet_vms)
        if self.attachments.vms:
            self._attached_at = now
        elif now - self._attached_at > self._bounds.window_s:
            # What the VMs use elsewhere is not known here, so a later pool starts anew. It gets one
            # start in a window, however often its VMs leave and come back.
            self._buckets.clear()
            self._held.clear()
            self._former.clear()
            self._started_part = 0.0

    def attach(self, peer: str, stamp: float, entitled: int, vms: int, now: float) -> bool:
        """Attaches the owner of a zone if its message is recent, and returns whether it was."""
        if not stamp and peer in self._held:
            # The peer lost its stream or was restarted, so it may not have got its last grants.
            self._former.append((now + ATTACHMENT_S, self._held.pop(peer)))
        if not is_recent(stamp, now):
            return False
        old_entitled, old_vms = self.attachments.count(peer)
        is_growing = entitled > old_entitled or vms > old_vms
        if is_growing:
            # The room that a pool gains is empty: its levels must not follow the new depth.
            self._settle_all()
        self.attachments.renew(peer, stamp, entitled, vms, now)
        if is_growing:
            self._start_buckets()
        return True

    def exchange(self, peer: str, reports: Iterable[CreditReport]) -> list[CreditSupply]:
        """Books the reports of the owner of a zone and grants it credit if it is attached."""
        if self.attachments.has(peer):
            held = self._held.setdefault(peer, {})
            return [self._exchange(held, report) for report in reports]
        # A message that was held up: its use counts, but what it returns may be refilled already.
        late = [report._replace(wanted=0, returned=0) for report in reports]
        return [self._exchange({}, report) for report in late]

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
        held[workspace.name] = before - closed
        granted = self._choose_grant(bucket, held, report.wanted)
        bucket.level -= granted
        bucket.outstanding += granted
        held[workspace.name] += granted
        wait_s = 0.0
        if report.wanted > granted + max(0.0, bucket.level):
            wait_s = self._compute_wait(bucket, report.wanted - granted)
        return CreditSupply(workspace.name, granted, wait_s)

    def _choose_grant(self, bucket: _Bucket, held: dict[str, int], wanted: int) -> int:
        """Returns the credit to grant.

        One request of each zone that holds none is left at the pool, or the zones that ask first
        would hold the whole burst of a small workspace. Of a scarce level, half is left as well.
        """
        available = int(max(0.0, bucket.level))
        if not available:
            return 0
        name = bucket.workspace.name
        without = sum(1 for other in self._held.values() if not other.get(name))
        at_least = 0 if held.get(name) else 1
        free = available - without + at_least
        return min(wanted, max(at_least, free // 2))

    def _compute_wait(self, bucket: _Bucket, missing: int) -> float:
        if self.attachments.entitled < KNOWN_PART * self.attachments.vms:
            # Entitlements are still in the pool of a lost owner, so this one may not be used up.
            return 0.0
        rate_per_s = bucket.workspace.rate_per_s * self._share
        return (missing - bucket.level) / rate_per_s if rate_per_s > 0.0 else 0.0

    @property
    def _share(self) -> float:
        return min(1.0, self.attachments.entitled / self._fleet_vms)

    def _settle(self, workspace: Workspace) -> _Bucket:
        bucket = self._buckets.get(workspace.name)
        if bucket is None:
            start = self._bounds.compute_start(workspace) * self._started_part
            bucket = self._buckets[workspace.name] = _Bucket(workspace, start, self._clock)
        bucket.level += workspace.rate_per_s * (self._clock - bucket.clock)
        bucket.clock, bucket.workspace = self._clock, workspace
        self._limit_level(bucket)
        return bucket

    def _limit_level(self, bucket: _Bucket) -> None:
        depth = self._bounds.compute_depth(bucket.workspace) * self._share
        depth = max(depth, self._bounds.compute_start(bucket.workspace) * self._started_part)
        bucket.level = min(bucket.level, max(0.0, depth - bucket.outstanding))

    def _start_buckets(self) -> None:
        """Gives each bucket its start for the VMs that the pool has not had before."""
        part = min(1.0, self.attachments.vms / self._fleet_vms)
        gained, self._started_part = part - self._started_part, max(part, self._started_part)
        for name, workspace in self._limits.items():
            bucket = self._buckets.get(name)
            if bucket is None:
                self._settle(workspace)
            elif gained > 0.0:
                bucket.level += gained * self._bounds.compute_start(workspace)

    def _end_credit(self, held: Mapping[str, int]) -> None:
        for name, count in held.items():
            bucket = self._buckets.get(name)
            if bucket is not None:
                bucket.outstanding -= count

    def _settle_all(self) -> None:
        for bucket in self._buckets.values():
            self._settle(bucket.workspace)

    def _advance(self, now: float) -> None:
        if self._updated_at > -math.inf and now > self._updated_at:
            self._clock += (now - self._updated_at) * self._share
        self._updated_at = max(self._updated_at, now)
