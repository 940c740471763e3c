"""The stream from a requester to one owner of slots."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from briarfork.border.messages import Hello
from briarfork.border.messages import PermitCancel
from briarfork.border.messages import PermitGrant
from briarfork.border.messages import PermitHeld
from briarfork.border.messages import PermitRefusal
from briarfork.border.messages import PermitRequest
from briarfork.border.streams import StreamClosed
from briarfork.border.streams import connect
from briarfork.entry.slots import send_heartbeats
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.border.messages import Message
    from briarfork.border.settings import Settings
    from briarfork.border.streams import MessageStream
    from briarfork.membership import Member

HeldPermits = Callable[[str], "list[PermitHeld]"]


class OwnerUnreachable(BriarforkError):
    """The owner of the slots did not decide; it is not known to have refused."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.OVERLOADED, detail)


class OwnerLink:
    """The stream to one owner; one task keeps it."""

    def __init__(self, owner: Member, settings: Settings) -> None:
        self.owner = owner
        self._settings = settings
        self._stream: MessageStream | None = None
        # Set after the first attempt to reach the owner; requests never wait for a later one.
        self._tried = asyncio.Event()
        self._pending: dict[str, asyncio.Future[Message]] = {}

    async def run(self, list_held: HeldPermits) -> None:
        """Dials the owner, declares held permits and takes decisions, again after every loss."""
        timeouts = self._settings.timeouts
        while True:
            try:
                stream = await connect(
                    self.owner.address, self.owner.ports["permits"], timeouts.connect_s
                )
                await self._converse(stream, list_held)
            except StreamClosed:
                pass
            self._close()
            await asyncio.sleep(timeouts.permit_heartbeat_s)

    async def ask(self, message: PermitRequest, wait_s: float) -> Message:
        """Sends a request for a permit and returns the decision.

        Raises:
            OwnerUnreachable: If the stream is not open or ends before the decision.
        """
        try:
            async with asyncio.timeout(min(wait_s, self._settings.timeouts.connect_s)):
                await self._tried.wait()
        except TimeoutError as error:
            raise OwnerUnreachable(f"no stream to {self.owner.vm}") from error
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending[message.permit] = future
        try:
            self.send(message)
            async with asyncio.timeout(wait_s):
                return await future
        except StreamClosed as error:
            raise OwnerUnreachable(error.detail) from error
        except (TimeoutError, asyncio.CancelledError):
            self.send_if_open(PermitCancel(message.permit, message.service, message.site))
            raise
        finally:
            self._pending.pop(message.permit, None)

    def send(self, message: Message) -> None:
        """Sends a message.

        Raises:
            StreamClosed: If the stream is not open.
        """
        if self._stream is None:
            raise StreamClosed(f"no stream to {self.owner.vm}")
        self._stream.send(message)

    def send_if_open(self, message: Message) -> None:
        """Sends a message if the stream is open."""
        try:
            self.send(message)
        except StreamClosed:
            return

    async def _converse(self, stream: MessageStream, list_held: HeldPermits) -> None:
        settings = self._settings
        silence_s = settings.timeouts.permit_silence_s
        try:
            stream.send(Hello(settings.vm, settings.zone))
            # The kernel accepts connections for an owner that is stopped, so only a message from
            # it shows that it runs. Permits are declared after it, so that none is missed.
            self._decide(await stream.receive(silence_s))
            for held in list_held(self.owner.vm):
                stream.send(held)
            self._stream = stream
            self._tried.set()
            async with asyncio.TaskGroup() as group:
                beats = group.create_task(
                    send_heartbeats(stream, settings.timeouts.permit_heartbeat_s)
                )
                try:
                    while True:
                        self._decide(await stream.receive(silence_s))
                finally:
                    beats.cancel()
        except* BriarforkError:
            pass
        finally:
            stream.abort()

    def _decide(self, message: Message) -> None:
        if not isinstance(message, PermitGrant | PermitRefusal):
            return
        future = self._pending.get(message.permit)
        if future is not None and not future.done():
            future.set_result(message)

    def _close(self) -> None:
        self._stream = None
        self._tried.set()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(OwnerUnreachable(f"the stream to {self.owner.vm} ended"))
