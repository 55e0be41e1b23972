"""Replicas, changes and answers of voters for the tests of the control plane."""

from __future__ import annotations

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.membership_entry import membership_entry
from lugspur.mesh.control.messages import (
    Accepted,
    Change,
    Entry,
    Membership,
    Message,
    Promise,
    ProposalNumber,
    ReserveKey,
    ReserveKeyReply,
    Voter,
)
from lugspur.mesh.control.replica import GENESIS, Replica

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
NEW = "10.0.0.4"
SEEDS = [Voter(ip, GENESIS, "") for ip in IPS]
FIRST = Membership(1, SEEDS)
NEXT = Membership(2, [*SEEDS[:2], Voter(NEW, "new", "z")], SEEDS)


def replica(ip: str = IPS[0], uid: str = GENESIS, window: float = 60.0, memory: int = 64 << 20) -> Replica:
    """A replica that knows nothing yet."""
    return Replica(ip, uid, "z", window, memory, lambda entries, forgotten: None)


def seed(ip: str = IPS[0], window: float = 60.0, memory: int = 64 << 20) -> Replica:
    """A voter of the first membership, which nothing has happened to."""
    found = replica(ip, window=window, memory=memory)
    found.bootstrap(0.0, SEEDS)
    return found


def item(name: str, edition: int, value: bytes | None = b"x") -> Entry:
    """An entry of a kind that is checked against nothing else."""
    return Entry("notes", name, edition, value)


def change(*entries: Entry, name: str = "change") -> Change:
    """A change with these entries."""
    return Change(name, list(entries))


def voter_change(membership: Membership = NEXT) -> Change:
    """A change of the voters."""
    return change(membership_entry(membership), name=f"membership {membership.epoch}")


def only(effects: Effects) -> Message:
    """The one message, and that it waits for the disk where something is written."""
    assert not (effects.write and effects.send)
    [(_, message)] = effects.send + effects.after_sync
    return message


def reserve(to: Replica, by: bytes, now: float = 0.0, epoch: int = 1, key: bytes = b"k") -> ReserveKeyReply:
    """The reply to a request for a key."""
    message = only(to.handle(now, None, ReserveKey(key, by, epoch, 2.0)))
    assert isinstance(message, ReserveKeyReply)
    return message


def promise(
    index: int, proposal: ProposalNumber, accepted: ProposalNumber | None = None, value: Change | None = None
) -> Promise:
    """A voter's promise."""
    return Promise(index, proposal, True, index - 1, proposal, accepted, value)


def accepted(index: int, proposal: ProposalNumber) -> Accepted:
    """A voter's answer that it has accepted."""
    return Accepted(index, proposal, True, index - 1, proposal)
