"""The bytes that control nodes and proxies exchange and keep on disk, as the builds in use write them.

Every literal here was written by the build of 2 December 2026. A process of another build reads these bytes from a
connection or from its disk, so they stay as they are whatever the code calls its classes and fields. Each message is
given field by field, with values that differ within a message: a field that moves within its struct fails here.
"""

from __future__ import annotations

from typing import Any, get_args

import msgspec
import pytest

from lugspur.mesh.control.errors import RESPONSES, ErrorKind
from lugspur.mesh.control.items import RequestLimits, Route, Service, Share
from lugspur.mesh.control.messages import (
    Accept,
    Accepted,
    BackendResponse,
    BodyChunk,
    CancelRequest,
    Change,
    ChangeResult,
    CompleteKey,
    Delta,
    Entry,
    FetchDecided,
    FetchOutcomes,
    FetchReservations,
    ForwardChange,
    ForwardRequest,
    ForwardResponse,
    GrantBody,
    Hello,
    Item,
    Learn,
    Membership,
    Message,
    OverdueMembership,
    Pong,
    Prepare,
    Promise,
    ProposalNumber,
    ReadIndexQuery,
    ReadIndexReply,
    ReleaseKey,
    Report,
    ReservationsPage,
    ReserveKey,
    ReserveKeyReply,
    StoredReservation,
    Subscribe,
    Unsubscribe,
    Voter,
    WithdrawRequest,
    decode,
    encode,
)
from lugspur.mesh.control.messages.coordination import CoordinationMessage
from lugspur.mesh.control.register import AcceptorState, Register
from lugspur.mesh.control.replica import Replica
from lugspur.mesh.control.reservation_table import ReservationTable
from lugspur.mesh.control.voter_membership import Presence

ENTRY = Entry(kind="routes", name="a", edition=2, value=b"v")
WITHDRAWAL = Entry(kind="services", name="b", edition=3, value=None)
ANSWER = BackendResponse(status=200, head=b"h", body=b"b")
VOTERS = [Voter(ip="10.0.0.1", uid="u1", zone="z1"), Voter(ip="10.0.0.2", uid="u2", zone="z2")]

