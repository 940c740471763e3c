"""Table of status lines of servers over all readers of their responses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from briarfork.border.responses import FaultyResponse
from briarfork.border.responses import ResponseFault
from briarfork.entry.connections import ConnectionKind
from briarfork.entry.connections import ServerConnections
from briarfork.errors import BriarforkError
from briarfork.pools import Release
from briarfork.pools import ServerAddress
from tests.gateway.harness import SETTINGS
from tests.platform.test_odd_messages import ANSWER
from tests.platform.test_odd_messages import OddMessageHarness
from tests.platform.test_odd_messages import harness as harness
from tests.platform.test_readers import list_keys
from tests.platform.test_readers import list_range
from tests.platform.test_readers import list_vms
from tests.platform.test_readers import read_status
from tests.platform.test_readers import serve
from tests.platform.test_upstream import RawServer

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from typing import Any

    from briarfork.border.settings import Settings

VALID = [
    b"HTTP/1.1 200 OK",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 200 \xff",
]
MALFORMED = [
    *(b"HTTP/1.1 %s No" % code for code in (b"000", b"0", b"001", b"099", b"20", b"2000", b"0200")),
    *(b"HTTP/1.1 %s No" % code for code in (b"2e2", b"-200", b"+200", b"", b"600", b"999", b"20a")),
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1",
    b"HTTP/1.1 ",
    b"HTTP/2.0 200 OK",
    b"HTTP/2 200 OK",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.2 200 OK",
    b"HTTP/1 200 OK",
    b"HTTP/01.1 200 OK",
    b"http/1.1 200 OK",
    b" HTTP/1.1 200 OK",
    b"ICY 200 OK",
    b"200 OK",
]
JSON = b'{"items":[],"store_revision":1,"has_more":false,"vms":[]}'


def build_answer(line: bytes) -> bytes:
    return ANSWER.replace(b"HTTP/1.1 200 OK", line, 1)


async def read_from_server(settings: Settings) -> None:
    """Reads as the gateway and the forwarder of the product do."""
    connections = ServerConnections(SETTINGS)
    host, _, port = settings.store_url.removeprefix("http://").rpartition(":")
    server = ServerAddress("i-1", host, int(port))
    try:
        with connections.borrow_session(server, ConnectionKind.KEPT) as session:
            async with session.get(settings.store_url) as response:
                await response.read()
    finally:
        await connections.close()


class TestStatusLines:
    @pytest.mark.parametrize("line", VALID)
    async def test_valid_line_reaches_the_caller(
        self, harness: OddMessageHarness, line: bytes
    ) -> None:
        """Guards against a check that ends sound responses."""
        harness.server.answer = build_answer(line)
        assert await harness.send() == (200, b"whole")

    @pytest.mark.parametrize("line", MALFORMED)
    async def test_malformed_line_is_no_response(
        self, harness: OddMessageHarness, line: bytes
    ) -> None:
        """Guards against a status that no caller can read and that is passed on."""
        harness.server.answer = build_answer(line)
        assert (await harness.send())[0] == 504
        assert set(harness.permits.released) == {Release.FAILED}

    @pytest.mark.parametrize("line", MALFORMED)
    async def test_malformed_line_behind_an_informational_response(
        self, harness: OddMessageHarness, line: bytes
    ) -> None:
        """Guards against a check of the first head only."""
        harness.server.answer = b"HTTP/1.1 103 Hints\r\n\r\n" + build_answer(line)
        assert (await harness.send())[0] == 504

    @pytest.mark.parametrize("read", [list_keys, list_range, list_vms, read_status])
    @pytest.mark.parametrize("line", MALFORMED)
    async def test_other_clients_take_it_for_a_failure(
        self, read: Callable[[Settings], Awaitable[Any]], line: bytes
    ) -> None:
        """Guards against a reader without the check."""
        raw = RawServer()
        head = b"\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(JSON)
        raw.answer = line + head + JSON
        async with serve(raw) as settings:
            with pytest.raises(BriarforkError):
                await read(settings)

    @pytest.mark.parametrize("line", MALFORMED)
    async def test_connections_to_servers_report_the_fault(self, line: bytes) -> None:
        """Guards against a malformed line that is not counted as a fault of the server."""
        raw = RawServer()
        raw.answer = build_answer(line)
        async with serve(raw) as settings:
            with pytest.raises(FaultyResponse) as caught:
                await read_from_server(settings)
        assert caught.value.fault is ResponseFault.MALFORMED
