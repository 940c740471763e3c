"""aiohttp connector whose connections are opened by the event loop."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import aiohttp

if TYPE_CHECKING:
    import asyncio

    from aiohappyeyeballs import AddrInfoType
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ClientRequest


class DirectConnector(aiohttp.TCPConnector):
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
