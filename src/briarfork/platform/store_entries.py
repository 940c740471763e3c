"""Keys of the platform's store that concern a gateway, with their records decoded."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from briarfork.membership import Member
from briarfork.platform.configuration_record import decode_configuration
from briarfork.platform.names import CONFIGURATION_KEY
from briarfork.platform.names import EVACUATION_PREFIX
from briarfork.platform.names import MEMBER_PREFIX
from briarfork.platform.names import SERVER_PREFIX
from briarfork.platform.records import InvalidRecord
from briarfork.platform.registration_records import decode_instance
from briarfork.platform.registration_records import decode_member
from briarfork.pools import Instance
from briarfork.registry import Registry
from briarfork.routing import RouteTable

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from briarfork.platform.store_messages import Item

Record = RouteTable | Instance | Member

DECODERS: Registry[Callable[[str, bytes], Record | None]] = Registry("key prefix")


@dataclass(frozen=True, slots=True)
class StoreEntry:
    """A key and its decoded record, which takes little memory whatever the size of the value.

    Attributes:
        key: The key.
        revision: Revision of its latest change.
        prefix: Prefix of its kind.
        deleted: Whether the key was deleted.
        record: The record, None if there is none or it is invalid.
        error: Why the record is invalid, None if it is not.
    """

    key: str
    revision: int
    prefix: str
    deleted: bool = False
    record: Record | None = None
    error: InvalidRecord | None = None

    @property
    def name(self) -> str:
        """The key without the prefix of its kind."""
        return self.key.removeprefix(self.prefix)


def read_entries(items: Iterable[Item]) -> list[StoreEntry]:
    """Returns the entries that concern a gateway, without the encoded values."""
    entries = (_read_entry(item) for item in items)
    return [entry for entry in entries if entry is not None]


def _read_entry(item: Item) -> StoreEntry | None:
    prefix = next((name for name in DECODERS.names() if item.key.startswith(name)), None)
    if prefix is None:
        return None
    if item.deleted:
        return StoreEntry(item.key, item.revision, prefix, deleted=True)
    try:
        record = DECODERS.get(prefix)(item.key.removeprefix(prefix), item.decode())
    except InvalidRecord as error:
        # The traceback would keep the value.
        return StoreEntry(item.key, item.revision, prefix, error=error.with_traceback(None))
    return StoreEntry(item.key, item.revision, prefix, record=record)


@DECODERS.register(CONFIGURATION_KEY)
def read_configuration(name: str, value: bytes) -> RouteTable:
    """Returns the route table of the configuration."""
    return decode_configuration(value)


@DECODERS.register(EVACUATION_PREFIX)
def read_evacuation(name: str, value: bytes) -> None:
    """Returns nothing: the key of an evacuation names its zone, and its value is not used."""


@DECODERS.register(SERVER_PREFIX)
def read_server(name: str, value: bytes) -> Instance:
    """Returns the backend server of a registration entry."""
    return decode_instance(name, value, time.monotonic())


@DECODERS.register(MEMBER_PREFIX)
def read_member(name: str, value: bytes) -> Member:
    """Returns the entry VM of its entry."""
    return decode_member(value)
