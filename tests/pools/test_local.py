"""Selection of servers without an owner of the slots."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from briarfork.configuration import RequestClass
from briarfork.pools import PERMITS_POLICY
from briarfork.pools import SELECTION_POLICIES
from briarfork.pools import LocalPool
from briarfork.pools import ServerAddress

SERVERS = [ServerAddress(f"s-{index}", "127.0.0.1", 1000 + index) for index in range(3)]
LOCAL_POLICIES = [name for name in SELECTION_POLICIES.names() if name != PERMITS_POLICY]


def build_pool() -> LocalPool:
    pool = LocalPool(Random(1))
    pool.set_servers(SERVERS)
    return pool


class TestLocalPool:
    @pytest.mark.parametrize("policy", LOCAL_POLICIES)
    def test_refused_request_goes_to_another_server(self, policy: str) -> None:
        """Guards against a policy that retries a refused request on the same server."""
        for number in range(20):
            avoid = frozenset({"s-0", "s-1"})
            server = build_pool().choose(policy, str(number), RequestClass.SHORT, avoid, 0.0)
            assert server == SERVERS[2]

    def test_round_robin_uses_all_servers_equally(self) -> None:
        """Guards against a round robin that skips a server."""
        pool = build_pool()
        chosen = Counter(
            pool.choose("round_robin", str(number), RequestClass.SHORT, frozenset(), 0.0)
            for number in range(9)
        )
        assert set(chosen.values()) == {3}

    def test_finished_request_no_longer_counts(self) -> None:
        """Guards against a request count that never falls and keeps a free server unused."""
        pool = build_pool()
        for number in range(3):
            pool.choose("least_outstanding", str(number), RequestClass.SHORT, frozenset(), 0.0)
        pool.release("1")
        freed = pool.choose("least_outstanding", "next", RequestClass.SHORT, frozenset(), 0.0)
        assert freed is not None
        pool.release("next")
        assert (
            pool.choose("least_outstanding", "last", RequestClass.SHORT, frozenset(), 0.0) == freed
        )
