"""Messages of a connection's start, of subscriptions to a control node's state, and of reports by lease."""

from __future__ import annotations

import msgspec

from lugspur.mesh.control.messages.records import Entry


class Hello(msgspec.Struct, tag=1, array_like=True):
    """The first message of whoever has opened a connection."""

    ip: str
    incarnation: str  # drawn at each start of the process
    is_control_node: bool
    # The sender's steady clock. A proxy answers a Hello without one by its own, and is sent another Hello with one: so
    # each side knows that the other's process runs now, before any request is sent.
    sent_at: float = 0.0


class Subscribe(msgspec.Struct, tag=2, array_like=True):
    """Asks for all that changed after sequence number `after_sequence` of this incarnation, and for later changes."""

    incarnation: str
    after_sequence: int


class Unsubscribe(msgspec.Struct, tag=27, array_like=True):
    """Ends a subscription: the sender has subscribed elsewhere."""


class Delta(msgspec.Struct, tag=3, array_like=True):
    """What changed, up to a sequence number of the sender's incarnation; without entries it says that nothing did."""

    incarnation: str
    latest_sequence: int
    sent_at: float  # by the sender's steady clock, so that the receiver can recognise a message that was delayed
    # Seconds since the sender had contact with a majority: what was confirmed before then is known to it.
    majority_age: float
    decided_index: int  # of the latest change of the configuration that the sender knows as decided
    has_pending_change: bool  # whether the sender, as a voter, has accepted the next change: it may be decided already
    is_voter: bool  # whether the sender has a vote by the membership that it knows
    complete_epoch: int  # for which the sender holds all reservations that a voter must hold; 0: for none
    is_snapshot: bool  # whether the entries are all that the sender has, and not only those that changed
    entries: list[Entry]
    echoed_at: float = 0.0  # `sent_at` of the latest Pong on this connection; 0: none has arrived


class Pong(msgspec.Struct, tag=4, array_like=True):
    """The subscriber is alive: the lease on its entries is extended."""

    sent_at: float = 0.0  # by the sender's steady clock; the next Delta echoes it


class Report(msgspec.Struct, tag=5, array_like=True):
    """Entries that the sender announces about itself; they last as long as its lease."""

    entries: list[Entry]
