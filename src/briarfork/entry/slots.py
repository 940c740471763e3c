"""Slots of the sites that this entry process owns, and the streams of those who ask for them."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

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
from briarfork.border.streams import StreamTimeout
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.pools import Grant
from briarfork.pools import PermitQueue
from briarfork.pools import Refusal
from briarfork.pools import Requester
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
Deliver = Callable[[Grant | Refusal], None]

# How often waiting requests are checked for expiry and pauses of servers for their end.
POLL_S = 0.02
# A new owner waits this long for requesters to declare the permits of the former owner. They
# dial again after a heartbeat and a connection attempt.
ADOPTION_S = 0.5
# Bounds what requesters declare before this VM knows that it owns the slots.
MAX_EARLY = 4096
MILLISECONDS = 1000.0
NOT_OWNER = "this VM does not own the slots"

HANDLERS: Registry[Callable[[Any, Any, Any], None]] = Registry("message for an owner of slots")


class SlotView(Protocol):
    """What an owner of slots must know of services, servers and other VMs."""

    def list_capacities(self) -> list[tuple[SlotKey, SiteCapacity, bool]]:
        """Returns each service and site, what a server takes there, and if classes are mixed."""

    def find_owner(self, service: str, site: str) -> Member | None:
        """Returns the entry VM that owns the slots of a service at a site."""

    def list_servers(self, service: str, site: str) -> list[ServerAddress]:
        """Returns the servers that take new requests."""


class SlotDesk:
    """All permit queues of one entry process.

    Decisions of a queue are delivered to the requester: over its stream, or by a call in this
    process.
    """

    def __init__(
        self, settings: Settings, events: EventLog, view: SlotView, slow_start: bool = True
    ) -> None:
        self._slow_start = slow_start
        self.settings = settings
        self.events = events
        self._view = view
        self._queues: dict[SlotKey, PermitQueue] = {}
        self._opens_at: dict[SlotKey, float] = {}
        self._deliveries: dict[str, Deliver] = {}
        self._early: dict[str, tuple[Requester, PermitHeld]] = {}
        self._streams = itertools.count(1)

    def refresh(self) -> None:
        """Applies the plan, the roster and the list of servers."""
        for key, capacity, mixed in self._view.list_capacities():
            owner = self._view.find_owner(*key)
            if owner is None or owner.vm != self.settings.vm:
                self._close(key)
                continue
            opened = key not in self._queues
            if opened:
                self._queues[key] = PermitQueue(
                    capacity, mixed, random.Random(), slow_start=self._slow_start
                )
                self._opens_at[key] = time.monotonic() + ADOPTION_S
            self._queues[key].set_capacity(capacity, mixed)
            self._queues[key].set_servers(self._view.list_servers(*key))
            if opened:
                self._adopt_early(key)

    def demand(self, key: SlotKey, demand: SlotRequest, deliver: Deliver) -> None:
        """Adds a demand; its decision is delivered now or later."""
        queue = self._queues.get(key)
        if queue is None:
            deliver(Refusal(demand, NOT_OWNER, moved=True))
            return
        self._deliveries[demand.permit] = deliver
        now = time.monotonic()
        if now < self._opens_at[key]:
            if demand.hedge:
                self._deliver([Refusal(demand, "the slots have a new owner")])
            else:
                queue.enqueue(demand)
            return
        self._deliver(queue.submit(demand, now))

    def find_queue(self, key: SlotKey) -> PermitQueue | None:
        """Returns the queue of slots that this VM owns, or None."""
        return self._queues.get(key)

    def release(
        self, key: SlotKey, permit: str, how: Release, elapsed_s: float, slowness: float = 0.0
    ) -> None:
        """Frees a slot and grants it to the next request."""
        self._early.pop(permit, None)
        queue = self._queues.get(key)
        if queue is not None:
            now = time.monotonic()
            queue.release(permit, how, elapsed_s, now, slowness)
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

    def adopt(self, requester: Requester, held: PermitHeld) -> None:
        """Takes over a permit of the former owner.

        The requester may learn of the change of owner first; then the permit is kept until this
        VM knows of it, too.
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
            )
        elif len(self._early) < MAX_EARLY:
            self._early[held.permit] = (requester, held)

    def settle_requester(self, requester: Requester) -> None:
        """Frees what earlier streams of a VM held and the new one has not declared."""
        now = time.monotonic()
        for key, queue in self._queues.items():
            self._forget(queue.release_earlier_streams(requester, now))
            if now >= self._opens_at[key]:
                self._deliver(queue.poll(now))

    def drop_requester(self, requester: Requester, silent: bool) -> None:
        """Removes what a requester waited for whose stream is gone, and marks what it held."""
        now = time.monotonic()
        for permit in [p for p, (vm, _) in self._early.items() if vm == requester]:
            del self._early[permit]
        for queue in self._queues.values():
            self._forget(queue.drop_requester(requester, silent, now))

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
        requester: Requester | None = None
        silent = False
        try:
            hello = await stream.receive(timeouts.permit_silence_s)
            if not isinstance(hello, Hello):
                raise BriarforkError(ErrorKind.PEER_PROTOCOL, "expected hello")
            requester = Requester(hello.vm, next(self._streams))
            async with asyncio.TaskGroup() as group:
                beats = group.create_task(send_heartbeats(stream, timeouts.permit_heartbeat_s))
                try:
                    await self._receive_all(requester, stream)
                finally:
                    beats.cancel()
        except* StreamClosed as closed:
            silent = closed.subgroup(StreamTimeout) is not None
        except* BriarforkError as wrong:
            self.events.record(
                Event.PEER_PROTOCOL_ERROR, peer=stream.peer, fault=wrong.exceptions[0]
            )
        finally:
            if requester is not None:
                self.drop_requester(requester, silent)

    async def _receive_all(self, requester: Requester, stream: MessageStream) -> None:
        """Handles the messages of a stream; the first heartbeat ends the declaration of permits."""
        settled = False
        while True:
            message = await stream.receive(self.settings.timeouts.permit_silence_s)
            self._handle(requester, stream, message)
            if not settled and isinstance(message, Heartbeat):
                settled = True
                self.settle_requester(requester)

    def _handle(self, requester: Requester, stream: MessageStream, message: Message) -> None:
        if message.name not in HANDLERS.names():
            raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"unexpected message {message.name!r}")
        HANDLERS.get(message.name)(self, (requester, stream), message)

    def _close(self, key: SlotKey) -> None:
        """Gives up the slots of a site; who waits for them asks the new owner."""
        queue = self._queues.pop(key, None)
        if queue is not None:
            moved = [Refusal(item, NOT_OWNER, moved=True) for item in queue.remove_all_waiting()]
            self._deliver(moved)

    def _adopt_early(self, key: SlotKey) -> None:
        for permit, (requester, held) in list(self._early.items()):
            if (held.service, held.site) == key:
                del self._early[permit]
                self.adopt(requester, held)

    def _forget(self, dropped: Iterable[SlotRequest]) -> None:
        for demand in dropped:
            self._deliveries.pop(demand.permit, None)

    def _deliver(self, decisions: Iterable[Grant | Refusal]) -> None:
        for decision in decisions:
            deliver = self._deliveries.pop(decision.request.permit, None)
            if deliver is not None:
                deliver(decision)


