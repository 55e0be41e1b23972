"""What processes of the mesh say to each other: msgspec structs, one frame each."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

ENTRIES_PAGE = 512 << 10  # bytes of entries or claims in one frame: others go between the frames of a large state


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One item: of whatever kind, the highest edition of a name stands. No value: it was dropped."""

    kind: str
    name: str
    edition: int
    value: bytes | None


class Answer(msgspec.Struct, array_like=True):
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


class Sync(msgspec.Struct, tag=2, array_like=True):
    """Send me all that changed after `since` of your life `life`, and whatever changes from now on."""

    life: str
    since: int


class Delta(msgspec.Struct, tag=3, array_like=True):
    """What changed, up to `upto`; `age`: seconds since the sender had word of a majority; `full`: it is up to date."""

    life: str
    upto: int
    age: float
    full: bool
    entries: list[Entry]


class Pong(msgspec.Struct, tag=4, array_like=True):
    """The subscriber is there: its lease runs on."""


class Report(msgspec.Struct, tag=5, array_like=True):
    """What the sender says of itself; its lease covers these entries."""

    entries: list[Entry]


class Ask(msgspec.Struct, tag=6, array_like=True):
    """Tell me all that you have: what changed goes ahead of the answer on the same connection."""

    n: int
    epoch: int


class Put(msgspec.Struct, tag=7, array_like=True):
    """Keep these on disk."""

    n: int
    epoch: int
    entries: list[Entry]


class Said(msgspec.Struct, tag=8, array_like=True):
    """The answer to Ask and Put. `ok` false: in another epoch, not up to date, or another content stands."""

    n: int
    ok: bool
    epoch: int
    conflict: bool = False


class Claim(msgspec.Struct, tag=9, array_like=True):
    """I want to run the operation of this key; `left`: seconds until my request ends."""

    key: bytes
    by: bytes
    epoch: int
    left: float


class Verdict(msgspec.Struct, tag=10, array_like=True):
    """The answer to Claim: granted to `by`, or who else has it, how that stands, and its answer."""

    key: bytes
    by: bytes
    epoch: int
    granted: bool
    other: bool = False  # another has it...
    busy: bool = False  # ...and may still be at work
    answer: Answer | None = None


class Done(msgspec.Struct, tag=11, array_like=True):
    """The operation of this key has run, and this is its answer."""

    key: bytes
    by: bytes
    answer: Answer


class Release(msgspec.Struct, tag=12, array_like=True):
    """The operation of this key did not run under this claim and never will."""

    key: bytes
    by: bytes


class Voter(msgspec.Struct, array_like=True, frozen=True):
    """One replica of the membership: a disk, not only an address."""

    ip: str
    uid: str
    zone: str


class Membership(msgspec.Struct, array_like=True, frozen=True):
    """Whose majority decides, from this epoch on; `before`: how many voters the epoch before had."""

    epoch: int
    voters: list[Voter]
    before: int = 0


class Prepare(msgspec.Struct, tag=13, array_like=True):
    """A ballot opens on what follows epoch `epoch`."""

    epoch: int
    ballot: tuple[int, str]


class Promise(msgspec.Struct, tag=14, array_like=True):
    """The answer: no lower ballot from now on; what was accepted before, if anything. A refusal: what is too low."""

    epoch: int
    ballot: tuple[int, str]
    ok: bool
    accepted: tuple[int, str] | None = None
    value: Membership | None = None
    higher: int = 0  # the number of the ballot that stands in the way


class Accept(msgspec.Struct, tag=15, array_like=True):
    """Let this membership follow."""

    epoch: int
    ballot: tuple[int, str]
    value: Membership


class Accepted(msgspec.Struct, tag=16, array_like=True):
    """The answer to Accept."""

    epoch: int
    ballot: tuple[int, str]
    ok: bool


class Fetch(msgspec.Struct, tag=17, array_like=True):
    """I have a voter in this membership and nothing on my disk: tell me all, and grant nothing under an older one."""

    membership: Membership


class Kept(msgspec.Struct, array_like=True):
    """One claim as it lies on disk and goes to others; `left`: seconds for which its request may be at work.

    No time of day: clocks are set, and a claim that is forgotten too early runs twice. Whoever reads it anew counts
    its whole window from then.
    """

    by: bytes
    left: float
    answer: Answer | None = None


class State(msgspec.Struct, tag=18, array_like=True):
    """A part of the answer to Fetch; `last`: all of it has come."""

    epoch: int
    entries: list[Entry]
    claims: list[tuple[bytes, Kept]]
    last: bool


class Forward(msgspec.Struct, tag=19, array_like=True):
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
    sent: float = 0.0  # the sender's steady clock when `left` and `aim` were true, see lugspur.dataplane.delays


class Reply(msgspec.Struct, tag=20, array_like=True):
    """How it ended."""

    n: int
    how: int  # a value of lugspur.dataplane.gate.End
    answer: Answer | None = None
    sent: bool = True  # whether the backend was offered it
    busy: int = 0  # requests in hand there


class Cancel(msgspec.Struct, tag=21, array_like=True):
    """Nobody waits for it any more."""

    n: int


class Grant(msgspec.Struct, tag=22, array_like=True):
    """Send the body's bytes up to there."""

    n: int
    upto: int


class Part(msgspec.Struct, tag=23, array_like=True):
    """The next bytes of a body."""

    n: int
    data: bytes


Message: TypeAlias = (
    Hello
    | Sync
    | Delta
    | Pong
    | Report
    | Ask
    | Put
    | Said
    | Claim
    | Verdict
    | Done
    | Release
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Fetch
    | State
    | Forward
    | Reply
    | Cancel
    | Grant
    | Part
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
