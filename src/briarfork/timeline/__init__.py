"""The timeline: an append-only log of accepted configuration changes."""

from briarfork.timeline.change import Change
from briarfork.timeline.checks import WITHDRAWAL_MARGIN_S
from briarfork.timeline.snapshot import FoldedChange
from briarfork.timeline.snapshot import Snapshot
from briarfork.timeline.timeline import RETENTION_S
from briarfork.timeline.timeline import AppendResult
from briarfork.timeline.timeline import SnapshotRequired
from briarfork.timeline.timeline import Timeline

__all__ = [
    "RETENTION_S",
    "WITHDRAWAL_MARGIN_S",
    "AppendResult",
    "Change",
    "FoldedChange",
    "Snapshot",
    "SnapshotRequired",
    "Timeline",
]
