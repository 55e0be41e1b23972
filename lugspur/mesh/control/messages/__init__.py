"""The messages that processes of the mesh exchange, one module for each protocol, and their encoding.

Each message is a msgspec struct that is encoded as an array: its tag, then its fields in the order of the class. Python
names may change, but tags and the order of fields are the wire format. A field is only ever added at the end and with a
default, so that a process can read the messages of a process with an older build.
"""

from __future__ import annotations

from lugspur.mesh.control.messages.agreement import (
    NO_PROPOSAL,
    Accept,
    Accepted,
    ChangeResult,
    FetchDecided,
    ForwardChange,
    Learn,
    Prepare,
    Promise,
    ProposalNumber,
    ReadIndexQuery,
    ReadIndexReply,
)
from lugspur.mesh.control.messages.codec import Message, decode, encode
from lugspur.mesh.control.messages.forwarding import (
    BackendResponse,
    BodyChunk,
    CancelRequest,
    FetchOutcomes,
    ForwardRequest,
    ForwardResponse,
    GrantBody,
    WithdrawRequest,
)
from lugspur.mesh.control.messages.records import Change, Entry, Item, Membership, OverdueMembership, Voter
from lugspur.mesh.control.messages.reservations import (
    CompleteKey,
    FetchReservations,
    ReleaseKey,
    ReservationsPage,
    ReserveKey,
    ReserveKeyReply,
    StoredReservation,
)
from lugspur.mesh.control.messages.updates import Delta, Hello, Pong, Report, Subscribe, Unsubscribe

#: Maximum size of the items or reservations in one page: other messages are sent between the pages of a large state.
MAX_PAGE_BYTES = 512 << 10

__all__ = [
    "MAX_PAGE_BYTES",
    "NO_PROPOSAL",
    "Accept",
    "Accepted",
    "BackendResponse",
    "BodyChunk",
    "CancelRequest",
    "Change",
    "ChangeResult",
    "CompleteKey",
    "Delta",
    "Entry",
    "FetchDecided",
    "FetchOutcomes",
    "FetchReservations",
    "ForwardChange",
    "ForwardRequest",
    "ForwardResponse",
    "GrantBody",
    "Hello",
    "Item",
    "Learn",
    "Membership",
    "Message",
    "OverdueMembership",
    "Pong",
    "Prepare",
    "Promise",
    "ProposalNumber",
    "ReadIndexQuery",
    "ReadIndexReply",
    "ReleaseKey",
    "Report",
    "ReservationsPage",
    "ReserveKey",
    "ReserveKeyReply",
    "StoredReservation",
    "Subscribe",
    "Unsubscribe",
    "Voter",
    "WithdrawRequest",
    "decode",
    "encode",
]
