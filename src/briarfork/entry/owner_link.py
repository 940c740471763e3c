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

ListHeldPermits = Callable[[str], "list[PermitHeld]"]
OwnerMessageCallback = Callable[[str, "Message"], None]


class OwnerUnreachable(BriarforkError):
    """The owner of the slots sent no decision, so the request is neither granted nor refused."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.OVERLOADED, detail)


class OwnerLink:
    """The stream to one owner, kept open by one task."""

    def __init__(
        self,
        owner: Member,
        settings: Settings,
        on_message: OwnerMessageCallback | None = None,
    ) -> None:
        """Creates a link.

        Args:
            owner: The owner.
            settings: Settings of this process.
            on_message: Called with the name of the owner and each message that is no decision.
        """
        self.owner = owner
        self._on_message = on_message
        self._settings = settings
        self._stream: MessageStream | None = None
        # Set after the first connection attempt; requests never wait for a later one.
        self._connection_tried = asyncio.Event()
        self._pending: dict[str, asyncio.Future[Message]] = {}

    @property
    def is_open(self) -> bool:
        """Whether the owner has sent a message lately."""
        return self._stream is not None

    async def run(self, list_held: ListHeldPermits) -> None:
        """Connects to the owner, declares permits and receives decisions; reconnects on a loss."""
        timeouts = self._settings.timeouts
        while True:
            try:
                stream = await connect(
                    self.owner.address, self.owner.ports["permits"], timeouts.connect_s
                )
                await self._run_stream(stream, list_held)
            except StreamClosed:
                pass
            self._fail_pending()
            await asyncio.sleep(timeouts.permit_heartbeat_s)

    async def request_permit(self, message: PermitRequest, wait_s: float) -> Message:
        """Sends a request for a permit and returns the decision.

        Args:
            message: The request.
            wait_s: Longest wait for the decision, in seconds.

        Raises:
            OwnerUnreachable: If the stream is not open or ends before the decision.
            TimeoutError: If there is no decision in time; the request is cancelled at the owner.
        """
        try:
            async with asyncio.timeout(min(wait_s, self._settings.timeouts.connect_s)):
                await self._connection_tried.wait()
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

    async def _run_stream(self, stream: MessageStream, list_held: ListHeldPermits) -> None:
        settings = self._settings
        silence_s = settings.timeouts.permit_silence_s
        try:
            stream.send(Hello(settings.vm, settings.zone))
            # The kernel accepts connections for a stopped process, so only a message from the owner
            # shows that it runs. Permits are declared after this message, so that none is missed.
            self._resolve(await stream.receive(silence_s))
            for held in list_held(self.owner.vm):
                stream.send(held)
            self._stream = stream
            self._connection_tried.set()
            async with asyncio.TaskGroup() as group:
                heartbeats = group.create_task(
                    send_heartbeats(stream, settings.timeouts.permit_heartbeat_s)
                )
                try:
                    while True:
                        self._resolve(await stream.receive(silence_s))
                finally:
                    heartbeats.cancel()
        except* BriarforkError:
            pass
        finally:
            stream.abort()

    def _resolve(self, message: Message) -> None:
        if not isinstance(message, PermitGrant | PermitRefusal):
            if self._on_message is not None:
                self._on_message(self.owner.vm, message)
            return
        future = self._pending.get(message.permit)
        if future is not None and not future.done():
            future.set_result(message)

    def _fail_pending(self) -> None:
        self._stream = None
        self._connection_tried.set()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(OwnerUnreachable(f"the stream to {self.owner.vm} ended"))