async def send_heartbeats(stream: MessageStream, pause_s: float) -> None:
    """Sends heartbeats until the stream closes."""
    while True:
        stream.send(Heartbeat())
        await asyncio.sleep(pause_s)


Sender = tuple[Requester, "MessageStream"]


@HANDLERS.register(Heartbeat.name)
def handle_heartbeat(desk: SlotDesk, sender: Sender, message: Heartbeat) -> None:
    """Only keeps the stream alive."""


@HANDLERS.register(PermitRequest.name)
def handle_request(desk: SlotDesk, sender: Sender, message: PermitRequest) -> None:
    """Adds a demand whose decision goes back on the stream."""
    requester, stream = sender
    demand = SlotRequest(
        permit=message.permit,
        requester=requester,
        request_class=message.request_class,
        expires_at=time.monotonic() + message.wait_ms / MILLISECONDS,
        avoid=frozenset(message.avoid),
        hedge=message.hedge,
        priority=message.priority,
        object_key=message.object_key,
        asked_at=time.monotonic(),
    )

    def deliver(decision: Grant | Refusal) -> None:
        try:
            stream.send(_describe(decision))
        except StreamClosed:
            return

    desk.demand((message.service, message.site), demand, deliver)


@HANDLERS.register(PermitRelease.name)
def handle_release(desk: SlotDesk, sender: Sender, message: PermitRelease) -> None:
    """Frees the slot of a permit."""
    key = (message.service, message.site)
    elapsed_s = message.elapsed_ms / MILLISECONDS
    desk.release(key, message.permit, message.how, elapsed_s, message.slowness)


@HANDLERS.register(PermitCancel.name)
def handle_cancel(desk: SlotDesk, sender: Sender, message: PermitCancel) -> None:
    """Withdraws a demand."""
    desk.cancel((message.service, message.site), message.permit)


@HANDLERS.register(PermitHeld.name)
def handle_held(desk: SlotDesk, sender: Sender, message: PermitHeld) -> None:
    """Takes over a permit of the former owner."""
    desk.adopt(sender[0], message)


def _describe(decision: Grant | Refusal) -> PermitGrant | PermitRefusal:
    permit = decision.request.permit
    if isinstance(decision, Grant):
        server = decision.server
        return PermitGrant(permit, server.vm, server.address, server.port)
    return PermitRefusal(permit, decision.reason, decision.moved, decision.wait_s)
