"""Divides a bounded number of bytes among the responses that a process holds."""

from __future__ import annotations

import itertools
from bisect import insort
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Final

if TYPE_CHECKING:
    from collections.abc import Iterable

    from briarfork.requests.pipeline import Turn

# Responses up to this size never wait and are not counted against the shares of their servers.
SMALL_RESPONSE_BYTES: Final = 4096

# Part of a share for the responses of unknown length other than the oldest one, which can use the
# rest, so that it ends. If all grew at the same time, none would end.
GROWING_FRACTION: Final = 0.5

# A level ("service" or "server") and a name.
Owner = tuple[str, str]


class DropReason(Enum):
    """Why a response was not kept."""

    TOO_LONG = "too_long"
    GIVEN_UP = "given_up"
    NO_MEMORY = "no_memory"


class ResponseDropped(Exception):
    """Raised for a response that the memory does not hold."""

    def __init__(self, reason: DropReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


@dataclass(slots=True, eq=False)
class HeldResponse:
    """Memory for one response.

    Attributes:
        owners: The service and the server that sent it.
        number: Order of arrival.
        held_bytes: Granted bytes.
        wanted_bytes: Bytes that it still waits for, 0 if it does not wait.
        grows: Whether its length is unknown and its end has not been read.
        is_given_up: Whether it has to be dropped, so that others can end.
        turn: Place of its request in the order of its connection, None if that does not matter.
    """

    owners: tuple[Owner, Owner]
    number: int
    held_bytes: int = 0
    wanted_bytes: int = 0
    grows: bool = False
    is_given_up: bool = False
    turn: Turn | None = None

    @property
    def is_ahead(self) -> bool:
        """Whether it is ahead of its turn, so that it can be dropped and its request run again."""
        return self.turn is not None and self.turn.is_ahead

    @property
    def is_large(self) -> bool:
        """Whether it counts against the shares."""
        return self.held_bytes > SMALL_RESPONSE_BYTES

    @property
    def added_bytes(self) -> int:
        """By how much a grant increases what counts against the shares."""
        return self.wanted_bytes + (0 if self.is_large else self.held_bytes)

    @property
    def rank(self) -> tuple[bool, int]:
        """Order among waiting responses; those that have begun to arrive go first."""
        return not self.is_large, self.number


class _Growth:
    """The growing responses: the oldest one of each owner, and the bytes of the others."""

    def __init__(self, responses: Iterable[HeldResponse]) -> None:
        self._oldest: dict[Owner, int] = {}
        self._younger_bytes: Counter[Owner] = Counter()
        growing = {item.number: item for item in responses if item.grows}
        for number in sorted(growing):
            response = growing[number]
            for owner in response.owners:
                self._oldest.setdefault(owner, number)
            self.add(response, response.held_bytes if response.is_large else 0)

    def add(self, response: HeldResponse, size_bytes: int) -> None:
        """Counts bytes of a response."""
        for owner in response.owners:
            if self._oldest.get(owner) != response.number:
                self._younger_bytes[owner] += size_bytes

    def is_kept_back(self, response: HeldResponse, owner: Owner, share: float) -> bool:
        """Returns whether a response has to wait for older ones of its owner."""
        if not response.grows or self._oldest[owner] == response.number:
            return False
        return self._younger_bytes[owner] + response.added_bytes > GROWING_FRACTION * share


class ResponseMemory:
    """Grants memory to responses in the order of their arrival, within fair shares.

    With n services that have responses here, each may hold one part in n + 1, so that there is room
    for the next one; the same holds for servers. A single response may exceed the share of its
    service and server. A response of unknown length grows; the younger ones leave room in the share
    for the oldest. If all that could make room wait for memory themselves, the largest one of them
    is given up. Responses ahead of their turn never wait: those that find no memory are given up,
    and those that hold memory are given up if another response waits for it.

    Example:
        >>> memory = ResponseMemory(capacity_bytes=100_000)
        >>> first, second = memory.open("s", "i-1"), memory.open("s", "i-1")
        >>> memory.request(first, 50_000) == [first], first.held_bytes
        (True, 50000)
        >>> memory.request(second, 20_000), second.wanted_bytes
        ([], 20000)
        >>> memory.release(first) == [second]
        True
    """

    def __init__(self, capacity_bytes: int, limit_bytes: int | None = None) -> None:
        """Creates the memory.

        Args:
            capacity_bytes: Size of all responses together.
            limit_bytes: Size of one response; at most half of the capacity, so that a server which
                declares a long response and stalls does not hold all of it.
        """
        self.capacity_bytes = capacity_bytes
        self.limit_bytes = min(capacity_bytes // 2, limit_bytes or capacity_bytes)
        self._numbers = itertools.count()
        self._held: dict[int, HeldResponse] = {}
        self._used_bytes = 0
        self._waiting: list[HeldResponse] = []
        # Of responses that count against the shares.
        self._large_bytes = 0
        self._owner_bytes: Counter[Owner] = Counter()
        # Number of such responses and of waiting ones by owner, and of their owners by level.
        self._owner_responses: Counter[Owner] = Counter()
        self._owners: Counter[str] = Counter()

    @property
    def used_bytes(self) -> int:
        """Granted bytes, above the capacity only by `SMALL_RESPONSE_BYTES` for each response."""
        return self._used_bytes

    @property
    def waiting(self) -> int:
        """Number of waiting responses."""
        return len(self._waiting)

    def open(self, service: str, server: str, turn: Turn | None = None) -> HeldResponse:
        """Returns a response that holds nothing yet."""
        owners = (("service", service), ("server", server))
        return HeldResponse(owners, next(self._numbers), turn=turn)

    def request(
        self, response: HeldResponse, size_bytes: int, grows: bool = False
    ) -> list[HeldResponse]:
        """Requests memory for a response, or more of it.

        Args:
            response: The response.
            size_bytes: Size in addition to what it holds.
            grows: Whether its length is unknown.

        Returns:
            The responses that have got memory or are given up now, as for the other methods.

        Raises:
            ResponseDropped: If the response is longer than the limit.
        """
        if response.held_bytes + size_bytes > self.limit_bytes:
            raise ResponseDropped(
                DropReason.TOO_LONG, f"the body is longer than {self.limit_bytes} bytes"
            )
        response.grows = grows
        if response.held_bytes + size_bytes <= SMALL_RESPONSE_BYTES:
            response.wanted_bytes = size_bytes
            self._grant(response)
            return [response]
        self._forget(response)
        response.wanted_bytes = size_bytes
        self._count(response)
        insort(self._waiting, response, key=lambda item: item.rank)
        return self._settle()

    def finish(self, response: HeldResponse, size_bytes: int) -> list[HeldResponse]:
        """Keeps only the memory that a whole response needs."""
        self._forget(response)
        response.grows = False
        unused_bytes = max(0, response.held_bytes - size_bytes)
        response.held_bytes -= unused_bytes
        self._used_bytes -= unused_bytes
        self._count(response)
        return self._settle()

    def release(self, response: HeldResponse) -> list[HeldResponse]:
        """Frees the memory of a response, or removes it from the waiting ones."""
        self._forget(response)
        if response in self._waiting:
            self._waiting.remove(response)
        self._used_bytes -= response.held_bytes
        response.held_bytes = response.wanted_bytes = 0
        self._held.pop(response.number, None)
        return self._settle()

    def _settle(self) -> list[HeldResponse]:
        """Grants what fits, in order; a response that cannot get memory holds up its owners."""
        changed: list[HeldResponse] = []
        if not self._waiting:
            return changed
        large = [item for item in self._held.values() if item.is_large]
        growth = _Growth([*large, *self._waiting])
        blocked: set[Owner] = set()
        for response in list(self._waiting):
            if response.is_given_up:
                continue
            if not blocked.isdisjoint(response.owners) or any(
                growth.is_kept_back(response, owner, self._compute_share(owner))
                for owner in response.owners
            ):
                continue
            full = [owner for owner in response.owners if self._exceeds_share(response, owner)]
            if not full and self._large_bytes + response.added_bytes <= self.capacity_bytes:
                growth.add(response, response.added_bytes)
                self._waiting.remove(response)
                self._grant(response)
                changed.append(response)
                continue
            if response.is_ahead:
                continue
            if not self._give_up_ahead(response, full, changed):
                victim = self._find_victim(full)
                if victim is not None:
                    self._give_up(victim, changed)
            if not full:
                break
            blocked.update(full)
        for response in [item for item in self._waiting if item.is_ahead]:
            self._give_up(response, changed)
        return changed

    def _give_up(self, response: HeldResponse, changed: list[HeldResponse]) -> None:
        if response in self._waiting:
            self._waiting.remove(response)
        response.is_given_up = True
        changed.append(response)

    def _give_up_ahead(
        self, waiting: HeldResponse, full: list[Owner], changed: list[HeldResponse]
    ) -> bool:
        """Gives up the newest responses ahead of their turn, as many as make room for another.

        Args:
            waiting: The response that waits for memory.
            full: The owners that hold their whole share, none if the memory as a whole is full.
            changed: Is extended by the responses that are given up now.

        Returns:
            Whether some are being given up, so that memory becomes free.
        """
        room = 0
        for item in reversed(self._held.values()):
            if room >= waiting.added_bytes:
                break
            is_holder = item.is_large and (not full or not set(full).isdisjoint(item.owners))
            if item is waiting or not (is_holder and item.is_ahead):
                continue
            room += item.held_bytes
            if not item.is_given_up:
                self._give_up(item, changed)
        return room > 0

    def _find_victim(self, full: list[Owner]) -> HeldResponse | None:
        """Returns the response to give up so that others can end, None if one of them will.

        Args:
            full: The owners that hold their whole share, none if the memory as a whole is full.
        """
        large = [item for item in self._held.values() if item.is_large]
        if not full:
            full = [owner for owner in self._owner_bytes if self._is_over_share(owner)]
        holders = [item for item in large if set(full) & set(item.owners)] or large
        if not holders or any(item.is_given_up or not item.wanted_bytes for item in holders):
            return None
        return max(holders, key=lambda item: (item.held_bytes, item.number))

    def _exceeds_share(self, response: HeldResponse, owner: Owner) -> bool:
        """Returns whether a response would take its owner above the share."""
        held = response.held_bytes if response.is_large else 0
        others = self._owner_bytes[owner] - held
        wanted = held + response.added_bytes
        return others > 0 and others + wanted > self._compute_share(owner)

    def _is_over_share(self, owner: Owner) -> bool:
        return self._owner_bytes[owner] > self._compute_share(owner)

    def _compute_share(self, owner: Owner) -> float:
        return self.capacity_bytes / (1 + max(1, self._owners[owner[0]]))

    def _grant(self, response: HeldResponse) -> None:
        self._forget(response)
        response.held_bytes += response.wanted_bytes
        self._used_bytes += response.wanted_bytes
        response.wanted_bytes = 0
        self._held[response.number] = response
        self._count(response)

    def _count(self, response: HeldResponse) -> None:
        self._update_counts(response, 1)

    def _forget(self, response: HeldResponse) -> None:
        self._update_counts(response, -1)

    def _update_counts(self, response: HeldResponse, sign: int) -> None:
        if not (response.is_large or response.wanted_bytes > SMALL_RESPONSE_BYTES):
            return
        size = response.held_bytes if response.is_large else 0
        self._large_bytes += sign * size
        for owner in response.owners:
            before = self._owner_responses[owner]
            self._owner_responses[owner] += sign
            self._owners[owner[0]] += bool(before + sign) - bool(before)
            self._owner_bytes[owner] += sign * size
            if not self._owner_responses[owner]:
                del self._owner_responses[owner], self._owner_bytes[owner]
