"""Tests of the operators' documentation pages."""

from __future__ import annotations

import re
import shlex
from pathlib import Path

import pytest

from briarfork.commands.main import build_parser

DOCS = Path(__file__).parent.parent.parent / "docs"
PAGES = sorted((DOCS / "operators").glob("*.md"))


class TestPages:
    @pytest.mark.parametrize("page", PAGES, ids=lambda page: page.stem)
    def test_every_command_is_valid(self, page: Path) -> None:
        """Guards against documented commands that no longer exist or take other arguments."""
        commands = re.findall(r"^\$ briarfork (.*)$", page.read_text(), re.MULTILINE)
        assert commands
        for command in commands:
            build_parser().parse_args(shlex.split(command))

    @pytest.mark.parametrize("page", [DOCS / "README.md", *PAGES], ids=lambda page: page.stem)
    def test_every_link_target_exists(self, page: Path) -> None:
        """Guards against links to renamed or deleted pages."""
        for target in re.findall(r"\]\(([^)#]+)\)", page.read_text()):
            assert (page.parent / target).exists(), target

    def test_every_page_is_linked(self) -> None:
        """Guards against a page that is missing from the table of contents."""
        contents = (DOCS / "README.md").read_text()
        assert all(f"(operators/{page.name})" in contents for page in PAGES)
