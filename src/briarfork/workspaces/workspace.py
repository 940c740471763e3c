"""A workspace of the current configuration."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Workspace:
    """An organisation whose callers share keys, a quota and a priority.

    Attributes:
        rate_per_s: Requests per second of its quota on all VMs together, 0 without a quota.
        burst: Requests that it may send beyond the rate at once.
        priority: Priority of its requests, 0 is the highest; None means that of the route.
        regions: The only regions in which its requests may run; empty allows all.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    regions: frozenset[str] = frozenset()

    @property
    def has_quota(self) -> bool:
        """Whether the number of its requests is limited."""
        return self.rate_per_s > 0.0
