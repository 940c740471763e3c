"""Slots of the sites that this entry process owns, and the streams of those who ask for them."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

from briarfork.border.events import Event
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
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.pools import Grant
from briarfork.pools import PermitDemand
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.border.events import EventLog
    from briarfork.border.settings import Settings
    from briarfork.border.streams import MessageStream
    from briarfork.entry.view import EntryView
    from briarfork.pools import Release

SlotKey = tuple[str, str]
NOT_OWNER = "not the owner of these slots"
Deliver = Callable[[Grant | Refusal], None]

# How often waiting requests are checked for expiry and pauses of servers for their end.
POLL_S = 0.02
# A new owner waits this long for requesters to declare the permits of the former owner.
ADOPTION_S = 0.5
MILLISECONDS = 1000.0

HANDLERS: Registry[Callable[[Any, Any, Any], None]] = Registry("message for an owner of slots")


class SlotDesk:
    """All permit queues of one entry process.

    Decisions of a queue are delivered to the requester: over its stream, or by a call in this
    process.
    """

    def __init__(self, settings: Settings, events: EventLog, view: EntryView) -> None:
        self.settings = settings
        self.events = events
        self._view = view
        self._queues: dict[SlotKey, PermitQueue] = {}
        self._opens_at: dict[SlotKey, float] = {}
        self._deliveries: dict[str, Deliver] = {}

    def refresh(self) -> None:
        """Applies the plan, the roster and the list of servers."""
        plan = self._view.require_steering().plan
        started = not self._queues
        for service in plan.services.values():
            for site, capacity in service.capacity.items():
                key = (service.name, site)
                owner = self._view.find_owner(*key)
                if owner is None or owner.vm != self.settings.vm:
                    self._queues.pop(key, None)
                    continue
                if key not in self._queues:
                    self._queues[key] = PermitQueue(capacity, service.is_mixed, random.Random())
                    delay_s = 0.0 if started else ADOPTION_S
                    self._opens_at[key] = time.monotonic() + delay_s
                self._queues[key].set_capacity(capacity, service.is_mixed)
                self._queues[key].set_servers(self._view.list_servers(*key))

    def demand(self, key: SlotKey, demand: PermitDemand, deliver: Deliver) -> None:
        """Adds a demand; its decision is delivered now or later."""
        queue = self._queues.get(key)
        if queue is None:
            deliver(Refusal(demand, NOT_OWNER))
            return
        self._deliveries[demand.permit] = deliver
        now = time.monotonic()
        if now < self._opens_at[key]:
            queue.enqueue(demand)
            return
        self._deliver(queue.demand(demand, now))

    def release(self, key: SlotKey, permit: str, how: Release, elapsed_s: float) -> None:
        """Frees a slot and grants it to the next request."""
        queue = self._queues.get(key)
        if queue is not None:
            now = time.monotonic()
            queue.release(permit, how, elapsed_s, now)
            if now >= self._opens_at[key]:
                self._deliver(queue.poll(now))

    def cancel(self, key: SlotKey, permit: str) -> None:
        """Withdraws a demand."""
        self._deliveries.pop(permit, None)
        queue = self._queues.get(key)
        if queue is not None:
            now = time.monotonic()
            queue.cancel(permit, now)
            self._deliver(queue.poll(now))

    def adopt(self, key: SlotKey, requester: str, held: PermitHeld) -> None:
        """Takes over a permit of the former owner."""
        queue = self._queues.get(key)
        if queue is not None:
            queue.adopt(held.permit, requester, held.vm, held.request_class)

    def drop_requester(self, requester: str) -> None:
        """Frees what a requester held whose stream is gone."""
        now = time.monotonic()
        for queue in self._queues.values():
            queue.drop_requester(requester, now)

    def list_load(self) -> list[Load]:
        """Returns the load of all owned slots."""
        return [
            Load(service, site, queue.in_progress, queue.slots, queue.waiting)
            for (service, site), queue in self._queues.items()
        ]

    async def poll(self) -> None:
        """Expires waiting requests and reopens servers after a pause."""
        while True:
            await asyncio.sleep(POLL_S)
            now = time.monotonic()
            for key, queue in self._queues.items():
                if queue.waiting and now >= self._opens_at[key]:
                    self._deliver(queue.poll(now))

    async def serve(self, stream: MessageStream) -> None:
        """Serves one requester until its stream ends."""
        timeouts = self.settings.timeouts
        requester = ""
        try:
            hello = await stream.receive(timeouts.silence_s)
            if not isinstance(hello, Hello):
                raise BriarforkError(ErrorKind.PEER_PROTOCOL, "expected hello")
            requester = hello.vm
            async with asyncio.TaskGroup() as group:
                beats = group.create_task(send_heartbeats(stream, timeouts.heartbeat_s))
                try:
                    while True:
                        message = await stream.receive(timeouts.silence_s)
                        self._handle(requester, stream, message)
                finally:
                    beats.cancel()
        except* StreamClosed:
            pass
        except* BriarforkError as wrong:
            self.events.record(Event.PEER_PROTOCOL_ERROR, peer=requester, fault=wrong.exceptions[0])
        finally:
            if requester:
                self.drop_requester(requester)

    def _handle(self, requester: str, stream: MessageStream, message: Message) -> None:
        if message.name not in HANDLERS.names():
            raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"unexpected message {message.name!r}")
        HANDLERS.get(message.name)(self, (requester, stream), message)

    def _deliver(self, decisions: Iterable[Grant | Refusal]) -> None:
        for decision in decisions:
            deliver = self._deliveries.pop(decision.demand.permit, None)
            if deliver is not None:
                deliver(decision)


async def send_heartbeats(stream: MessageStream, pause_s: float) -> None:
    """Sends heartbeats until the stream closes."""
    while True:
        stream.send(Heartbeat())
        await asyncio.sleep(pause_s)


Requester = tuple[str, "MessageStream"]


@HANDLERS.register(Heartbeat.name)
def handle_heartbeat(desk: SlotDesk, requester: Requester, message: Heartbeat) -> None:
    """Only keeps the stream alive."""


@HANDLERS.register(PermitRequest.name)
def handle_request(desk: SlotDesk, requester: Requester, message: PermitRequest) -> None:
    """Adds a demand whose decision goes back on the stream."""
    vm, stream = requester
    demand = PermitDemand(
        permit=message.permit,
        requester=vm,
        request_class=message.request_class,
        expires_at=time.monotonic() + message.wait_ms / MILLISECONDS,
        avoid=frozenset(message.avoid),
    )

    def deliver(decision: Grant | Refusal) -> None:
        try:
            stream.send(_describe(decision))
        except StreamClosed:
            return

    desk.demand((message.service, message.site), demand, deliver)


@HANDLERS.register(PermitRelease.name)
def handle_release(desk: SlotDesk, requester: Requester, message: PermitRelease) -> None:
    """Frees the slot of a permit."""
    key = (message.service, message.site)
    desk.release(key, message.permit, message.how, message.elapsed_ms / MILLISECONDS)


@HANDLERS.register(PermitCancel.name)
def handle_cancel(desk: SlotDesk, requester: Requester, message: PermitCancel) -> None:
    """Withdraws a demand."""
    desk.cancel((message.service, message.site), message.permit)


@HANDLERS.register(PermitHeld.name)
def handle_held(desk: SlotDesk, requester: Requester, message: PermitHeld) -> None:
    """Takes over a permit of the former owner."""
    desk.adopt((message.service, message.site), requester[0], message)


def _describe(decision: Grant | Refusal) -> PermitGrant | PermitRefusal:
    permit = decision.demand.permit
    if isinstance(decision, Grant):
        server = decision.server
        return PermitGrant(permit, server.vm, server.address, server.port)
    return PermitRefusal(permit, decision.reason)
