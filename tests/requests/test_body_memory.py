"""Tests of the memory for request bodies, by examples and by a state machine."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from briarfork.errors import NotRun
from briarfork.requests import BodyMemory
from briarfork.requests import Reservation
from briarfork.requests.body_memory import SMALL_BODY_BYTES

CAPACITY = 100_000


class TestBodyMemory:
    def test_waiting_bodies_are_granted_by_priority(self) -> None:
        """Guards against an urgent upload that waits behind less urgent ones."""
        memory = BodyMemory(CAPACITY)
        first = memory.reserve(CAPACITY, priority=1)
        low, high = memory.reserve(60_000, priority=2), memory.reserve(60_000, priority=0)
        assert memory.release(first) == [high]
        assert memory.release(high) == [low]

    def test_small_body_does_not_wait(self) -> None:
        """Guards against short requests that queue behind large bodies."""
        memory = BodyMemory(CAPACITY)
        memory.reserve(CAPACITY, priority=0)
        memory.reserve(CAPACITY, priority=0)
        assert memory.reserve(SMALL_BODY_BYTES, priority=9).held_bytes == SMALL_BODY_BYTES

    def test_only_bodies_of_lower_priority_are_refused_while_many_wait(self) -> None:
        """Guards against a queue of bodies that cannot all be served in time."""
        memory = BodyMemory(CAPACITY)
        memory.reserve(CAPACITY, priority=1)
        memory.reserve(CAPACITY, priority=1)
        with pytest.raises(NotRun):
            memory.reserve(10_000, priority=1)
        assert memory.reserve(10_000, priority=0).wanted_bytes == 10_000

    def test_body_larger_than_the_memory_is_refused(self) -> None:
        """Guards against a body that waits for memory that never becomes free."""
        memory = BodyMemory(CAPACITY)
        with pytest.raises(NotRun):
            memory.reserve(CAPACITY + 1, priority=0)
        with pytest.raises(NotRun):
            memory.grow(memory.reserve(CAPACITY, priority=0), 1)

    def test_body_that_has_begun_goes_before_new_ones(self) -> None:
        """Guards against bodies that hold memory and wait for more of it, all of them forever."""
        memory = BodyMemory(CAPACITY)
        growing, other = memory.reserve(50_000, priority=2), memory.reserve(50_000, priority=2)
        urgent = memory.reserve(50_000, priority=0)
        memory.grow(growing, 50_000)
        assert memory.release(other) == [growing]
        assert memory.release(growing) == [urgent]


class BodyMemoryMachine(RuleBasedStateMachine):
    """Requests of any sizes and priorities arrive, grow, leave while they wait, and finish."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = BodyMemory(CAPACITY)
        self.bodies: list[Reservation] = []

    @rule(size=st.integers(0, CAPACITY), priority=st.integers(0, 3))
    def arrive(self, size: int, priority: int) -> None:
        try:
            self.bodies.append(self.memory.reserve(size, priority))
        except NotRun:
            assert self.memory.waiting

    @precondition(lambda self: self.bodies)
    @rule(data=st.data())
    def finish(self, data: st.DataObject) -> None:
        body = data.draw(st.sampled_from(self.bodies))
        self.bodies.remove(body)
        for granted in self.memory.release(body):
            assert granted in self.bodies
            assert not granted.wanted_bytes

    @precondition(lambda self: any(not item.wanted_bytes for item in self.bodies))
    @rule(data=st.data(), size=st.integers(1, CAPACITY // 2))
    def grow(self, data: st.DataObject, size: int) -> None:
        body = data.draw(st.sampled_from([item for item in self.bodies if not item.wanted_bytes]))
        try:
            self.memory.grow(body, size)
        except NotRun:
            assert body.held_bytes + size > CAPACITY

    @invariant()
    def memory_is_accounted_for(self) -> None:
        held = sum(item.held_bytes for item in self.bodies)
        assert self.memory.used_bytes == held
        assert self.memory.waiting == sum(1 for item in self.bodies if item.wanted_bytes)

    @invariant()
    def large_bodies_fit(self) -> None:
        excess = sum(min(item.held_bytes, SMALL_BODY_BYTES) for item in self.bodies)
        assert self.memory.used_bytes <= CAPACITY + excess

    @invariant()
    def nothing_waits_for_free_memory(self) -> None:
        if self.bodies and not any(item.held_bytes for item in self.bodies):
            assert not self.memory.waiting


TestBodyMemoryMachine = BodyMemoryMachine.TestCase
