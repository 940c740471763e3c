"""Messages between the system's own processes."""

from __future__ import annotations

from typing import Any
from typing import ClassVar

import msgspec

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


class Message(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all messages."""

    name: ClassVar[str] = ""


MESSAGES: Registry[type[Message]] = Registry("message type")


class Load(msgspec.Struct, frozen=True):
    """Load of a service's slots at a site, as the owner of the slots reports it."""

    service: str
    site: str
    in_progress: int
    slots: int
    waiting: int
    age_s: float = 0.0


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
    """

    name = "members"
    members: list[Member]
    removed: list[str] | None = None


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
    """

    name = "vm_list"
    vms: list[ListedVm]
    removed: list[str] | None = None


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
    """

    name = "permit_refusal"
    permit: str
    reason: str
    moved: bool = False


@MESSAGES.register("permit_release")
class PermitRelease(Message, frozen=True):
    """Returns a permit."""

    name = "permit_release"
    permit: str
    service: str
    site: str
    how: Release
    elapsed_ms: float


@MESSAGES.register("permit_cancel")
class PermitCancel(Message, frozen=True):
    """Withdraws a request for a permit."""

    name = "permit_cancel"
    permit: str
    service: str
    site: str


@MESSAGES.register("permit_held")
class PermitHeld(Message, frozen=True):
    """Declares a permit that a former owner granted."""

    name = "permit_held"
    permit: str
    service: str
    site: str
    vm: str
    request_class: RequestClass


def to_map(message: Message) -> dict[str, Any]:
    """Returns a message as a plain map for the encoder."""
    body: dict[str, Any] = msgspec.to_builtins(message)
    body[TYPE_KEY] = message.name
    return body


def from_map(body: object) -> Message:
    """Checks a decoded map and returns the message.

    Raises:
        BriarforkError: With kind `peer_protocol`, naming the fault and the place.
    """
    if not isinstance(body, dict) or not isinstance(body.get(TYPE_KEY), str):
        raise BriarforkError(ErrorKind.PEER_PROTOCOL, "expected a map with a message type")
    name = body.pop(TYPE_KEY)
    try:
        return msgspec.convert(body, MESSAGES.get(name))
    except msgspec.ValidationError as error:
        raise BriarforkError(ErrorKind.PEER_PROTOCOL, f"message {name!r}: {error}") from error
    except BriarforkError as error:
        raise BriarforkError(ErrorKind.PEER_PROTOCOL, error.detail) from error
