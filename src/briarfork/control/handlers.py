"""What a control process does with each message from another process."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from briarfork.border.events import Event
from briarfork.border.messages import Changes
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Hello
from briarfork.border.messages import Leaving
from briarfork.border.messages import LoadReport
from briarfork.border.messages import Message
from briarfork.border.messages import Pull
from briarfork.border.messages import PullList
from briarfork.border.messages import StoreState
from briarfork.border.messages import VmList
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.control.node import ControlNode
    from briarfork.control.node import Link

MAX_CHANGES = 64

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
    """Learns who is at the other end."""
    link.vm = message.vm
    node.hear(link.vm)
    node.events.record(Event.PEER_CONNECTED, peer=message.vm, zone=message.zone)


@HANDLERS.register(Heartbeat.name)
def handle_heartbeat(node: ControlNode, link: Link, message: Heartbeat) -> None:
    """Merges what the peer knows and pulls what this VM lacks."""
    node.accept_members(message.members)
    node.accept_load(message.load)
    if message.generation > node.timeline.generation:
        link.stream.send(Pull(node.timeline.generation))
    if message.listed_at > node.listed_at:
        link.stream.send(PullList())


@HANDLERS.register(Pull.name)
def handle_pull(node: ControlNode, link: Link, message: Pull) -> None:
    """Sends the changes that the peer lacks."""
    changes = node.timeline.list_after(max(0, message.after), MAX_CHANGES)
    if changes:
        link.stream.send(Changes(changes))


@HANDLERS.register(PullList.name)
def handle_pull_list(node: ControlNode, link: Link, message: PullList) -> None:
    """Sends the list of VMs."""
    link.stream.send(VmList(node.listed, node.listed_at))


@HANDLERS.register(Changes.name)
def handle_changes(node: ControlNode, link: Link, message: Changes) -> None:
    """Adds changes, and pulls more if the message was full or left a gap."""
    gap = node.accept_changes(message.changes, source=link.vm)
    if gap or len(message.changes) == MAX_CHANGES:
        link.stream.send(Pull(node.timeline.generation))


@HANDLERS.register(VmList.name)
def handle_vm_list(node: ControlNode, link: Link, message: VmList) -> None:
    """Takes a list of VMs."""
    node.accept_list(message.vms, message.listed_at)


@HANDLERS.register(StoreState.name)
def handle_store_state(node: ControlNode, link: Link, message: StoreState) -> None:
    """Reports a store that is older than this VM."""
    if message.reachable and message.generation < node.timeline.generation:
        node.events.record(
            Event.STORE_BEHIND, store=message.generation, own=node.timeline.generation
        )


@HANDLERS.register(LoadReport.name)
def handle_load_report(node: ControlNode, link: Link, message: LoadReport) -> None:
    """Takes the loads of the slots that the own entry process owns."""
    node.accept_load(message.load)


@HANDLERS.register(Leaving.name)
def handle_leaving(node: ControlNode, link: Link, message: Leaving) -> None:
    """Begins the planned stop of this VM."""
    node.leave()
