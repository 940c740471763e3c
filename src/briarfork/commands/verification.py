"""Proof that the audit trail is complete, worked out from the entries alone."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import Change

FIELDS = tuple(field.name for field in fields(Change))


def read_anchor(text: str | None) -> tuple[int, str] | None:
    """Returns the generation and hash of an entry noted earlier.

    Raises:
        BriarforkError: With kind `bad_request` if the text is no anchor.

    Example:
        >>> read_anchor("7:abc")
        (7, 'abc')
    """
    if text is None:
        return None
    generation, _, digest = text.partition(":")
    if not generation.isdigit() or not digest:
        raise BriarforkError(
            ErrorKind.BAD_REQUEST, f"--anchor: expected GENERATION:HASH, found {text!r}"
        )
    return int(generation), digest


class ChainVerifier:
    """Checks entries one after another.

    Every entry carries the hash of the one before, so an entry that is missing or altered shows at
    the next one. Entries cut off at the end, and a trail rewritten from some entry on, show only
    against an anchor that was noted earlier.
    """

    def __init__(self, anchor: tuple[int, str] | None) -> None:
        self._anchor = anchor
        self._faults: list[str] = []
        self.generation = 0
        self.hash = ""

    def add(self, record: dict[str, Any]) -> None:
        """Checks the next entry."""
        change = Change(**{name: record[name] for name in FIELDS})
        expected = self.generation + 1
        if change.generation != expected:
            self._faults.append(
                f"generation {expected}: expected an entry, found generation {change.generation}"
            )
        elif change.previous_hash != self.hash:
            self._faults.append(
                f"generation {expected}: expected the hash {self.hash[:12] or 'of no entry'} of "
                f"the entry before, found {change.previous_hash[:12]}: one of the two is altered"
            )
        self.generation = change.generation
        self.hash = change.compute_hash()
        if self._anchor is not None and self._anchor[0] == change.generation:
            if self._anchor[1] != self.hash:
                self._faults.append(
                    f"generation {change.generation}: expected the hash of the anchor, "
                    f"found {self.hash[:12]}"
                )
            self._anchor = None

    def finish(self, generation: int, digest: str) -> list[str]:
        """Returns all faults.

        Args:
            generation: Last generation that the administration API has read or accepted.
            digest: Its hash.
        """
        if self.generation < generation:
            self._faults.append(
                f"generation {generation}: expected as the last entry, found {self.generation}"
            )
        elif self.generation == generation and self.hash != digest:
            self._faults.append(f"generation {generation}: expected the hash {digest[:12]}")
        if self._anchor is not None:
            self._faults.append(f"generation {self._anchor[0]}: expected by the anchor, not found")
        return self._faults
