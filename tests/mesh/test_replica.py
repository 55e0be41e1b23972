"""One replica: what it promises, what is on disk first, and what it grants after a loss."""

from __future__ import annotations

from lugspur.control.messages import (
    Accept,
    Answer,
    Ask,
    Claim,
    Done,
    Entry,
    Fetch,
    Membership,
    Message,
    Prepare,
    Promise,
    Put,
    Release,
    Said,
    State,
    Verdict,
    Voter,
)
from lugspur.control.replica import GENESIS, Effects, Replica
from lugspur.control.store import Store

IPS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")
SEATS = [Voter(ip, GENESIS, "") for ip in IPS]


def replica(ip: str = IPS[0], memory: int = 64 << 20, window: float = 60.0) -> Replica:
    found = Replica(ip, GENESIS, "z", window, memory, Store())
    found.begin(SEATS)
    return found


def only(effects: Effects) -> Message:
    """The one message, and that it waits for the disk where something is written."""
    assert not (effects.write and effects.send)
    [(_, message)] = effects.send + effects.then
    return message


def claim(to: Replica, by: bytes, now: float = 0.0, epoch: int = 1, key: bytes = b"k") -> Verdict:
    message = only(to.claim(now, None, Claim(key, by, epoch, 2.0)))
    assert isinstance(message, Verdict)
    return message


def test_a_key_is_granted_to_one_and_on_disk_before_it_is_told() -> None:
    voter = replica()
    effects = voter.claim(0.0, None, Claim(b"k", b"a", 1, 2.0))
    assert effects.write and not effects.send and isinstance(effects.then[0][1], Verdict)
    assert claim(voter, b"a").granted  # said again: granted again, and written again
    other = claim(voter, b"b", 1.0)
    assert (other.granted, other.other, other.busy) == (False, True, True)
    assert not claim(voter, b"b", 3.0).busy  # its request has ended, and nobody knows how


def test_an_answer_goes_to_repeats_and_a_claim_that_is_given_back_is_free() -> None:
    voter = replica()
    claim(voter, b"a")
    voter.done(1.0, Done(b"k", b"a", Answer(200, b"", b"body")))
    repeat = claim(voter, b"b", 1.0)
    assert repeat.answer is not None and repeat.answer.body == b"body" and not repeat.granted
    assert claim(voter, b"a", 1.0).answer is not None  # the claimant's own repeat of a try
    voter.release(Release(b"k", b"a"))  # too late: it has run
    assert not claim(voter, b"c", 1.0).granted
    claim(voter, b"x", key=b"other")
    voter.release(Release(b"other", b"y"))  # another's
    assert not claim(voter, b"z", key=b"other").granted
    voter.release(Release(b"other", b"x"))
    assert claim(voter, b"z", key=b"other").granted


def test_an_answer_counts_whoever_the_grant_here_was_for() -> None:
    voter = replica()
    claim(voter, b"loser")
    voter.done(1.0, Done(b"k", b"winner", Answer(200, b"", b"w")))
    repeat = claim(voter, b"c", 1.0)
    assert repeat.answer is not None and repeat.answer.body == b"w"


def test_a_window_is_kept_whole_over_a_restart_and_then_swept() -> None:
    voter = replica(window=60.0)
    rows = dict(voter.claim(0.0, None, Claim(b"k", b"a", 1, 2.0)).write)
    rows |= dict(voter.begin(SEATS).write)
    again = Replica(IPS[0], "drawn", "z", 60.0, 64 << 20, Store())
    again.restore([(k, v) for k, v in rows.items() if v is not None], 1000.0)
    assert again.full and again.voter.uid == GENESIS
    again.sweep(1065.0)
    assert not claim(again, b"b", 1065.0).granted
    effects = again.sweep(1071.0)
    assert effects.write == [(b"ck", None)] and claim(again, b"b", 1071.0).granted


def test_memory_is_bounded_by_claims_that_are_not_granted_and_answers_that_go() -> None:
    voter = replica(memory=64 << 10)
    verdicts = [claim(voter, b"a", key=b"%d" % n) for n in range(40)]
    assert 10 <= sum(v.granted for v in verdicts) <= 20 and not verdicts[-1].other
    for n in range(10):
        voter.done(0.0, Done(b"%d" % n, b"a", Answer(200, b"", bytes(4000))))
    kept = [claim(voter, b"b", key=b"%d" % n) for n in range(10)]
    assert kept[0].answer is None and kept[0].other and kept[9].answer is not None


def test_another_epoch_is_told_and_nothing_is_granted() -> None:
    voter = replica()
    old = claim(voter, b"a", epoch=7)
    assert (old.granted, old.epoch, old.other) == (False, 1, False)
    assert only(voter.ask(None, Ask(1, 7))) == Said(1, False, 1)
    assert only(voter.put(None, Put(1, 7, [Entry("routes", "r", 1, b"x")]))) == Said(1, False, 1)
    assert voter.store.get("routes", "r") is None


def test_a_write_is_told_when_it_or_what_overtook_it_is_on_disk() -> None:
    voter = replica()
    voter.store.merge([Entry("routes", "r", 9, b"newer")])
    effects = voter.put(None, Put(3, 1, [Entry("routes", "r", 5, b"older"), Entry("routes", "s", 5, b"s")]))
    assert len(effects.write) == 2 and not effects.send and effects.then == [(None, Said(3, True, 1))]
    assert b"newer" in (effects.write[0][1] or b"")
    conflict = voter.put(None, Put(4, 1, [Entry("routes", "r", 9, b"else")]))
    assert only(conflict) == Said(4, False, 1, True) and not conflict.write


