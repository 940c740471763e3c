"""Tests of the errors of a permit client that gets no slot."""

from __future__ import annotations

import time

from briarfork.configuration import RequestClass
from briarfork.errors import SiteUnreachable
from briarfork.requests import Deadline
from tests.gateway.harness import ROUTE
from tests.gateway.harness import build_gateway
from tests.gateway.harness import build_instance
from tests.gateway.test_view import build_member


class TestSlotClient:
    async def test_unreachable_remote_owner_is_distinct_from_a_refusal(self) -> None:
        """Guards against a lost site that counts as full and gets all traffic when it returns."""
        gateway = build_gateway(ROUTE, [build_instance("i-c", "c")])
        gateway.replace_members({"c-1": build_member("c-1", "c")})
        deadline = Deadline(time.monotonic() + 2.0)
        slot_request = gateway.permits.build_slot_request(RequestClass.SHORT, deadline, frozenset())
        answer = await gateway.permits.request_permit(("s", "c"), slot_request, deadline)
        assert isinstance(answer, SiteUnreachable)
