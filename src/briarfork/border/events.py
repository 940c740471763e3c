"""Numbered log events; docs/events.md is their catalogue."""

from __future__ import annotations

import os
import sys
import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import logbook
import msgspec

if TYPE_CHECKING:
    from briarfork.border.settings import Settings

FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel} {record.message}"


@dataclass(frozen=True, slots=True)
class EventDefinition:
    """Number, level and meaning of an event."""

    number: int
    level: str
    meaning: str


class Event(Enum):
    """All events; a number is never given to another meaning."""

    STARTED = EventDefinition(1001, "notice", "The program has started and accepts work.")
    STOPPING = EventDefinition(1002, "notice", "A planned stop has begun.")
    STOPPED = EventDefinition(1003, "notice", "The program has stopped; nothing was cut.")
    TASK_FAILED = EventDefinition(1004, "error", "A task failed in a way that is not expected.")
    RELOADED = EventDefinition(1005, "notice", "A signal to read the settings again was received.")
    LINES_LEFT_OUT = EventDefinition(
        1006, "warning", "Lines of one event were left out to bound the volume of the log."
    )
    CHANGE_ACCEPTED = EventDefinition(2001, "notice", "A change was added to the timeline.")
    CHANGE_REFUSED = EventDefinition(2002, "warning", "A submitted change was refused.")
    CONFIGURATION_IN_FORCE = EventDefinition(
        2003, "notice", "A new configuration is in force on this VM."
    )
    STORE_BEHIND = EventDefinition(
        2004, "error", "The store is older than this VM or differs from it; the VM keeps its own."
    )
    TIMELINE_FORKED = EventDefinition(
        2005, "error", "A peer offered a change that contradicts the timeline; it was ignored."
    )
    CONFIGURATION_UNUSABLE = EventDefinition(
        2006, "error", "An accepted change could not be rendered; the previous plan stays in use."
    )
    DRAFT_LEFT = EventDefinition(
        2007, "warning", "The draft of an accepted change could not be deleted; it is kept for now."
    )
    SNAPSHOT_FAILED = EventDefinition(
        2008, "warning", "A snapshot of the timeline could not be read or written."
    )
    STORE_LOST = EventDefinition(3001, "warning", "The store does not answer.")
    STORE_BACK = EventDefinition(3002, "notice", "The store answers again.")
    FOLLOWING = EventDefinition(3003, "info", "This VM follows the store for its zone.")
    NOT_FOLLOWING = EventDefinition(3004, "info", "This VM no longer follows the store.")
    HISTORY_LOST = EventDefinition(
        3005, "notice", "The store has dropped its history; everything is read again."
    )
    RECORD_IGNORED = EventDefinition(
        3006, "warning", "A record in the store could not be read and is ignored."
    )
    PEER_CONNECTED = EventDefinition(4001, "info", "A stream to another process is open.")
    PEER_LOST = EventDefinition(4002, "info", "A stream to another process has ended.")
    PEER_PROTOCOL_ERROR = EventDefinition(
        4003, "warning", "Another process sent bytes that are not a valid message."
    )
    MEMBER_CHANGED = EventDefinition(4004, "info", "The state of a member has changed.")
    LIST_CHANGED = EventDefinition(4005, "info", "The list of VMs has changed.")
    REQUEST_FAILED = EventDefinition(5001, "info", "A request was answered with an error.")
    ANSWER_CUT = EventDefinition(
        5002, "warning", "A backend server ended an answer early; the caller's stream was reset."
    )
    OUTCOME_UNKNOWN = EventDefinition(
        5003, "warning", "A non-idempotent request was sent and brought no answer."
    )
    CLAIM_LEFT = EventDefinition(
        5004, "warning", "A claim could not be updated; repeats of the request are refused."
    )
    OWNER_UNREACHABLE = EventDefinition(
        5005, "info", "The owner of a site's slots does not answer; the local share is used."
    )
    ATTEMPT_FAILED = EventDefinition(
        5006, "info", "An attempt to run a request at a backend server brought no whole answer."
    )
    REQUEST_SERVED = EventDefinition(
        5007, "info", "A request was answered by a backend server; a sample is written."
    )
    REMOTE_SHARE_MOVED = EventDefinition(
        5008, "info", "The share of a service's requests that leaves the region has moved."
    )


class LineBudget:
    """Bounds the lines a second of each event and counts what is left out.

    Example:
        >>> budget = LineBudget(lines_per_s=1)
        >>> [budget.take(Event.STARTED, now) for now in (0.0, 0.1, 0.2, 1.5)]
        [0, None, None, 2]
    """

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._periods: dict[Event, tuple[int, int]] = {}
        self._left_out: dict[Event, int] = {}

    def take(self, event: Event, now: float) -> int | None:
        """Returns how many lines were left out before this one, or None if it is left out, too.

        Args:
            event: The event.
            now: Time in seconds.
        """
        second, written = self._periods.get(event, (-1, 0))
        if second != int(now):
            second, written = int(now), 0
        if written >= self._lines_per_s:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return None
        self._periods[event] = (second, written + 1)
        return self._left_out.pop(event, 0)


class EventLog:
    """Writes the events of one program on one VM."""

    def __init__(
        self, program: str, settings: Settings | None = None, budget: LineBudget | None = None
    ) -> None:
        self._logger = logbook.Logger(program)
        self._vm = settings.vm if settings else "-"
        self._budget = budget

    def record(self, event: Event, **fields: object) -> None:
        """Writes an event with its fields, unless its lines of this second are used up."""
        left_out = self._budget.take(event, time.monotonic()) if self._budget else 0
        if left_out is None:
            return
        if left_out:
            self._write(Event.LINES_LEFT_OUT, {"of": event.name.lower(), "lines": left_out})
        self._write(event, fields)

    def _write(self, event: Event, fields: dict[str, object]) -> None:
        definition = event.value
        details = " ".join(f"{key}={_quote(value)}" for key, value in fields.items())
        self._logger.log(
            definition.level.upper(),
            f"event={definition.number} name={event.name.lower()} vm={self._vm} {details}".rstrip(),
            extra={
                "event": definition.number,
                "name": event.name.lower(),
                "vm": self._vm,
                **fields,
            },
        )


def install_log_handler() -> None:
    """Sends events to standard error, one line each."""
    logbook.StreamHandler(sys.stderr, level="INFO", format_string=FORMAT).push_application()


class JsonHandler(logbook.Handler):  # type: ignore[misc]
    """Writes each event as one line of JSON to standard output.

    A reader that stops reading must not stop the process, so lines that do not fit are dropped.
    """

    def __init__(self) -> None:
        super().__init__(level="INFO")
        self._dropped = 0
        os.set_blocking(sys.stdout.fileno(), False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a line, or counts it as dropped."""
        line = self.format(record) + "\n"
        try:
            os.write(sys.stdout.fileno(), line.encode())
        except BlockingIOError:
            self._dropped += 1

    def format(self, record: logbook.LogRecord) -> str:
        """Returns the event with its time, level and fields."""
        line = {"time": record.time.isoformat(), "level": record.level_name.lower()}
        if self._dropped:
            line["dropped_before"], self._dropped = str(self._dropped), 0
        return msgspec.json.encode(line | dict(record.extra), enc_hook=str).decode()


def install_json_handler() -> None:
    """Sends events to standard output, one JSON object a line."""
    JsonHandler().push_application()


def _quote(value: object) -> str:
    text = str(value)
    return repr(text) if " " in text or "=" in text or not text else text