def test_full_goes_on_from_one_epoch_to_the_next_alone() -> None:
    voters = [*SEATS[:2], Voter("10.0.0.4", "new", "z")]
    voter = replica()
    voter.adopt(Membership(2, voters, 3))
    assert voter.full
    voter.adopt(Membership(1, SEATS, 0))
    assert voter.epoch == 2  # never back
    voter.adopt(Membership(4, voters, 3))
    assert voter.is_voter and not voter.full  # who knows what happened in epoch 3
    assert not claim(voter, b"a", epoch=4).granted
    assert only(voter.ask(None, Ask(1, 4))) == Said(1, False, 4)
    out = replica(IPS[2])
    out.adopt(Membership(2, voters, 3))
    assert not out.full and not out.is_voter


def test_a_wiped_replica_has_no_voter_under_its_old_address() -> None:
    wiped = Replica(IPS[0], "another-disk", "z", 60.0, 64 << 20, Store())
    wiped.adopt(Membership(1, SEATS, 0))
    assert not wiped.is_voter and not wiped.full and not claim(wiped, b"a").granted


def test_who_is_asked_for_all_writes_down_the_new_epoch_before_it_tells() -> None:
    voter = replica()
    claim(voter, b"a")
    voter.store.merge([Entry("routes", "r", 1, b"x"), Entry("backend", "10.0.0.9", 1, b"soft")])
    follows = Membership(2, [*SEATS[:2], Voter("10.0.0.4", "new", "z")], 3)
    effects = voter.fetch(0.0, "10.0.0.4", Fetch(follows))
    assert effects.write and not effects.send
    [(_, state)] = effects.then
    assert isinstance(state, State) and state.last and [key for key, _ in state.claims] == [b"k"]
    assert [entry.name for entry in state.entries] == ["r"]  # soft state is not vouched for
    assert not claim(voter, b"b", epoch=1).granted  # the fence
    new = Replica("10.0.0.4", "new", "z", 60.0, 64 << 20, Store())
    new.adopt(follows)
    new.caught_up(0.0, 2, [state])
    assert new.full and not claim(new, b"b", epoch=2).granted
    again = voter.fetch(0.0, "10.0.0.4", Fetch(follows))
    assert again.write and again.then  # told again, and still only behind the disk


def test_a_key_that_two_are_said_to_hold_is_granted_to_neither() -> None:
    first, second = replica(IPS[0]), replica(IPS[1])
    claim(first, b"a")
    claim(second, b"b")
    follows = Membership(2, [*SEATS[:2], Voter("10.0.0.4", "new", "z")], 3)
    told = [voter.fetch(0.0, None, Fetch(follows)).then[0][1] for voter in (first, second)]
    new = Replica("10.0.0.4", "new", "z", 60.0, 64 << 20, Store())
    new.adopt(follows)
    rows = dict(new.caught_up(0.0, 2, [state for state in told if isinstance(state, State)]).write)
    for by in (b"a", b"b", b""):
        verdict = claim(new, by or b"c", epoch=2)
        assert not verdict.granted and verdict.other
    again = Replica("10.0.0.4", "new", "z", 60.0, 64 << 20, Store())
    again.restore([(k, v) for k, v in rows.items() if v is not None], 0.0)
    assert not claim(again, b"a", epoch=2).granted
    new.done(1.0, Done(b"k", b"a", Answer(200, b"", b"body")))  # it had won
    assert claim(new, b"b", 1.0, epoch=2).answer is not None


def test_a_large_state_goes_in_frames_of_a_bounded_size() -> None:
    voter = replica()
    voter.store.merge([Entry("routes", f"r{n}", 1, bytes(100 << 10)) for n in range(20)])
    pages = [m for _, m in voter.fetch(0.0, None, Fetch(Membership(1, SEATS, 0))).then if isinstance(m, State)]
    assert len(pages) > 3 and [p.last for p in pages] == [False] * (len(pages) - 1) + [True]
    assert sum(len(p.entries) for p in pages) == 20


def test_ballots_are_on_disk_before_they_are_answered_and_no_lower_one_follows() -> None:
    voter, value = replica(), Membership(2, SEATS, 3)
    first = voter.prepare(None, Prepare(1, (5, "a")))
    assert first.write and first.then[0][1] == Promise(1, (5, "a"), True)
    assert only(voter.prepare(None, Prepare(1, (5, "a")))) == Promise(1, (5, "a"), False, higher=5)
    taken = voter.accept(None, Accept(1, (5, "a"), value))
    assert taken.write and taken.then
    later = voter.prepare(None, Prepare(1, (6, "b"))).then[0][1]
    assert isinstance(later, Promise) and later.accepted == (5, "a") and later.value == value
    assert only(voter.prepare(None, Prepare(1, (2, "c")))) == Promise(1, (2, "c"), False, higher=6)
    refused = only(voter.accept(None, Accept(1, (5, "a"), value)))
    assert refused.ok is False  # type: ignore[union-attr]
    rows = dict(voter.begin(SEATS).write) | dict(taken.write)
    again = Replica(IPS[0], GENESIS, "z", 60.0, 64 << 20, Store())
    again.restore([(k, v) for k, v in rows.items() if v is not None], 0.0)
    found = again.prepare(None, Prepare(1, (6, "b"))).then[0][1]
    assert isinstance(found, Promise) and found.value == value
