"""What processes of the mesh say to each other: msgspec structs, one frame each."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

MAX_PAGE_BYTES = 512 << 10  # of items or claims in one frame: other messages go between the frames of a large state


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One item: of whatever kind, the highest edition of a name stands. No value: it was dropped."""

    kind: str
    name: str
    edition: int
    value: bytes | None


class BackendResponse(msgspec.Struct, array_like=True):
    """A whole answer of a backend: `head` has its header lines."""

    status: int
    head: bytes
    body: bytes


class Hello(msgspec.Struct, tag=1, array_like=True):
    """The first frame from whoever dialled."""

    ip: str
    incarnation: str  # drawn at each start
    is_control_node: bool
    # The sender's steady clock. A proxy answers a Hello without one by its own, and gets another one with it: so both
    # know that the other one runs now, before any request goes.
    sent_at: float = 0.0


class Subscribe(msgspec.Struct, tag=2, array_like=True):
    """Send me all that changed after `since` of your life `life`, and whatever changes from now on."""

    incarnation: str
    after_sequence: int


class Unsubscribe(msgspec.Struct, tag=27, array_like=True):
    """Send me no more news: another peer does."""


class Delta(msgspec.Struct, tag=3, array_like=True):
    """What changed, up to `upto` of the sender's life; an empty one says that nothing did."""

    incarnation: str
    latest_sequence: int
    sent_at: float  # by the sender's steady clock, so that the receiver can tell a message that was held up
    majority_age: (
        float  # seconds since the sender had word of a majority: what was confirmed before then is known to it
    )
    decided_index: int  # of the latest change of the configuration that the sender knows as decided
    has_pending_change: (
        bool  # whether the sender, as a voter, has accepted the next change, which may be decided already
    )
    is_voter: bool  # whether the sender has a vote by what it knows
    complete_epoch: int  # the epoch for which the sender knows all claims that a voter must know; 0: none
    is_snapshot: bool  # whether this is all that the sender has, and not what changed since the last time
    entries: list[Entry]
    echoed_at: float = 0.0  # the latest Pong's `sent`, by the receiver's own clock; 0: none has come on this connection


class Pong(msgspec.Struct, tag=4, array_like=True):
    """The subscriber is there: its lease runs on."""

    sent_at: float = 0.0  # by the sender's steady clock, to be echoed


class Report(msgspec.Struct, tag=5, array_like=True):
    """What the sender says of itself; its lease covers these entries."""

    entries: list[Entry]


class Item(msgspec.Struct, array_like=True, frozen=True):
    """An entry that was decided, and the index of the change that brought it."""

    entry: Entry
    index: int


