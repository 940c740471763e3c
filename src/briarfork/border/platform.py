"""Client of the platform's VM list."""

from __future__ import annotations

from dataclasses import dataclass
from ipaddress import ip_address
from typing import TYPE_CHECKING
from typing import Annotated

import aiohttp
import msgspec
from msgspec import Meta

from briarfork.border.messages import ListedVm
from briarfork.border.responses import read_body
from briarfork.border.settings import Port
from briarfork.border.transfer import Transfer
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    from briarfork.border.settings import Settings

# A VM takes about 200 bytes.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
MAX_NAME_LENGTH = 256


# Ports that a VM of a role needs.
ROLE_PORTS = {"entry": {"entry", "permits", "control"}, "backend": {"http"}}


@dataclass(frozen=True, slots=True)
class VmListing:
    """The platform's list of VMs.

    Attributes:
        vms: The VMs by name.
        faults: What is wrong with entries that are ignored, by the name of the VM if they have one.
    """

    vms: dict[str, ListedVm]
    faults: dict[str, str]


class _VmListBody(msgspec.Struct, frozen=True):
    vms: list[msgspec.Raw]


class _VmName(msgspec.Struct, frozen=True):
    vm: str = ""


class _VmEntry(msgspec.Struct, frozen=True):
    vm: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
    address: str
    zone: str
    role: str
    state: str
    ports: dict[str, Port]
    site: str = ""
    service: str = ""


class Platform:
    """Client of the platform's VM list, which lags behind the actual state of the VMs."""

    def __init__(self, settings: Settings, session: aiohttp.ClientSession) -> None:
        self._url = settings.platform_url
        self._timeouts = settings.timeouts
        self._session = session

    async def list_vms(self) -> VmListing:
        """Returns the live and leaving VMs; an invalid entry does not affect the others.

        Raises:
            BriarforkError: With kind `store_unavailable` if the platform does not respond.
        """
        transfer = Transfer(self._timeouts.store_s, self._timeouts.store_s)
        try:
            async with transfer.timeout, self._session.get(f"{self._url}/vms") as response:
                response.raise_for_status()
                body = await read_body(response, MAX_RESPONSE_BYTES, transfer.extend)
            return _decode_list(body)
        except (
            aiohttp.ClientError,
            OSError,
            TimeoutError,
            ValueError,
            msgspec.DecodeError,
            RecursionError,
        ) as error:
            raise BriarforkError(
                ErrorKind.STORE_UNAVAILABLE, f"GET /vms: {error or type(error).__name__}"
            ) from error


def _decode_list(body: bytes) -> VmListing:
    listing = VmListing({}, {})
    for entry in msgspec.json.decode(body, type=_VmListBody).vms:
        try:
            vm = _decode_vm(entry)
        except (ValueError, msgspec.DecodeError, RecursionError) as error:
            listing.faults[_find_name(entry)] = str(error)
        else:
            listing.vms[vm.vm] = vm
    return listing


def _decode_vm(entry: msgspec.Raw) -> ListedVm:
    """Decodes an entry of the list.

    Raises:
        msgspec.DecodeError: If a field is missing or of another type.
        ValueError: If its address is invalid or a port is missing.
    """
    vm = msgspec.json.decode(entry, type=_VmEntry)
    ip_address(vm.address)
    missing = ROLE_PORTS.get(vm.role, set()) - vm.ports.keys()
    if missing:
        raise ValueError(f"missing ports: {', '.join(sorted(missing))}")
    return ListedVm(**msgspec.structs.asdict(vm))


def _find_name(entry: msgspec.Raw) -> str:
    try:
        return msgspec.json.decode(entry, type=_VmName).vm[:MAX_NAME_LENGTH]
    except (msgspec.DecodeError, RecursionError):
        return ""
