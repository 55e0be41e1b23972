"""Reads succeed only once a majority knows no later change and has accepted none."""

from __future__ import annotations

from controlparts import IPS, NEW, change, item, seed

from lugspur.mesh.control.messages import FetchDecided, ReadIndexQuery, ReadIndexReply
from lugspur.mesh.control.read_index import RETRY_DELAY_SECONDS, Read, Reader

A, B, C = IPS


class ReadingNode:
    """A reader on the first of three voters, which know change 1, and the results of its reads."""

    def __init__(self) -> None:
        self.replica = seed(A)
        self.reader = Reader(self.replica)
        self.results: list[bool] = []

    def read(self, until: float = 0.8) -> list[tuple[str, object]]:
        return list(self.reader.submit(0.0, Read(until, self.results.append)).send)

    def reply(self, ip: str, number: int = 1, voter: bool = True, decided: int = 1, pending: bool = False) -> bool:
        """Process a voter's reply; returns whether a pending change has to be resolved."""
        self.effects, is_pending = self.reader.receive(0.1, ip, ReadIndexReply(number, voter, decided, pending))
        return is_pending


def test_a_read_ends_with_a_majority_that_knows_nothing_later() -> None:
    node = ReadingNode()
    assert node.read() == [(ip, ReadIndexQuery(1)) for ip in IPS]
    node.reply(A)
    node.reply(A)  # several replies of one voter count once
    node.reply(NEW)
    node.reply(B, number=7)
    node.reply(B, voter=False)  # this voter's disk was lost
    assert node.results == []
    node.reply(C)
    assert node.results == [True]


def test_a_pending_change_has_to_be_resolved_before_the_read() -> None:
    node = ReadingNode()
    node.read()
    node.reply(A)
    assert node.reply(B, pending=True) and node.reply(C, pending=True) and node.results == []
    behind = ReadingNode()
    behind.replica.decide(0.0, change(item("r", 1)))
    behind.read()
    assert not behind.reply(B, pending=True)  # the change that B has accepted is decided and known here
    behind.reply(C, decided=2)
    assert behind.results == [True]


def test_a_later_change_is_learned_before_the_voters_are_asked_again() -> None:
    node = ReadingNode()
    node.read()
    node.reply(A)
    node.reply(B, decided=2)
    assert node.effects.send == [(B, FetchDecided(1))] and node.results == []
    node.replica.decide(0.1, change(item("r", 1)))
    assert node.reader.replica_advanced(0.1).send == [(ip, ReadIndexQuery(2)) for ip in IPS]
    node.reply(C)  # a reply to the first query
    node.reply(A, number=2, decided=2)
    assert node.results == []
    node.reply(B, number=2, decided=2)
    assert node.results == [True]


def test_a_read_that_came_after_the_query_waits_for_the_next_one() -> None:
    node = ReadingNode()
    node.read()
    assert node.read() == []
    node.reply(A)
    node.reply(B)
    assert node.results == [True] and node.effects.send == [(ip, ReadIndexQuery(2)) for ip in IPS]
    node.reply(A, number=2)
    node.reply(B, number=2)
    assert node.results == [True, True]


def test_a_query_without_replies_is_repeated_and_a_read_ends_by_its_deadline() -> None:
    node = ReadingNode()
    node.read()
    assert node.reader.tick(RETRY_DELAY_SECONDS / 2).send == []
    assert node.reader.tick(RETRY_DELAY_SECONDS).send == [(ip, ReadIndexQuery(2)) for ip in IPS]
    node.reader.tick(0.9)
    assert node.results == [False]
    late = ReadingNode()
    late.read(until=0.05)
    late.reply(A)
    late.reply(B)  # the replies come after the deadline, for example since the process was frozen
    assert late.results == [False]
