"""How many repeated requests one VM may send, out of what all VMs together may."""

from __future__ import annotations

from dataclasses import dataclass

# Part of the ratio for repeats; second attempts beside slow ones take 0.04, and the rest is for
# requests that are counted late.
RATIO_PART = 0.6
# Part of the slack that the VMs may have saved together.
SLACK_PART = 0.4
# With less a VM could never repeat a request.
LEAST_RESERVE = 1.0


@dataclass(frozen=True, slots=True)
class RepeatBounds:
    """What all VMs together may repeat of the requests for one service.

    Attributes:
        ratio: Share of the requests in a window.
        slack: Requests beyond the share in a window.

    Example:
        >>> bounds = RepeatBounds(ratio=0.2, slack=60.0)
        >>> round(bounds.ratio_per_vm, 2), bounds.find_reserve(12), bounds.find_reserve(90)
        (0.12, 2.0, 1.0)
    """

    ratio: float = 0.2
    slack: float = 60.0

    @property
    def ratio_per_vm(self) -> float:
        """Repeats for each request that a VM takes from a caller."""
        return RATIO_PART * self.ratio

    def find_reserve(self, vms: int) -> float:
        """Returns how many repeats one of a number of VMs may save."""
        return max(LEAST_RESERVE, SLACK_PART * self.slack / max(1, vms))
