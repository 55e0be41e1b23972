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
    life: str  # drawn at each start
    keeps: bool
    # The sender's steady clock. A proxy answers a Hello without one by its own, and gets another one with it: so both
    # know that the other one runs now, before any request goes.
    sent: float = 0.0


class Subscribe(msgspec.Struct, tag=2, array_like=True):
    """Send me all that changed after `since` of your life `life`, and whatever changes from now on."""

    life: str
    since: int


class Unsubscribe(msgspec.Struct, tag=27, array_like=True):
    """Send me no more news: another peer does."""


class Delta(msgspec.Struct, tag=3, array_like=True):
    """What changed, up to `upto` of the sender's life; an empty one says that nothing did."""

    life: str
    upto: int
    sent: float  # by the sender's steady clock, so that the receiver can tell a message that was held up
    age: float  # seconds since the sender had word of a majority: what was confirmed before then is known to it
    index: int  # of the latest change of the configuration that the sender knows as decided
    pending: bool  # whether the sender, as a voter, has accepted the next change, which may be decided already
    votes: bool  # whether the sender has a vote by what it knows
    complete: int  # the epoch for which the sender knows all claims that a voter must know; 0: none
    whole: bool  # whether this is all that the sender has, and not what changed since the last time
    entries: list[Entry]
    echo: float = 0.0  # the latest Pong's `sent`, by the receiver's own clock; 0: none has come on this connection


class Pong(msgspec.Struct, tag=4, array_like=True):
    """The subscriber is there: its lease runs on."""

    sent: float = 0.0  # by the sender's steady clock, to be echoed


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
    ballot: ProposalNumber


class Promise(msgspec.Struct, tag=7, array_like=True):
    """The answer to Prepare."""

    index: int
    ballot: ProposalNumber
    granted: bool
    decided: int  # the latest change that the voter knows as decided
    promised: ProposalNumber  # the highest ballot that it has promised
    accepted: ProposalNumber | None = None
    change: Change | None = None


class Accept(msgspec.Struct, tag=8, array_like=True):
    """Let this be change `index`."""

    index: int
    ballot: ProposalNumber
    change: Change


class Accepted(msgspec.Struct, tag=13, array_like=True):
    """The answer to Accept; granted: it is on the voter's disk."""

    index: int
    ballot: ProposalNumber
    granted: bool
    decided: int
    promised: ProposalNumber


class ReadIndexQuery(msgspec.Struct, tag=14, array_like=True):
    """Which change is the latest that you know?"""

    number: int


class ReadIndexReply(msgspec.Struct, tag=15, array_like=True):
    """The answer to ReadIndexQuery; `voter`: whether the sender has a vote by what it knows."""

    number: int
    voter: bool
    decided: int
    pending: bool


class FetchDecided(msgspec.Struct, tag=16, array_like=True):
    """Tell me what was decided after change `since`."""

    since: int


class ForwardChange(msgspec.Struct, tag=25, array_like=True):
    """Have these entries decided; `left`: seconds for which somebody waits."""

    number: int
    left: float
    entries: list[Entry]


class ChangeResult(msgspec.Struct, tag=26, array_like=True):
    """How an order ended: confirmed, refused (the kind of its error), or neither."""

    number: int
    confirmed: bool = False
    refused: str = ""
    detail: str = ""
    proposed: bool = False  # neither, and it may come into force


class Learn(msgspec.Struct, tag=24, array_like=True):
    """A page of what was decided after change `since`, up to change `index`; all pages take effect with the last.

    It is state and not history: each item as it stands at `index`, however often it was changed. `since` 0: it is all
    that there is, and what is not in it is gone.
    """

    since: int
    index: int
    pruned: int  # withdrawals up to this change are forgotten
    number: int  # of the page, from 0
    items: list[Item]
    last: bool


class ReserveKey(msgspec.Struct, tag=9, array_like=True):
    """I want to run the operation of this key; `left`: seconds until my request ends."""

    key: bytes
    by: bytes
    epoch: int
    left: float


