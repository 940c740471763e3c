"""Edits that turn the documents in force into those of a folder."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING

import yaml

if TYPE_CHECKING:
    from briarfork.configuration import Document
    from briarfork.configuration import Documents

Edits = dict[str, "Document | None"]


def find_edits(current: dict[str, Document], wanted: Documents) -> Edits:
    """Returns the edits that lead from the current documents to the wanted ones.

    Example:
        >>> from briarfork.configuration import Documents
        >>> find_edits({"a": {"x": 1}, "b": {}}, Documents({"a": {"x": 2}}))
        {'a': {'x': 2}, 'b': None}
    """
    edits: Edits = {
        name: body for name, body in wanted.by_name.items() if current.get(name) != body
    }
    for name in current:
        if name not in wanted.by_name:
            edits[name] = None
    return edits


def format_edits(current: dict[str, Document], edits: Edits) -> list[str]:
    """Returns the edits as a unified diff of YAML, line by line."""
    lines: list[str] = []
    for name, body in edits.items():
        before = _dump(current.get(name))
        lines += difflib.unified_diff(
            before, _dump(body), f"in force: {name}", f"submitted: {name}", lineterm=""
        )
    return lines


def _dump(body: Document | None) -> list[str]:
    return yaml.safe_dump(body, sort_keys=True).splitlines() if body is not None else []
