"""Numbered log events, listed in docs/events.md."""

from __future__ import annotations

import os
import sys
import time
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import logbook

from briarfork.border.log_lines import bound_fields
from briarfork.border.log_lines import encode_line

if TYPE_CHECKING:
    from briarfork.border.settings import Settings

LOG_FORMAT = (
    "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.channel} {record.message}"
)


@dataclass(frozen=True, slots=True)
class EventDefinition:
    """Number, log level and meaning of an event."""

    number: int
    level: str
    meaning: str


class Event(Enum):
    """All log events. The number of an event is never reused."""

    STARTED = EventDefinition(1001, "notice", "The program has started and accepts work.")
    STOPPING = EventDefinition(1002, "notice", "A planned stop has begun.")
    STOPPED = EventDefinition(
        1003,
        "notice",
        "The program has stopped gracefully; without `requests_cut` no request was aborted.",
    )
    TASK_FAILED = EventDefinition(1004, "error", "A task failed in a way that is not expected.")
    RELOADED = EventDefinition(1005, "notice", "A signal to read the settings again was received.")
    LINES_LEFT_OUT = EventDefinition(
        1006, "warning", "Log lines of an event were suppressed by the rate limit."
    )
    LOOP_DELAYED = EventDefinition(
        1007, "warning", "The event loop ran late, so that connections and deadlines had to wait."
    )
    REQUESTS_CUT = EventDefinition(
        1008, "warning", "A planned stop has ended before all requests had a whole response."
    )
    MEMORY_HIGH = EventDefinition(
        1009, "warning", "The peak memory of the process has passed a share of the VM's limit."
    )
    PROCESS_FAILED = EventDefinition(
        1010, "error", "The process ends because of an error; `status` is its exit status."
    )
    SETTINGS_UNUSABLE = EventDefinition(
        1011,
        "warning",
        "The settings file is missing or incomplete; it is read again for a short time.",
    )
    READY = EventDefinition(1012, "notice", "The VM is ready for callers for the first time.")
    CHANGE_ACCEPTED = EventDefinition(2001, "notice", "A change was added to the timeline.")
    CHANGE_REFUSED = EventDefinition(2002, "warning", "A submitted change was refused.")
    CONFIGURATION_IN_FORCE = EventDefinition(
        2003, "notice", "A new configuration is in force on this VM."
    )
    STORE_BEHIND = EventDefinition(
        2004,
        "error",
        "The store is older than this VM's timeline or differs from it; the VM keeps its own.",
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
    STORE_LOST = EventDefinition(3001, "warning", "The store does not respond.")
    STORE_BACK = EventDefinition(3002, "notice", "The store responds again.")
    FOLLOWING = EventDefinition(3003, "info", "This VM follows the store for its zone.")
    NOT_FOLLOWING = EventDefinition(3004, "info", "This VM no longer follows the store.")
    HISTORY_LOST = EventDefinition(
        3005, "notice", "The store has compacted its history; all data is read again."
    )
    RECORD_IGNORED = EventDefinition(
        3006, "warning", "A record in the store could not be read and is ignored."
    )
    ENTRY_HELD = EventDefinition(
        3007,
        "notice",
        "The entry of a server is older than what is known of it and is not used for now.",
    )
    STORE_ERA_CHANGED = EventDefinition(
        3008,
        "warning",
        "The store was restored from an older copy; all data is read and this VM registered again.",
    )
    STORE_COPY_OVERRULED = EventDefinition(
        3009,
        "warning",
        "The restored store lacks or contradicts what this VM knows; the VM keeps what it knows.",
    )
    STORE_READ = EventDefinition(
        3010, "info", "All keys of the store were read, or a large response of changes."
    )
    CHANGES_TOO_LONG = EventDefinition(
        3011,
        "notice",
        "The changes of the store are too long for one response; all data is read page by page.",
    )
    PEER_CONNECTED = EventDefinition(4001, "info", "A stream to another process is open.")
    PEER_LOST = EventDefinition(4002, "info", "A stream to another process has ended.")
    PEER_PROTOCOL_ERROR = EventDefinition(
        4003, "warning", "Another process sent bytes that are not a valid message."
    )
    MEMBER_CHANGED = EventDefinition(4004, "info", "The state of a member has changed.")
    LIST_CHANGED = EventDefinition(4005, "info", "The list of VMs has changed.")
    PEER_MEMORY_EXCEEDED = EventDefinition(
        4010, "warning", "The streams of peers held too much memory; the largest one was closed."
    )
    VM_IGNORED = EventDefinition(
        4020, "warning", "Entries of the list of VMs are invalid and change nothing."
    )
    LIST_LOST = EventDefinition(4021, "warning", "The list of VMs could not be read.")
    LIST_BACK = EventDefinition(4022, "notice", "The list of VMs could be read again.")
    REQUEST_FAILED = EventDefinition(5001, "info", "A request was answered with an error.")
    ANSWER_CUT = EventDefinition(
        5002, "warning", "A backend server truncated a response; the caller's connection was reset."
    )
    OUTCOME_UNKNOWN = EventDefinition(
        5003, "warning", "A non-idempotent request was sent but got no complete response."
    )
    CLAIM_LEFT = EventDefinition(
        5004, "warning", "A claim could not be updated; retries of the request are refused."
    )
    OWNER_UNREACHABLE = EventDefinition(
        5005, "info", "The owner of a site's slots does not respond; the local share is used."
    )
    ATTEMPT_FAILED = EventDefinition(
        5006, "info", "An attempt at a backend server got no complete response."
    )
    REQUEST_SERVED = EventDefinition(
        5007, "info", "A request was served by a backend server; only a sample is logged."
    )
    REMOTE_SHARE_MOVED = EventDefinition(
        5008, "info", "The share of a service's requests that leaves the region has moved."
    )
    PERMIT_RETURNED = EventDefinition(
        5009, "info", "A permit was returned because its server is known to have left."
    )
    RESPONSE_DROPPED = EventDefinition(
        5020, "warning", "A response was too long or found no memory; its attempt failed."
    )
    RESPONSE_UNREAD = EventDefinition(
        5021, "info", "A caller did not read its response in time; its connection was closed."
    )
    RESPONSE_FAULTY = EventDefinition(
        5022, "warning", "A connection was closed because of the bytes that its server sent."
    )
    CAPACITY_SHARED = EventDefinition(
        5040, "info", "Requests for slots were refused; the workspaces with the most are named."
    )
    QUOTA_REFUSED = EventDefinition(
        5030, "info", "A request was refused because of the quota of its workspace."
    )
    QUOTA_OWNER_CHANGED = EventDefinition(
        5031, "info", "This VM gets the credit of a shard of the quotas from another VM."
    )
    REQUEST_AHEAD_DROPPED = EventDefinition(
        5023, "info", "A pipelined request was ended for its memory; it runs again in its turn."
    )
    REQUEST_AHEAD_CANCELLED = EventDefinition(
        5024, "info", "A pipelined request was ended because its connection closes."
    )


class LogRateLimiter:
    """Limits the log lines per second of each event and counts suppressed lines.

    Example:
        >>> limiter = LogRateLimiter(lines_per_s=1)
        >>> [limiter.admit(Event.STARTED, now) for now in (0.0, 0.1, 0.2, 1.5)]
        [0, None, None, 2]
    """

    def __init__(self, lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._windows: dict[Event, tuple[int, int]] = {}
        self._suppressed: dict[Event, int] = {}

    def admit(self, event: Event, now: float) -> int | None:
        """Counts a line and decides whether it is written.

        Args:
            event: The event.
            now: Time in seconds.

        Returns:
            The number of lines of this event suppressed since the last written one, or None if this
            line is suppressed as well.
        """
        second, written = self._windows.get(event, (-1, 0))
        if second != int(now):
            second, written = int(now), 0
        if written >= self._lines_per_s:
            self._suppressed[event] = self._suppressed.get(event, 0) + 1
            return None
        self._windows[event] = (second, written + 1)
        return self._suppressed.pop(event, 0)


class EventLog:
    """Writes the events of one program on one VM."""

    def __init__(
        self,
        program: str,
        settings: Settings | None = None,
        rate_limiter: LogRateLimiter | None = None,
    ) -> None:
        self._logger = logbook.Logger(program)
        self._vm = settings.vm if settings else "-"
        self._rate_limiter = rate_limiter

    def record(self, event: Event, **fields: object) -> None:
        """Writes an event with its fields, unless its rate limit is exceeded."""
        suppressed = self._rate_limiter.admit(event, time.monotonic()) if self._rate_limiter else 0
        if suppressed is None:
            return
        if suppressed:
            self._write(Event.LINES_LEFT_OUT, {"of": event.name.lower(), "lines": suppressed})
        self._write(event, fields)

    def _write(self, event: Event, fields: dict[str, object]) -> None:
        definition = event.value
        extra = {
            "event": definition.number,
            "name": event.name.lower(),
            "vm": self._vm,
            **bound_fields(fields),
        }
        # The text is only built by handlers that write it.
        self._logger.log(definition.level.upper(), "{}", _KeyValueText(extra), extra=extra)


class _KeyValueText:
    """Formats fields as `key=value`, one after the other."""

    def __init__(self, fields: dict[str, object]) -> None:
        self._fields = fields

    def __str__(self) -> str:
        return " ".join(f"{key}={_quote_value(value)}" for key, value in self._fields.items())


def install_log_handler() -> None:
    """Installs a handler that writes events to standard error, one line per event."""
    logbook.StreamHandler(sys.stderr, level="INFO", format_string=LOG_FORMAT).push_application()


class JsonHandler(logbook.Handler):  # type: ignore[misc]
    """Writes events to standard output as JSON lines.

    Writes never block or fail: if the reader does not keep up or is gone, lines are dropped and
    counted.
    """

    def __init__(self) -> None:
        super().__init__(level="INFO")
        self._dropped = 0
        # Python has no such file if the process was started without one; the number may then
        # belong to a socket.
        self._descriptor = None if sys.stdout is None else sys.stdout.fileno()
        if self._descriptor is not None:
            os.set_blocking(self._descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Writes a record, or drops it if standard output would block or is closed."""
        if self._descriptor is None:
            return
        line = self.format(record)
        try:
            os.write(self._descriptor, line)
        # An error here would be printed to standard error, which may have no reader either.
        except OSError:
            self._dropped += 1
        else:
            self._dropped = 0

    def format(self, record: logbook.LogRecord) -> bytes:
        """Formats a record as a line of JSON with time, level and event fields."""
        line = {"time": record.time.isoformat(), "level": record.level_name.lower()}
        if self._dropped:
            line["dropped_before"] = str(self._dropped)
        return encode_line(line | record.extra)


def install_json_handler() -> None:
    """Installs a handler that writes events to standard output as JSON lines."""
    JsonHandler().push_application()


def _quote_value(value: object) -> str:
    text = str(value)
    needs_quotes = not text or " " in text or "=" in text or not text.isprintable()
    return repr(text) if needs_quotes else text
