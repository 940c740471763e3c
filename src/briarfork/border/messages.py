"""Messages between the system's own processes."""

from __future__ import annotations

import re
from functools import cache
from functools import reduce
from operator import or_
from typing import Annotated
from typing import Any
from typing import ClassVar
from typing import TypeVar

import msgspec
from msgspec import Meta

from briarfork.configuration import RequestClass
from briarfork.errors import BriarforkError
from briarfork.errors import ErrorKind
from briarfork.membership import ListedVm as ListedVm
from briarfork.membership import ListRecord
from briarfork.membership import Member
from briarfork.pools import Release
from briarfork.registry import Registry
from briarfork.timeline import Change

TYPE_KEY = "type"
MAX_CHANGES = 64
# About 100 KB in one message, so that a long roster neither delays a change nor takes memory.
MAX_RECORDS = 500
MAX_BATCH_BYTES = 1024 * 1024

Record = TypeVar("Record")
Count = Annotated[int, Meta(ge=0)]


def _name_type(class_name: str) -> str:
    """Returns the type of a message on the stream, such as "vm_list" for VmList."""
    return re.sub(r"(?<=.)([A-Z])", r"_\1", class_name).lower()


class Message(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field=TYPE_KEY, tag=_name_type
):
    """Base of all messages."""

    name: ClassVar[str] = ""


MESSAGES: Registry[type[Message]] = Registry("message type")


# A load that sums up the sites of a region names the region in place of a site; names of sites hold
# no colon.
SUMMARY_PREFIX = "region:"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a service's slots at a site, as the owner of the slots reports it.

    It travels as an array: the names of the fields were more than half of the bytes.
    """

    service: str
    site: str
    in_progress: Count
    slots: Count
    waiting: Count
    age_s: Annotated[float, Meta(ge=0)] = 0.0


@MESSAGES.register("hello")
class Hello(Message, frozen=True):
    """Opens every stream in both directions.

    Attributes:
        vm: Name of the sender.
        zone: Its availability zone.
        incarnation: Incarnation of a control process, by which a restart is recognised.
    """

    name = "hello"
    vm: str
    zone: str
    incarnation: int = 0


@MESSAGES.register("heartbeat")
class Heartbeat(Message, frozen=True):
    """Shows that the sender is alive, and what it knows.

    Attributes:
        generation: Generation of the sender's timeline.
        members: Member records that changed since the last heartbeat on this stream.
        listed: Records of the list of VMs that changed since then.
        load: Loads that the sender has learned since then.
        digests: Digests of the sender's members and of its list of VMs.
    """

    name = "heartbeat"
    generation: int = 0
    members: list[Member] = []
    listed: list[ListRecord] = []
    load: list[Load] = []
    digests: tuple[int, int] = (0, 0)


@MESSAGES.register("pull")
class Pull(Message, frozen=True):
    """Asks for the changes after a generation."""

    name = "pull"
    after: int


@MESSAGES.register("summary")
class Summary(Message, frozen=True):
    """Digests by bucket; the receiver sends its records of the buckets that differ.

    Attributes:
        members: Digests of the sender's members.
        listed: Digests of its list of VMs.
    """

    name = "summary"
    members: list[int]
    listed: list[int]


@MESSAGES.register("changes")
class Changes(Message, frozen=True):
    """Accepted changes in order of generation."""

    name = "changes"
    changes: list[Change]


@MESSAGES.register("members")
class Members(Message, frozen=True):
    """The roster of the control process, for the entry process of the same VM.

    Attributes:
        members: All members, or those that changed.
        removed: Names of members that are gone; None if the list is whole.
        more: Whether another part of the same news follows.
    """

    name = "members"
    members: list[Member]
    removed: list[str] | None = None
    more: bool = False


@MESSAGES.register("follow")
class Follow(Message, frozen=True):
    """Asks the entry process to follow the store and the list of VMs, or to stop."""

    name = "follow"
    enabled: bool
    generation: int


@MESSAGES.register("vm_list")
class VmList(Message, frozen=True):
    """The platform's list of VMs.

    Attributes:
        vms: All live and leaving VMs, or those that changed.
        removed: Names that are no longer listed; None if the list is whole.
        more: Whether another part of the same news follows.
    """

    name = "vm_list"
    vms: list[ListedVm]
    removed: list[str] | None = None
    more: bool = False


@MESSAGES.register("store_state")
class StoreState(Message, frozen=True):
    """Whether the store answers.

    Attributes:
        reachable: Whether it answers.
        generation: Highest generation in the store, up to the expected one.
        expected: Generation that the follower had when it asked.
    """

    name = "store_state"
    reachable: bool
    generation: int = 0
    expected: int = 0


@MESSAGES.register("load_report")
class LoadReport(Message, frozen=True):
    """Loads of the slots that the sending entry process owns."""

    name = "load_report"
    load: list[Load]


@MESSAGES.register("leaving")
class Leaving(Message, frozen=True):
    """Tells the control process that its VM has begun a planned stop."""

    name = "leaving"


@MESSAGES.register("permit_request")
class PermitRequest(Message, frozen=True):
    """Asks the owner of a site's slots for a permit."""

    name = "permit_request"
    permit: str
    service: str
    site: str
    request_class: RequestClass
    wait_ms: int
    avoid: list[str] = []
    hedge: bool = False
    priority: int = 0
    object_key: str = ""


