"""What the gossip protocol reports to the program that runs it."""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.daemon.gossip.messages import MemberRecord

Address = tuple[str, int]  # host and port


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """A member joined, was suspected, refuted that, died, left, moved or announced other metadata."""

    record: MemberRecord
    previous: MemberRecord | None  # None: the member was not known before
    cause: str  # a few words for the log


@dataclass(slots=True, frozen=True)
class NameConflict:
    """Another running process uses this member's name."""

    address: Address  # of the other process
    is_yielding: bool  # this process is the younger one and sends nothing for a while


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """Another member has sent a message to a part of this program."""

    sender: str
    instance_id: int  # of the sending process
    topic: int
    body: bytes


Event = MemberChanged | NameConflict | MessageReceived
