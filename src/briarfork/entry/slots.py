"""Permit queues for the slots that this VM owns, and the streams of VMs that request permits."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

import msgspec

from briarfork.border.busy_times import BusyTimes
from briarfork.border.busy_times import Work
from briarfork.border.events import Event
from briarfork.border.messages import CreditAnswer
from briarfork.border.messages import CreditAsk
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Hello
from briarfork.border.messages import Load
from briarfork.border.messages import Message
from briarfork.border.messages import PermitCancel
from briarfork.border.messages import PermitGrant
from briarfork.border.messages import PermitHeld
from briarfork.border.messages import PermitRefusal
from briarfork.border.messages import PermitRelease
from briarfork.border.messages import PermitRequest
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import StreamTimeout
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.hashing import shorten_text
from briarfork.pools import NO_REPORT
from briarfork.pools import Grant
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.pools import Requester
from briarfork.pools import ServerReport
from briarfork.pools import SlotRequest
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings
    from briarfork.border.streams import MessageStream
    from briarfork.configuration import SiteCapacity
    from briarfork.membership import Member
    from briarfork.pools import Release
    from briarfork.pools import ServerAddress

SlotKey = tuple[str, str]
DecisionCallback = Callable[[Grant | Refusal], None]

# Interval at which waiting requests are checked for expiry and paused servers for reactivation.
POLL_INTERVAL_S = 0.02
# A new owner grants nothing until requesters had time to declare the permits of the former owner.
# They reconnect within one heartbeat interval and one connection attempt.
ADOPTION_PERIOD_S = 0.5
# Bounds the memory for declarations that arrive before this VM knows that it owns the slots.
MAX_EARLY_DECLARATIONS = 4096
MS_PER_S = 1000.0
NOT_OWNER = "this VM does not own the slots"

HANDLERS: Registry[Callable[[Any, Any, Any], None]] = Registry("permit message")


class SlotView(Protocol):
    """The configuration, servers and members that an owner of slots needs."""

    def list_capacities(self) -> list[tuple[SlotKey, SiteCapacity, bool]]:
        """Returns service and site, capacity of a server, and whether both classes are served."""

    def find_owner(self, service: str, site: str) -> Member | None:
        """Returns the entry VM that owns the slots of a service at a site."""

    def list_servers(self, service: str, site: str) -> list[ServerAddress]:
        """Returns the servers that accept new requests."""


class CreditOwner(Protocol):
    """Answers other VMs that ask for credit within the quotas of workspaces."""

    def handle_ask(
        self, peer: str, message: CreditAsk, reply: Callable[[CreditAnswer], None]
    ) -> None:
        """Answers a message, now or later."""


class SlotManager:
    """Owns the permit queues of one entry process.

    The decisions of a queue are passed to the requester by a callback, which writes to the stream
    of a remote requester or completes a future in this process.

    Attributes:
        busy_times: Time for which the event loop has been busy with each kind of work.
        credit_owner: Answers messages about quotas, None if this program has none.
    """

    def __init__(
        self, settings: Settings, events: EventLog, view: SlotView, slow_start: bool = True
    ) -> None:
        self._slow_start = slow_start
        self.busy_times = BusyTimes()
        self.credit_owner: CreditOwner | None = None
        self.settings = settings
        self.events = events
        self._view = view
        self._queues: dict[SlotKey, PermitQueue] = {}
        self._adoption_ends_at: dict[SlotKey, float] = {}
        self._callbacks: dict[str, DecisionCallback] = {}
        self._early_declarations: dict[str, tuple[Requester, PermitHeld]] = {}
        self._stream_numbers = itertools.count(1)

    def refresh(self) -> None:
        """Applies the current plan, membership and list of servers to the queues."""
        capacities = self._view.list_capacities()
        self._discard_unused({key for key, _, _ in capacities})
        for key, capacity, mixed in capacities:
            owner = self._view.find_owner(*key)
            if owner is None or owner.vm != self.settings.vm:
                self._relinquish(key)
                continue
            is_new = key not in self._queues
            if is_new:
                self._queues[key] = PermitQueue(
                    capacity, mixed, random.Random(), slow_start=self._slow_start
                )
                self._adoption_ends_at[key] = time.monotonic() + ADOPTION_PERIOD_S
            self._queues[key].set_capacity(capacity, mixed)
            self._queues[key].set_servers(self._view.list_servers(*key))
            if is_new:
                self._adopt_early_declarations(key)

    def _discard_unused(self, listed: set[SlotKey]) -> None:
        """Discards the idle queues of slots that the configuration no longer has."""
        unused = [key for key, queue in self._queues.items() if key not in listed and queue.is_idle]
        for key in unused:
            del self._queues[key]
            del self._adoption_ends_at[key]

    def request_permit(
        self, key: SlotKey, slot_request: SlotRequest, on_decision: DecisionCallback
    ) -> None:
        """Requests a permit; the callback gets the decision, now or later."""
        queue = self._queues.get(key)
        if queue is None:
            on_decision(Refusal(slot_request, NOT_OWNER, moved=True))
            return
        self._callbacks[slot_request.permit] = on_decision
        now = time.monotonic()
        if now < self._adoption_ends_at[key]:
            if slot_request.hedge:
                self._notify_requesters([Refusal(slot_request, "the slots have a new owner")])
            else:
                queue.enqueue(slot_request)
            return
        with self.busy_times.measure(Work.PERMITS):
            decisions = queue.submit(slot_request, now)
        self._notify_requesters(decisions)

    def select_known(self, key: SlotKey, names: Iterable[str]) -> frozenset[str]:
        """Returns those of some names that are names of servers of slots that this VM owns."""
        queue = self._queues.get(key)
        return frozenset() if queue is None else queue.select_known(names)

    def find_queue(self, key: SlotKey) -> PermitQueue | None:
        """Returns the queue of slots that this VM owns, or None."""
        return self._queues.get(key)

    def release(
        self,
        key: SlotKey,
        permit: str,
        outcome: Release,
        elapsed_s: float,
        report: ServerReport = NO_REPORT,
    ) -> None:
        """Releases a permit and grants the free slot to the next request."""
        self._early_declarations.pop(permit, None)
        queue = self._queues.get(key)
        if queue is not None:
            now = time.monotonic()
            queue.release(permit, outcome, elapsed_s, now, report)
            if now >= self._adoption_ends_at[key]:
                self._grant_waiting(queue, now)

    def cancel(self, key: SlotKey, permit: str) -> None:
        """Cancels a waiting request for a permit."""
        self._callbacks.pop(permit, None)
        queue = self._queues.get(key)
        if queue is not None:
            now = time.monotonic()
            queue.cancel(permit, now)
            self._grant_waiting(queue, now)

    def adopt(self, requester: Requester, held: PermitHeld) -> None:
        """Adopts a permit that the former owner granted.

        The requester may learn of the change of owner before this VM does; the declaration is then
        kept until this VM becomes the owner.
        """
        queue = self._queues.get((held.service, held.site))
        if queue is not None:
            queue.adopt(
                held.permit,
                requester,
                held.vm,
                held.request_class,
                time.monotonic(),
                held.object_key,
                held.limit_per_s,
            )
        elif len(self._early_declarations) < MAX_EARLY_DECLARATIONS:
            self._early_declarations[held.permit] = (requester, held)

    def release_earlier_streams(self, requester: Requester) -> None:
        """Releases permits of earlier streams of a VM that its new stream has not declared."""
        now = time.monotonic()
        for key, queue in self._queues.items():
            self._discard_callbacks(queue.release_earlier_streams(requester, now))
            if now >= self._adoption_ends_at[key]:
                self._grant_waiting(queue, now)

    def drop_requester(self, requester: Requester, silent: bool) -> None:
        """Cancels the requests of a closed stream and marks its permits as orphaned."""
        now = time.monotonic()
        for permit in [p for p, (vm, _) in self._early_declarations.items() if vm == requester]:
            del self._early_declarations[permit]
        for queue in self._queues.values():
            self._discard_callbacks(queue.drop_requester(requester, silent, now))

    def list_load(self) -> list[Load]:
        """Returns the load of all owned slots."""
        return [
            Load(service, site, queue.in_progress, queue.slots, queue.waiting)
            for (service, site), queue in self._queues.items()
        ]

    async def poll(self) -> None:
        """Expires waiting requests and uses servers again when their pause has ended."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            now = time.monotonic()
            for key, queue in self._queues.items():
                if queue.waiting and now >= self._adoption_ends_at[key]:
                    self._grant_waiting(queue, now)
                self._report_shortage(key, queue, now)

    async def serve(self, stream: MessageStream) -> None:
        """Serves one requester until its stream ends."""
        timeouts = self.settings.timeouts
        requester: Requester | None = None
        silent = False
        try:
            hello = await stream.receive(timeouts.permit_silence_s)
            if not isinstance(hello, Hello):
                raise BriarforkError(ErrorKind.PEER_PROTOCOL, "expected hello")
            requester = Requester(hello.vm, next(self._stream_numbers))
            async with asyncio.TaskGroup() as group:
                heartbeats = group.create_task(send_heartbeats(stream, timeouts.permit_heartbeat_s))
                try:
                    await self._receive_all(requester, stream)
                finally:
                    heartbeats.cancel()
        except* StreamClosed as errors:
            silent = errors.subgroup(StreamTimeout) is not None
        except* BriarforkError as errors:
            self.events.record(
                Event.PEER_PROTOCOL_ERROR, peer=stream.peer, fault=errors.exceptions[0]
            )
        finally:
            if requester is not None:
                self.drop_requester(requester, silent)

    async def _receive_all(self, requester: Requester, stream: MessageStream) -> None:
        """Handles the messages of a stream; its first heartbeat follows the last declaration."""
        settled = False
        while True:
            message = await stream.receive(self.settings.timeouts.permit_silence_s)
            self._dispatch(requester, stream, message)
            if not settled and isinstance(message, Heartbeat):
                settled = True
                self.release_earlier_streams(requester)

    def _dispatch(self, requester: Requester, stream: MessageStream, message: Message) -> None:
        if message.name not in HANDLERS.names():
            raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"unexpected message {message.name!r}")
        HANDLERS.get(message.name)(self, (requester, stream), message)

    def _grant_waiting(self, queue: PermitQueue, now: float) -> None:
        with self.busy_times.measure(Work.PERMITS):
            decisions = queue.poll(now)
        self._notify_requesters(decisions)

    def _report_shortage(self, key: SlotKey, queue: PermitQueue, now: float) -> None:
        shortage = queue.demand.take_report(now)
        if shortage is not None:
            self.events.record(
                Event.CAPACITY_SHARED,
                service=key[0],
                zone=key[1],
                requests=shortage.requests,
                refused=shortage.refused,
                workspaces={name: list(counts) for name, counts in shortage.workspaces.items()},
            )

    def _relinquish(self, key: SlotKey) -> None:
        """Removes the queue of lost slots; waiting requesters are referred to the new owner."""
        queue = self._queues.pop(key, None)
        if queue is not None:
            refusals = [Refusal(item, NOT_OWNER, moved=True) for item in queue.remove_all_waiting()]
            self._notify_requesters(refusals)

    def _adopt_early_declarations(self, key: SlotKey) -> None:
        for permit, (requester, held) in list(self._early_declarations.items()):
            if (held.service, held.site) == key:
                del self._early_declarations[permit]
                self.adopt(requester, held)

    def _discard_callbacks(self, dropped: Iterable[SlotRequest]) -> None:
        for slot_request in dropped:
            self._callbacks.pop(slot_request.permit, None)

    def _notify_requesters(self, decisions: Iterable[Grant | Refusal]) -> None:
        for decision in decisions:
            on_decision = self._callbacks.pop(decision.request.permit, None)
            if on_decision is not None:
                on_decision(decision)


