"""Tests of the memory for responses, by examples and by a state machine."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from briarfork.requests import DropReason
from briarfork.requests import HeldResponse
from briarfork.requests import ResponseDropped
from briarfork.requests import ResponseMemory
from briarfork.requests.response_memory import SMALL_RESPONSE_BYTES

CAPACITY = 120_000
LIMIT = CAPACITY // 2


class TestResponseMemory:
    @pytest.mark.parametrize(("service", "server"), [("s", "i-2"), ("t", "i-3")])
    def test_one_server_leaves_room_for_others(self, service: str, server: str) -> None:
        """Guards against a server or a service that takes the memory for all responses."""
        memory = ResponseMemory(CAPACITY)
        responses = [memory.open("s", "i-1") for _ in range(12)]
        for response in responses:
            memory.request(response, CAPACITY // 12)
        assert memory.used_bytes == CAPACITY // 2
        other = memory.open(service, server)
        memory.request(other, CAPACITY // 3)
        # The service "s" holds its whole share.
        assert (other.held_bytes > 0) == (service == "t")

    def test_response_above_the_share_waits_until_its_server_holds_no_other(self) -> None:
        """Guards against a large response that shorter ones of its server keep out for ever."""
        memory = ResponseMemory(CAPACITY)
        first, large, last = (memory.open("s", "i-1") for _ in range(3))
        memory.request(first, CAPACITY // 4)
        memory.request(large, CAPACITY // 2)
        memory.request(last, CAPACITY // 4)
        assert not last.held_bytes
        assert memory.release(first) == [large]
        assert memory.release(large) == [last]

    def test_one_long_response_leaves_room_for_other_services(self) -> None:
        """Guards against a server that declares a long response and stalls."""
        memory = ResponseMemory(CAPACITY)
        memory.request(memory.open("s", "i-1"), memory.limit_bytes)
        other = memory.open("t", "i-2")
        assert memory.request(other, CAPACITY // 3) == [other]

    def test_largest_response_is_given_up_if_all_grow(self) -> None:
        """Guards against half-read responses that wait for each other."""
        memory = ResponseMemory(CAPACITY)
        sizes = [10_000, 30_000, 20_000]
        responses = [memory.open("s", "i-1") for _ in sizes]
        for response, size in zip(responses, sizes, strict=True):
            memory.request(response, size)
        assert memory.request(responses[0], 10_000, grows=True) == []
        assert memory.request(responses[1], 10_000, grows=True) == []
        assert memory.request(responses[2], 10_000, grows=True) == [responses[1]]
        assert responses[1].is_given_up
        assert memory.release(responses[1]) == [responses[0], responses[2]]

    def test_responses_of_unknown_length_that_fit_one_by_one_all_end(self) -> None:
        """Guards against giving up sound responses that grow at the same time."""
        memory = ResponseMemory(CAPACITY)
        growing = [memory.open("s", "i-1") for _ in range(20)]
        while growing:
            for response in growing:
                if not response.wanted_bytes:
                    memory.request(response, CAPACITY // 40, grows=True)
            assert not any(item.is_given_up for item in growing)
            for response in [item for item in growing if item.held_bytes >= CAPACITY // 5]:
                growing.remove(response)
                memory.release(response)

    def test_too_long_response_is_refused(self) -> None:
        """Guards against waiting for memory that a response can never get."""
        memory = ResponseMemory(CAPACITY, LIMIT)
        with pytest.raises(ResponseDropped) as caught:
            memory.request(memory.open("s", "i-1"), LIMIT + 1)
        assert caught.value.reason is DropReason.TOO_LONG


class ResponseMemoryMachine(RuleBasedStateMachine):
    """Responses of three servers arrive, grow, end, are delivered or break off in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.memory = ResponseMemory(CAPACITY, LIMIT)
        self.responses: list[HeldResponse] = []
        self.ended: set[int] = set()

    @rule(size=st.integers(0, LIMIT), server=st.integers(0, 2), grows=st.booleans())
    def arrive(self, size: int, server: int, grows: bool) -> None:
        response = self.memory.open(f"s-{server // 2}", f"i-{server}")
        self.responses.append(response)
        self.check(self.memory.request(response, size, grows))

    @precondition(lambda self: any(self.is_read(item) for item in self.responses))
    @rule(data=st.data(), size=st.integers(1, LIMIT // 2))
    def grow(self, data: st.DataObject, size: int) -> None:
        response = data.draw(st.sampled_from([i for i in self.responses if self.is_read(i)]))
        try:
            self.check(self.memory.request(response, size, grows=True))
        except ResponseDropped:
            assert response.held_bytes + size > LIMIT

    @precondition(lambda self: any(self.is_read(item) for item in self.responses))
    @rule(data=st.data(), share=st.floats(0, 1))
    def end(self, data: st.DataObject, share: float) -> None:
        response = data.draw(st.sampled_from([i for i in self.responses if self.is_read(i)]))
        self.ended.add(response.number)
        self.check(self.memory.finish(response, int(share * response.held_bytes)))

    @precondition(lambda self: self.responses)
    @rule(data=st.data())
    def release(self, data: st.DataObject) -> None:
        response = data.draw(st.sampled_from(self.responses))
        self.responses.remove(response)
        self.check(self.memory.release(response))
        assert self.memory.release(response) == []

    def is_read(self, response: HeldResponse) -> bool:
        waits = response.wanted_bytes or response.is_given_up
        return not waits and response.number not in self.ended

    def check(self, changed: list[HeldResponse]) -> None:
        assert all(item.is_given_up or not item.wanted_bytes for item in changed)

    @invariant()
    def memory_is_accounted_for(self) -> None:
        assert self.memory.used_bytes == sum(item.held_bytes for item in self.responses)
        waiting = [item for item in self.responses if item.wanted_bytes and not item.is_given_up]
        assert self.memory.waiting == len(waiting)

    @invariant()
    def responses_fit(self) -> None:
        small = sum(
            item.held_bytes for item in self.responses if item.held_bytes <= SMALL_RESPONSE_BYTES
        )
        assert self.memory.used_bytes <= CAPACITY + small

    @invariant()
    def something_can_make_room(self) -> None:
        """Each waiting response waits for one that does not wait itself."""
        large = [item for item in self.responses if item.held_bytes > SMALL_RESPONSE_BYTES]
        if self.memory.waiting:
            assert any(item.is_given_up or not item.wanted_bytes for item in large)

    def teardown(self) -> None:
        for response in self.responses:
            self.memory.release(response)
        assert (self.memory.used_bytes, self.memory.waiting) == (0, 0)
        last = self.memory.open("s-0", "i-0")
        assert self.memory.request(last, LIMIT) == [last]


TestResponseMemoryMachine = ResponseMemoryMachine.TestCase
