"""Downloads that are continued from another backend server."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from briarfork.requests import Download
from briarfork.requests import ResponseHead

CONTENT = bytes(range(200))


class TestDownload:
    @given(st.integers(0, 199), st.lists(st.integers(1, 60), max_size=6), st.data())
    def test_continued_bytes_are_the_missing_ones(
        self, first: int, parts: list[int], data: st.DataObject
    ) -> None:
        """Guards against a resumed download with a gap, an overlap or another end."""
        head = ResponseHead(206, '"a"', 200 - first, f"bytes {first}-199/200")
        download = Download.start(head)
        assert download is not None
        got = b""
        for size in parts:
            size = min(size, 200 - first - len(got))
            got += CONTENT[first + len(got) : first + len(got) + size]
            download.advance(size)
            begin, end = data.draw(st.integers(0, 199)), data.draw(st.integers(0, 199))
            tag = data.draw(st.sampled_from(['"a"', '"b"', 'W/"a"', None]))
            length = data.draw(st.sampled_from([end - begin + 1, 200, None]))
            offer = ResponseHead(206, tag, length, f"bytes {begin}-{end}/200")
            if download.can_resume_from(offer):
                assert got + CONTENT[begin : end + 1] == CONTENT[first:]
        assert download.is_incomplete == (got != CONTENT[first:])

    def test_only_a_strong_tag_and_known_positions_begin_a_download(self) -> None:
        """Guards against bytes of two versions in one answer."""
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

    def test_a_whole_answer_never_continues(self) -> None:
        """Guards against a server that ignores the range and sends from the first byte."""
        download = Download.start(ResponseHead(200, '"a"', 100))
        assert download is not None
        download.advance(10)
        assert not download.can_resume_from(ResponseHead(200, '"a"', 90))
