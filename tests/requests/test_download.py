"""Downloads that are resumed from another backend server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from briarfork.requests import Download
from briarfork.requests import ResponseHead

CONTENT = bytes(range(200))


class TestDownload:
    @given(st.integers(0, 199), st.lists(st.integers(1, 60), max_size=6), st.data())
    def test_resumed_bytes_are_the_missing_ones(
        self, first: int, sizes: list[int], data: st.DataObject
    ) -> None:
        """Guards against a resumed download with a gap, an overlap or a wrong end."""
        head = ResponseHead(206, '"a"', 200 - first, f"bytes {first}-199/200")
        download = Download.start(head)
        assert download is not None
        received = b""
        for size in sizes:
            size = min(size, 200 - first - len(received))
            received += CONTENT[first + len(received) : first + len(received) + size]
            download.advance(size)
            begin, end = data.draw(st.integers(0, 199)), data.draw(st.integers(0, 199))
            tag = data.draw(st.sampled_from(['"a"', '"b"', 'W/"a"', None]))
            length = data.draw(st.sampled_from([end - begin + 1, 200, None]))
            offer = ResponseHead(206, tag, length, f"bytes {begin}-{end}/200")
            if download.can_resume_from(offer):
                assert received + CONTENT[begin : end + 1] == CONTENT[first:]
        assert download.is_incomplete == (received != CONTENT[first:])

    def test_download_requires_a_strong_tag_and_a_known_range(self) -> None:
        """Guards against a response that mixes bytes of two versions."""
        for head in (
            ResponseHead(200, 'W/"a"', 100),
            ResponseHead(200, None, 100),
            ResponseHead(200, '"a"', None),
            ResponseHead(404, '"a"', 100),
            ResponseHead(206, '"a"', 100, "bytes 0-9/100"),
            ResponseHead(206, '"a"', 100, None),
            ResponseHead(206, '"a"', None, "bytes 9-0/100"),
        ):
            assert Download.start(head) is None

    def test_complete_response_cannot_resume_a_download(self) -> None:
        """Guards against a server that ignores `Range` and sends from the first byte."""
        download = Download.start(ResponseHead(200, '"a"', 100))
        assert download is not None
        download.advance(10)
        assert not download.can_resume_from(ResponseHead(200, '"a"', 90))
