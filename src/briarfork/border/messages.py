"""Messages between briarfork processes and their msgpack encoding."""

from __future__ import annotations

import math
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
MAX_CHANGES_PER_MESSAGE = 64
# About 100 KB in one message, so that a large roster neither delays changes nor uses much memory.
MAX_RECORDS_PER_MESSAGE = 500
MAX_BATCH_BYTES = 1024 * 1024

RecordT = TypeVar("RecordT")
Count = Annotated[int, Meta(ge=0)]
# A name in the store has at most 1,024 characters; that of a permit adds a time and a number to it.
Name = Annotated[str, Meta(max_length=1024)]
PermitName = Annotated[str, Meta(max_length=1200)]
# Bounds of what one message about quotas may say of a workspace, and of its number of workspaces.
CreditCount = Annotated[int, Meta(ge=0, le=1_000_000)]
WaitS = Annotated[float, Meta(ge=0, le=3600)]
Stamp = Annotated[float, Meta(ge=0, le=1e12)]
MAX_CREDIT_ENTRIES = 1000


def _build_type_tag(class_name: str) -> str:
    """Converts a class name to the type tag on the wire, such as "vm_list" for VmList."""
    return re.sub(r"(?<=.)([A-Z])", r"_\1", class_name).lower()


class Message(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    omit_defaults=True,
    tag_field=TYPE_KEY,
    tag=_build_type_tag,
):
    """Base class of all messages.

    Fields with default values are not sent, so that processes of an earlier version, which do not
    know some of them, can read the other messages.
    """

    name: ClassVar[str] = ""


MESSAGES: Registry[type[Message]] = Registry("message type")


# Marks a `Load` that aggregates all sites of a region and has the region's name in `site`. Site
# names contain no colon.
REGION_PREFIX = "region:"


class Load(msgspec.Struct, frozen=True, array_like=True):
    """Load of a service's slots at a site, as reported by the owner of the slots.

    Encoded as an array, because the field names took more than half of the bytes.
    """

    service: str
    site: str
    in_progress: Count
    slots: Count
    waiting: Count
    age_s: Annotated[float, Meta(ge=0)] = 0.0


@MESSAGES.register("hello")
class Hello(Message, frozen=True):
    """First message of every stream, in both directions.

    Attributes:
        vm: Name of the sender's VM.
        zone: Availability zone of the sender.
        incarnation: Incarnation of a control process, used to detect restarts.
    """

    name = "hello"
    vm: Name
    zone: Name
    incarnation: int = 0


@MESSAGES.register("heartbeat")
class Heartbeat(Message, frozen=True):
    """Signals that the sender is alive and carries its state changes.

    Attributes:
        generation: Latest generation of the sender's timeline. That of an entry process confirms
            the changes that its control process has sent.
        members: Member records that changed since the last heartbeat on this stream.
        listed: Records of the VM list that changed since then.
        load: Loads received by the sender since then.
        digests: Digests of the sender's members and of its VM list.
    """

    name = "heartbeat"
    generation: int = 0
    members: list[Member] = []
    listed: list[ListRecord] = []
    load: list[Load] = []
    digests: tuple[int, int] = (0, 0)


@MESSAGES.register("pull")
class Pull(Message, frozen=True):
    """Requests the changes after a generation."""

    name = "pull"
    after: int


@MESSAGES.register("summary")
class Summary(Message, frozen=True):
    """Digests per bucket; the receiver replies with its records of the buckets that differ.

    Attributes:
        members: Digests of the sender's members.
        listed: Digests of the sender's VM list.
    """

    name = "summary"
    members: list[int]
    listed: list[int]


@MESSAGES.register("changes")
class Changes(Message, frozen=True):
    """Accepted changes, ordered by generation."""

    name = "changes"
    changes: list[Change]


@MESSAGES.register("members")
class Members(Message, frozen=True):
    """Roster of the control process, sent to the entry process of the same VM.

    Attributes:
        members: All members, or those that changed.
        removed: Names of removed members; None if `members` is the complete roster.
        more: Whether another part of the same update follows.
    """

    name = "members"
    members: list[Member]
    removed: list[str] | None = None
    more: bool = False


