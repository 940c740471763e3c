"""Server selection policies.

A policy selects one of several servers. "permits" is the default policy, applied by the owner of
the slots to servers with a free slot. The others are baselines for comparison, applied by each
requester based on its own requests alone.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random

from briarfork.hashing import hash_text
from briarfork.pools.server import Server
from briarfork.registry import Registry

Policy = Callable[[Sequence[Server], Random], Server]

SELECTION_POLICIES: Registry[Policy] = Registry("selection policy")
POWER_OF_TWO_CHOICES = 2
# From this slowness on, a faster server is preferred to the one with the highest affinity, although
# the object may still be in the caches of the latter.
SLOWNESS_LIMIT = 1.5
# The only policy that requires an owner of the slots.
PERMITS_POLICY = "permits"


@SELECTION_POLICIES.register(PERMITS_POLICY)
def select_fastest_free(servers: Sequence[Server], random: Random) -> Server:
    """Selects the server with the fewest overdue requests, then by load and reported slowness.

    Overdue requests reveal a slowdown before the server reports it.
    """
    return min(
        servers,
        key=lambda server: (
            server.overdue,
            server.in_progress * server.slowness,
            server.slowness,
            server.run_time_s,
        ),
    )


def select_by_affinity(servers: Sequence[Server], object_key: str) -> Server:
    """Selects the server for an object that no free server has handled recently.

    All VMs compute the same ranking of servers for an object, including those that send without a
    permit from the owner of the slots, so its requests share one cache. Servers that are currently
    slow are selected last.
    """
    return max(
        servers,
        key=lambda server: (
            -server.overdue,
            server.slowness < SLOWNESS_LIMIT,
            compute_affinity_score(object_key, server.address.name),
        ),
    )


def compute_affinity_score(object_key: str, name: str) -> int:
    """Returns the score of a server for an object; the highest score is preferred.

    This is rendezvous hashing: adding or removing a server moves only the objects of that server.
    """
    return hash_text(f"{object_key}|{name}")


@SELECTION_POLICIES.register("random")
def select_random(servers: Sequence[Server], random: Random) -> Server:
    """Selects a server at random with equal probability."""
    return random.choice(servers)


@SELECTION_POLICIES.register("round_robin")
def select_round_robin(servers: Sequence[Server], random: Random) -> Server:
    """Selects the server that was selected least often so far."""
    return min(servers, key=lambda server: server.times_selected)


@SELECTION_POLICIES.register("least_outstanding")
def select_least_outstanding(servers: Sequence[Server], random: Random) -> Server:
    """Selects a server with the fewest requests in progress; ties are broken at random."""
    minimum = min(server.in_progress for server in servers)
    return random.choice([server for server in servers if server.in_progress == minimum])


@SELECTION_POLICIES.register("power_of_two")
def select_power_of_two(servers: Sequence[Server], random: Random) -> Server:
    """Selects the less loaded of two servers drawn at random."""
    candidates = random.sample(list(servers), min(POWER_OF_TWO_CHOICES, len(servers)))
    return min(candidates, key=lambda server: server.in_progress)
