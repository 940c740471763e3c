"""Handlers for the messages that a control process receives from other processes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from briarfork.border.events import Event
from briarfork.border.failures import find_place
from briarfork.border.messages import MAX_CHANGES_PER_MESSAGE
from briarfork.border.messages import Changes
from briarfork.border.messages import Follow
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Hello
from briarfork.border.messages import Leaving
from briarfork.border.messages import LoadReport
from briarfork.border.messages import Message
from briarfork.border.messages import Pull
from briarfork.border.messages import StoreState
from briarfork.border.messages import Summary
from briarfork.border.messages import VmList
from briarfork.border.messages import take_batch
from briarfork.border.streams import StreamClosed
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.control.link import PeerLink
    from briarfork.control.node import ControlNode

HANDLERS: Registry[Callable[[Any, Any, Any], None]] = Registry("control message")


def handle(node: ControlNode, link: PeerLink, message: Message) -> None:
    """Runs the handler of a message.

    Raises:
        BriarforkError: With kind `peer_protocol` if a control process does not accept messages
            of this type, or the handler fails.
    """
    if message.name not in HANDLERS.names():
        raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"unexpected message {message.name!r}")
    node.record_contact(link.vm)
    try:
        HANDLERS.get(message.name)(node, link, message)
    except BriarforkError:
        raise
    # Whatever one peer sends, only its stream ends.
    except Exception as error:
        node.events.record(
            Event.TASK_FAILED, task=message.name, error=repr(error), place=find_place(error)
        )
        raise BriarforkError(
            ErrorKind.PEER_PROTOCOL, f"{message.name}: the message could not be processed"
        ) from error


@HANDLERS.register(Hello.name)
def handle_hello(node: ControlNode, link: PeerLink, message: Hello) -> None:
    """Records the identity of the peer and closes a duplicate stream to the same VM.

    If two VMs dial each other at the same time, the stream opened by the VM whose name sorts
    first is kept. An earlier stream from another incarnation or from the same side is stale.
    """
    for other in [other for other in node.links if other.vm == message.vm and other is not link]:
        preferred = other.dialled == (node.settings.vm < message.vm)
        same_incarnation = other.incarnation == message.incarnation
        if same_incarnation and preferred and other.dialled != link.dialled:
            raise StreamClosed(f"{message.vm}: duplicate stream")
        other.stream.abort()
    link.vm, link.zone, link.incarnation = message.vm, message.zone, message.incarnation
    node.record_contact(link.vm)
    node.events.record(Event.PEER_CONNECTED, peer=message.vm, zone=message.zone)


@HANDLERS.register(Heartbeat.name)
def handle_heartbeat(node: ControlNode, link: PeerLink, message: Heartbeat) -> None:
    """Merges the peer's updates and requests changes that this VM lacks."""
    node.accept_members(message.members, link)
    node.accept_listed(message.listed, link)
    node.accept_load(message.load, link)
    if link.vm == node.settings.vm:
        # After a restart of this process the entry process may be ahead; the store has its changes.
        link.confirmed = message.generation
        link.has_updates.set()
        return
    link.generation = message.generation
    if message.generation > node.timeline.generation:
        _request_changes(node, link)
    link.check_digests(node, message)


@HANDLERS.register(Pull.name)
def handle_pull(node: ControlNode, link: PeerLink, message: Pull) -> None:
    """Sends the changes that the peer lacks."""
    changes = node.timeline.list_after(max(0, message.after), MAX_CHANGES_PER_MESSAGE)
    if changes:
        link.stream.send(Changes(take_batch(changes)))


def _request_changes(node: ControlNode, link: PeerLink) -> None:
    """Requests missing changes.

    A peer is asked to send them, and not again while its response may still arrive: a response may
    take longer than a heartbeat interval. The entry process of this VM reads the store again
    instead.
    """
    generation, now = node.timeline.generation, time.monotonic()
    if link.vm == node.settings.vm:
        link.stream.send(Follow(True, generation))
    elif link.requested != generation or now > link.requested_at + node.settings.timeouts.silence_s:
        link.requested, link.requested_at = generation, now
        link.stream.send(Pull(generation))


@HANDLERS.register(Summary.name)
def handle_summary(node: ControlNode, link: PeerLink, message: Summary) -> None:
    """Queues the records in which the peer differs from this VM."""
    link.queue_differences(node, message)


@HANDLERS.register(Changes.name)
def handle_changes(node: ControlNode, link: PeerLink, message: Changes) -> None:
    """Adds changes, and requests more if there is a gap or the peer has more."""
    known = node.timeline.generation
    gap = node.accept_changes(message.changes, source=link.vm)
    more = known < node.timeline.generation < link.generation
    if gap or more:
        _request_changes(node, link)


@HANDLERS.register(VmList.name)
def handle_vm_list(node: ControlNode, link: PeerLink, message: VmList) -> None:
    """Applies the VM list read by this VM's follower, once all parts have arrived."""
    link.partial_list += message.vms
    if not message.more:
        vms, link.partial_list = link.partial_list, []
        node.accept_list(vms, message.removed)


@HANDLERS.register(StoreState.name)
def handle_store_state(node: ControlNode, link: PeerLink, message: StoreState) -> None:
    """Logs an event if the store is behind this VM."""
    if message.reachable and message.generation < message.expected:
        node.events.record(Event.STORE_BEHIND, store=message.generation, own=message.expected)


@HANDLERS.register(LoadReport.name)
def handle_load_report(node: ControlNode, link: PeerLink, message: LoadReport) -> None:
    """Accepts the loads of the slots that this VM's entry process owns."""
    node.accept_load(message.load, link)


@HANDLERS.register(Leaving.name)
def handle_leaving(node: ControlNode, link: PeerLink, message: Leaving) -> None:
    """Starts the planned stop of this VM."""
    node.leave()
