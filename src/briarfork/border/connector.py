"""aiohttp connectors that bound what a server can send."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import aiohttp

from briarfork.border.responses import BoundedResponseHandler

if TYPE_CHECKING:
    from collections.abc import Callable

    from aiohappyeyeballs import AddrInfoType
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ClientRequest

    from briarfork.border.responses import ResponseFault


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections close at the first fault of a response."""

    handler_class: type[BoundedResponseHandler] = BoundedResponseHandler

    def __init__(
        self, on_fault: Callable[[ResponseFault], None] | None = None, **options: Any
    ) -> None:
        """Creates a connector.

        Args:
            on_fault: Called with each fault of a response, also with bytes on an idle connection.
            options: Options of aiohttp.
        """
        super().__init__(**options)
        # aiohttp has no public way to set the protocol of its connections.
        self._factory = partial(  # type: ignore[assignment]
            self.handler_class, asyncio.get_running_loop(), on_fault
        )


class DirectConnector(BoundedConnector):
    """Connector that lets the event loop create and connect its sockets.

    By default, aiohttp connects the socket itself and then passes it to the event loop. If the
    request is cancelled at that moment under uvloop, both close the file descriptor. The descriptor
    may already belong to another connection, and data of one connection is then sent to the peer of
    the other.
    """

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[AddrInfoType],
        req: ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        host, port = addr_infos[0][4][:2]
        return await self._wrap_existing_connection(
            *args, host, port, req=req, timeout=timeout, client_error=client_error, **kwargs
        )
