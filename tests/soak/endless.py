"""Answers without end of the soak's backend servers."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from tests.standins.endless import BEHAVIOURS
from tests.standins.endless import PAUSE_S

if TYPE_CHECKING:
    from aiohttp import web

# Sent before the request runs, because it says that the request does not run.
REFUSAL = "refusal"
# The behaviours that begin with no sound response.
ENDLESS_ANSWERS = (
    "body",
    "short chunks",
    REFUSAL,
    "headers",
    "responses to another request",
    "interim responses",
)
# A gateway has closed the connection long before.
LONGEST_S = 3.0
MAX_UNSENT_BYTES = 1_048_576


async def send_endlessly(request: web.BaseRequest, request_id: str, kind: str) -> None:
    """Sends an answer without end until the caller closes the connection."""
    transport = request.transport
    start, part = BEHAVIOURS.get(kind)(request_id)
    ends_at = time.monotonic() + LONGEST_S
    while transport is not None and not transport.is_closing() and time.monotonic() < ends_at:
        if transport.get_write_buffer_size() < MAX_UNSENT_BYTES:
            transport.write(start + part)
            start = b""
        await asyncio.sleep(PAUSE_S)
    if transport is not None:
        transport.abort()