async def send_heartbeats(stream: MessageStream, interval_s: float) -> None:
    """Sends heartbeats until the stream closes."""
    while True:
        stream.send(Heartbeat())
        await asyncio.sleep(interval_s)


Sender = tuple[Requester, "MessageStream"]


@HANDLERS.register(Heartbeat.name)
def handle_heartbeat(manager: SlotManager, sender: Sender, message: Heartbeat) -> None:
    """Does nothing; receiving the message has already reset the silence timeout."""


@HANDLERS.register(PermitRequest.name)
def handle_request(manager: SlotManager, sender: Sender, message: PermitRequest) -> None:
    """Requests a permit and sends the decision back on the stream."""
    requester, stream = sender
    slot_request = SlotRequest(
        permit=message.permit,
        requester=requester,
        request_class=message.request_class,
        expires_at=time.monotonic() + message.wait_ms / MS_PER_S,
        avoid=manager.select_known((message.service, message.site), message.avoid),
        hedge=message.hedge,
        priority=message.priority,
        object_key=shorten_text(message.object_key),
        asked_at=time.monotonic(),
        workspace=shorten_text(message.workspace),
        weight=message.weight,
    )

    def send_decision(decision: Grant | Refusal) -> None:
        try:
            stream.send(_encode_decision(decision))
        except StreamClosed:
            return

    manager.request_permit((message.service, message.site), slot_request, send_decision)