@MESSAGES.register("permit_grant")
class PermitGrant(Message, frozen=True):
    """Allows one request to one server."""

    name = "permit_grant"
    permit: str
    vm: str
    address: str
    port: int


@MESSAGES.register("permit_refusal")
class PermitRefusal(Message, frozen=True):
    """No permit; nothing was sent to a server.

    Attributes:
        moved: Whether the sender is not, or no longer, the owner of the slots.
        wait_s: Expected time until the queue has room, 0 if unknown.
    """

    name = "permit_refusal"
    permit: str
    reason: str
    moved: bool = False
    wait_s: float = 0.0


@MESSAGES.register("permit_release")
class PermitRelease(Message, frozen=True):
    """Returns a permit.

    Attributes:
        slowness: Run time on the server's machine relative to the usual, 0 if unknown.
    """

    name = "permit_release"
    permit: str
    service: str
    site: str
    how: Release
    elapsed_ms: float
    slowness: float = 0.0


@MESSAGES.register("permit_cancel")
class PermitCancel(Message, frozen=True):
    """Withdraws a request for a permit."""

    name = "permit_cancel"
    permit: str
    service: str
    site: str


@MESSAGES.register("permit_held")
class PermitHeld(Message, frozen=True):
    """Declares a permit that a former owner granted, or that was used without asking."""

    name = "permit_held"
    permit: str
    service: str
    site: str
    vm: str
    request_class: RequestClass
    object_key: str = ""


def encode(message: Message) -> bytes:
    """Returns a message as msgpack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Checks one whole msgpack value and returns the message.

    Raises:
        BriarforkError: With kind `peer_protocol`, naming the fault and the place.
    """
    try:
        message = _build_decoder().decode(data)
        if isinstance(message, Changes):
            # Hashes are computed over JSON, which has no bytes, times or extensions.
            for change in message.changes:
                change.compute_hash()
    except (msgspec.DecodeError, TypeError, ValueError, RecursionError) as error:
        raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"not a message: {error}") from error
    return message


def split_changes(changes: list[Change]) -> list[list[Change]]:
    """Splits changes into batches of at most 64 changes and, with more than one, 1 MiB."""
    batches: list[list[Change]] = []
    size = 0
    for change in changes:
        change_bytes = len(msgspec.msgpack.encode(change))
        full = len(batches[-1]) == MAX_CHANGES if batches else True
        if full or size + change_bytes > MAX_BATCH_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(change)
        size += change_bytes
    return batches


def split_records(records: list[Record]) -> list[tuple[list[Record], bool]]:
    """Splits records into parts, each with whether another part follows; at least one part."""
    starts = range(0, max(1, len(records)), MAX_RECORDS)
    return [(records[at : at + MAX_RECORDS], at + MAX_RECORDS < len(records)) for at in starts]


@cache
def _build_decoder() -> msgspec.msgpack.Decoder[Message]:
    """Returns the decoder of all registered types; built on first use, when all are known."""
    union: Any = reduce(or_, (message for _, message in MESSAGES))
    return msgspec.msgpack.Decoder(union)
