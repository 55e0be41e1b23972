"""The records in messages and on disk: entries, decided changes and the voters' membership."""

from __future__ import annotations

import msgspec


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A value under a kind and a name. Of several entries of one name, the one with the highest edition is valid.

    An entry without a value is a withdrawal: it removes the name from the configuration.
    """

    kind: str
    name: str
    edition: int
    value: bytes | None


class Item(msgspec.Struct, array_like=True, frozen=True):
    """A decided entry, and the index of the change that brought it into force."""

    entry: Entry
    index: int


class Change(msgspec.Struct, array_like=True, frozen=True):
    """The value of one decision of the register: entries that come into force together."""

    id: str  # unique across all processes and their incarnations
    entries: list[Entry]


class Voter(msgspec.Struct, array_like=True, frozen=True):
    """A voting replica: an address and the disk behind it, since a replica with a new disk is a different one."""

    ip: str
    uid: str  # the id of the disk
    zone: str


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """The replicas whose majority decides from this epoch on, and those of the previous epoch."""

    epoch: int
    voters: list[Voter]
    previous_voters: list[Voter] = []

    @property
    def past_voters(self) -> list[list[Voter]]:
        """The voters of the epochs whose voters a new voter asks, latest epoch first (see `catch_up_quorum`)."""
        return [self.previous_voters]


class OverdueMembership(Membership, array_like=True, frozen=True):
    """A membership that followed although no majority of the previous voters was known to be complete.

    It has the form of a membership with one field behind it, which builds that don't know the field ignore.
    """

    earlier_voters: list[list[Voter]] = []  # of the epochs before the previous one, latest epoch first

    @property
    def past_voters(self) -> list[list[Voter]]:
        """The voters of the epochs whose voters a new voter asks, latest epoch first (see `catch_up_quorum`)."""
        return [self.previous_voters, *self.earlier_voters]
