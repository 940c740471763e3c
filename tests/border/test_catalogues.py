"""Tests that the event, error and metric tables in docs/ match the code."""

from __future__ import annotations

from pathlib import Path

from briarfork.border.events import Event
from briarfork.border.metrics import Metric
from briarfork.errors import ERROR_RESPONSES
from briarfork.errors import ErrorKind

DOCS = Path(__file__).parent.parent.parent / "docs"


def read_table(name: str) -> list[list[str]]:
    lines = (DOCS / name).read_text().splitlines()
    rows = [line for line in lines if line.startswith("| ")][2:]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows]


class TestEventCatalogue:
    def test_documents_every_event(self) -> None:
        """Guards against undocumented events and outdated levels or meanings."""
        expected = [
            [str(event.value.number), event.name.lower(), event.value.level, event.value.meaning]
            for event in Event
        ]
        assert read_table("events.md") == expected

    def test_event_numbers_are_unique(self) -> None:
        """Guards against two events with the same number."""
        assert len({event.value.number for event in Event}) == len(Event)


class TestErrorCatalogue:
    def test_documents_every_error_kind(self) -> None:
        """Guards against error responses that differ from their documentation."""
        expected = [
            [
                kind.value,
                str(answer.status),
                "yes" if answer.retryable else "no",
                answer.outcome.value,
                str(answer.exit_status),
            ]
            for kind, answer in ERROR_RESPONSES.items()
        ]
        assert read_table("errors.md") == expected

    def test_every_error_kind_has_a_response(self) -> None:
        """Guards against an error kind without a response, which fails as an internal error."""
        assert set(ERROR_RESPONSES) == set(ErrorKind)


class TestMetricCatalogue:
    def test_documents_every_metric(self) -> None:
        """Guards against undocumented metrics."""
        assert [row[0] for row in read_table("metrics.md")] == [metric.value for metric in Metric]
