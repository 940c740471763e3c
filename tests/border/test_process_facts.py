"""Tests of what a process reads about itself."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from briarfork.border import memory
from briarfork.border import process_age
from briarfork.border.memory import MemoryUse
from briarfork.border.memory import read_memory
from briarfork.border.process_age import read_process_age

if TYPE_CHECKING:
    from pathlib import Path


class TestProcessFacts:
    @pytest.mark.parametrize(
        "content", [b"", b"1 (python) S", b"VmRSS:\n", b"VmRSS: x kB\n", b"\xff"]
    )
    def test_unknown_content_raises_nothing(
        self, content: bytes, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a listing that ends because a figure for its log line is missing."""
        path = tmp_path / "file"
        path.write_bytes(content)
        monkeypatch.setattr(process_age, "STAT_FILE", path)
        monkeypatch.setattr(memory, "STATUS_FILE", path)
        assert read_process_age() >= 0.0
        assert read_memory() == MemoryUse()