#: Each message with a value in every field, and its bytes behind the four bytes of length.
MESSAGES: list[tuple[Message, bytes]] = [
    (
        Hello(ip="127.0.0.1", incarnation="l1", is_control_node=True, sent_at=1.5),
        bytes.fromhex("95 01 a9 31 32 37 2e 30 2e 30 2e 31 a2 6c 31 c3 cb 3f f8 00 00 00 00 00 00"),
    ),
    (Subscribe(incarnation="l2", after_sequence=21), bytes.fromhex("93 02 a2 6c 32 15")),
    (Unsubscribe(), bytes.fromhex("91 1b")),
    (
        Delta(
            incarnation="l3",
            latest_sequence=31,
            sent_at=3.25,
            majority_age=0.5,
            decided_index=33,
            has_pending_change=True,
            is_voter=False,
            complete_epoch=34,
            is_snapshot=True,
            entries=[ENTRY, WITHDRAWAL],
            echoed_at=3.5,
        ),
        bytes.fromhex(
            "9c 03 a2 6c 33 1f cb 40 0a 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 21 c3 c2 22 c3 92 94 a6"
            "72 6f 75 74 65 73 a1 61 02 c4 01 76 94 a8 73 65 72 76 69 63 65 73 a1 62 03 c0 cb 40 0c 00 00 00"
            "00 00 00"
        ),
    ),
    (
        Delta(
            incarnation="l3",
            latest_sequence=31,
            sent_at=3.25,
            majority_age=0.5,
            decided_index=33,
            has_pending_change=True,
            is_voter=False,
            complete_epoch=34,
            is_snapshot=False,
            entries=[],
            echoed_at=3.5,
        ),
        bytes.fromhex(
            "9c 03 a2 6c 33 1f cb 40 0a 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 21 c3 c2 22 c2 90 cb 40"
            "0c 00 00 00 00 00 00"
        ),
    ),
    (Pong(sent_at=4.5), bytes.fromhex("92 04 cb 40 12 00 00 00 00 00 00")),
    (Report(entries=[ENTRY]), bytes.fromhex("92 05 91 94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76")),
    (Prepare(index=61, proposal=ProposalNumber(62, "p6")), bytes.fromhex("93 06 3d 92 3e a2 70 36")),
    (
        Promise(
            index=71,
            proposal=ProposalNumber(72, "p7"),
            is_granted=True,
            decided_index=73,
            promised=ProposalNumber(74, "q7"),
            accepted=ProposalNumber(75, "r7"),
            change=Change("c7", [ENTRY]),
        ),
        bytes.fromhex(
            "98 07 47 92 48 a2 70 37 c3 49 92 4a a2 71 37 92 4b a2 72 37 92 a2 63 37 91 94 a6 72 6f 75 74 65"
            "73 a1 61 02 c4 01 76"
        ),
    ),
    (
        Accept(index=81, proposal=ProposalNumber(82, "p8"), change=Change("c8", [WITHDRAWAL])),
        bytes.fromhex("94 08 51 92 52 a2 70 38 92 a2 63 38 91 94 a8 73 65 72 76 69 63 65 73 a1 62 03 c0"),
    ),
    (
        Accepted(
            index=131,
            proposal=ProposalNumber(132, "p13"),
            is_granted=True,
            decided_index=133,
            promised=ProposalNumber(134, "q13"),
        ),
        bytes.fromhex("96 0d cc 83 92 cc 84 a3 70 31 33 c3 cc 85 92 cc 86 a3 71 31 33"),
    ),
    (ReadIndexQuery(number=141), bytes.fromhex("92 0e cc 8d")),
    (
        ReadIndexReply(number=151, is_voter=True, decided_index=152, has_pending_change=False),
        bytes.fromhex("95 0f cc 97 c3 cc 98 c2"),
    ),
    (FetchDecided(after_index=161), bytes.fromhex("92 10 cc a1")),
    (
        ForwardChange(number=251, seconds_left=2.5, entries=[ENTRY]),
        bytes.fromhex("94 19 cc fb cb 40 04 00 00 00 00 00 00 91 94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76"),
    ),
    (
        ChangeResult(number=261, is_confirmed=False, error_kind="conflict", detail="d26", may_be_decided=True),
        bytes.fromhex("96 1a cd 01 05 c2 a8 63 6f 6e 66 6c 69 63 74 a3 64 32 36 c3"),
    ),
    (
        Learn(after_index=241, index=242, pruned_index=243, page=244, items=[Item(ENTRY, 245)], is_last=True),
        bytes.fromhex("97 18 cc f1 cc f2 cc f3 cc f4 91 92 94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76 cc f5 c3"),
    ),
    (
        ReserveKey(key=b"k9", owner=b"b9", epoch=91, seconds_left=9.5),
        bytes.fromhex("95 09 c4 02 6b 39 c4 02 62 39 5b cb 40 23 00 00 00 00 00 00"),
    ),
    (
        ReserveKeyReply(
            key=b"k10",
            owner=b"b10",
            epoch=101,
            is_granted=False,
            is_taken=True,
            is_running=False,
            response=ANSWER,
            is_stored=False,
            acknowledges_answers=True,
        ),
        bytes.fromhex("9a 0a c4 03 6b 31 30 c4 03 62 31 30 65 c2 c3 c2 93 cc c8 c4 01 68 c4 01 62 c2 c3"),
    ),
    (
        ReserveKeyReply(
            key=b"k10",
            owner=b"b10",
            epoch=101,
            is_granted=False,
            is_taken=False,
            is_running=True,
            response=None,
            is_stored=True,
            acknowledges_answers=False,
        ),
        bytes.fromhex("9a 0a c4 03 6b 31 30 c4 03 62 31 30 65 c2 c2 c3 c0 c3 c2"),
    ),
    (
        CompleteKey(key=b"k11", owner=b"b11", response=ANSWER, wants_reply=True),
        bytes.fromhex("95 0b c4 03 6b 31 31 c4 03 62 31 31 93 cc c8 c4 01 68 c4 01 62 c3"),
    ),
    (ReleaseKey(key=b"k12", owner=b"b12"), bytes.fromhex("93 0c c4 03 6b 31 32 c4 03 62 31 32")),
    (FetchReservations(epoch=171), bytes.fromhex("92 11 cc ab")),
    (
        ReservationsPage(
            epoch=181,
            page=182,
            reservations=[(b"k18", StoredReservation(b"b18", 1.75, ANSWER))],
            is_last=True,
            was_complete=False,
        ),
        bytes.fromhex(
            "96 12 cc b5 cc b6 91 92 c4 03 6b 31 38 93 c4 03 62 31 38 cb 3f fc 00 00 00 00 00 00 93 cc c8 c4"
            "01 68 c4 01 62 c3 c2"
        ),
    ),
    (
        ForwardRequest(
            number=191,
            backend="b19",
            method=b"GET",
            target=b"/t",
            header_lines=[b"Host: x\r\n"],
            body=b"body",
            seconds_left=1.25,
            latency_target_left=0.75,
            attempt_id=b"a19",
            priority=192,
            is_safe=True,
            route="r19",
            key=b"k19",
            owner=b"by19",
            was_rejected=False,
            body_bytes=193,
            sent_at=19.5,
        ),
        bytes.fromhex(
            "dc 00 12 13 cc bf a3 62 31 39 c4 03 47 45 54 c4 02 2f 74 91 c4 09 48 6f 73 74 3a 20 78 0d 0a c4"
            "04 62 6f 64 79 cb 3f f4 00 00 00 00 00 00 cb 3f e8 00 00 00 00 00 00 c4 03 61 31 39 cc c0 c3 a3"
            "72 31 39 c4 03 6b 31 39 c4 04 62 79 31 39 c2 cc c1 cb 40 33 80 00 00 00 00 00"
        ),
    ),
    (
        ForwardResponse(
            number=201, outcome=2, response=ANSWER, was_sent=False, in_flight=202, cause=203, is_stored=True
        ),
        bytes.fromhex("98 14 cc c9 02 93 cc c8 c4 01 68 c4 01 62 c2 cc ca cc cb c3"),
    ),
    (CancelRequest(number=211), bytes.fromhex("92 15 cc d3")),
    (WithdrawRequest(number=281), bytes.fromhex("92 1c cd 01 19")),
    (FetchOutcomes(numbers=[291, 292]), bytes.fromhex("92 1d 92 cd 01 23 cd 01 24")),
    (GrantBody(number=221, up_to_offset=222), bytes.fromhex("93 16 cc dd cc de")),
    (BodyChunk(number=231, data=b"d23"), bytes.fromhex("93 17 cc e7 c4 03 64 32 33")),
]

