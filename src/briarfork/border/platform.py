"""Client of the platform's VM list."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from briarfork.border.messages import ListedVm
from briarfork.border.responses import read_body
from briarfork.border.transfer import Transfer
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.border.settings import Settings

# A VM takes about 200 bytes.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class _VmListBody(msgspec.Struct, frozen=True):
    vms: list[ListedVm]


class Platform:
    """Client of the platform's VM list, which lags behind the actual state of the VMs."""

    def __init__(self, settings: Settings, session: aiohttp.ClientSession) -> None:
        self._url = settings.platform_url
        self._timeouts = settings.timeouts
        self._session = session

    async def list_vms(self) -> list[ListedVm]:
        """Returns the live and leaving VMs.

        Raises:
            BriarforkError: With kind `store_unavailable` if the platform does not respond.
        """
        transfer = Transfer(self._timeouts.store_s, self._timeouts.store_s)
        try:
            async with transfer.timeout, self._session.get(f"{self._url}/vms") as response:
                response.raise_for_status()
                body = await read_body(response, MAX_RESPONSE_BYTES, transfer.extend)
            return msgspec.json.decode(body, type=_VmListBody).vms
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            msgspec.ValidationError,
            msgspec.DecodeError,
            RecursionError,
        ) as error:
            raise BriarforkError(
                ErrorKind.STORE_UNAVAILABLE, f"GET /vms: {error or type(error).__name__}"
            ) from error
