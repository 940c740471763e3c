"""Traffic steering: client regions, site assignment, shifts and overflow headroom."""

from briarfork.steering.assignment import Assignment
from briarfork.steering.assignment import choose_site
from briarfork.steering.assignment import find_group
from briarfork.steering.assignment import hash_unit
from briarfork.steering.blocks import BlockTable
from briarfork.steering.entries import MAX_LOOKUP_ENTRIES
from briarfork.steering.entries import EntryAddress
from briarfork.steering.entries import EntryDirectory
from briarfork.steering.headroom import Headroom
from briarfork.steering.headroom import SiteLoad
from briarfork.steering.history import build_shifts
from briarfork.steering.history import compact_timeline
from briarfork.steering.recovery import Recovery
from briarfork.steering.shift import MAX_MOVE_DELAY_S
from briarfork.steering.shift import Ramp
from briarfork.steering.shift import Shift
from briarfork.steering.shift import ShiftCap
from briarfork.steering.shift import SpreadChange
from briarfork.steering.shift import build_shift
from briarfork.steering.shift import normalize
from briarfork.steering.steering import SiteDecision
from briarfork.steering.steering import Steering

__all__ = [
    "MAX_LOOKUP_ENTRIES",
    "MAX_MOVE_DELAY_S",
    "Assignment",
    "BlockTable",
    "EntryAddress",
    "EntryDirectory",
    "Headroom",
    "Ramp",
    "Recovery",
    "Shift",
    "ShiftCap",
    "SiteDecision",
    "SiteLoad",
    "SpreadChange",
    "Steering",
    "build_shift",
    "build_shifts",
    "choose_site",
    "compact_timeline",
    "find_group",
    "hash_unit",
    "normalize",
]
