"""Divides the bytes of an HTTP/1.1 response into parts whose parsing takes little time."""

from __future__ import annotations

import re
from enum import Enum

# All heads of a response, those of its informational responses included.
MAX_HEAD_BYTES = 32 * 1024
# Chunk sizes, chunk extensions and trailers of a body.
MAX_CHUNK_FRAMING_BYTES = 8 * 1024
# Further ones for each byte of the body. Chunks of 5 bytes need 5, and each chunk takes time.
CHUNK_FRAMING_PER_BODY_BYTE = 1
# A chunk takes the HTTP parser 3 us, whatever its size. Lines of trailers count like chunks.
CHUNKS_PER_PART = 64
# A head ends with an empty line; the HTTP parser accepts lines without a carriage return.
HEAD_END = re.compile(rb"\n\r?\n")
# The beginning of a status line: HTTP/1.0 or 1.1, one space, and three digits from 100 to 599. The
# HTTP parser accepts other versions and any number.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}[ \r\n]")
STATUS_LINE_BYTES = 13
# Bytes before a part that may hold the beginning of the end of a head.
HEAD_END_OVERLAP = 2
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}(?![0-9A-Fa-f])")
# Nearly all chunks have no extension.
PLAIN_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})\r\n")
# Bytes of an incomplete line that are kept to read a chunk size.
MAX_KEPT_LINE_BYTES = 32


class FramingPhase(Enum):
    """What the next bytes of a response are."""

    HEAD = "head"
    BODY = "body"
    BODY_UNTIL_CLOSE = "body until the connection closes"
    CHUNK_SIZE = "chunk size"
    CHUNK = "chunk"
    CHUNK_END = "end of a chunk"
    TRAILERS = "trailers"
    END = "end"


CHUNKED_PHASES = frozenset(
    {
        FramingPhase.CHUNK_SIZE,
        FramingPhase.CHUNK,
        FramingPhase.CHUNK_END,
        FramingPhase.TRAILERS,
    }
)


class InvalidFraming(Exception):
    """The bytes are not a chunked body, or not a status line."""


