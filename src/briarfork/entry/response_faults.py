"""Records faulty responses of backend servers in the log, the metrics and the owners of slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from briarfork.border.events import Event
from briarfork.border.responses import ResponseFault

if TYPE_CHECKING:
    from collections.abc import Callable

    from briarfork.border.events import EventLog
    from briarfork.entry.slot_client import SlotClient


class ResponseFaultRecorder:
    """Observes the connections to backend servers."""

    def __init__(
        self, events: EventLog, permits: SlotClient, count: Callable[[ResponseFault], None]
    ) -> None:
        """Creates a recorder.

        Args:
            events: The log.
            permits: Tell the owners of slots about faults outside of a request.
            count: Counts a fault in the metrics.
        """
        self._events = events
        self._permits = permits
        self._count = count

    def record_fault(self, address: str, port: int, fault: ResponseFault) -> None:
        """Records that a connection to a server was closed because of what the server sent."""
        self._count(fault)
        self._events.record(Event.RESPONSE_FAULTY, server=f"{address}:{port}", fault=fault.value)
        if fault is ResponseFault.EXTRA_BYTES:
            # Other faults fail the attempt that met them.
            self._permits.record_extra_bytes(address, port)
