"""The events that the gossip protocol reports to the program that runs it."""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.daemon.gossip.messages import MemberRecord

Address = tuple[str, int]  # host and port


@dataclass(slots=True, frozen=True)
class MemberChanged:
    """A member joined, was suspected, refuted a suspicion, died, left, or announced a new address or new metadata."""

    record: MemberRecord
    previous: MemberRecord | None  # None if the member was not known before
    cause: str  # a short text for the log


@dataclass(slots=True, frozen=True)
class NameConflict:
    """Another running process uses this member's name."""

    address: Address  # of the other process
    is_yielding: bool  # whether this process is the younger one, which sends nothing for a while


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """Another member sent a message to a component of this program."""

    sender: str
    instance_id: int  # of the sending process
    topic: int  # identifies the component
    body: bytes


Event = MemberChanged | NameConflict | MessageReceived
