"""The register as acceptor and learner: replies after a sync, competing proposals, and pages of decided state."""

from __future__ import annotations

import pytest
from controlparts import IPS, SEEDS, change, item, only, replica, seed

from lugspur.mesh.control import register as register_module
from lugspur.mesh.control.messages import (
    Accept,
    Accepted,
    Prepare,
    Promise,
    ProposalNumber,
    ReadIndexQuery,
    ReadIndexReply,
)
from lugspur.mesh.control.register import Register

LOW, MIDDLE, HIGH = ProposalNumber(2, "c"), ProposalNumber(5, "a"), ProposalNumber(6, "b")


def test_promises_are_on_disk_before_the_reply_and_lower_proposals_are_rejected() -> None:
    voter, value = seed(), change(item("r", 7))
    first = voter.handle(0.0, None, Prepare(2, MIDDLE))
    assert first.write and not first.send and first.after_sync == [(None, Promise(2, MIDDLE, True, 1, MIDDLE))]
    again = voter.handle(0.0, None, Prepare(2, MIDDLE))  # the same proposer has missed the reply
    assert again.after_sync == first.after_sync
    accepted = voter.handle(0.0, None, Accept(2, MIDDLE, value))
    assert (
        accepted.write and not accepted.send and accepted.after_sync == [(None, Accepted(2, MIDDLE, True, 1, MIDDLE))]
    )
    later = voter.handle(0.0, None, Prepare(2, HIGH)).after_sync[0][1]
    assert isinstance(later, Promise) and later.accepted == MIDDLE and later.change == value
    assert only(voter.handle(0.0, None, Prepare(2, LOW))) == Promise(2, LOW, False, 1, HIGH)
    assert only(voter.handle(0.0, None, Accept(2, MIDDLE, value))) == Accepted(2, MIDDLE, False, 1, HIGH)


def test_the_acceptors_state_survives_a_loss_of_power() -> None:
    voter, value = seed(), change(item("r", 7))
    rows = dict(replica().bootstrap(0.0, SEEDS).write)
    rows |= dict(voter.handle(0.0, None, Accept(2, MIDDLE, value)).write)
    rows |= dict(voter.handle(0.0, None, Prepare(2, HIGH)).write)
    again = replica(uid="drawn")
    again.restore([(k, v) for k, v in rows.items() if v is not None], 0.0)
    assert again.register.has_pending_change and only(again.handle(0.0, None, Prepare(2, MIDDLE))) == Promise(
        2, MIDDLE, False, 1, HIGH
    )
    promise = again.handle(0.0, None, Prepare(2, HIGH)).after_sync[0][1]
    assert isinstance(promise, Promise) and (promise.accepted, promise.change) == (MIDDLE, value)


def test_only_the_next_change_is_voted_on_and_only_by_voters() -> None:
    voter, wiped = seed(), replica(IPS[0], "another-disk")
    wiped.learn(0.0, voter.register.pages_after(0))
    for index in (1, 3):
        assert only(voter.handle(0.0, None, Prepare(index, HIGH))) == Promise(
            index, HIGH, False, 1, ProposalNumber(0, "")
        )
        rejected = only(voter.handle(0.0, None, Accept(index, HIGH, change())))
        assert isinstance(rejected, Accepted) and not rejected.is_granted
    assert wiped.index == 1
    assert only(wiped.handle(0.0, None, Prepare(2, HIGH))) == Promise(2, HIGH, False, 1, ProposalNumber(0, ""))
    assert only(wiped.handle(0.0, None, Accept(2, HIGH, change()))) == Accepted(
        2, HIGH, False, 1, ProposalNumber(0, "")
    )
    assert only(wiped.handle(0.0, None, ReadIndexQuery(4))) == ReadIndexReply(4, False, 1, False)
    assert not wiped.register.has_pending_change


