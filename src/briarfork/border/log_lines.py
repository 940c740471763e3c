"""Bounds the values of log lines, which may hold text and numbers that other writers chose."""

from __future__ import annotations

import math
import select
from dataclasses import dataclass
from enum import Enum
from itertools import islice
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping

# A pipe takes a line up to this size, with its line break, whole or not at all.
MAX_LINE_BYTES = select.PIPE_BUF
MIN_INTEGER, MAX_INTEGER = -(2**63), 2**64 - 1
# Longer integers are named by their size: Python does not convert all of them to text.
MAX_INTEGER_TEXT_BITS = 256
OMITTED = "..."
COLLECTIONS = (list, tuple, set, frozenset)


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds for one value.

    Attributes:
        head: Characters of a text that are kept from its start.
        tail: Characters of a text that are kept from its end, where errors often name the place.
        items: Items of a list or map that are kept.
        depth: Levels of lists and maps that are kept.
    """

    head: int
    tail: int
    items: int
    depth: int


FIELD_BOUNDS = Bounds(head=768, tail=256, items=32, depth=3)
# Bounds for all fields of a line that is too long with those above.
TIGHT_BOUNDS = Bounds(head=64, tail=32, items=4, depth=2)


def bound_fields(fields: Mapping[str, object], bounds: Bounds = FIELD_BOUNDS) -> dict[str, object]:
    """Returns fields of bounded size that can be encoded; what is left out is counted in them.

    Example:
        >>> bound_fields({"fault": "x" * 5000}, Bounds(head=2, tail=1, items=1, depth=1))
        {'fault': 'xx... 4997 characters ...x'}
    """
    return {name: _bound_value(value, bounds, bounds.depth) for name, value in fields.items()}


def encode_line(fields: Mapping[str, object]) -> bytes:
    """Returns bounded fields as a line of JSON of at most `MAX_LINE_BYTES`.

    If they are too long together, they are bounded more tightly. If that is not enough, the last
    fields are left out and counted in the field `fields_left_out`.
    """
    line = msgspec.json.encode(fields) + b"\n"
    if len(line) <= MAX_LINE_BYTES:
        return line
    tight = bound_fields(fields, TIGHT_BOUNDS)
    line = msgspec.json.encode(tight) + b"\n"
    while len(line) > MAX_LINE_BYTES:
        tight.pop("fields_left_out", None)
        tight.popitem()
        tight["fields_left_out"] = len(fields) - len(tight)
        line = msgspec.json.encode(tight) + b"\n"
    return line


def _bound_value(value: object, bounds: Bounds, depth: int) -> object:
    if isinstance(value, str):
        return _bound_text(value, bounds)
    if value is None or isinstance(value, bool):
        return value
    if isinstance(value, int):
        return _bound_integer(value)
    if isinstance(value, float):
        return value if math.isfinite(value) else str(value)
    if isinstance(value, Enum):
        return _bound_value(value.value, bounds, depth)
    if isinstance(value, dict):
        return _bound_map(value, bounds, depth - 1) if depth else OMITTED
    if isinstance(value, COLLECTIONS):
        return _bound_items(value, bounds, depth - 1) if depth else OMITTED
    return _bound_text(_describe(value), bounds)


def _bound_text(text: str, bounds: Bounds) -> str:
    left_out = len(text) - bounds.head - bounds.tail
    if left_out > 0:
        tail = text[len(text) - bounds.tail :]
        text = f"{text[: bounds.head]}{OMITTED} {left_out} characters {OMITTED}{tail}"
    # Surrogates, which stand for bytes that are not UTF-8, cannot be encoded.
    return text if text.isascii() else text.encode(errors="backslashreplace").decode()


def _bound_integer(value: int) -> int | str:
    if MIN_INTEGER <= value <= MAX_INTEGER:
        return value
    bits = value.bit_length()
    return str(value) if bits <= MAX_INTEGER_TEXT_BITS else f"integer of {bits} bits"


def _bound_items(values: Collection[object], bounds: Bounds, depth: int) -> list[object]:
    items = [_bound_value(value, bounds, depth) for value in islice(values, bounds.items)]
    if len(values) > len(items):
        items.append(f"{OMITTED} {len(values) - len(items)} more")
    return items


def _bound_map(values: Mapping[object, object], bounds: Bounds, depth: int) -> dict[str, object]:
    items: dict[str, object] = {}
    for key, value in islice(values.items(), bounds.items):
        items[str(_bound_value(key, bounds, depth))] = _bound_value(value, bounds, depth)
    # Also counts keys that differ only in what is left out of them.
    if len(values) > len(items):
        items[OMITTED] = f"{len(values) - len(items)} more"
    return items


def _describe(value: object) -> str:
    try:
        return str(value)
    # An error whose text cannot be built must not end the task that logs it.
    except Exception as error:
        return f"{type(value).__name__} ({type(error).__name__} in its text)"
