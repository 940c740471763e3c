"""One accepted change of the configuration, with its audit record."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from dataclasses import fields
from typing import Any

from briarfork.configuration import Document

FIRST_GENERATION = 1
NO_HASH = ""


@dataclass(frozen=True, slots=True)
class Change:
    """An entry of the timeline.

    Attributes:
        generation: Position in the timeline; the first is 1.
        change_id: Unique name that the submitter chose, so that a lost answer can be resolved.
        author: Who submitted it.
        team: Team whose token was used.
        reason: Why, in the author's words.
        approver: Who approved it, or None where no approval was required.
        submitted_at: Time of acceptance, seconds since the epoch.
        start_at: Time from which it is in force, seconds since the epoch.
        edits: New body of each edited document; None removes the document.
        withdraws: Generation of the scheduled change that this one cancels, or None.
        previous_hash: Hash of the change before it.
    """

    generation: int
    change_id: str
    author: str
    team: str
    reason: str
    approver: str | None
    submitted_at: float
    start_at: float
    edits: dict[str, Document | None]
    withdraws: int | None
    previous_hash: str

    def compute_hash(self) -> str:
        """Returns the SHA-256 of all fields; the next change carries it."""
        text = json.dumps(self.to_record(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()

    def to_record(self) -> dict[str, Any]:
        """Returns the fields as a plain map, the form in which stores and streams carry it."""
        return {field.name: getattr(self, field.name) for field in fields(self)}

    def overlaps(self, other: Change) -> set[str]:
        """Returns the names of the documents that both changes edit."""
        return set(self.edits) & set(other.edits)
