"""What a control process does with each message from another process."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from briarfork.border.events import Event
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
from briarfork.border.messages import split_changes
from briarfork.border.streams import StreamClosed
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.control.link import Link
    from briarfork.control.node import ControlNode

HANDLERS: Registry[Callable[[Any, Any, Any], None]] = Registry("message for a control process")


def handle(node: ControlNode, link: Link, message: Message) -> None:
    """Runs the handler of a message.

    Raises:
        BriarforkError: With kind `peer_protocol` if a control process takes no such message.
    """
    if message.name not in HANDLERS.names():
        raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"unexpected message {message.name!r}")
    node.hear(link.vm)
    HANDLERS.get(message.name)(node, link, message)


@HANDLERS.register(Hello.name)
def handle_hello(node: ControlNode, link: Link, message: Hello) -> None:
    """Learns who is at the other end; closes the second of two streams to the same VM.

    Two VMs that dial each other at the same time keep the stream that the first by name opened.
    A stream of a former incarnation, or one that the same side opened before, is out of date.
    """
    for other in [other for other in node.links if other.vm == message.vm and other is not link]:
        preferred = other.dialled == (node.settings.vm < message.vm)
        same = other.incarnation == message.incarnation
        if same and preferred and other.dialled != link.dialled:
            raise StreamClosed(f"{message.vm}: a second stream")
        other.stream.abort()
    link.vm, link.zone, link.incarnation = message.vm, message.zone, message.incarnation
    node.hear(link.vm)
    node.events.record(Event.PEER_CONNECTED, peer=message.vm, zone=message.zone)


@HANDLERS.register(Heartbeat.name)
def handle_heartbeat(node: ControlNode, link: Link, message: Heartbeat) -> None:
    """Merges what the peer knows and pulls what this VM lacks."""
    node.accept_members(message.members, link)
    node.accept_listed(message.listed, link)
    node.accept_load(message.load, link)
    link.generation = message.generation
    if message.generation > node.timeline.generation:
        _ask_changes(node, link)
    if link.vm != node.settings.vm:
        link.compare(node, message)


@HANDLERS.register(Pull.name)
def handle_pull(node: ControlNode, link: Link, message: Pull) -> None:
    """Sends the changes that the peer lacks."""
    changes = node.timeline.list_after(max(0, message.after), MAX_CHANGES_PER_MESSAGE)
    for batch in split_changes(changes)[:1]:
        link.stream.send(Changes(batch))


def _ask_changes(node: ControlNode, link: Link) -> None:
    """Asks a peer for what is missing; the own entry process reads the store again instead."""
    generation = node.timeline.generation
    if link.vm == node.settings.vm:
        link.stream.send(Follow(True, generation))
    else:
        link.stream.send(Pull(generation))


@HANDLERS.register(Summary.name)
def handle_summary(node: ControlNode, link: Link, message: Summary) -> None:
    """Sends the records in which the peer differs."""
    link.queue_differences(node, message)


@HANDLERS.register(Changes.name)
def handle_changes(node: ControlNode, link: Link, message: Changes) -> None:
    """Adds changes, and pulls more if the peer has more or the message left a gap."""
    known = node.timeline.generation
    gap = node.accept_changes(message.changes, source=link.vm)
    more = known < node.timeline.generation < link.generation
    if gap or more:
        _ask_changes(node, link)


@HANDLERS.register(VmList.name)
def handle_vm_list(node: ControlNode, link: Link, message: VmList) -> None:
    """Takes what the own follower read, once all parts have arrived."""
    link.parts += message.vms
    if not message.more:
        vms, link.parts = link.parts, []
        node.accept_list(vms, message.removed)


@HANDLERS.register(StoreState.name)
def handle_store_state(node: ControlNode, link: Link, message: StoreState) -> None:
    """Reports a store that is older than this VM."""
    if message.reachable and message.generation < message.expected:
        node.events.record(Event.STORE_BEHIND, store=message.generation, own=message.expected)


@HANDLERS.register(LoadReport.name)
def handle_load_report(node: ControlNode, link: Link, message: LoadReport) -> None:
    """Takes the loads of the slots that the own entry process owns."""
    node.accept_load(message.load, link)


@HANDLERS.register(Leaving.name)
def handle_leaving(node: ControlNode, link: Link, message: Leaving) -> None:
    """Begins the planned stop of this VM."""
    node.leave()