#: Bytes of senders that know fewer fields, and what their fields are then taken to be.
SHORT_MESSAGES: list[tuple[bytes, Message]] = [
    (bytes.fromhex("94 01 a2 69 70 a2 6c 31 c3"), Hello(ip="ip", incarnation="l1", is_control_node=True, sent_at=0.0)),
    (bytes.fromhex("91 04"), Pong(sent_at=0.0)),
    (
        bytes.fromhex("9b 03 a2 6c 33 01 cb 40 0a 00 00 00 00 00 00 cb 3f e0 00 00 00 00 00 00 02 c3 c2 03 c3 90"),
        Delta(
            incarnation="l3",
            latest_sequence=1,
            sent_at=3.25,
            majority_age=0.5,
            decided_index=2,
            has_pending_change=True,
            is_voter=False,
            complete_epoch=3,
            is_snapshot=True,
            entries=[],
            echoed_at=0.0,
        ),
    ),
    (
        bytes.fromhex("96 07 01 92 02 a1 70 c3 03 92 04 a1 71"),
        Promise(
            index=1,
            proposal=ProposalNumber(number=2, proposer="p"),
            is_granted=True,
            decided_index=3,
            promised=ProposalNumber(number=4, proposer="q"),
            accepted=None,
            change=None,
        ),
    ),
    (
        bytes.fromhex("92 1a 05"),
        ChangeResult(number=5, is_confirmed=False, error_kind="", detail="", may_be_decided=False),
    ),
    (
        bytes.fromhex("95 0a c4 01 6b c4 01 62 06 c3"),
        ReserveKeyReply(
            key=b"k", owner=b"b", epoch=6, is_granted=True, is_taken=False, is_running=False, response=None
        ),
    ),
    (
        bytes.fromhex("98 0a c4 03 6b 31 30 c4 03 62 31 30 65 c2 c3 c2 93 cc c8 c4 01 68 c4 01 62"),
        ReserveKeyReply(
            key=b"k10",
            owner=b"b10",
            epoch=101,
            is_granted=False,
            is_taken=True,
            is_running=False,
            response=ANSWER,
            is_stored=False,
            acknowledges_answers=False,
        ),
    ),
    (
        bytes.fromhex("94 0b c4 03 6b 31 31 c4 03 62 31 31 93 cc c8 c4 01 68 c4 01 62"),
        CompleteKey(key=b"k11", owner=b"b11", response=ANSWER, wants_reply=False),
    ),
    (
        bytes.fromhex("97 14 cc c9 02 93 cc c8 c4 01 68 c4 01 62 c2 cc ca cc cb"),
        ForwardResponse(
            number=201, outcome=2, response=ANSWER, was_sent=False, in_flight=202, cause=203, is_stored=False
        ),
    ),
    (
        bytes.fromhex("95 12 07 08 90 c3"),
        ReservationsPage(epoch=7, page=8, reservations=[], is_last=True, was_complete=True),
    ),
    (
        bytes.fromhex("93 14 09 02"),
        ForwardResponse(number=9, outcome=2, response=None, was_sent=True, in_flight=0, cause=0),
    ),
    (
        bytes.fromhex(
            "9d 13 0a a1 62 c4 01 47 c4 01 2f 90 c4 00 cb 3f f4 00 00 00 00 00 00 cb 3f e8 00 00 00 00 00 00"
            "c4 01 61 01 c2 a1 72"
        ),
        ForwardRequest(
            number=10,
            backend="b",
            method=b"G",
            target=b"/",
            header_lines=[],
            body=b"",
            seconds_left=1.25,
            latency_target_left=0.75,
            attempt_id=b"a",
            priority=1,
            is_safe=False,
            route="r",
            key=b"",
            owner=b"",
            was_rejected=False,
            body_bytes=0,
            sent_at=0.0,
        ),
    ),
]

