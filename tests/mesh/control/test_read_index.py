"""Reads succeed only once a majority knows nothing later and has accepted nothing."""

from __future__ import annotations

from controlparts import IPS, NEW, change, item, seed

from lugspur.mesh.control.messages import FetchDecided, ReadIndexQuery, ReadIndexReply
from lugspur.mesh.control.read_index import RETRY_DELAY_SECONDS, Read, Reader

A, B, C = IPS


class Asked:
    """A reader on the first of three voters, which know change 1, and how a read of it ended."""

    def __init__(self) -> None:
        self.replica = seed(A)
        self.reader = Reader(self.replica)
        self.results: list[bool] = []

    def read(self, until: float = 0.8) -> list[tuple[str, object]]:
        return list(self.reader.submit(0.0, Read(until, self.results.append)).send)

    def says(self, ip: str, number: int = 1, voter: bool = True, decided: int = 1, pending: bool = False) -> bool:
        """Returns whether something has to be finished."""
        self.effects, finish = self.reader.receive(0.1, ip, ReadIndexReply(number, voter, decided, pending))
        return finish


def test_a_read_ends_with_a_majority_that_knows_nothing_later() -> None:
    asked = Asked()
    assert asked.read() == [(ip, ReadIndexQuery(1)) for ip in IPS]
    asked.says(A)
    asked.says(A)  # one voter is one answer
    asked.says(NEW)
    asked.says(B, number=7)
    asked.says(B, voter=False)  # its disk was lost
    assert asked.results == []
    asked.says(C)
    assert asked.results == [True]


def test_a_pending_change_has_to_be_resolved_before_the_read() -> None:
    asked = Asked()
    asked.read()
    asked.says(A)
    assert asked.says(B, pending=True) and asked.says(C, pending=True) and asked.results == []
    behind = Asked()
    behind.replica.decide(0.0, change(item("r", 1)))
    behind.read()
    assert not behind.says(B, pending=True)  # what it has accepted is decided and known here
    behind.says(C, decided=2)
    assert behind.results == [True]


def test_a_later_change_is_learned_before_the_voters_are_asked_again() -> None:
    asked = Asked()
    asked.read()
    asked.says(A)
    asked.says(B, decided=2)
    assert asked.effects.send == [(B, FetchDecided(1))] and asked.results == []
    asked.replica.decide(0.1, change(item("r", 1)))
    assert asked.reader.replica_advanced(0.1).send == [(ip, ReadIndexQuery(2)) for ip in IPS]
    asked.says(C)  # to the first question
    asked.says(A, number=2, decided=2)
    assert asked.results == []
    asked.says(B, number=2, decided=2)
    assert asked.results == [True]


def test_a_read_that_came_after_the_query_waits_for_the_next_one() -> None:
    asked = Asked()
    asked.read()
    assert asked.read() == []
    asked.says(A)
    asked.says(B)
    assert asked.results == [True] and asked.effects.send == [(ip, ReadIndexQuery(2)) for ip in IPS]
    asked.says(A, number=2)
    asked.says(B, number=2)
    assert asked.results == [True, True]


def test_a_query_without_replies_is_repeated_and_a_read_ends_by_its_deadline() -> None:
    asked = Asked()
    asked.read()
    assert asked.reader.tick(RETRY_DELAY_SECONDS / 2).send == []
    assert asked.reader.tick(RETRY_DELAY_SECONDS).send == [(ip, ReadIndexQuery(2)) for ip in IPS]
    asked.reader.tick(0.9)
    assert asked.results == [False]
    late = Asked()
    late.read(until=0.05)
    late.says(A)
    late.says(B)  # as after a freeze
    assert late.results == [False]