@HANDLERS.register(PermitRelease.name)
def handle_release(manager: SlotManager, sender: Sender, message: PermitRelease) -> None:
    """Releases a permit."""
    key = (message.service, message.site)
    elapsed_s = message.elapsed_ms / MS_PER_S
    report = ServerReport(slowness=message.slowness, limit_per_s=message.limit_per_s)
    manager.release(key, message.permit, message.how, elapsed_s, report)


@HANDLERS.register(PermitCancel.name)
def handle_cancel(manager: SlotManager, sender: Sender, message: PermitCancel) -> None:
    """Cancels a waiting request for a permit."""
    manager.cancel((message.service, message.site), message.permit)


@HANDLERS.register(PermitHeld.name)
def handle_held(manager: SlotManager, sender: Sender, message: PermitHeld) -> None:
    """Adopts a permit that the former owner granted."""
    object_key = shorten_text(message.object_key)
    manager.adopt(sender[0], msgspec.structs.replace(message, object_key=object_key))


@HANDLERS.register(CreditAsk.name)
def handle_credit_ask(manager: SlotManager, sender: Sender, message: CreditAsk) -> None:
    """Passes a message about quotas on; the answer is sent back on the stream."""
    requester, stream = sender

    def reply(answer: CreditAnswer) -> None:
        try:
            stream.send(answer)
        except StreamClosed:
            return

    if manager.credit_owner is not None:
        manager.credit_owner.handle_ask(requester.vm, message, reply)


def _encode_decision(decision: Grant | Refusal) -> PermitGrant | PermitRefusal:
    permit = decision.request.permit
    if isinstance(decision, Grant):
        server = decision.server
        return PermitGrant(permit, server.name, server.address, server.port, decision.limit_per_s)
    return PermitRefusal(permit, decision.reason, decision.moved, decision.wait_s)
