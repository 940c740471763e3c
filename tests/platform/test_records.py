"""Tests of decoding records that no program of the platform would write."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from briarfork.platform.configuration_record import decode_configuration
from briarfork.platform.records import InvalidRecord
from briarfork.platform.registration_records import decode_instance
from briarfork.platform.registration_records import decode_member

if TYPE_CHECKING:
    from collections.abc import Callable

NESTING_DEPTH = 100_000


class TestNesting:
    @pytest.mark.parametrize(
        "decode",
        [decode_configuration, decode_member, lambda value: decode_instance("i-1", value, 0.0)],
        ids=["configuration", "member", "instance"],
    )
    def test_deeply_nested_record_is_rejected(self, decode: Callable[[bytes], object]) -> None:
        """Guards against an entry of another writer that ends each program that reads it."""
        nested = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
        with pytest.raises(InvalidRecord):
            decode(b'{"other":' + nested + b"}")
