"""Server selection policies.

A policy chooses among servers that have room. "permits" is the product's policy, used by the
owner of the slots; the others are baselines that requesters apply on their own knowledge.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from random import Random

from briarfork.hashing import hash_text
from briarfork.pools.server import Server
from briarfork.registry import Registry

Policy = Callable[[Sequence[Server], Random], Server]

SELECTION: Registry[Policy] = Registry("selection policy")
POWER_OF_TWO = 2
# Slowness from which a server's caches are worth less than its neighbours' speed.
SLOW = 1.5
# The policy that needs an owner of the slots.
PERMITS = "permits"


@SELECTION.register(PERMITS)
def select_fastest_free(servers: Sequence[Server], random: Random) -> Server:
    """Chooses the server with the fewest overdue requests, then by load and reported slowness.

    A server that has slowed down shows by requests that do not end, before its report does.
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


def select_home(servers: Sequence[Server], object_key: str) -> Server:
    """Chooses the server for an object that no server with room has handled lately.

    All VMs rank the servers of an object alike, also those that send without asking the owner of
    the slots, so its requests meet in one cache. A server that is slow now is no home.
    """
    return max(
        servers,
        key=lambda server: (
            -server.overdue,
            server.slowness < SLOW,
            rank_home(object_key, server.address.vm),
        ),
    )


def rank_home(object_key: str, vm: str) -> int:
    """Returns the rank of a server for an object; the highest one is its home."""
    return hash_text(f"{object_key}|{vm}")


@SELECTION.register("random")
def select_random(servers: Sequence[Server], random: Random) -> Server:
    """Chooses any server with equal probability."""
    return random.choice(servers)


@SELECTION.register("round_robin")
def select_in_turn(servers: Sequence[Server], random: Random) -> Server:
    """Chooses the server that was chosen least often so far."""
    return min(servers, key=lambda server: server.chosen)


@SELECTION.register("least_outstanding")
def select_least_outstanding(servers: Sequence[Server], random: Random) -> Server:
    """Chooses a server with the fewest requests in progress; ties are broken at random."""
    fewest = min(server.in_progress for server in servers)
    return random.choice([server for server in servers if server.in_progress == fewest])


@SELECTION.register("power_of_two")
def select_power_of_two(servers: Sequence[Server], random: Random) -> Server:
    """Chooses the less loaded of two servers drawn at random."""
    drawn = random.sample(list(servers), min(POWER_OF_TWO, len(servers)))
    return min(drawn, key=lambda server: server.in_progress)
