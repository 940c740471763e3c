"""Divides the retries that all VMs together may send into a budget for each VM."""

from __future__ import annotations

from dataclasses import dataclass

# Fraction of the ratio that is used for retries. Hedged attempts take another 0.04 per request, and
# the rest is a margin for requests that are counted late.
RETRY_RATIO_FRACTION = 0.6
# Fraction of the slack that the retry budgets of all VMs may hold together.
SLACK_FRACTION = 0.4
# With a smaller reserve, a VM could never retry a request.
MIN_RESERVE = 1.0


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits on the retries that all VMs together may send to one service.

    Attributes:
        ratio: Retries per request in a window.
        slack: Number of additional retries in a window.

    Example:
        >>> limits = RetryLimits(ratio=0.2, slack=60.0)
        >>> round(limits.ratio_per_vm, 2), limits.compute_reserve(12), limits.compute_reserve(90)
        (0.12, 2.0, 1.0)
    """

    ratio: float = 0.2
    slack: float = 60.0

    @property
    def ratio_per_vm(self) -> float:
        """Retries that a VM may send for each request that it receives from a caller."""
        return RETRY_RATIO_FRACTION * self.ratio

    def compute_reserve(self, vms: int) -> float:
        """Returns the number of retries that one of a number of VMs may accumulate."""
        return max(MIN_RESERVE, SLACK_FRACTION * self.slack / max(1, vms))
