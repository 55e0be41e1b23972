"""The bytes of the gossip datagrams, as daemons of earlier versions send and read them.

Daemons of different versions form one fleet while an upgrade rolls through it, so a datagram that one version writes
has to mean the same to the other. The literals were written by the build of 2 December 2026 and are never regenerated.
"""

from __future__ import annotations

import msgspec
import pytest

from lugspur.daemon.gossip.datagrams import DatagramCodec
from lugspur.daemon.gossip.membership_table import record_digest
from lugspur.daemon.gossip.messages import (
    Ack,
    FetchPage,
    MemberMetadata,
    MemberRecord,
    Message,
    Nack,
    Packet,
    Page,
    Ping,
    PingRequest,
    Status,
    Updates,
    UserMessage,
)

FLEET, KEY = "edge", b"0123456789abcdef"
# The characters "LG", version 1, eight bytes of the BLAKE2b digest of "edge".
HEADER = "4c47 01 5342747f486a6e1b"
# An array of four: sender "edge-3", its process number 2**52 - 494, addressee "edge-9", and the message after these.
ENVELOPE = "94 a6656467652d33 cf000ffffffffffe12 a6656467652d39"
# The tag over header and body, by keyed BLAKE2b, of the ack below.
ACK_TAG = "eaf991e08c4f83b049feb85610b6fec3"
# "edge-1", process 2**52 - 495, incarnation 1700000000123, "10.1.2.3", 7946, status 1, "edge-2", and metadata:
# "north", "1.4.2", 1700000000.25, true, 812.5.
EDGE_1 = """
98 a6656467652d31 cf000ffffffffffe11 cf0000018bcfe5687b a831302e312e322e33 cd1f0a 01 a6656467652d32
95 a56e6f727468 a5312e342e32 cb41d954fc40100000 c3 cb4089640000000000
"""
NO_FACTS = "95 a0 a0 cb0000000000000000 c2 cb0000000000000000"
LOOPBACK = "a93132372e302e302e31"
ONE_OF_EACH_STATUS = f"""
94
98 a26d31 01 01 {LOOPBACK} 01 00 a0 {NO_FACTS}
98 a26d32 02 01 {LOOPBACK} 01 01 a161 {NO_FACTS}
98 a26d33 03 01 {LOOPBACK} 01 02 a162 {NO_FACTS}
98 a26d34 04 01 {LOOPBACK} 01 03 a26d34 {NO_FACTS}
"""


def edge_1() -> MemberRecord:
    return MemberRecord(
        name="edge-1",
        instance_id=(1 << 52) - 495,
        incarnation=1700000000123,
        host="10.1.2.3",
        port=7946,
        status=Status.SUSPECT,
        reported_by="edge-2",
        metadata=MemberMetadata(
            zone="north", version="1.4.2", started_at=1700000000.25, is_draining=True, requests_per_second=812.5
        ),
    )


def plain(number: int, status: Status, by: str) -> MemberRecord:
    return MemberRecord(
        name=f"m{number}", instance_id=number, incarnation=1, host="127.0.0.1", port=1, status=status, reported_by=by
    )


def one_of_each_status() -> list[MemberRecord]:
    return [
        plain(1, Status.ALIVE, ""),
        plain(2, Status.SUSPECT, "a"),
        plain(3, Status.DEAD, "b"),
        plain(4, Status.LEFT, "m4"),
    ]


FORMS: dict[str, tuple[Message, str]] = {
    "ping": (
        Ping(sequence_number=(1 << 32) - 1, digest=(1 << 63) - 1, updates=[edge_1()]),
        f"94 01 ceffffffff cf7fffffffffffffff 91 {EDGE_1}",
    ),
    "ack": (Ack(sequence_number=11, digest=12, updates=[edge_1()]), f"94 02 0b 0c 91 {EDGE_1}"),
    "indirect ping": (
        PingRequest(sequence_number=13, target_name="edge-4", target_host="::1", target_port=7947),
        "95 03 0d a6656467652d34 a33a3a31 cd1f0b",
    ),
    "nack": (Nack(sequence_number=14), "92 04 0e"),
    "updates": (Updates(updates=one_of_each_status()), f"92 05 {ONE_OF_EACH_STATUS}"),
    "request of a page": (FetchPage(after_name="edge-5"), "92 06 a6656467652d35"),
    "page": (Page(after_name="edge-6", is_last=True, records=[edge_1()]), f"94 07 a6656467652d36 c3 91 {EDGE_1}"),
    "message of another part": (UserMessage(topic=2, body=b"\x00\xffbody"), "93 08 02 c40600ff626f6479"),
}


def packet(message: Message) -> Packet:
    return Packet(sender="edge-3", sender_instance_id=(1 << 52) - 494, recipient="edge-9", message=message)


def literal(form: str) -> bytes:
    return bytes.fromhex(f"{HEADER} {ENVELOPE} {FORMS[form][1]}")


@pytest.mark.parametrize("form", FORMS)
def test_each_datagram_is_read_and_written_byte_for_byte(form: str) -> None:
    codec = DatagramCodec(FLEET)
    decoded = codec.decode(literal(form))
    assert decoded == packet(FORMS[form][0])
    assert codec.encode(decoded) == literal(form)


def test_a_keyed_datagram_has_its_tag_between_header_and_body() -> None:
    codec = DatagramCodec(FLEET, KEY)
    datagram = bytes.fromhex(f"{HEADER} {ACK_TAG} {ENVELOPE} {FORMS['ack'][1]}")
    decoded = codec.decode(datagram)
    assert decoded == packet(FORMS["ack"][0])
    assert codec.encode(decoded) == datagram


def test_there_is_a_literal_for_every_kind_of_message() -> None:
    kinds = {info.cls for info in msgspec.inspect.type_info(Message).types}  # type: ignore[attr-defined]
    assert {type(message) for message, _ in FORMS.values()} == kinds


def test_the_status_values_and_their_names_in_json() -> None:
    assert [(status.name.lower(), status.value) for status in Status] == [
        ("alive", 0),
        ("suspect", 1),
        ("dead", 2),
        ("left", 3),
    ]


def test_trailing_fields_of_a_record_may_be_left_out() -> None:
    """A record ends early where an older build knows fewer fields: the rest has the defaults."""
    shortest = bytes.fromhex(f"{HEADER} {ENVELOPE} 92 05 91 95 a26d31 01 01 {LOOPBACK} 01")
    assert DatagramCodec(FLEET).decode(shortest) == packet(Updates(updates=[plain(1, Status.ALIVE, "")]))


def test_the_part_that_a_record_has_in_the_digest_of_a_view() -> None:
    """Pings and acks compare digests, so all versions have to count the same one."""
    assert record_digest(edge_1()) == 6070744205331516250
