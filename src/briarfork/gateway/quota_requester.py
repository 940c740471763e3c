"""Requests credit for the requests of this VM from the owner of its zone."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.messages import CreditAsk
from briarfork.border.messages import CreditEntry
from briarfork.gateway.quota_owners import RENEW_S
from briarfork.workspaces import Attachment

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.events import EventLog
    from briarfork.border.messages import CreditAnswer
    from briarfork.border.messages import CreditGrant
    from briarfork.gateway.quota_links import CreditLinks

# Credit is not used later than this after it was requested, as after a pause of this process.
CREDIT_S = 1.0
# The owner of a zone tells the owner of the fleet of an ended attachment with its next message.
REPORT_LAG_S = RENEW_S + 0.1
# Workspaces in one message.
MAX_ENTRIES = 500


@dataclass(frozen=True, slots=True)
class Decision:
    """The decision on one request.

    Attributes:
        granted: Whether the request may be sent.
        wait_s: Time after which to try again if the quota is used up, 0 if that is not known.
        source: The attachment that the credit came from, to which it can be given back.
    """

    granted: bool
    wait_s: float = 0.0
    source: int = 0


UNDECIDED = Decision(granted=False)
Futures = list["asyncio.Future[Decision]"]


@dataclass(slots=True)
class _SentAsk:
    sent_at: float
    futures: dict[str, Futures]


class CreditRequester:
    """Collects the requests of one iteration of the event loop in one message.

    Under high demand one message then carries many requests, and a single request never waits for
    others.
    """

    def __init__(
        self,
        shard: int,
        links: CreditLinks,
        events: EventLog,
        read_clock: Callable[[], float],
        max_return_age_s: float,
    ) -> None:
        self._shard = shard
        self._max_return_age_s = max_return_age_s
        self._links = links
        self._events = events
        self._read_clock = read_clock
        self._zone = Attachment(REPORT_LAG_S)
        self._source = 0
        self._collected: dict[str, Futures] = {}
        self._returned: dict[str, int] = {}
        self._sent: dict[int, _SentAsk] = {}
        self._is_flush_scheduled = False
        self._is_attaching = False

    def request(self, workspace: str) -> asyncio.Future[Decision]:
        """Requests credit for one request."""
        future: asyncio.Future[Decision] = asyncio.get_running_loop().create_future()
        if not self._zone.owner:
            self.maintain(self._read_clock())
        if self._zone.owner:
            self._collected.setdefault(workspace, []).append(future)
            self._schedule_flush()
        else:
            future.set_result(UNDECIDED)
        return future

    def give_back(self, workspace: str, source: int) -> None:
        """Returns credit to the owner that granted it, if this VM is still attached to it."""
        if source == self._source:
            self._returned[workspace] = self._returned.get(workspace, 0) + 1
            self._schedule_flush()

    def maintain(self, now: float) -> None:
        """Stays attached to the owner of the zone, or finds another one."""
        if self._zone.is_silent(now):
            self._links.avoid(self._zone.owner, now)
        owner = self._links.find_owner(self._shard, False, now)
        if owner != self._zone.owner and (owner or self._zone.is_silent(now)):
            self._change_owner(owner)
        for number in [n for n, ask in self._sent.items() if now - ask.sent_at > CREDIT_S]:
            self._resolve_all(self._sent.pop(number))
        if self._zone.owner and self._zone.is_due(now, RENEW_S):
            self._send(now, {})

    def handle_answer(self, owner: str, answer: CreditAnswer, now: float) -> None:
        """Passes decisions to the requests that wait for them."""
        self._zone.confirm(answer.number, answer.stamp, answer.attached, now)
        if owner != self._zone.owner:
            return
        sent = self._sent.pop(answer.number, None)
        # Credit of an answer that came twice, or too late to be used, is not returned.
        if sent is not None:
            age_s = now - sent.sent_at
            if age_s <= CREDIT_S:
                for grant in answer.grants:
                    self._decide(grant, sent.futures.get(grant.workspace, []), age_s)
            self._resolve_all(sent)
        if answer.attached:
            self._is_attaching = False
        elif not self._is_attaching:
            # The answer has brought a stamp, with which the next message attaches this VM.
            self._is_attaching = True
            self._send(now, {})
        if self._returned:
            self._schedule_flush()

    def _decide(self, grant: CreditGrant, futures: Futures, age_s: float) -> None:
        """Passes the credit of one workspace on; what nobody waits for any more is returned."""
        left = grant.granted
        for future in futures:
            if not future.done():
                future.set_result(Decision(left > 0, grant.wait_s, self._source))
                left = max(0, left - 1)
        if left and age_s <= self._max_return_age_s:
            self._returned[grant.workspace] = self._returned.get(grant.workspace, 0) + left

    def _change_owner(self, owner: str) -> None:
        former = self._zone.owner
        self._zone.change_owner(owner)
        if former:
            leave = CreditAsk(self._zone.leave(), self._shard, leaving=True)
            self._links.send(former, leave)
        self._source += 1
        self._is_attaching = False
        self._returned.clear()
        # Requests that the former owner has not answered are put to the new one.
        for ask in self._sent.values():
            for name, futures in ask.futures.items():
                self._collected.setdefault(name, []).extend(f for f in futures if not f.done())
        self._sent.clear()
        if self._collected:
            self._schedule_flush()
        if owner:
            self._events.record(
                Event.QUOTA_OWNER_CHANGED, shard=self._shard, of="zone", owner=owner, former=former
            )

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        collected, self._collected = self._collected, {}
        waiting = {
            name: left
            for name, futures in collected.items()
            if (left := [future for future in futures if not future.done()])
        }
        if not self._zone.owner:
            self._resolve_all(_SentAsk(0.0, waiting))
            return
        if waiting or self._returned:
            self._send(self._read_clock(), waiting)

    def _send(self, now: float, futures: dict[str, Futures]) -> None:
        returned, self._returned = self._returned, {}
        names = list(dict.fromkeys([*futures, *returned]))
        for start in range(0, max(1, len(names)), MAX_ENTRIES):
            part = names[start : start + MAX_ENTRIES]
            number, stamp = self._zone.begin(now)
            asked = {name: futures[name] for name in part if name in futures}
            if asked:
                self._sent[number] = _SentAsk(now, asked)
            entries = [
                CreditEntry(name, len(asked.get(name, ())), 0, returned.get(name, 0))
                for name in part
            ]
            entitled = int(self._zone.is_entitled(now))
            self._links.send(
                self._zone.owner,
                CreditAsk(number, self._shard, False, stamp, entitled, 1, False, entries),
            )

    def _resolve_all(self, ask: _SentAsk) -> None:
        for futures in ask.futures.values():
            for future in futures:
                if not future.done():
                    future.set_result(UNDECIDED)