#: What lies on disk or in the value of an entry, and its bytes.
RECORDS: list[tuple[Any, bytes]] = [
    (ENTRY, bytes.fromhex("94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76")),
    (WITHDRAWAL, bytes.fromhex("94 a8 73 65 72 76 69 63 65 73 a1 62 03 c0")),
    (Item(entry=ENTRY, index=4), bytes.fromhex("92 94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76 04")),
    (ProposalNumber(number=5, proposer="p"), bytes.fromhex("92 05 a1 70")),
    (
        Change(id="c", entries=[ENTRY, WITHDRAWAL]),
        bytes.fromhex(
            "92 a1 63 92 94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76 94 a8 73 65 72 76 69 63 65 73 a1 62 03 c0"
        ),
    ),
    (
        AcceptorState(
            index=6,
            promised=ProposalNumber(number=7, proposer="p"),
            accepted=ProposalNumber(number=8, proposer="q"),
            change=Change(id="c", entries=[ENTRY]),
        ),
        bytes.fromhex("94 06 92 07 a1 70 92 08 a1 71 92 a1 63 91 94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76"),
    ),
    (
        AcceptorState(index=6, promised=ProposalNumber(number=7, proposer="p"), accepted=None, change=None),
        bytes.fromhex("94 06 92 07 a1 70 c0 c0"),
    ),
    (ANSWER, bytes.fromhex("93 cc c8 c4 01 68 c4 01 62")),
    (VOTERS[0], bytes.fromhex("93 a8 31 30 2e 30 2e 30 2e 31 a2 75 31 a2 7a 31")),
    (
        Membership(epoch=9, voters=VOTERS, previous_voters=VOTERS[:1]),
        bytes.fromhex(
            "93 09 92 93 a8 31 30 2e 30 2e 30 2e 31 a2 75 31 a2 7a 31 93 a8 31 30 2e 30 2e 30 2e 32 a2 75 32"
            "a2 7a 32 91 93 a8 31 30 2e 30 2e 30 2e 31 a2 75 31 a2 7a 31"
        ),
    ),
    (
        StoredReservation(owner=b"b", seconds_left=1.5, response=ANSWER),
        bytes.fromhex("93 c4 01 62 cb 3f f8 00 00 00 00 00 00 93 cc c8 c4 01 68 c4 01 62"),
    ),
    (
        StoredReservation(owner=b"b", seconds_left=1.5, response=None),
        bytes.fromhex("93 c4 01 62 cb 3f f8 00 00 00 00 00 00 c0"),
    ),
    (Presence(uid="u", zone="z", leaving=True, failing=False, disk_bytes=10), bytes.fromhex("95 a1 75 a1 7a c3 c2 0a")),
]


def name_of(value: Any) -> str:
    """What a case is called in pytest's lists."""
    return "" if isinstance(value, bytes) else type(value).__name__


@pytest.mark.parametrize(("message", "data"), MESSAGES, ids=name_of)
def test_a_message_has_the_bytes_that_other_builds_read_and_write(message: Message, data: bytes) -> None:
    assert encode(message) == len(data).to_bytes(4, "big") + data
    assert decode(data) == message
    assert encode(decode(data))[4:] == data


