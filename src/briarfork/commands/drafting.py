"""Edits that turn the documents in force into those of a folder."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING

import yaml

from briarfork.commands.effects import find_effects
from briarfork.configuration import BASE
from briarfork.configuration import Documents
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    import argparse

    from briarfork.commands.effects import Effect
    from briarfork.commands.effects import SharesInForce
    from briarfork.configuration import Document

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


def preview(
    current: dict[str, Document], wanted: Documents, in_force: SharesInForce
) -> list[Effect]:
    """Returns what wanted documents do to the traffic."""
    before = Documents(current).render() if BASE in current else None
    return find_effects(before, wanted.render(), in_force)


def add_rate_argument(parser: argparse.ArgumentParser) -> None:
    """Declares the argument that states rates, which the configuration does not have."""
    parser.add_argument(
        "--rate",
        action="append",
        default=[],
        metavar="SERVICE=RPS",
        help="requests a second of a service, to tell whether the shift exceeds its cap",
    )


def read_rates(texts: list[str]) -> dict[str, float]:
    """Returns rates by service.

    Raises:
        BriarforkError: With kind `bad_request` if a text is no rate.
    """
    rates = {}
    for text in texts:
        service, _, rate = text.partition("=")
        try:
            rates[service] = float(rate)
        except ValueError as error:
            raise BriarforkError(
                ErrorKind.BAD_REQUEST, f"--rate: expected SERVICE=RPS, found {text!r}"
            ) from error
    return rates


def _dump(body: Document | None) -> list[str]:
    return yaml.safe_dump(body, sort_keys=True).splitlines() if body is not None else []
