"""Verification of the hash chain of the audit trail."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.timeline import Change

CHANGE_FIELDS = tuple(field.name for field in fields(Change))


def parse_anchor(text: str | None) -> tuple[int, str] | None:
    """Parses GENERATION:HASH of an entry recorded earlier; returns None if absent.

    Raises:
        BriarforkError: With kind `bad_request` if the text is not GENERATION:HASH.

    Example:
        >>> parse_anchor("7:abc")
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


class HashChainVerifier:
    """Verifies the entries of the audit trail in order.

    Each entry contains the hash of the previous one, so a missing or altered entry is detected at
    the next one. Truncation at the end, and a chain that was recomputed from some entry on, are
    detected only with an anchor recorded earlier.

    Attributes:
        generation: Generation of the latest entry; 0 before the first one.
        hash: Hash of the latest entry; empty before the first one.
    """

    def __init__(self, anchor: tuple[int, str] | None) -> None:
        self._anchor = anchor
        self._errors: list[str] = []
        self.generation = 0
        self.hash = ""

    def add(self, record: dict[str, Any]) -> None:
        """Verifies the next entry."""
        change = Change(**{name: record[name] for name in CHANGE_FIELDS})
        expected = self.generation + 1
        if change.generation != expected:
            self._errors.append(
                f"generation {expected}: expected an entry, found generation {change.generation}"
            )
        elif change.previous_hash != self.hash:
            self._errors.append(
                f"generation {expected}: expected the hash {self.hash[:12] or '(none)'} of "
                f"the previous entry, found {change.previous_hash[:12]}: one of the two was altered"
            )
        self.generation = change.generation
        self.hash = change.compute_hash()
        if self._anchor is not None and self._anchor[0] == change.generation:
            if self._anchor[1] != self.hash:
                self._errors.append(
                    f"generation {change.generation}: expected the hash of the anchor, "
                    f"found {self.hash[:12]}"
                )
            self._anchor = None

    def finish(self, generation: int, digest: str) -> list[str]:
        """Compares the end of the chain with the administration API and returns all errors.

        Args:
            generation: Latest generation known to the administration API.
            digest: Hash of that generation.
        """
        if self.generation < generation:
            self._errors.append(
                f"generation {generation}: expected as the last entry, found {self.generation}"
            )
        elif self.generation == generation and self.hash != digest:
            self._errors.append(f"generation {generation}: expected the hash {digest[:12]}")
        if self._anchor is not None:
            self._errors.append(f"generation {self._anchor[0]}: expected by the anchor, not found")
        return self._errors
