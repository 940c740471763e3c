"""Opens connections to addresses without handing sockets between library and event loop."""

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
    """Lets the event loop open each connection.

    aiohttp connects a socket of its own and gives it to the loop. If the request is cancelled in
    that moment under uvloop, both close the descriptor; it may belong to another connection by
    then, and bytes of one reach the peer of the other.
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