@MESSAGES.register("follow")
class Follow(Message, frozen=True):
    """Tells the entry process to start or stop watching the store and the VM list."""

    name = "follow"
    enabled: bool
    generation: int


@MESSAGES.register("vm_list")
class VmList(Message, frozen=True):
    """VM list of the platform.

    Attributes:
        vms: All live and leaving VMs, or those that changed.
        removed: Names of VMs that are no longer listed; None if `vms` is the complete list.
        more: Whether another part of the same update follows.
    """

    name = "vm_list"
    vms: list[ListedVm]
    removed: list[str] | None = None
    more: bool = False


@MESSAGES.register("store_state")
class StoreState(Message, frozen=True):
    """Availability of the store as seen by its follower.

    Attributes:
        reachable: Whether the store responds.
        generation: Highest generation in the store, up to `expected`.
        expected: Generation of the follower when it queried the store.
    """

    name = "store_state"
    reachable: bool
    generation: int = 0
    expected: int = 0


@MESSAGES.register("load_report")
class LoadReport(Message, frozen=True):
    """Loads of the slots owned by the sending entry process."""

    name = "load_report"
    load: list[Load]


@MESSAGES.register("leaving")
class Leaving(Message, frozen=True):
    """Tells the control process that a planned stop of its VM has begun."""

    name = "leaving"


@MESSAGES.register("permit_request")
class PermitRequest(Message, frozen=True):
    """Requests a permit from the owner of a site's slots.

    Attributes:
        workspace: Workspace of the caller, empty if it has none.
        weight: Weight of the workspace among those that share the slots.
    """

    name = "permit_request"
    permit: PermitName
    service: str
    site: str
    request_class: RequestClass
    wait_ms: int
    avoid: list[str] = []
    hedge: bool = False
    priority: int = 0
    object_key: str = ""
    workspace: str = ""
    weight: Annotated[float, Meta(gt=0)] = 1.0


@MESSAGES.register("permit_grant")
class PermitGrant(Message, frozen=True):
    """Allows one request to a backend server.

    Attributes:
        limit_per_s: Requests per second that the sender grants for the server, infinite if it knows
            of no limit.
    """

    name = "permit_grant"
    permit: str
    vm: str
    address: str
    port: int
    limit_per_s: float = math.inf


@MESSAGES.register("permit_refusal")
class PermitRefusal(Message, frozen=True):
    """Denies a permit; the request was not sent to a backend server.

    Attributes:
        moved: Whether the sender does not, or no longer, own the slots.
        wait_s: Estimated seconds until the queue has room, 0 if unknown.
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
        slowness: Run time on the server's machine relative to its typical run time, 0 if unknown.
        limit_per_s: Requests per second that the server accepts from all VMs together, infinite if
            it no longer names a limit, None if it did not respond or named none before either.
    """

    name = "permit_release"
    permit: str
    service: str
    site: str
    how: Release
    elapsed_ms: float
    slowness: float = 0.0
    limit_per_s: float | None = None


@MESSAGES.register("permit_cancel")
class PermitCancel(Message, frozen=True):
    """Cancels a permit request."""

    name = "permit_cancel"
    permit: str
    service: str
    site: str


@MESSAGES.register("permit_held")
class PermitHeld(Message, frozen=True):
    """Reports a permit granted by a previous owner, or used without a request to any owner.

    Attributes:
        limit_per_s: Requests per second that the server accepts from all VMs together, infinite if
            the sender knows of no limit.
    """

    name = "permit_held"
    permit: PermitName
    service: Name
    site: Name
    vm: Name
    request_class: RequestClass
    object_key: str = ""
    limit_per_s: float = math.inf


class CreditEntry(msgspec.Struct, frozen=True, array_like=True):
    """What the sender wants and has done with credit of one workspace since its last message.

    Attributes:
        wanted: Credit that is asked for.
        used: Requests admitted with credit of the receiver.
        returned: Credit that was not needed.
    """

    workspace: str
    wanted: CreditCount = 0
    used: CreditCount = 0
    returned: CreditCount = 0


