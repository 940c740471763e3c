"""The stream to the control process of the same VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import Any

from briarfork.border.events import Event
from briarfork.border.messages import Changes
from briarfork.border.messages import Follow
from briarfork.border.messages import Heartbeat
from briarfork.border.messages import Hello
from briarfork.border.messages import Leaving
from briarfork.border.messages import Members
from briarfork.border.messages import Message
from briarfork.border.messages import VmList
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import connect
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.messages import ListedVm
    from briarfork.border.streams import MessageStream
    from briarfork.entry.process import EntryProcess
    from briarfork.membership import Member

HANDLERS: Registry[Callable[[Any, Any], None]] = Registry("message for an entry process")


@HANDLERS.register(Changes.name)
def handle_changes(process: EntryProcess, message: Changes) -> None:
    """Adds accepted changes to the timeline."""
    process.view.accept_changes(message.changes)
    process.control.send(Heartbeat(process.view.timeline.generation))
    process.refresh_slots()


@HANDLERS.register(Members.name)
def handle_members(process: EntryProcess, message: Members) -> None:
    """Replaces the members, or applies what changed in them."""
    known = {} if message.removed is None else dict(process.view.members)
    members = process.control.collect_members(message)
    if members is None:
        return
    known.update((member.vm, member) for member in members)
    for vm in message.removed or ():
        known.pop(vm, None)
    process.view.accept_members(known.values())
    process.refresh_slots()


@HANDLERS.register(VmList.name)
def handle_vm_list(process: EntryProcess, message: VmList) -> None:
    """Replaces the platform's list of VMs, or applies what changed in it."""
    known = {} if message.removed is None else {vm.vm: vm for vm in process.view.listed_vms}
    vms = process.control.collect_vm_list(message)
    if vms is None:
        return
    known.update((vm.vm, vm) for vm in vms)
    for vm in message.removed or ():
        known.pop(vm, None)
    process.view.accept_vm_list(list(known.values()))
    process.refresh_slots()


@HANDLERS.register(Follow.name)
def handle_follow(process: EntryProcess, message: Follow) -> None:
    """Starts or stops following the store."""
    process.follower.set_enabled(message.enabled, message.generation)


@HANDLERS.register(Heartbeat.name)
def handle_heartbeat(process: EntryProcess, message: Heartbeat) -> None:
    """Updates the headroom of sites, and what the control process is known to have accepted."""
    process.control.record_accepted(message.generation)
    process.accept_load(message.load)


class ControlLink:
    """The stream to the control process; while it is down, the last view stays in use."""

    def __init__(self, process: EntryProcess) -> None:
        self._process = process
        self._stream: MessageStream | None = None
        self._leaving = False
        self._received_members: list[Member] = []
        self._received_vms: list[ListedVm] = []
        self._accepted_generation = 0
        self._has_accepted = asyncio.Event()

    def record_accepted(self, generation: int) -> None:
        """Records the generation of the control process."""
        self._accepted_generation = generation
        self._has_accepted.set()

    async def wait_until_accepted(self, generation: int) -> None:
        """Waits until the control process has a generation, for a heartbeat interval at most."""
        try:
            async with asyncio.timeout(self._process.settings.timeouts.heartbeat_s):
                while self._accepted_generation < generation:
                    self._has_accepted.clear()
                    await self._has_accepted.wait()
        except TimeoutError:
            # It may never take the changes, because it knows another history.
            return

    def collect_members(self, message: Members) -> list[Member] | None:
        """Returns the members of all parts after the last part, else None."""
        self._received_members += message.members
        if message.more:
            return None
        members, self._received_members = self._received_members, []
        return members

    def collect_vm_list(self, message: VmList) -> list[ListedVm] | None:
        """Returns the VMs of all parts after the last part, else None."""
        self._received_vms += message.vms
        if message.more:
            return None
        listed_vms, self._received_vms = self._received_vms, []
        return listed_vms

    def send(self, message: Message) -> None:
        """Sends a message if the stream is open; drops it otherwise."""
        if self._stream is None:
            return
        try:
            self._stream.send(message)
        except StreamClosed:
            self._stream = None

    def announce_stop(self) -> None:
        """Notifies the control process that this VM has begun a planned stop."""
        self._leaving = True
        self.send(Leaving())

    async def run(self) -> None:
        """Connects to the control process and handles its messages; reconnects on a loss."""
        settings = self._process.settings
        while True:
            try:
                stream = await connect(
                    settings.address, settings.ports.local, settings.timeouts.connect_s
                )
                await self._run_stream(stream)
            except StreamClosed:
                pass
            self._stream = None
            # Nothing consumes the changes now; a new control process sends its own instructions.
            self._process.follower.set_enabled(False, 0)
            await asyncio.sleep(settings.timeouts.reconnect_s)

    async def _run_stream(self, stream: MessageStream) -> None:
        settings = self._process.settings
        self._stream = stream
        self._received_members, self._received_vms = [], []
        self._accepted_generation = 0
        stream.send(Hello(settings.vm, settings.zone))
        if self._leaving:
            stream.send(Leaving())
        try:
            async with asyncio.TaskGroup() as group:
                heartbeats = group.create_task(self._send_heartbeats(stream))
                try:
                    while True:
                        self._dispatch(await stream.receive(settings.timeouts.silence_s))
                finally:
                    heartbeats.cancel()
        except* BriarforkError as errors:
            reason = errors.exceptions[0]
            self._process.events.record(Event.PEER_LOST, peer="control", reason=reason)
        finally:
            stream.abort()

    def _dispatch(self, message: Message) -> None:
        if message.name not in HANDLERS.names():
            raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"unexpected message {message.name!r}")
        HANDLERS.get(message.name)(self._process, message)

    async def _send_heartbeats(self, stream: MessageStream) -> None:
        while True:
            stream.send(Heartbeat(self._process.view.timeline.generation))
            await asyncio.sleep(self._process.settings.timeouts.heartbeat_s)