def test_every_message_is_among_those_whose_bytes_are_frozen() -> None:
    # Those of coordination came later, and are in test_coordination_messages.py.
    assert {type(message) for message, _ in MESSAGES} == set(get_args(Message)) - set(get_args(CoordinationMessage))


def test_tags_are_those_in_use_and_none_is_used_again() -> None:
    assert sorted(message.__struct_config__.tag for message in get_args(Message)) == list(range(1, 46))


@pytest.mark.parametrize(("data", "message"), SHORT_MESSAGES, ids=name_of)
def test_a_message_of_a_sender_that_knows_fewer_fields_is_read(data: bytes, message: Message) -> None:
    assert decode(data) == message


def test_a_membership_behind_an_overdue_epoch_is_read_by_builds_that_do_not_know_its_last_field() -> None:
    overdue = OverdueMembership(epoch=9, voters=VOTERS, previous_voters=VOTERS[:1], earlier_voters=[VOTERS[1:]])
    data = msgspec.msgpack.encode(overdue)
    known, former = data[1:], msgspec.msgpack.encode(Membership(9, VOTERS, VOTERS[:1]))[1:]
    assert known == former + bytes.fromhex("91 91 93 a8 31 30 2e 30 2e 30 2e 32 a2 75 32 a2 7a 32")
    assert msgspec.msgpack.decode(data, type=Membership) == Membership(9, VOTERS, VOTERS[:1])


@pytest.mark.parametrize(("record", "data"), RECORDS, ids=name_of)
def test_a_record_has_the_bytes_that_lie_on_disks(record: Any, data: bytes) -> None:
    assert msgspec.msgpack.encode(record) == data
    assert msgspec.msgpack.decode(data, type=type(record)) == record


def test_rows_of_the_register_lie_under_these_keys_with_these_values() -> None:
    register = Register()
    ballot = ProposalNumber(number=5, proposer="p")
    change = Change(id="c", entries=[ENTRY, WITHDRAWAL])
    promised = register.prepare(None, Prepare(index=1, proposal=ballot), True).write
    accepted = register.accept(None, Accept(index=1, proposal=ballot, change=change), True).write
    decided = register.decide(change).write
    assert (promised, accepted, decided) == (
        [(b"mvote", bytes.fromhex("94 01 92 05 a1 70 c0 c0"))],
        [
            (
                b"mvote",
                bytes.fromhex(
                    "94 01 92 05 a1 70 92 05 a1 70 92 a1 63 92 94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76 94 a8 73 65"
                    "72 76 69 63 65 73 a1 62 03 c0"
                ),
            )
        ],
        [
            (b"iroutes\x00a", bytes.fromhex("92 94 a6 72 6f 75 74 65 73 a1 61 02 c4 01 76 01")),
            (b"iservices\x00b", bytes.fromhex("92 94 a8 73 65 72 76 69 63 65 73 a1 62 03 c0 01")),
            (b"mindex", bytes.fromhex("92 01 00")),
        ],
    )
    again = Register()
    again.restore([(key, value) for key, value in [*accepted, *decided] if value is not None])
    assert again.index == 1 and again.promised == ballot and not again.has_pending_change
    assert [item.entry for item in again.items.values()] == [ENTRY, WITHDRAWAL]


def test_rows_of_reserved_operation_keys_lie_under_these_keys_with_these_values() -> None:
    table = ReservationTable(60.0, 64 << 20)
    granted = table.reserve(0.0, None, ReserveKey(key=b"k", owner=b"b", epoch=1, seconds_left=2.5), 1).write
    done = table.complete(1.0, CompleteKey(key=b"k", owner=b"b", response=ANSWER), True).write
    table.reserve(1.0, None, ReserveKey(key=b"l", owner=b"b", epoch=1, seconds_left=2.5), 1)
    released = table.release(ReleaseKey(key=b"l", owner=b"b")).write
    swept = table.sweep(71.0).write
    assert (granted, done, released, swept) == (
        [(b"ck", bytes.fromhex("93 c4 01 62 cb 40 04 00 00 00 00 00 00 c0"))],
        [(b"ck", bytes.fromhex("93 c4 01 62 cb 00 00 00 00 00 00 00 00 93 cc c8 c4 01 68 c4 01 62"))],
        [(b"cl", None)],
        [(b"ck", None)],
    )


