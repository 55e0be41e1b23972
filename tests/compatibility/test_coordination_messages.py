"""The bytes that control nodes exchange and keep on disk for coordination, as the first build with it writes them.

A process of another build reads these bytes from a connection or from its disk, so they stay as they are whatever the
code calls its classes and fields.
"""

from __future__ import annotations

from typing import Any, get_args

import msgspec
import pytest

from lugspur.mesh.control.messages import Message, ProposalNumber, decode, encode
from lugspur.mesh.control.messages.coordination import (
    AcceptorReport,
    CoordinationAccept,
    CoordinationAccepted,
    CoordinationCall,
    CoordinationChanges,
    CoordinationConfirm,
    CoordinationConfirmed,
    CoordinationHeartbeat,
    CoordinationHello,
    CoordinationMessage,
    CoordinationPrepare,
    CoordinationPromise,
    CoordinationReply,
    CoordinationSnapshot,
    FetchAcceptor,
    FetchCoordination,
    GroupHistory,
    UnfollowCoordination,
)
from lugspur.mesh.control.messages.coordination_records import (
    AcquireLock,
    CellFound,
    CellMissing,
    CellRecord,
    CellWritten,
    Command,
    CommandFailed,
    CoordinationChange,
    GroupRevision,
    IssueNumber,
    LockDenied,
    LockGranted,
    LockLost,
    LockRecord,
    LockReleaseConfirmed,
    LockReleased,
    LockRenewed,
    NumberIssued,
    NumberRecord,
    PutCell,
    ReadCell,
    ReadGroup,
    ReleaseLock,
    RenewLock,
    Result,
    RevisionMismatch,
)
from lugspur.mesh.coordination.acceptor import StoredEpoch, StoredVote
from lugspur.mesh.coordination.state import CoordinationState, StoredGroup, StoredMeta

LOW, HIGH = ProposalNumber(7, "p"), ProposalNumber(8, "q")
CHANGE = CoordinationChange(
    "c", [LockRecord("l", "h", 3, 2000), LockReleased("l"), NumberRecord("n", 4), CellRecord("g.a", "v", 5)]
)
SNAPSHOT = CoordinationSnapshot(
    6,
    3,
    [LockRecord("l", "h", 3, 2000)],
    [NumberRecord("n", 4)],
    [CellRecord("g.a", "v", 5)],
    [GroupHistory("g.", 5, 2, [CellRecord("g.a", "v", 5)])],
)

