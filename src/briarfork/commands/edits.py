"""Edits that turn the current documents into the documents of a folder."""

from __future__ import annotations

import difflib
from typing import TYPE_CHECKING

import yaml

from briarfork.commands.effects import compute_effects
from briarfork.configuration import BASE
from briarfork.configuration import Documents
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind

if TYPE_CHECKING:
    import argparse

    from briarfork.commands.effects import CurrentShares
    from briarfork.commands.effects import Effect
    from briarfork.configuration import Document

Edits = dict[str, "Document | None"]


def compute_edits(current: dict[str, Document], wanted: Documents) -> Edits:
    """Returns the edits that turn the current documents into the wanted ones.

    An edit replaces a whole document; None deletes it.

    Example:
        >>> from briarfork.configuration import Documents
        >>> compute_edits({"a": {"x": 1}, "b": {}}, Documents({"a": {"x": 2}}))
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
    """Returns the lines of a unified diff of the documents as YAML."""
    lines: list[str] = []
    for name, body in edits.items():
        before = _dump_lines(current.get(name))
        lines += difflib.unified_diff(
            before, _dump_lines(body), f"in force: {name}", f"submitted: {name}", lineterm=""
        )
    return lines


def preview_effects(
    current: dict[str, Document], wanted: Documents, current_shares: CurrentShares
) -> list[Effect]:
    """Returns the effects on the traffic of replacing the current documents."""
    before = Documents(current).render() if BASE in current else None
    return compute_effects(before, wanted.render(), current_shares)


def add_rate_argument(parser: argparse.ArgumentParser) -> None:
    """Adds --rate, since the configuration does not contain the request rates of services."""
    parser.add_argument(
        "--rate",
        action="append",
        default=[],
        metavar="SERVICE=RPS",
        help="request rate of a service, to check whether the shift would exceed its cap",
    )


def parse_rates(texts: list[str]) -> dict[str, float]:
    """Parses --rate arguments and returns the requests per second by service.

    Raises:
        BriarforkError: With kind `bad_request` if an argument is not SERVICE=RPS.
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


def _dump_lines(body: Document | None) -> list[str]:
    return yaml.safe_dump(body, sort_keys=True).splitlines() if body is not None else []
