"""Assignment of client groups to sites by weighted rendezvous hashing."""

from __future__ import annotations

import math
from bisect import bisect_right
from dataclasses import dataclass
from dataclasses import field
from itertools import takewhile
from typing import TYPE_CHECKING
from typing import Final

from briarfork.hashing import hash_bytes
from briarfork.hashing import hash_text

if TYPE_CHECKING:
    from collections.abc import Mapping

    from briarfork.steering.shift import Shares

HASH_RANGE: Final = 2.0**64
LOG_RANGE: Final = math.log(HASH_RANGE)
# The largest hashes round up to the range, which would give 0.
SMALLEST_DIVISOR: Final = 2.0**-53
# Neighbouring clients share a point, so a shift moves whole groups and lookups stay cacheable.
CLIENT_GROUPS: Final = 4096


def hash_unit(text: str) -> float:
    """Returns a hash of the text, uniform in (0, 1]."""
    return (hash_text(text) + 0.5) / HASH_RANGE


def choose_site(shares: Shares, key: str) -> str:
    """Chooses a site by weighted rendezvous hashing.

    When shares change, a key moves only from a site whose share fell to one whose share rose.

    Example:
        >>> choose_site({"a": 0.0, "b": 1.0}, "10.0.0.0")
        'b'
    """
    return max(
        (site for site, share in shares.items() if share > 0),
        key=lambda site: shares[site] / _find_divisor(f"{site}|{key}".encode()),
    )


def _find_divisor(key: bytes) -> float:
    """Returns an exponentially distributed constant for a site and a key."""
    return max(LOG_RANGE - math.log(hash_bytes(key) + 0.5), SMALLEST_DIVISOR)


def find_group(client: str) -> int:
    """Returns the client group of an address."""
    return hash_text(client) % CLIENT_GROUPS


@dataclass(frozen=True, slots=True)
class Movement:
    """Shares of a site at the start and the end of a ramp.

    Attributes:
        growth: Factor by which the share grows.
    """

    name: str
    encoded: bytes
    origin: float
    target: float
    growth: float = field(init=False)

    def __post_init__(self) -> None:
        started = self.origin > 0
        unstarted = math.inf if self.target > 0 else 0.0
        object.__setattr__(self, "growth", self.target / self.origin if started else unstarted)


class Assignment:
    """Sites of the client groups of one service while shares move from origin to target.

    The score of a site is its share divided by a constant for site and group, so it is linear
    in the progress of the ramp. The winners of a group are therefore the upper envelope of
    lines, which is computed once for each group that is asked for and serves the whole ramp.

    A site can overtake another only if its share grows by a larger factor. So where the winner
    at the start is known, few sites are compared after a change of few weights.
    """

    __slots__ = (
        "_groups",
        "_moves",
        "_names",
        "_service",
        "_sites",
        "_winners",
        "origin",
        "target",
    )

    def __init__(
        self, service: str, origin: Shares, target: Shares, winners: Mapping[int, str] | None = None
    ) -> None:
        self.origin = origin
        self.target = target
        self._service = service
        sites = [
            Movement(site, site.encode(), origin.get(site, 0.0), target.get(site, 0.0))
            for site in sorted(origin.keys() | target.keys())
        ]
        self._sites = sorted(sites, key=lambda site: -site.growth)
        self._names = {site.name: site for site in sites}
        self._winners = winners or {}
        self._moves = origin != target
        self._groups: dict[int, tuple[tuple[float, ...], tuple[str, ...]]] = {}

    def find_site(self, group: int, progress: float) -> str:
        """Returns the site of a group at a progress from 0 to 1."""
        steps = self._groups.get(group)
        if steps is None:
            steps = self._groups[group] = self._find_steps(group)
        starts, sites = steps
        return sites[bisect_right(starts, progress) - 1] if len(starts) > 1 else sites[0]

    def list_winners(self, progress: float) -> dict[int, str]:
        """Returns the sites of all groups that have been asked for."""
        return {group: self.find_site(group, progress) for group in self._groups}

    def _find_steps(self, group: int) -> tuple[tuple[float, ...], tuple[str, ...]]:
        key = f"|{self._service}|{group}".encode()
        winner = self._winners.get(group)
        if not self._moves:
            if winner is None:
                scores = [(s.origin / _find_divisor(s.encoded + key), s.name) for s in self._sites]
                winner = max(scores)[1]
            return (0.0,), (winner,)
        lines = []
        for item in self._list_rivals(winner):
            divisor = _find_divisor(item.encoded + key)
            lines.append((item.origin / divisor, (item.target - item.origin) / divisor, item.name))
        level, slope, site = max(lines)
        starts, sites = [0.0], [site]
        while True:
            crossings = [
                ((level - other[0]) / (other[1] - slope), -other[1], other)
                for other in lines
                if other[1] > slope
            ]
            following = min(crossings, default=None)
            if following is None or following[0] >= 1.0:
                break
            start, _, (level, slope, site) = following
            starts.append(max(start, starts[-1]))
            sites.append(site)
        return tuple(starts), tuple(sites)

    def _list_rivals(self, winner: str | None) -> list[Movement]:
        """Returns the winner at the start and the sites that may overtake it."""
        if winner is None:
            return self._sites
        first = self._names[winner]
        return [first, *takewhile(lambda site: site.growth > first.growth, self._sites)]
