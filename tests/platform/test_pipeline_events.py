"""Tests of pipelines in any order of requests, responses, ends of connections and stops."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from dataclasses import replace
from enum import Enum
from typing import TYPE_CHECKING

import pytest
import uvloop
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from briarfork.platform.callers import CallerConnection
from briarfork.routing import RequestKind
from tests.gateway.harness import build_table
from tests.platform.test_pipelines import BOOKINGS
from tests.platform.test_pipelines import LOOKUPS
from tests.platform.test_pipelines import READ_S
from tests.platform.test_pipelines import PipelineHarness
from tests.platform.test_pipelines import build_get
from tests.platform.test_pipelines import build_post
from tests.platform.test_pipelines import read_responses

if TYPE_CHECKING:
    from collections.abc import Callable

# Time in which everything that a caller has left behind ends.
END_S = 0.5
LONG_HEADER = "X-Long: " + "x" * 20_000 + "\r\n"


class Kind(Enum):
    """Kinds of requests of a plan."""

    LOOKUP = "lookup"
    BOOKING = "booking"
    UNKNOWN = "unknown"
    LAST = "last"
    MALFORMED = "malformed"
    TOO_LONG = "too long"


# The connection ends with the responses to these.
CLOSING = frozenset({Kind.LAST, Kind.MALFORMED, Kind.TOO_LONG})


class Action(Enum):
    """What happens besides requests."""

    NONE = "none"
    LEAVE = "leave"
    RESET = "reset"
    HALF_CLOSE = "half-close"
    STOP = "stop"
    BREAK_OFF = "break off"
    DROP = "drop"
    HIDE = "configuration without idempotent routes"


LEAVING = frozenset({Action.LEAVE, Action.RESET, Action.HALF_CLOSE})


@dataclass(frozen=True)
class Step:
    """One event of a plan.

    Attributes:
        kind: The request that is sent, if there is no other action.
        run_ms: How long a server takes for it.
        turns: Turns of the event loop after the step, those above 6 are as many milliseconds.
    """

    kind: Kind
    run_ms: int
    action: Action
    turns: int


STEPS = st.builds(
    Step,
    st.sampled_from([*Kind, Kind.LOOKUP, Kind.LOOKUP, Kind.LOOKUP, Kind.BOOKING]),
    st.sampled_from([0, 1, 5, 20]),
    st.sampled_from([Action.NONE] * 24 + list(Action)),
    st.integers(0, 12),
)


def build_request(step: Step, number: int) -> bytes:
    if step.kind is Kind.BOOKING:
        return build_post(f"/b/{step.run_ms}?{number}")
    if step.kind is Kind.UNKNOWN:
        return build_get(f"/c/{step.run_ms}?{number}")
    if step.kind is Kind.MALFORMED:
        return b"GET\r\n\r\n"
    header = {Kind.LAST: "Connection: close\r\n", Kind.TOO_LONG: LONG_HEADER}.get(step.kind, "")
    return build_get(f"/a/{step.run_ms}?{number}", header)


def find_target(step: Step, number: int) -> str:
    prefix = {Kind.BOOKING: "b", Kind.UNKNOWN: "c"}.get(step.kind, "a")
    return f"/{prefix}/{step.run_ms}?{number}"


def is_answered_so(step: Step, target: str, response: tuple[int, str], *, broken: bool) -> bool:
    """Returns whether a response belongs to a request."""
    if step.kind in (Kind.MALFORMED, Kind.TOO_LONG):
        return response[0] in (400, 431)
    if step.kind is Kind.UNKNOWN:
        return response[0] == 404
    return response == (200, target) or (broken and response[0] in (503, 504))


class Player:
    """Plays a plan on a connection and checks what the caller and the server saw."""

    def __init__(self, harness: PipelineHarness, plan: list[Step]) -> None:
        self._harness = harness
        self._plan = plan
        self._sent: list[tuple[Step, str]] = []
        self._answers: list[tuple[int, str]] = []
        self._done: set[Action] = set()
        self._early: list[str] = []

    async def play(self) -> None:
        self._reader, self._writer = await self._harness.connect(b"")
        while not self._harness.server.connections:
            await asyncio.sleep(0)
        (connection,) = self._harness.server.connections
        assert isinstance(connection, CallerConnection)
        self._connection = connection
        self._harness.upstream.observe = self._check_start
        reading = asyncio.create_task(self._read())
        for step in self._plan:
            if step.action is not Action.NONE:
                self._act(step.action)
            elif not self._writer.is_closing() and not self._done & LEAVING:
                self._sent.append((step, find_target(step, len(self._sent))))
                self._writer.write(build_request(step, len(self._sent) - 1))
            for _ in range(min(step.turns, 6)):
                await asyncio.sleep(max(0, step.turns - 6) / 1000.0)
        await self._wait(reading)
        self._writer.close()
        async with asyncio.timeout(END_S):
            while self._harness.upstream.running or self._harness.server.connections:
                await asyncio.sleep(0.001)
            await reading
        self._check()

    async def _read(self) -> None:
        while answers := await read_responses(self._reader, 1):
            self._answers += answers

    async def _wait(self, reading: asyncio.Task[None]) -> None:
        """Waits for the responses to all requests that have to be answered."""
        if not self._done & LEAVING:
            async with asyncio.timeout(READ_S):
                while len(self._answers) < self._count_answerable() and not reading.done():
                    await asyncio.sleep(0.001)

    def _act(self, action: Action) -> None:
        self._done.add(action)
        if action is Action.LEAVE:
            self._writer.close()
        elif action is Action.RESET:
            self._writer.transport.abort()
        elif action is Action.HALF_CLOSE and not self._writer.is_closing():
            self._writer.write_eof()
        elif action is Action.STOP:
            self._harness.server.drain()
        elif action is Action.BREAK_OFF:
            self._harness.dispatcher.break_off()
        elif action is Action.HIDE:
            bookings = replace(LOOKUPS, kind=RequestKind.NON_IDEMPOTENT)
            self._harness.gateway.apply_route_table(build_table(bookings, BOOKINGS, version=3))
        elif action is Action.DROP:
            for read in self._connection._unanswered.values():
                read.turn.drop()

    def _check_start(self, target: str) -> None:
        """Notes a request that reaches a server although it has to wait for its turn."""
        number = [sent for _, sent in self._sent].index(target)
        others = [i for i in range(number) if self._sent[i][0].kind is not Kind.LOOKUP]
        needed = max(others, default=-1) + 1
        if target.startswith("/b/") or Action.HIDE in self._done:
            needed = number
        if self._connection._answered_count < needed:
            self._early.append(target)

    def _count_answerable(self) -> int:
        for number, (step, _) in enumerate(self._sent):
            if step.kind in CLOSING:
                return number + 1
        return len(self._sent)

    def _check(self) -> None:
        upstream, broken = self._harness.upstream, Action.BREAK_OFF in self._done
        assert len(self._answers) <= self._count_answerable()
        for (step, target), answer in zip(self._sent, self._answers, strict=False):
            assert is_answered_so(step, target, answer, broken=broken)
        if not self._done & {*LEAVING, Action.STOP}:
            assert len(self._answers) == self._count_answerable()
        assert self._early == []
        for target, starts in upstream.started.items():
            assert len(starts) <= (2 if Action.DROP in self._done and "/a/" in target else 1)
        assert self._harness.pipelines.budget.requests == 0
        assert len(upstream.released) == upstream.answered


async def play(plan: list[Step]) -> None:
    async with PipelineHarness() as harness:
        await Player(harness, plan).play()


class TestPipelineEvents:
    @pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
    def test_order_and_single_runs_hold_in_any_order_of_events(
        self, new_loop: Callable[[], asyncio.AbstractEventLoop]
    ) -> None:
        """Guards against swapped, lost or repeated responses, and runs without a caller."""

        @given(st.lists(STEPS, min_size=2, max_size=14))
        @settings(deadline=None)
        def check(plan: list[Step]) -> None:
            with asyncio.Runner(loop_factory=new_loop) as runner:
                runner.run(play(plan))

        check()