def test_an_accepted_value_is_reported_as_pending_and_not_in_force_until_decided() -> None:
    voter, value = seed(), change(item("r", 7))
    voter.handle(0.0, None, Accept(2, MIDDLE, value))
    assert only(voter.handle(0.0, None, ReadIndexQuery(1))) == ReadIndexReply(1, True, 1, True)
    assert ("notes", "r") not in voter.register.items
    voter.decide(0.0, value)
    assert only(voter.handle(0.0, None, ReadIndexQuery(2))) == ReadIndexReply(2, True, 2, False)
    assert voter.register.items["notes", "r"].entry.value == b"x"


def test_a_decided_change_brings_only_later_editions_into_force() -> None:
    register = Register()
    register.decide(change(item("r", 9, b"newer")))
    applied = register.decide(change(item("r", 5, b"older"), item("r", 9, b"zzz"), item("s", 5)))
    assert [entry.name for entry in applied.entries] == ["s"] and register.items["notes", "r"].entry.value == b"newer"
    assert (register.items["notes", "r"].index, register.items["notes", "s"].index) == (1, 2)


def test_pages_are_state_and_not_history() -> None:
    source, behind, late = Register(), Register(), Register()
    source.decide(change(item("kept", 1)))
    for register in (behind, late):
        register.learn(source.pages_after(0))
    for edition in range(2, 300):
        source.decide(change(item(f"r{edition % 4}", edition)))
    [page] = source.pages_after(behind.index)
    assert (page.after_index, page.index, len(page.items)) == (1, 299, 4)  # not 298 changes
    behind.learn([page])
    assert behind.items == source.items and behind.index == 299
    late.decide(change(item("r0", 2)))
    late.learn([page])  # `late` knows later changes than the one after which the page starts
    assert late.items == source.items


def test_pages_from_the_middle_or_of_the_past_change_nothing() -> None:
    source, new = Register(), Register()
    for edition in range(1, 5):
        source.decide(change(item(f"r{edition}", edition)))
    assert new.learn(source.pages_after(2)).write == [] and new.index == 0  # `new` lacks changes 1 and 2
    old = source.pages_after(0)
    source.decide(change(item("r1", 9)))
    new.learn(source.pages_after(0))
    assert new.learn(old).entries == [] and new.index == 5 and new.items["notes", "r1"].entry.edition == 9


def test_a_snapshot_removes_what_is_not_in_it() -> None:
    source, other = Register(), Register()
    source.decide(change(item("r", 1)))
    source.decide(change(item("s", 1)))
    other.decide(change(item("gone", 1)))
    applied = other.learn(source.pages_after(0))
    assert applied.forgotten == [("notes", "gone")] and other.items == source.items
    assert (b"inotes\0gone", None) in applied.write


def test_a_large_state_is_sent_in_pages_of_a_bounded_size() -> None:
    source, new = Register(), Register()
    source.decide(change(*(item(f"r{n}", 1, bytes(100 << 10)) for n in range(20))))
    pages = source.pages_after(0)
    assert len(pages) > 3 and [p.is_last for p in pages] == [False] * (len(pages) - 1) + [True]
    assert [p.page for p in pages] == list(range(len(pages)))
    new.learn(pages)
    assert new.items == source.items


def test_withdrawals_are_bounded_and_pruned_alike_on_all_replicas(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(register_module, "MAX_WITHDRAWALS", 20)
    source, step_by_step, at_once = Register(), Register(), Register()
    source.decide(change(item("stays", 1)))
    at_once.learn(source.pages_after(0))
    for n in range(100):
        for value in (b"x", None):
            source.decide(change(item(f"r{n}", 1 if value else 2, value)))
            step_by_step.learn(source.pages_after(step_by_step.index))
    assert 10 <= len(source.items) <= 22 and source.pruned_index > 0
    pages = source.pages_after(at_once.index)
    assert pages[0].after_index == 0  # withdrawals since then may have been pruned, so that the page is a snapshot
    at_once.learn(pages)
    assert source.items == step_by_step.items == at_once.items
