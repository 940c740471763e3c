"""Steering: blocks of clients, assignment to sites, shifts."""

from briarfork.steering.blocks import BlockTable
from briarfork.steering.history import build_ramps
from briarfork.steering.shift import Ramp
from briarfork.steering.shift import ShiftCap
from briarfork.steering.shift import SpreadChange
from briarfork.steering.shift import build_ramp
from briarfork.steering.shift import normalize
from briarfork.steering.steering import EntryAddress
from briarfork.steering.steering import Steering
from briarfork.steering.steering import choose_site
from briarfork.steering.steering import hash_unit

__all__ = [
    "BlockTable",
    "EntryAddress",
    "Ramp",
    "ShiftCap",
    "SpreadChange",
    "Steering",
    "build_ramp",
    "build_ramps",
    "choose_site",
    "hash_unit",
    "normalize",
]
