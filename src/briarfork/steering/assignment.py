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
# The largest hashes round up to HASH_RANGE, which would give a divisor of 0.
MIN_DIVISOR: Final = 2.0**-53
# A shift moves whole groups of clients, so that results can be cached by group.
CLIENT_GROUPS: Final = 4096


def hash_unit(text: str) -> float:
    """Returns a hash of a text, uniformly distributed in (0, 1]."""
    return (hash_text(text) + 0.5) / HASH_RANGE


def choose_site(shares: Shares, key: str) -> str:
    """Chooses a site for a key by weighted rendezvous hashing.

    When shares change, a key moves only to a site whose share has grown relative to that of its
    former site.

    Example:
        >>> choose_site({"a": 0.0, "b": 1.0}, "10.0.0.0")
        'b'
    """
    return max(
        (site for site, share in shares.items() if share > 0),
        key=lambda site: shares[site] / _hash_to_exponential(f"{site}|{key}".encode()),
    )


def _hash_to_exponential(key: bytes) -> float:
    """Returns a hash of a key, exponentially distributed."""
    return max(LOG_RANGE - math.log(hash_bytes(key) + 0.5), MIN_DIVISOR)


def find_group(client: str) -> int:
    """Returns the number of the client group of an address."""
    return hash_text(client) % CLIENT_GROUPS


@dataclass(frozen=True, slots=True)
class SiteShares:
    """The share of a site at the start and the end of a ramp.

    Attributes:
        name: Name of the site.
        encoded: The name in UTF-8.
        origin: Share at the start of the ramp.
        target: Share at the end of the ramp.
        growth: Factor by which the share grows; infinite if it grows from 0.
    """

    name: str
    encoded: bytes
    origin: float
    target: float
    growth: float = field(init=False)

    def __post_init__(self) -> None:
        has_origin = self.origin > 0
        growth_from_zero = math.inf if self.target > 0 else 0.0
        object.__setattr__(
            self, "growth", self.target / self.origin if has_origin else growth_from_zero
        )


class Assignment:
    """Assigns the client groups of one service to sites during a ramp.

    The score of a site is its share divided by a constant for site and group, so it is linear in
    the progress of the ramp. The winning sites of a group are therefore the upper envelope of a
    set of lines, which is computed on first use of the group and is valid for the whole ramp.

    A site can overtake another only if its share grows by a larger factor. If the winner at the
    start is known, a change of a few weights therefore needs only a few sites to be compared.
    """

    __slots__ = (
        "_is_ramping",
        "_segments",
        "_service",
        "_sites",
        "_sites_by_name",
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
            SiteShares(site, site.encode(), origin.get(site, 0.0), target.get(site, 0.0))
            for site in sorted(origin.keys() | target.keys())
        ]
        self._sites = sorted(sites, key=lambda site: -site.growth)
        self._sites_by_name = {site.name: site for site in sites}
        self._winners = winners or {}
        self._is_ramping = origin != target
        self._segments: dict[int, tuple[tuple[float, ...], tuple[str, ...]]] = {}

    def find_site(self, group: int, progress: float) -> str:
        """Returns the site of a client group when the ramp has the given progress, from 0 to 1."""
        segments = self._segments.get(group)
        if segments is None:
            segments = self._segments[group] = self._compute_segments(group)
        starts, sites = segments
        return sites[bisect_right(starts, progress) - 1] if len(starts) > 1 else sites[0]

    def list_winners(self, progress: float) -> dict[int, str]:
        """Returns the sites of all client groups that have been looked up so far."""
        return {group: self.find_site(group, progress) for group in self._segments}

    def _compute_segments(self, group: int) -> tuple[tuple[float, ...], tuple[str, ...]]:
        key = f"|{self._service}|{group}".encode()
        winner = self._winners.get(group)
        if not self._is_ramping:
            if winner is None:
                scores = [
                    (s.origin / _hash_to_exponential(s.encoded + key), s.name) for s in self._sites
                ]
                winner = max(scores)[1]
            return (0.0,), (winner,)
        lines = []
        for item in self._list_candidates(winner):
            divisor = _hash_to_exponential(item.encoded + key)
            lines.append((item.origin / divisor, (item.target - item.origin) / divisor, item.name))
        score, slope, site = max(lines)
        starts, sites = [0.0], [site]
        while True:
            crossings = [
                ((score - other[0]) / (other[1] - slope), -other[1], other)
                for other in lines
                if other[1] > slope
            ]
            following = min(crossings, default=None)
            if following is None or following[0] >= 1.0:
                break
            start, _, (score, slope, site) = following
            starts.append(max(start, starts[-1]))
            sites.append(site)
        return tuple(starts), tuple(sites)

    def _list_candidates(self, winner: str | None) -> list[SiteShares]:
        """Returns the winner at the start of the ramp and the sites that can overtake it."""
        if winner is None:
            return self._sites
        winner_site = self._sites_by_name[winner]
        return [winner_site, *takewhile(lambda site: site.growth > winner_site.growth, self._sites)]
