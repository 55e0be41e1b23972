"""The records that messages carry and disks hold: entries, decided changes and the membership of the voters."""

from __future__ import annotations

import msgspec


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One value under a kind and a name. Of several entries of one name, the one with the highest edition counts.

    An entry without a value is a withdrawal: the name is no longer in force.
    """

    kind: str
    name: str
    edition: int
    value: bytes | None


class Item(msgspec.Struct, array_like=True, frozen=True):
    """An entry that was decided, and the index of the change that brought it into force."""

    entry: Entry
    index: int


class Change(msgspec.Struct, array_like=True, frozen=True):
    """The value of one decision of the register: entries that come into force together."""

    id: str  # of the proposal, unique over all processes and their incarnations
    entries: list[Entry]


class Voter(msgspec.Struct, array_like=True, frozen=True):
    """One voting replica: an address and the disk behind it, since a replica with an empty disk is a different one."""

    ip: str
    uid: str  # of the disk
    zone: str


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """The replicas whose majority decides from this epoch on, and those of the epoch before."""

    epoch: int
    voters: list[Voter]
    previous_voters: list[Voter] = []
