"""The catalogues in docs/ match the lists in the code."""

from __future__ import annotations

from pathlib import Path

from briarfork.border.events import Event
from briarfork.border.metrics import Metric
from briarfork.errors import ERROR_RESPONSES
from briarfork.errors import ErrorKind

DOCS = Path(__file__).parent.parent.parent / "docs"


def read_rows(name: str) -> list[list[str]]:
    lines = (DOCS / name).read_text().splitlines()
    rows = [line for line in lines if line.startswith("| ")][2:]
    return [[cell.strip() for cell in row.strip("|").split("|")] for row in rows]


class TestEventCatalogue:
    def test_lists_every_event_as_the_code_has_it(self) -> None:
        """Guards against an event that operators cannot look up."""
        expected = [
            [str(event.value.number), event.name.lower(), event.value.level, event.value.meaning]
            for event in Event
        ]
        assert read_rows("events.md") == expected

    def test_numbers_are_unique(self) -> None:
        """Guards against two meanings of one number."""
        assert len({event.value.number for event in Event}) == len(Event)


class TestErrorCatalogue:
    def test_lists_every_kind_as_the_table_has_it(self) -> None:
        """Guards against an answer that differs from its documentation."""
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
        assert read_rows("errors.md") == expected

    def test_every_kind_has_an_answer(self) -> None:
        """Guards against an error that would end as an internal fault."""
        assert set(ERROR_RESPONSES) == set(ErrorKind)


class TestMetricCatalogue:
    def test_lists_every_metric(self) -> None:
        """Guards against a metric that operators cannot look up."""
        assert [row[0] for row in read_rows("metrics.md")] == [metric.value for metric in Metric]
