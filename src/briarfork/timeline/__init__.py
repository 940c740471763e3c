"""The timeline of accepted changes."""

from briarfork.timeline.change import Change
from briarfork.timeline.checks import WITHDRAWAL_MARGIN_S
from briarfork.timeline.snapshot import Folded
from briarfork.timeline.snapshot import Snapshot
from briarfork.timeline.timeline import RETENTION_S
from briarfork.timeline.timeline import Appended
from briarfork.timeline.timeline import SnapshotRequired
from briarfork.timeline.timeline import Timeline

__all__ = [
    "RETENTION_S",
    "WITHDRAWAL_MARGIN_S",
    "Appended",
    "Change",
    "Folded",
    "Snapshot",
    "SnapshotRequired",
    "Timeline",
]
