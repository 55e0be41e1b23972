"""The names of the counters that `/fleet/members` shows under `counts`: operators' scripts read them."""

from __future__ import annotations

from random import Random

from lugspur.daemon.gossip.datagrams import DatagramCodec
from lugspur.daemon.gossip.membership_table import MAX_MEMBERS
from lugspur.daemon.gossip.messages import (
    MAX_DATAGRAM_BYTES,
    MemberMetadata,
    MemberRecord,
    Message,
    Packet,
    Ping,
    Status,
    Updates,
)
from lugspur.daemon.gossip.protocol import GossipProtocol
from lugspur.daemon.gossip.rate_limits import MAX_SOURCE_BURST_DATAGRAMS

PEER = ("10.0.0.2", 7946)


def member(codec: DatagramCodec) -> GossipProtocol:
    return GossipProtocol(
        codec=codec,
        name="m0",
        address=("10.0.0.1", 7946),
        metadata=MemberMetadata(),
        seeds=[],
        now=0.0,
        wall_clock=lambda: 1e9,
        rng=Random(1),
    )


def datagram(message: Message, sender: str = "m1", process: int = 7, to: str = "m0") -> bytes:
    return DatagramCodec("edge").encode(Packet(sender, process, to, message))


def record(name: str, process: int, incarnation: int = 1, status: Status = Status.ALIVE) -> MemberRecord:
    return MemberRecord(name, process, incarnation, *PEER, status=status)


def test_traffic_and_datagrams_that_are_dropped() -> None:
    one = member(DatagramCodec("edge"))
    one.receive(0.0, datagram(Ping(1, 0, [record("m1", 7)])), PEER)
    sent = [data for _, data in one.take_datagrams()]  # an ack, and the request of the peer's first page
    assert one.counters == {"read": 1, "sent": len(sent), "bytes sent": sum(map(len, sent))}
    dropped = {
        "garbage": b"?",
        "too large": bytes(MAX_DATAGRAM_BYTES + 1),
        "another version": b"LG\x02" + datagram(Updates([]))[3:],
        "another fleet": DatagramCodec("core").encode(Packet("m1", 7, "m0", Updates([]))),
        "for another": datagram(Updates([]), to="m5"),
        "of another life": datagram(Updates([]), process=8),
        "from the future": datagram(Updates([record("m2", 9, 1 << 51)])),
        "refuted": datagram(
            Updates([record("m0", one.local_record.instance_id, one.local_record.incarnation, Status.SUSPECT)])
        ),
    }
    for name, data in dropped.items():
        assert one.counters[name] == 0
        one.receive(0.0, data, PEER)
        assert one.counters[name] == 1, name
    assert set(one.counters) == {"read", "sent", "bytes sent", *dropped}


def test_another_key() -> None:
    one = member(DatagramCodec("edge", b"k" * 16))
    one.receive(0.0, DatagramCodec("edge", b"l" * 16).encode(Packet("m1", 7, "m0", Updates([]))), PEER)
    assert one.counters == {"another key": 1}


def test_limits_and_a_process_that_was_stopped() -> None:
    one = member(DatagramCodec("edge"))
    for _ in range(int(MAX_SOURCE_BURST_DATAGRAMS) + 1):
        one.receive(0.0, datagram(Updates([])), PEER)
    assert one.counters["too many"] == 1
    for number in range(MAX_MEMBERS):
        source = ("10.0.1.1", 1 + number)
        one.receive(0.0, datagram(Updates([record(f"x{number}", 5)]), f"x{number}", 5), source)
    assert one.counters["too many members"] == 1
    for _ in range(300):
        one.send_message(0.0, "x1", 1, bytes(1000))
    assert one.counters["not sent"] > 0
    one.tick(100.0)
    assert one.counters["stood still"] == 1
