"""Decodes records of the platform's store, which also other writers write."""

from __future__ import annotations

from typing import Annotated
from typing import TypeVar

import msgspec
from msgspec import Meta

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

NonEmptyStr = Annotated[str, Meta(min_length=1)]
RecordT = TypeVar("RecordT")


class InvalidRecord(BriarforkError):
    """A truncated or inconsistent record, or one of another writer; it is ignored."""

    def __init__(self, detail: str) -> None:
        super().__init__(ErrorKind.INVALID_CONFIGURATION, detail)


def decode_record(name: str, value: bytes, expected: type[RecordT]) -> RecordT:
    """Returns a record.

    Raises:
        InvalidRecord: If the value is not a record of this type.
    """
    try:
        return msgspec.json.decode(value, type=expected)
    except (msgspec.DecodeError, ValueError, RecursionError, OverflowError) as error:
        raise InvalidRecord(f"{name}: {error}") from error
