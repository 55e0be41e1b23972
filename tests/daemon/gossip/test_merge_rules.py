"""Which of two reports about a member takes precedence."""

from __future__ import annotations

import msgspec
import pytest

from lugspur.daemon.gossip.merge_rules import merged_record
from lugspur.daemon.gossip.messages import MemberRecord, Status


def record(incarnation: int, status: Status, reported_by: str = "m2") -> MemberRecord:
    return MemberRecord("m1", 7, incarnation, "10.0.0.1", 7946, status, reported_by)


@pytest.mark.parametrize("status", Status)
@pytest.mark.parametrize("known", Status)
def test_an_older_incarnation_changes_nothing(known: Status, status: Status) -> None:
    assert merged_record(record(5, known), record(4, status, "m1")) is None


@pytest.mark.parametrize("known", Status)
def test_a_greater_incarnation_refutes_every_status(known: Status) -> None:
    refutation = record(6, Status.ALIVE, "")
    assert merged_record(record(5, known), refutation) == refutation


def test_of_the_same_incarnation_the_greater_status_counts() -> None:
    suspected, dead = record(5, Status.SUSPECT), record(5, Status.DEAD)
    assert merged_record(record(5, Status.ALIVE), suspected) == suspected
    assert merged_record(suspected, dead) == dead
    assert merged_record(dead, suspected) is None
    assert merged_record(suspected, record(5, Status.ALIVE)) is None


@pytest.mark.parametrize("incarnation", [5, 6])
def test_an_alive_member_that_is_reported_dead_is_suspected_first(incarnation: int) -> None:
    merged = merged_record(record(5, Status.ALIVE), record(incarnation, Status.DEAD))
    assert merged == record(incarnation, Status.SUSPECT)


@pytest.mark.parametrize("known", [Status.ALIVE, Status.SUSPECT, Status.DEAD])
def test_only_the_member_itself_reports_that_it_has_left(known: Status) -> None:
    left = record(5, Status.LEFT, "m1")
    assert merged_record(record(5, known), left) == left
    assert merged_record(record(5, known), msgspec.structs.replace(left, reported_by="m2")) is None
