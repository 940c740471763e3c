"""Downloads that can be resumed with the response of another backend server."""

from __future__ import annotations

import re
from dataclasses import dataclass

STATUS_OK = 200
STATUS_PARTIAL_CONTENT = 206
CONTENT_RANGE_PATTERN = re.compile(r"bytes (\d{1,18})-(\d{1,18})/(?:\d{1,18}|\*)")


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and header fields that state which bytes the body of a response contains.

    Attributes:
        status: HTTP status code.
        entity_tag: Value of `ETag`, or None.
        content_length: Value of `Content-Length` in bytes, or None.
        content_range: Value of `Content-Range`, or None.
    """

    status: int
    entity_tag: str | None
    content_length: int | None
    content_range: str | None = None

    def parse_byte_range(self) -> tuple[int, int] | None:
        """Returns the start and the exclusive end of the bytes in the body, or None if unknown."""
        if self.status == STATUS_OK and self.content_length is not None:
            return 0, self.content_length
        match = CONTENT_RANGE_PATTERN.fullmatch(self.content_range or "")
        if self.status != STATUS_PARTIAL_CONTENT or match is None:
            return None
        first, end = int(match[1]), int(match[2]) + 1
        if self.content_length not in (None, end - first) or end <= first:
            return None
        return first, end


class Download:
    """Progress of sending the bytes of one representation to a caller.

    Attributes:
        entity_tag: Strong entity tag of the representation.

    Example:
        >>> download = Download.start(ResponseHead(200, '"a"', 100))
        >>> download.advance(40)
        >>> download.range_header
        'bytes=40-99'
        >>> download.can_resume_from(ResponseHead(206, '"a"', 60, "bytes 40-99/100"))
        True
        >>> download.can_resume_from(ResponseHead(206, '"b"', 60, "bytes 40-99/100"))
        False
    """

    __slots__ = ("_end", "_position", "entity_tag")

    def __init__(self, entity_tag: str, position: int, end: int) -> None:
        self.entity_tag = entity_tag
        self._position = position
        self._end = end

    @classmethod
    def start(cls, head: ResponseHead) -> Download | None:
        """Returns the download for a response, or None if it could not be resumed.

        Only a strong entity tag guarantees that two servers send the same bytes.
        """
        byte_range = head.parse_byte_range()
        tag = head.entity_tag
        if byte_range is None or tag is None or not tag.startswith('"'):
            return None
        return cls(tag, *byte_range)

    def advance(self, size: int) -> None:
        """Records that a number of bytes was sent to the caller."""
        self._position += size

    @property
    def is_incomplete(self) -> bool:
        """Whether bytes are still missing."""
        return self._position < self._end

    @property
    def range_header(self) -> str:
        """Value of the `Range` header that requests the missing bytes."""
        return f"bytes={self._position}-{self._end - 1}"

    def can_resume_from(self, head: ResponseHead) -> bool:
        """Returns whether the body of a response contains exactly the missing bytes."""
        return (
            head.status == STATUS_PARTIAL_CONTENT
            and head.entity_tag == self.entity_tag
            and head.parse_byte_range() == (self._position, self._end)
        )