MESSAGES: list[tuple[Message, bytes]] = [
    (
        CoordinationHello("10.0.0.1", "i", 1.5),
        bytes.fromhex("94 1e a8 31 30 2e 30 2e 30 2e 31 a1 69 cb 3f f8 00 00 00 00 00 00"),
    ),
    (CoordinationHeartbeat(1.5, 6, True, 7), bytes.fromhex("95 1f cb 3f f8 00 00 00 00 00 00 06 c3 07")),
    (CoordinationPrepare(9, LOW), bytes.fromhex("93 20 09 92 07 a1 70")),
    (
        CoordinationPromise(9, LOW, True, 6, LOW, HIGH, CHANGE),
        bytes.fromhex(
            "98 21 09 92 07 a1 70 c3 06 92 07 a1 70 92 08 a1 71 92 a1 63 94 95 01 a1 6c a1 68 03 cd 07 d0 92"
            "02 a1 6c 93 03 a1 6e 04 94 04 a3 67 2e 61 a1 76 05"
        ),
    ),
    (CoordinationPromise(9, LOW, False, 6, HIGH), bytes.fromhex("98 21 09 92 07 a1 70 c2 06 92 08 a1 71 c0 c0")),
    (
        CoordinationAccept(9, LOW, 7, CHANGE),
        bytes.fromhex(
            "95 22 09 92 07 a1 70 07 92 a1 63 94 95 01 a1 6c a1 68 03 cd 07 d0 92 02 a1 6c 93 03 a1 6e 04 94"
            "04 a3 67 2e 61 a1 76 05"
        ),
    ),
    (CoordinationAccepted(9, LOW, 7, True, 6, HIGH), bytes.fromhex("97 23 09 92 07 a1 70 07 c3 06 92 08 a1 71")),
    (CoordinationConfirm(9, LOW, 10), bytes.fromhex("94 24 09 92 07 a1 70 0a")),
    (CoordinationConfirmed(9, LOW, 10, True, HIGH), bytes.fromhex("96 25 09 92 07 a1 70 0a c3 92 08 a1 71")),
    (FetchCoordination(6, True), bytes.fromhex("93 26 06 c3")),
    (UnfollowCoordination(), bytes.fromhex("91 27")),
    (
        CoordinationChanges(7, [CHANGE]),
        bytes.fromhex(
            "93 28 07 91 92 a1 63 94 95 01 a1 6c a1 68 03 cd 07 d0 92 02 a1 6c 93 03 a1 6e 04 94 04 a3 67 2e61 a1 76 05"
        ),
    ),
    (
        SNAPSHOT,
        bytes.fromhex(
            "97 29 06 03 91 95 01 a1 6c a1 68 03 cd 07 d0 91 93 03 a1 6e 04 91 94 04 a3 67 2e 61 a1 76 05 91"
            "94 a2 67 2e 05 02 91 94 04 a3 67 2e 61 a1 76 05"
        ),
    ),
    (FetchAcceptor(9), bytes.fromhex("92 2a 09")),
    (
        AcceptorReport(9, True, False, 1, HIGH, CHANGE, SNAPSHOT),
        bytes.fromhex(
            "98 2b 09 c3 c2 01 92 08 a1 71 92 a1 63 94 95 01 a1 6c a1 68 03 cd 07 d0 92 02 a1 6c 93 03 a1 6e"
            "04 94 04 a3 67 2e 61 a1 76 05 97 29 06 03 91 95 01 a1 6c a1 68 03 cd 07 d0 91 93 03 a1 6e 04 91"
            "94 04 a3 67 2e 61 a1 76 05 91 94 a2 67 2e 05 02 91 94 04 a3 67 2e 61 a1 76 05"
        ),
    ),
    (
        CoordinationCall(11, 1.5, 0.5, AcquireLock("l", "h", 2000)),
        bytes.fromhex("95 2c 0b cb 3f f8 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 94 01 a1 6c a1 68 cd 07 d0"),
    ),
    (
        CoordinationCall(11, 1.5, 0.5, RenewLock("l", "h", 3, 2000)),
        bytes.fromhex("95 2c 0b cb 3f f8 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 95 02 a1 6c a1 68 03 cd 07 d0"),
    ),
    (
        CoordinationCall(11, 1.5, 0.5, ReleaseLock("l", "h", 3)),
        bytes.fromhex("95 2c 0b cb 3f f8 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 94 03 a1 6c a1 68 03"),
    ),
    (
        CoordinationCall(11, 1.5, 0.5, IssueNumber("n")),
        bytes.fromhex("95 2c 0b cb 3f f8 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 92 04 a1 6e"),
    ),
    (
        CoordinationCall(11, 1.5, 0.5, PutCell("g.a", "v", 4)),
        bytes.fromhex("95 2c 0b cb 3f f8 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 94 05 a3 67 2e 61 a1 76 04"),
    ),
    (
        CoordinationCall(11, 1.5, 0.5, PutCell("g.a", "v")),
        bytes.fromhex("95 2c 0b cb 3f f8 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 94 05 a3 67 2e 61 a1 76 c0"),
    ),
    (
        CoordinationCall(11, 1.5, 0.5, ReadCell("g.a")),
        bytes.fromhex("95 2c 0b cb 3f f8 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 92 06 a3 67 2e 61"),
    ),
    (
        CoordinationCall(11, 1.5, 0.5, ReadGroup("g.")),
        bytes.fromhex("95 2c 0b cb 3f f8 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 92 07 a2 67 2e"),
    ),
    (CoordinationReply(11, LockGranted(3)), bytes.fromhex("93 2d 0b 92 01 03")),
    (CoordinationReply(11, LockDenied()), bytes.fromhex("93 2d 0b 91 02")),
    (CoordinationReply(11, LockRenewed()), bytes.fromhex("93 2d 0b 91 03")),
    (CoordinationReply(11, LockLost()), bytes.fromhex("93 2d 0b 91 04")),
    (CoordinationReply(11, LockReleaseConfirmed()), bytes.fromhex("93 2d 0b 91 05")),
    (CoordinationReply(11, NumberIssued(4)), bytes.fromhex("93 2d 0b 92 06 04")),
    (CoordinationReply(11, CellWritten(5)), bytes.fromhex("93 2d 0b 92 07 05")),
    (CoordinationReply(11, RevisionMismatch(5)), bytes.fromhex("93 2d 0b 92 08 05")),
    (CoordinationReply(11, CellFound("v", 5)), bytes.fromhex("93 2d 0b 93 09 a1 76 05")),
    (CoordinationReply(11, CellMissing()), bytes.fromhex("93 2d 0b 91 0a")),
    (CoordinationReply(11, GroupRevision(5)), bytes.fromhex("93 2d 0b 92 0b 05")),
    (
        CoordinationReply(11, CommandFailed("unclear", "d", True)),
        bytes.fromhex("93 2d 0b 94 0c a7 75 6e 63 6c 65 61 72 a1 64 c3"),
    ),
]

