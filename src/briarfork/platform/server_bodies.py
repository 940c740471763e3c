"""Reads the bodies of backend servers' HTTP responses."""

from __future__ import annotations

import asyncio

import aiohttp

from briarfork.pools import Release

# A body of a refusal is read only to keep the connection, if it is short and arrives soon.
REFUSAL_BODY_BYTES = 16384
REFUSAL_BODY_S = 0.05


class HttpResponseBody:
    """The body of a server's HTTP response."""

    def __init__(self, response: aiohttp.ClientResponse) -> None:
        self._content = response.content
        self._declared_bytes = response.content_length

    @property
    def declared_bytes(self) -> int | None:
        """The Content-Length, None without one, 0 if there is no body."""
        return 0 if self.has_ended else self._declared_bytes

    @property
    def has_ended(self) -> bool:
        """Whether the end of the body has been read."""
        return self._content.at_eof()

    async def read_chunk(self, max_bytes: int) -> bytes:
        """Returns the next bytes, empty at the end of the body."""
        return await self._content.read(max_bytes)


async def drop_refusal_body(response: aiohttp.ClientResponse) -> Release:
    """Reads the body of a refusal to its end if it is short and arrives soon.

    Returns:
        How the attempt ended at the server: it failed if it sends on without a length.
    """
    if (response.content_length or 0) > REFUSAL_BODY_BYTES:
        return Release.NOT_RUN
    size = 0
    try:
        async with asyncio.timeout(REFUSAL_BODY_S):
            while size <= REFUSAL_BODY_BYTES:
                chunk = await response.content.read(REFUSAL_BODY_BYTES)
                if not chunk:
                    return Release.NOT_RUN
                size += len(chunk)
    except (aiohttp.ClientError, TimeoutError, OSError):
        return Release.NOT_RUN
    return Release.FAILED


def close_unread(response: aiohttp.ClientResponse) -> None:
    """Closes the connection, unless all of it was read, and frees its unread bytes.

    aiohttp refers to a closed response in a cycle, so it would keep the bytes until the garbage
    collector runs.
    """
    content = response.content
    has_unread = not content.at_eof()
    response.close()
    if has_unread:
        content._buffer.clear()
