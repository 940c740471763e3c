"""Responses of the platform's key-value store."""

from __future__ import annotations

import base64

import msgspec


class Item(msgspec.Struct, frozen=True):
    """A key as the store returns it.

    Attributes:
        value: Value in standard base64.
        deleted: Whether the key was deleted.
    """

    key: str
    revision: int
    value: str = ""
    deleted: bool = False

    def decode(self) -> bytes:
        """Returns the decoded value, empty if it is not valid base64."""
        try:
            return base64.b64decode(self.value, validate=True)
        except ValueError:
            return b""


class RangePage(msgspec.Struct, frozen=True):
    """One page of a range query."""

    items: list[Item]
    store_revision: int
    has_more: bool = False


class Events(msgspec.Struct, frozen=True):
    """The changes that a watch returns."""

    events: list[Item]
    store_revision: int


class GrantedLease(msgspec.Struct, frozen=True):
    """The response to the creation of a lease."""

    lease: int