RECORDS: list[tuple[Any, bytes]] = [
    (
        StoredVote(7, LOW, HIGH, CHANGE),
        bytes.fromhex(
            "94 07 92 07 a1 70 92 08 a1 71 92 a1 63 94 95 01 a1 6c a1 68 03 cd 07 d0 92 02 a1 6c 93 03 a1 6e"
            "04 94 04 a3 67 2e 61 a1 76 05"
        ),
    ),
    (StoredVote(7, LOW, None, None), bytes.fromhex("94 07 92 07 a1 70 c0 c0")),
    (StoredEpoch(9, 1, 8), bytes.fromhex("93 09 01 08")),
    (StoredGroup(5, 2), bytes.fromhex("92 05 02")),
    (StoredMeta(6, 3), bytes.fromhex("92 06 03")),
    (LockRecord("l", "h", 3, 2000), bytes.fromhex("95 01 a1 6c a1 68 03 cd 07 d0")),
    (LockReleased("l"), bytes.fromhex("92 02 a1 6c")),
    (NumberRecord("n", 4), bytes.fromhex("93 03 a1 6e 04")),
    (CellRecord("g.a", "v", 5), bytes.fromhex("94 04 a3 67 2e 61 a1 76 05")),
]


def name_of(value: Any) -> str:
    """What a case is called in pytest's lists."""
    return "" if isinstance(value, bytes) else type(value).__name__


@pytest.mark.parametrize(("message", "data"), MESSAGES, ids=name_of)
def test_a_message_has_the_bytes_that_other_builds_read_and_write(message: Message, data: bytes) -> None:
    assert encode(message) == len(data).to_bytes(4, "big") + data
    assert decode(data) == message


def test_every_message_command_and_result_is_among_those_whose_bytes_are_frozen() -> None:
    assert {type(message) for message, _ in MESSAGES} == set(get_args(CoordinationMessage))
    commands = {type(message.command) for message, _ in MESSAGES if isinstance(message, CoordinationCall)}
    results = {type(message.result) for message, _ in MESSAGES if isinstance(message, CoordinationReply)}
    assert (commands, results) == (set(get_args(Command)), set(get_args(Result)))


@pytest.mark.parametrize(("record", "data"), RECORDS, ids=name_of)
def test_a_record_has_the_bytes_that_lie_on_disks(record: Any, data: bytes) -> None:
    assert msgspec.msgpack.encode(record) == data
    assert msgspec.msgpack.decode(data, type=type(record)) == record


def test_rows_of_the_state_lie_under_these_keys_with_these_values() -> None:
    assert CoordinationState(20.0).apply(0.0, CHANGE) == [
        (b"kll", bytes.fromhex("95 01 a1 6c a1 68 03 cd 07 d0")),
        (b"kll", None),
        (b"knn", bytes.fromhex("93 03 a1 6e 04")),
        (b"kcg.a", bytes.fromhex("94 04 a3 67 2e 61 a1 76 05")),
        (b"kpg.\x00\x00\x00\x00\x00\x00\x00\x00\x05", bytes.fromhex("94 04 a3 67 2e 61 a1 76 05")),
        (b"kgg.", bytes.fromhex("92 05 00")),
        (b"kmeta", bytes.fromhex("92 01 03")),
    ]