class ReserveKeyReply(msgspec.Struct, tag=10, array_like=True):
    """The answer to ReserveKey: granted to `by`, or who else has it, how that stands, and its answer."""

    key: bytes
    by: bytes
    epoch: int
    granted: bool
    other: bool = False  # another has it...
    busy: bool = False  # ...and may still be at work
    answer: BackendResponse | None = None


class CompleteKey(msgspec.Struct, tag=11, array_like=True):
    """The operation of this key has run, and this is its answer."""

    key: bytes
    by: bytes
    answer: BackendResponse


class ReleaseKey(msgspec.Struct, tag=12, array_like=True):
    """The operation of this key did not run under this claim and never will."""

    key: bytes
    by: bytes


class Voter(msgspec.Struct, array_like=True, frozen=True):
    """One voting replica: an address and the disk behind it, since a replica with an empty disk is another one."""

    ip: str
    uid: str
    zone: str


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """The replicas whose majority decides, from this epoch on; `previous`: those of the epoch before."""

    epoch: int
    voters: list[Voter]
    previous: list[Voter] = []


class FetchReservations(msgspec.Struct, tag=17, array_like=True):
    """I am a voter of this epoch and lack claims of the epoch before: tell me all that you hold."""

    epoch: int


class StoredReservation(msgspec.Struct, array_like=True):
    """One claim as it lies on disk and goes to other voters; `left`: seconds for which its request may be at work.

    No time of day: clocks are set, and a claim that is forgotten too early runs twice. Whoever reads it anew counts
    its whole window from then.
    """

    by: bytes
    left: float
    answer: BackendResponse | None = None


class ReservationsPage(msgspec.Struct, tag=18, array_like=True):
    """A page of the answer to FetchReservations."""

    epoch: int
    number: int  # of the page, from 0
    claims: list[tuple[bytes, StoredReservation]]
    last: bool
    complete: bool = True  # false: the sender was not complete in the epoch before, and granted nothing in it


class ForwardRequest(msgspec.Struct, tag=19, array_like=True):
    """Have your backend `backend` run this."""

    n: int
    backend: str
    method: bytes
    target: bytes
    lines: list[bytes]  # header lines, each with its end, `Host` among them; no framing
    body: bytes
    left: float  # seconds
    aim: float  # seconds in which its answer is worth most, below 0 when they are over
    attempt: bytes
    priority: int
    safe: bool
    route: str
    key: bytes = b""
    by: bytes = b""
    back: bool = False  # its caller has been turned away before, or has little time for other causes
    size: int = 0  # bytes of a body that comes in parts, as they are granted
    sent: float = (
        0.0  # the sender's steady clock when `left` and `aim` were true, see lugspur.mesh.dataplane.delay_estimation
    )


class ForwardResponse(msgspec.Struct, tag=20, array_like=True):
    """How it ended."""

    n: int
    how: int  # a value of lugspur.mesh.dataplane.request_outcome.RequestOutcome
    answer: BackendResponse | None = None
    sent: bool = True  # whether the backend was offered it
    busy: int = 0  # requests in hand there
    cause: int = 0  # a value of lugspur.mesh.dataplane.failure_cause.FailureCause


class CancelRequest(msgspec.Struct, tag=21, array_like=True):
    """Nobody waits for it any more."""

    n: int


class WithdrawRequest(msgspec.Struct, tag=28, array_like=True):
    """Nobody waits for it any more: do not begin it.

    What the backend works on goes on; a ForwardResponse comes either way.
    """

    n: int


class FetchOutcomes(msgspec.Struct, tag=29, array_like=True):
    """Which of these requests, sent on a connection that has ended, have not run and never will?

    A ForwardResponse comes for each that is proven not to have run, now or once it is; for the others comes nothing.
    """

    numbers: list[int]


class GrantBody(msgspec.Struct, tag=22, array_like=True):
    """Send the body's bytes up to there."""

    n: int
    upto: int


class BodyChunk(msgspec.Struct, tag=23, array_like=True):
    """The next bytes of a body."""

    n: int
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