def test_rows_of_a_replica_at_its_first_start_lie_under_these_keys_with_these_values() -> None:
    replica = Replica("10.0.0.1", "u1", "z1", 60.0, 64 << 20, lambda entries, forgotten: None)
    rows = replica.bootstrap(0.0, VOTERS).write
    assert rows == [
        (
            b"imembership\x00",
            bytes.fromhex(
                "92 94 aa 6d 65 6d 62 65 72 73 68 69 70 a0 01 c4 24 93 01 92 93 a8 31 30 2e 30 2e 30 2e 31 a2 75"
                "31 a2 7a 31 93 a8 31 30 2e 30 2e 30 2e 32 a2 75 32 a2 7a 32 90 01"
            ),
        ),
        (b"mindex", bytes.fromhex("92 01 00")),
        (b"mcomplete", bytes.fromhex("01")),
        (b"muid", bytes.fromhex("75 31")),
    ]
    again = Replica("10.0.0.1", "drawn", "z1", 60.0, 64 << 20, lambda entries, forgotten: None)
    again.restore([(key, value) for key, value in rows if value is not None], 0.0)
    assert (again.voter.uid, again.epoch, again.is_complete) == ("u1", 1, True)


def test_items_of_operators_have_these_fields_and_defaults() -> None:
    items: list[tuple[Any, bytes]] = [
        (
            Route(
                name="r",
                office="o",
                path_prefix="/p",
                mail_class="safe",
                deadline_ms=1.5,
                edition="0000000a",
                target_ms=2.5,
                priority=3,
                service="s",
                split=[Share(service="t", share=4.5)],
                tries=5,
            ),
            b'{"name":"r","office":"o","path_prefix":"/p","mail_class":"safe","deadline_ms":1.5,'
            b'"edition":"0000000a","target_ms":2.5,"priority":3,"service":"s","split":[{"service":"t",'
            b'"share":4.5}],"tries":5}',
        ),
        (
            Route(name="r", office="o", path_prefix="/p", mail_class="safe", deadline_ms=1.5, edition="0000000a"),
            b'{"name":"r","office":"o","path_prefix":"/p","mail_class":"safe","deadline_ms":1.5,'
            b'"edition":"0000000a","target_ms":0.0,"priority":0,"service":null,"split":null,"tries":1}',
        ),
        (
            Service(name="s", edition="0000000b", checkup_path="/c", max_connections=6, dedupes=True),
            b'{"name":"s","edition":"0000000b","checkup_path":"/c","max_connections":6,"dedupes":true}',
        ),
        (
            Service(name="s", edition="0000000b"),
            b'{"name":"s","edition":"0000000b","checkup_path":"/","max_connections":0,"dedupes":false}',
        ),
        (
            RequestLimits(edition="0000000c", label_bytes=7, payload_bytes=8, label_wait_ms=9.5, idle_ms=10.5),
            b'{"edition":"0000000c","label_bytes":7,"payload_bytes":8,"label_wait_ms":9.5,"idle_ms":10.5}',
        ),
        (
            RequestLimits(),
            b'{"edition":"00000000","label_bytes":16384,"payload_bytes":67108864,"label_wait_ms":3000.0,'
            b'"idle_ms":15000.0}',
        ),
    ]
    for item, data in items:
        assert msgspec.json.encode(item) == data
        assert msgspec.json.decode(data, type=type(item)) == item


def test_kinds_of_error_have_these_names_and_statuses() -> None:
    assert {
        kind.value: (RESPONSES[kind].status, RESPONSES[kind].retry_after_seconds, RESPONSES[kind].spreads_retries)
        for kind in ErrorKind
    } == {
        "no-route": (404, 0.0, False),
        "bad-request": (400, 0.0, False),
        "bad-config": (400, 0.0, False),
        "too-large": (413, 0.0, False),
        "conflict": (409, 0.0, False),
        "no-call": (404, 0.0, False),
        "not-ready": (503, 0.25, False),
        "no-backend": (503, 0.25, True),
        "no-quorum": (503, 0.25, False),
        "unclear": (504, 0.0, False),
        "too-many": (429, 0.25, False),
        "lock-held": (409, 0.0, False),
        "lock-lost": (409, 0.0, False),
        "key-missing": (404, 0.0, False),
        "history-gone": (410, 0.0, False),
        "key-busy": (409, 0.25, False),
        "key-spent": (503, 0.25, False),
        "maybe-ran": (502, 0.0, False),
        "bad-answer": (502, 0.0, False),
        "too-late": (504, 0.0, False),
        "leaving": (503, 0.25, False),
        "settings": (500, 0.0, False),
        "state": (500, 0.0, False),
    }
