"""The voters' membership as an ordinary entry, which every process can read: a proxy needs no replica for it."""

from __future__ import annotations

import msgspec

from lugspur.mesh.control.items import MEMBERSHIP
from lugspur.mesh.control.messages import Entry, Membership, OverdueMembership

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(OverdueMembership)


def membership_entry(membership: Membership) -> Entry:
    """Return the entry of a membership, which is decided, stored and sent to subscribers like the configuration."""
    return Entry(MEMBERSHIP, "", membership.epoch, _encode(membership))


def read_membership(value: bytes) -> Membership:
    """Decode the membership from the value of its entry."""
    membership = _decoder.decode(value)
    if membership.earlier_voters:
        return membership
    return Membership(membership.epoch, membership.voters, membership.previous_voters)
