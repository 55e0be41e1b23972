"""Messages for the start of a connection, subscriptions to a control node's state, and reports under a lease."""

from __future__ import annotations

import msgspec

from lugspur.mesh.control.messages.records import Entry


class Hello(msgspec.Struct, tag=1, array_like=True):
    """The first message of the process that has opened a connection."""

    ip: str
    incarnation: str  # a random id of this run of the process
    is_control_node: bool
    # The sender's monotonic clock. A proxy replies to a Hello without a time with its own time, and receives another
    # Hello with one: so each side knows that the other's process is running now, before any request is sent.
    sent_at: float = 0.0


class Subscribe(msgspec.Struct, tag=2, array_like=True):
    """Asks for all changes after sequence number `after_sequence` of an incarnation, past and future."""

    incarnation: str
    after_sequence: int


class Unsubscribe(msgspec.Struct, tag=27, array_like=True):
    """Ends a subscription: the sender has subscribed elsewhere."""


class Delta(msgspec.Struct, tag=3, array_like=True):
    """The changed entries up to a sequence number of the sender's incarnation; empty if nothing has changed."""

    incarnation: str
    latest_sequence: int
    sent_at: float  # the sender's monotonic clock, by which the receiver recognises a delayed message
    # Seconds since the sender had contact with a majority: it knows everything that was confirmed before then.
    majority_age: float
    decided_index: int  # the latest change of the configuration that the sender knows to be decided
    has_pending_change: bool  # whether the sender, as a voter, has accepted the next change, which may be decided
    is_voter: bool  # whether the sender has a vote in the membership that it knows
    complete_epoch: int  # the epoch for which the sender holds all reservations that a voter must hold; 0: none
    is_snapshot: bool  # whether the entries are all entries of the sender, and not only the changed ones
    entries: list[Entry]
    echoed_at: float = 0.0  # `sent_at` of the latest Pong on this connection; 0: none has arrived


class Pong(msgspec.Struct, tag=4, array_like=True):
    """The heartbeat of a subscriber, which extends the lease of its entries."""

    sent_at: float = 0.0  # the sender's monotonic clock; the next Delta echoes it


class Report(msgspec.Struct, tag=5, array_like=True):
    """Entries that the sender announces about itself, which are valid as long as its lease."""

    entries: list[Entry]
