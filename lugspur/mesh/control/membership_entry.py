"""The membership of the voters as an entry like others, which all processes read; a proxy needs no replica for it."""

from __future__ import annotations

import msgspec

from lugspur.mesh.control.items import MEMBERSHIP
from lugspur.mesh.control.messages import Entry, Membership

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Membership)


def membership_entry(membership: Membership) -> Entry:
    """A membership as an entry, which is decided, kept and sent to subscribers like the configuration."""
    return Entry(MEMBERSHIP, "", membership.epoch, _encode(membership))


def read_membership(value: bytes) -> Membership:
    """Decode the membership of its entry."""
    return _decoder.decode(value)
