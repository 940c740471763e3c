"""Owners of credit: of one shard in a zone, and of one shard in the fleet."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import CreditAnswer
from briarfork.border.messages import CreditAsk
from briarfork.border.messages import CreditEntry
from briarfork.border.messages import CreditGrant
from briarfork.workspaces import Attachment
from briarfork.workspaces import Attachments
from briarfork.workspaces import CreditPool
from briarfork.workspaces import CreditReport
from briarfork.workspaces import CreditSupply
from briarfork.workspaces import ZoneCredit

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.border.events import EventLog
    from briarfork.gateway.quota_links import CreditLinks
    from briarfork.workspaces import QuotaBounds
    from briarfork.workspaces import Workspace

Reply = Callable[[CreditAnswer], None]

# Interval at which an attachment is renewed.
RENEW_S = 0.2
# Longest wait of a VM for a decision on credit.
DECISION_S = 0.055
# Part of it for the owner of the fleet; the rest is for the way between the VM and its zone's
# owner.
FLEET_WAIT_S = 0.045
# With a shorter round trip, requests wait for credit, so that more is left for distant zones.
NEAR_ROUND_TRIP_S = 0.03
MAX_WAITING = 1000
MAX_WAIT_S = 3600.0


class FleetCreditOwner:
    """Grants the credit of one shard to the owners of zones."""

    def __init__(self, shard: int, bounds: QuotaBounds) -> None:
        self.pool = CreditPool(bounds)
        self._shard = shard

    def handle_ask(
        self, peer: str, ask: CreditAsk, reply: Reply, fleet_vms: int, now: float
    ) -> None:
        """Answers the owner of a zone."""
        self.pool.update(fleet_vms, now)
        attached = not ask.leaving and self.pool.attach(peer, ask.stamp, ask.entitled, ask.vms, now)
        reports = [
            CreditReport(item.workspace, item.wanted if attached else 0, item.used, item.returned)
            for item in ask.entries
        ]
        supplies = self.pool.exchange(peer, reports)
        if ask.leaving:
            self.pool.attachments.release(peer)
        grants = [
            CreditGrant(item.workspace, item.granted, min(item.wait_s, MAX_WAIT_S))
            for item in supplies
            if item.granted or item.wait_s
        ]
        reply(CreditAnswer(ask.number, self._shard, True, now, attached, grants))


@dataclass(slots=True)
class _WaitingAsk:
    """An ask whose requests were not all granted yet."""

    number: int
    reply: Reply
    attached: bool
    fleet_vms: int
    expires_at: float
    granted: dict[str, int] = field(default_factory=dict)
    missing: dict[str, int] = field(default_factory=dict)


class ZoneCreditOwner:
    """Admits the requests of a zone for one shard, with credit of the fleet's owner."""

    def __init__(
        self, shard: int, bounds: QuotaBounds, links: CreditLinks, events: EventLog
    ) -> None:
        self._bounds = bounds
        self._shard = shard
        self._links = links
        self._events = events
        self._vms = Attachments()
        self._credit = ZoneCredit()
        self._fleet = Attachment()
        self._asked_at: float | None = None
        # Time since when VMs have been attached without a break.
        self._begun_at = math.inf
        self._waiting: list[_WaitingAsk] = []

    def handle_ask(
        self, peer: str, ask: CreditAsk, reply: Reply, fleet_vms: int, now: float
    ) -> None:
        """Answers a VM at once, or as soon as the owner of the fleet has answered."""
        self._drop_ended(now)
        attached = False
        if ask.leaving:
            self._vms.release(peer)
        else:
            attached = self._vms.renew(peer, ask.stamp, min(ask.entitled, 1), 1, now)
        if attached and not self._fleet.owner:
            self.maintain(now)
        waiting = _WaitingAsk(ask.number, reply, attached, fleet_vms, now + FLEET_WAIT_S)
        advance = self._compute_advance(fleet_vms, now)
        for entry in ask.entries:
            self._credit.give_back(entry.workspace, entry.returned)
            if not entry.wanted:
                continue
            granted = 0
            if entry.workspace in self._credit.limits:
                granted = self._credit.take(entry.workspace, entry.wanted, now, advance)
                waiting.missing[entry.workspace] = entry.wanted - granted
            waiting.granted[entry.workspace] = granted
        if any(self._credit.needs_credit(name, now) for name in waiting.missing):
            self._ask_fleet(now)
            self._retake(waiting, now)
        if self._may_wait(waiting, now):
            self._waiting.append(waiting)
        else:
            self._answer(waiting, now)

    def set_limits(self, limits: Mapping[str, Workspace]) -> None:
        """Replaces the workspaces that have a quota."""
        self._credit.set_limits(limits)

    def handle_answer(self, owner: str, answer: CreditAnswer, now: float) -> None:
        """Receives credit from the owner of the fleet."""
        was_attached = self._fleet.confirmed_until >= now
        self._fleet.confirm(answer.number, answer.stamp, answer.attached, now)
        if owner != self._fleet.owner:
            return
        self._asked_at = None
        supplies = [
            CreditSupply(item.workspace, item.granted, item.wait_s) for item in answer.grants
        ]
        self._credit.is_near = self._fleet.round_trip_s <= NEAR_ROUND_TRIP_S
        self._credit.receive(supplies, self._fleet.confirmed_until, now)
        if not answer.attached:
            # The answer has brought a stamp, with which the next message attaches this VM.
            if not was_attached:
                self._ask_fleet(now)
            return
        waiting, self._waiting = self._waiting, []
        for item in waiting:
            self._retake(item, now)
            self._answer(item, now)

    def maintain(self, now: float) -> None:
        """Stays attached to the owner of the fleet, or finds another one."""
        self._drop_ended(now)
        self._answer_expired(now)
        if not self._vms.vms:
            self._begun_at = math.inf
            self._change_owner("", now)
            return
        self._begun_at = min(self._begun_at, now)
        if self._fleet.is_silent(now):
            self._links.avoid(self._fleet.owner, now)
        owner = self._links.find_owner(self._shard, True, now)
        if owner != self._fleet.owner and (owner or self._fleet.is_silent(now)):
            self._change_owner(owner, now)
        if self._fleet.is_due(now, RENEW_S):
            self._ask_fleet(now)

    def _change_owner(self, owner: str, now: float) -> None:
        former = self._fleet.owner
        if former == owner:
            return
        self._fleet.change_owner(owner)
        self._asked_at = None
        if former:
            entries = self._build_entries(now)
            self._links.send(
                former,
                CreditAsk(self._fleet.leave(), self._shard, True, leaving=True, entries=entries),
            )
        if owner:
            self._events.record(
                Event.QUOTA_OWNER_CHANGED, shard=self._shard, of="fleet", owner=owner, former=former
            )

    def _ask_fleet(self, now: float) -> None:
        """Reports to the owner of the fleet and asks for credit, one message at a time."""
        if not self._fleet.owner or self._asked_at is not None:
            return
        self._asked_at = now
        number, stamp = self._fleet.begin(now)
        entitled = self._vms.entitled if self._fleet.is_entitled(now) else 0
        # Reports in a message that attaches nobody would be lost.
        entries = self._build_entries(now) if stamp else []
        self._links.send(
            self._fleet.owner,
            CreditAsk(number, self._shard, True, stamp, entitled, self._vms.vms, False, entries),
        )

    def _build_entries(self, now: float) -> list[CreditEntry]:
        return [CreditEntry(*report) for report in self._credit.build_reports(now)]

    def _may_wait(self, waiting: _WaitingAsk, now: float) -> bool:
        """Returns whether missing credit can come in time."""
        missing = [name for name, count in waiting.missing.items() if count]
        if not missing or self._asked_at is None or len(self._waiting) >= MAX_WAITING:
            return False
        answer_at = self._asked_at + self._fleet.round_trip_s
        return answer_at < waiting.expires_at and not all(
            self._credit.is_used_up(name, now) for name in missing
        )

    def _compute_advance(self, fleet_vms: int, now: float) -> int:
        return self._bounds.compute_advance(self._vms.vms / fleet_vms, now - self._begun_at)

    def _retake(self, waiting: _WaitingAsk, now: float) -> None:
        advance = self._compute_advance(waiting.fleet_vms, now)
        for name, missing in waiting.missing.items():
            if missing:
                granted = self._credit.retake(name, missing, now, advance)
                waiting.granted[name] += granted
                waiting.missing[name] -= granted

    def _answer(self, waiting: _WaitingAsk, now: float) -> None:
        grants = []
        for name, granted in waiting.granted.items():
            missing = waiting.missing.get(name, 0)
            wait_s = self._credit.refuse(name, missing, now) if missing else 0.0
            grants.append(CreditGrant(name, granted, wait_s))
        waiting.reply(
            CreditAnswer(waiting.number, self._shard, False, now, waiting.attached, grants)
        )

    def _answer_expired(self, now: float) -> None:
        expired = [item for item in self._waiting if item.expires_at <= now]
        if expired:
            self._waiting = [item for item in self._waiting if item.expires_at > now]
            for item in expired:
                self._answer(item, now)

    def _drop_ended(self, now: float) -> None:
        for _ in self._vms.pop_ended(now):
            continue
