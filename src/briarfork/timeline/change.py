"""An accepted change of the configuration, with its audit record."""

from __future__ import annotations

import hashlib
import json
import sys
from dataclasses import dataclass
from dataclasses import fields
from dataclasses import replace
from typing import Any

from briarfork.configuration import Document

FIRST_GENERATION = 1
NO_HASH = ""


@dataclass(frozen=True, slots=True)
class Change:
    """An entry of the timeline.

    Attributes:
        generation: Position in the timeline, starting at 1.
        change_id: Unique id chosen by the submitter, to find out whether a submission whose
            answer was lost has been accepted.
        author: Person who submitted the change.
        team: Team whose token was used.
        reason: Reason given by the author.
        approver: Person who approved the change, or None if no approval was required.
        submitted_at: Time of acceptance, seconds since the epoch.
        start_at: Time from which the change is in force, seconds since the epoch.
        edits: New body of each edited document by name; None removes the document.
        withdraws: Generation of the scheduled change that this one cancels, or None.
        previous_hash: Hash of the preceding change.
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
        """Returns the SHA-256 of all fields in hex, which the next change refers to."""
        text = json.dumps(self.to_record(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()

    def to_record(self) -> dict[str, Any]:
        """Returns the fields as a plain mapping, as they are stored and sent."""
        return {field.name: getattr(self, field.name) for field in fields(self)}

    def intern_values(self) -> Change:
        """Returns an equal change with interned strings and weights, to save memory.

        A spread over 1,000 sites would otherwise hold 1,000 names and weights of its own.
        """
        weights: dict[float, float] = {}
        edits = {name: _intern(body, weights) for name, body in self.edits.items()}
        return replace(self, edits=edits)

    def overlaps(self, other: Change) -> set[str]:
        """Returns the names of the documents that both changes edit."""
        return set(self.edits) & set(other.edits)


def _intern(value: Any, weights: dict[float, float]) -> Any:
    if isinstance(value, dict):
        return {sys.intern(key): _intern(item, weights) for key, item in value.items()}
    if isinstance(value, list):
        return [_intern(item, weights) for item in value]
    if type(value) is str:
        return sys.intern(value)
    # 0.0 and -0.0 are equal, but sharing one of them would alter the hash of the change.
    if type(value) is float and value != 0.0:
        return weights.setdefault(value, value)
    return value