class ResponseFraming:
    """Finds the ends of the heads, of the chunks and of the body of one response.

    The HTTP parser validates the response; this class only limits what the parser gets at once.

    Attributes:
        phase: What the next bytes are.
    """

    def __init__(self) -> None:
        self.phase = FramingPhase.HEAD
        self._head_bytes = 0
        self._chunk_framing_bytes = 0
        self._body_bytes = 0
        # Bytes of the body or of the current chunk that have yet to arrive.
        self._remaining = 0
        # End of the previous part of the head, or the beginning of an incomplete line.
        self._line = b""
        # Beginning of the current head, up to the end of the status code.
        self._head_start = b""

    @property
    def ended(self) -> bool:
        """Whether the response is complete, so that no further byte belongs to it."""
        return self.phase is FramingPhase.END

    @property
    def is_too_long(self) -> bool:
        """Whether the response has more framing than a sound one needs."""
        allowed = MAX_CHUNK_FRAMING_BYTES + CHUNK_FRAMING_PER_BODY_BYTE * self._body_bytes
        return self._head_bytes > MAX_HEAD_BYTES or self._chunk_framing_bytes > allowed

    @property
    def is_chunked(self) -> bool:
        """Whether the next bytes belong to a chunked body, so that a part is a few chunks."""
        return self.phase in CHUNKED_PHASES

    def end(self) -> None:
        """Records that the response is complete."""
        self.phase = FramingPhase.END

    def begin_body(self, length: int | None, chunked: bool) -> None:
        """Records that the head of the final response was parsed.

        Args:
            length: Length of the body in bytes, None if the head does not name it.
            chunked: Whether the body is sent in chunks.
        """
        self._line = b""
        if chunked:
            self.phase = FramingPhase.CHUNK_SIZE
        elif length is None:
            self.phase = FramingPhase.BODY_UNTIL_CLOSE
        else:
            self._remaining = length
            self.phase = FramingPhase.BODY if length else FramingPhase.END

    def find_part_end(self, data: bytes, start: int) -> int:
        """Returns the end of the next part: one head, a few chunks, or the rest of the body.

        Raises:
            InvalidFraming: If a chunk has no valid size, or a head no valid status line.
        """
        if self.phase is FramingPhase.HEAD:
            return self._find_head_end(data, start)
        if self.phase is FramingPhase.BODY_UNTIL_CLOSE:
            return len(data)
        if self.phase is FramingPhase.BODY:
            end = self._skip_body(data, start)
            if not self._remaining:
                self.end()
            return end
        return self._find_chunks_end(data, start)

    def _find_head_end(self, data: bytes, start: int) -> int:
        found, end = None, min(start + MAX_HEAD_BYTES, len(data))
        if self._line:
            # The end of the head may have begun in the previous part.
            found = HEAD_END.search(self._line + data[start : start + HEAD_END_OVERLAP])
            if found:
                end = start + found.end() - len(self._line)
        if found is None:
            found = HEAD_END.search(data, start, end)
            if found:
                end = found.end()
        self._check_status_line(data, start, end, is_whole=found is not None)
        self._head_bytes += end - start
        tail = self._line + data[max(start, end - HEAD_END_OVERLAP) : end]
        self._line = b"" if found else tail[-HEAD_END_OVERLAP:]
        return end

    def _check_status_line(self, data: bytes, start: int, end: int, *, is_whole: bool) -> None:
        """Checks the beginning of a head once enough of it has arrived.

        Raises:
            InvalidFraming: If it is not that of a status line.
        """
        if len(self._head_start) < STATUS_LINE_BYTES:
            # Empty lines before a status line are counted as part of the head (`is_too_long`).
            self._head_start = (self._head_start + data[start:end]).lstrip(b"\r\n")
            self._head_start = self._head_start[:STATUS_LINE_BYTES]
            is_complete = len(self._head_start) == STATUS_LINE_BYTES
            is_complete |= is_whole and bool(self._head_start)
            if is_complete and not STATUS_LINE.match(self._head_start):
                raise InvalidFraming
        if is_whole:
            self._head_start = b""

    def _find_chunks_end(self, data: bytes, start: int) -> int:
        chunks = 0
        while start < len(data) and chunks < CHUNKS_PER_PART and not self.ended:
            if self.phase is FramingPhase.CHUNK_SIZE and not self._line:
                start, skipped = self._skip_plain_chunks(data, start, CHUNKS_PER_PART - chunks)
                chunks += skipped
                if skipped:
                    continue
            if self.phase is FramingPhase.CHUNK:
                start = self._skip_body(data, start)
                if not self._remaining:
                    self.phase = FramingPhase.CHUNK_END
            else:
                start = self._skip_line(data, start)
                chunks += 1
        return start

    def _skip_plain_chunks(self, data: bytes, start: int, count: int) -> tuple[int, int]:
        """Skips whole chunks without extensions; returns the new position and their number."""
        begin, skipped, body_bytes = start, 0, 0
        while skipped < count and (line := PLAIN_CHUNK_LINE.match(data, start)) is not None:
            size = int(line[1], 16)
            end = line.end() + size
            if not size or data[end : end + 2] != b"\r\n":
                break
            start = end + 2
            skipped += 1
            body_bytes += size
        self._body_bytes += body_bytes
        self._chunk_framing_bytes += start - begin - body_bytes
        return start, skipped

    def _skip_body(self, data: bytes, start: int) -> int:
        skipped = min(self._remaining, len(data) - start)
        self._remaining -= skipped
        self._body_bytes += skipped
        return start + skipped

    def _skip_line(self, data: bytes, start: int) -> int:
        """Skips the rest of a line and reads the line if it is complete."""
        newline = data.find(b"\n", start)
        end = newline + 1 if newline >= 0 else len(data)
        self._chunk_framing_bytes += end - start
        if len(self._line) < MAX_KEPT_LINE_BYTES:
            self._line += data[start : min(end, start + MAX_KEPT_LINE_BYTES)]
        if newline >= 0:
            line, self._line = self._line.rstrip(b"\r\n"), b""
            self._read_line(line)
        return end

    def _read_line(self, line: bytes) -> None:
        if self.phase is FramingPhase.CHUNK_END:
            self.phase = FramingPhase.CHUNK_SIZE
        elif self.phase is FramingPhase.TRAILERS:
            if not line:
                self.end()
        else:
            size = CHUNK_SIZE.match(line)
            if size is None:
                raise InvalidFraming
            self._remaining = int(size[0], 16)
            self.phase = FramingPhase.CHUNK if self._remaining else FramingPhase.TRAILERS