class CreditGrant(msgspec.Struct, frozen=True, array_like=True):
    """Credit of one workspace.

    Attributes:
        wait_s: If less was granted than wanted, the time after which to try again; 0 if it is not
            known whether the quota is used up.
    """

    workspace: str
    granted: CreditCount = 0
    wait_s: WaitS = 0.0


@MESSAGES.register("credit_ask")
class CreditAsk(Message, frozen=True):
    """Attaches the sender to the owner of a shard of the quotas, and asks it for credit.

    Attributes:
        number: Number of the message, unique within the sender's process.
        fleet: Whether the receiver is asked as the owner of the fleet, not as that of a zone.
        stamp: Latest stamp that the sender has received from this owner, 0 if none.
        entitled: Entitlements that the sender adds to the owner's pool.
        vms: VMs that the sender asks for.
        leaving: Whether the sender leaves this owner.
    """

    name = "credit_ask"
    number: Count
    shard: Annotated[int, Meta(ge=0, le=255)]
    fleet: bool = False
    stamp: Stamp = 0.0
    entitled: Annotated[int, Meta(ge=0, le=10_000)] = 0
    vms: Annotated[int, Meta(ge=0, le=10_000)] = 0
    leaving: bool = False
    entries: Annotated[list[CreditEntry], Meta(max_length=MAX_CREDIT_ENTRIES)] = []


@MESSAGES.register("credit_answer")
class CreditAnswer(Message, frozen=True):
    """The answer to a `CreditAsk`, of the same number.

    Attributes:
        stamp: Time of the owner, to be returned with the next message.
        attached: Whether the owner counts the sender from now on.
    """

    name = "credit_answer"
    number: Count
    shard: Annotated[int, Meta(ge=0, le=255)]
    fleet: bool = False
    stamp: Stamp = 0.0
    attached: bool = False
    grants: Annotated[list[CreditGrant], Meta(max_length=MAX_CREDIT_ENTRIES)] = []


def encode(message: Message) -> bytes:
    """Encodes a message as msgpack."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> Message:
    """Decodes and validates one msgpack value.

    Raises:
        BriarforkError: With kind `peer_protocol`; the detail has the error and its path.
    """
    try:
        message = _build_decoder().decode(data)
        if isinstance(message, Changes):
            # Hashes are computed over JSON, which cannot represent bytes, timestamps or extensions.
            for change in message.changes:
                change.compute_hash()
    except (msgspec.DecodeError, TypeError, ValueError, RecursionError) as error:
        raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"invalid message: {error}") from error
    return message


def take_batch(changes: list[Change]) -> list[Change]:
    """Returns the first changes that fit one message: up to 64 changes and 1 MiB.

    A change larger than 1 MiB is a batch of its own.
    """
    batch: list[Change] = []
    size = 0
    for change in changes[:MAX_CHANGES_PER_MESSAGE]:
        size += len(msgspec.msgpack.encode(change))
        if batch and size > MAX_BATCH_BYTES:
            break
        batch.append(change)
    return batch


def split_changes(changes: list[Change]) -> list[list[Change]]:
    """Splits changes into batches that fit one message each."""
    batches: list[list[Change]] = []
    while changes:
        batches.append(take_batch(changes))
        changes = changes[len(batches[-1]) :]
    return batches


def split_records(records: list[RecordT]) -> list[tuple[list[RecordT], bool]]:
    """Splits records into parts that fit one message.

    Returns:
        The parts, each with whether another part follows; one empty part if there are no records.
    """
    starts = range(0, max(1, len(records)), MAX_RECORDS_PER_MESSAGE)
    return [
        (
            records[start : start + MAX_RECORDS_PER_MESSAGE],
            start + MAX_RECORDS_PER_MESSAGE < len(records),
        )
        for start in starts
    ]


@cache
def _build_decoder() -> msgspec.msgpack.Decoder[Message]:
    """Returns the decoder of all registered message types.

    Built on first use, when every type is registered.
    """
    union: Any = reduce(or_, (message for _, message in MESSAGES))
    return msgspec.msgpack.Decoder(union)