class ProposalNumber(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The number of one proposal; `proposer` names a process and its life, so that no two have the same ballot."""

    number: int
    proposer: str


NO_PROPOSAL = ProposalNumber(0, "")


class Change(msgspec.Struct, array_like=True, frozen=True):
    """What one decision of the register brings: entries that take their places together."""

    id: str  # of the proposal, unique over all processes and their lives
    entries: list[Entry]


class Prepare(msgspec.Struct, tag=6, array_like=True):
    """Accept nothing under a lower ballot for change `index`, and tell what was accepted for it so far."""

    index: int
    proposal: ProposalNumber


class Promise(msgspec.Struct, tag=7, array_like=True):
    """The answer to Prepare."""

    index: int
    proposal: ProposalNumber
    is_granted: bool
    decided_index: int  # the latest change that the voter knows as decided
    promised: ProposalNumber  # the highest ballot that it has promised
    accepted: ProposalNumber | None = None
    change: Change | None = None


class Accept(msgspec.Struct, tag=8, array_like=True):
    """Let this be change `index`."""

    index: int
    proposal: ProposalNumber
    change: Change


class Accepted(msgspec.Struct, tag=13, array_like=True):
    """The answer to Accept; granted: it is on the voter's disk."""

    index: int
    proposal: ProposalNumber
    is_granted: bool
    decided_index: int
    promised: ProposalNumber


class ReadIndexQuery(msgspec.Struct, tag=14, array_like=True):
    """Which change is the latest that you know?"""

    number: int


class ReadIndexReply(msgspec.Struct, tag=15, array_like=True):
    """The answer to ReadIndexQuery; `voter`: whether the sender has a vote by what it knows."""

    number: int
    is_voter: bool
    decided_index: int
    has_pending_change: bool


class FetchDecided(msgspec.Struct, tag=16, array_like=True):
    """Tell me what was decided after change `since`."""

    after_index: int


class ForwardChange(msgspec.Struct, tag=25, array_like=True):
    """Have these entries decided; `left`: seconds for which somebody waits."""

    number: int
    seconds_left: float
    entries: list[Entry]


class ChangeResult(msgspec.Struct, tag=26, array_like=True):
    """How an order ended: confirmed, refused (the kind of its error), or neither."""

    number: int
    is_confirmed: bool = False
    error_kind: str = ""
    detail: str = ""
    may_be_decided: bool = False  # neither, and it may come into force


class Learn(msgspec.Struct, tag=24, array_like=True):
    """A page of what was decided after change `since`, up to change `index`; all pages take effect with the last.

    It is state and not history: each item as it stands at `index`, however often it was changed. `since` 0: it is all
    that there is, and what is not in it is gone.
    """

    after_index: int
    index: int
    pruned_index: int  # withdrawals up to this change are forgotten
    page: int  # of the page, from 0
    items: list[Item]
    is_last: bool


class ReserveKey(msgspec.Struct, tag=9, array_like=True):
    """I want to run the operation of this key; `left`: seconds until my request ends."""

    key: bytes
    owner: bytes
    epoch: int
    seconds_left: float


class ReserveKeyReply(msgspec.Struct, tag=10, array_like=True):
    """The answer to ReserveKey: granted to `by`, or who else has it, how that stands, and its answer."""

    key: bytes
    owner: bytes
    epoch: int
    is_granted: bool
    is_taken: bool = False  # another has it...
    is_running: bool = False  # ...and may still be at work
    response: BackendResponse | None = None


class CompleteKey(msgspec.Struct, tag=11, array_like=True):
    """The operation of this key has run, and this is its answer."""

    key: bytes
    owner: bytes
    response: BackendResponse


class ReleaseKey(msgspec.Struct, tag=12, array_like=True):
    """The operation of this key did not run under this claim and never will."""

    key: bytes
    owner: bytes


class Voter(msgspec.Struct, array_like=True, frozen=True):
    """One voting replica: an address and the disk behind it, since a replica with an empty disk is another one."""

    ip: str
    uid: str
    zone: str


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """The replicas whose majority decides, from this epoch on; `previous`: those of the epoch before."""

    epoch: int
    voters: list[Voter]
    previous_voters: list[Voter] = []


class FetchReservations(msgspec.Struct, tag=17, array_like=True):
    """I am a voter of this epoch and lack claims of the epoch before: tell me all that you hold."""

    epoch: int


class StoredReservation(msgspec.Struct, array_like=True):
    """One claim as it lies on disk and goes to other voters; `left`: seconds for which its request may be at work.

    No time of day: clocks are set, and a claim that is forgotten too early runs twice. Whoever reads it anew counts
    its whole window from then.
    """

    owner: bytes
    seconds_left: float
    response: BackendResponse | None = None


class ReservationsPage(msgspec.Struct, tag=18, array_like=True):
    """A page of the answer to FetchReservations."""

    epoch: int
    page: int  # of the page, from 0
    reservations: list[tuple[bytes, StoredReservation]]
    is_last: bool
    was_complete: bool = True  # false: the sender was not complete in the epoch before, and granted nothing in it


class ForwardRequest(msgspec.Struct, tag=19, array_like=True):
    """Have your backend `backend` run this."""

    number: int
    backend: str
    method: bytes
    target: bytes
    header_lines: list[bytes]  # header lines, each with its end, `Host` among them; no framing
    body: bytes
    seconds_left: float  # seconds
    latency_target_left: float  # seconds in which its answer is worth most, below 0 when they are over
    attempt_id: bytes
    priority: int
    is_safe: bool
    route: str
    key: bytes = b""
    owner: bytes = b""
    was_rejected: bool = False  # its caller has been turned away before, or has little time for other causes
    body_bytes: int = 0  # bytes of a body that comes in parts, as they are granted
    sent_at: float = 0.0  # the sender's steady clock when `left` and `aim` were true, see lugspur.mesh.dataplane.delays


class ForwardResponse(msgspec.Struct, tag=20, array_like=True):
    """How it ended."""

    number: int
    outcome: int  # a value of lugspur.mesh.dataplane.gate.End
    response: BackendResponse | None = None
    was_sent: bool = True  # whether the backend was offered it
    in_flight: int = 0  # requests in hand there
    cause: int = 0  # a value of lugspur.mesh.dataplane.causes.Cause


class CancelRequest(msgspec.Struct, tag=21, array_like=True):
    """Nobody waits for it any more."""

    number: int


class WithdrawRequest(msgspec.Struct, tag=28, array_like=True):
    """Nobody waits for it any more: do not begin it. A backend that works on it goes on. A ForwardResponse follows."""

    number: int


class FetchOutcomes(msgspec.Struct, tag=29, array_like=True):
    """Which of these requests, sent on a connection that has ended, have not run and never will?

    A ForwardResponse comes for each that is proven not to have run, now or once it is; for the others comes nothing.
    """

    numbers: list[int]


class GrantBody(msgspec.Struct, tag=22, array_like=True):
    """Send the body's bytes up to there."""

    number: int
    up_to_offset: int


class BodyChunk(msgspec.Struct, tag=23, array_like=True):
    """The next bytes of a body."""

    number: int
    data: bytes


Message: TypeAlias = (
    Hello
    | Subscribe
    | Unsubscribe
    | Delta
    | Pong
    | Report
    | Prepare
    | Promise
    | Accept
    | Accepted
    | ReadIndexQuery
    | ReadIndexReply
    | FetchDecided
    | ForwardChange
    | ChangeResult
    | Learn
    | ReserveKey
    | ReserveKeyReply
    | CompleteKey
    | ReleaseKey
    | FetchReservations
    | ReservationsPage
    | ForwardRequest
    | ForwardResponse
    | CancelRequest
    | WithdrawRequest
    | FetchOutcomes
    | GrantBody
    | BodyChunk
)

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """One frame: four bytes of length, then the message."""
    data = _encoder.encode(message)
    return len(data).to_bytes(4, "big") + data


def decode(data: memoryview | bytes) -> Message:
    """The message of one frame; raises msgspec.DecodeError or msgspec.ValidationError."""
    return _decoder.decode(data)
