"""The view equals the tree after every quiet moment, and tells each removal, whatever happened before."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from session_harness import SessionHarness, run_in_loop

from lugspur.standins.zookeeper.tree import Gone
from lugspur.zookeeper.records import OPEN_ACL, PERM_ADMIN, Acl, Error, EventType, Op, SetAcl
from lugspur.zookeeper.view import NodeChanged, NodeDeleted, Phase, ReadFailed, Snapshot

NAMES = ["a", "b", "c", "d e", "ü"]


class Churn:
    """Random changes of the folder, cuts, stalls and expiries; every step is drawn by `chance`."""

    def __init__(self, chance: random.Random, old: bool) -> None:
        self.chance = chance
        self.harness = harness = SessionHarness()
        self.old = old
        self.told_gone: list[tuple[str, int]] = []  # removals while the view followed and knew the node
        harness.cluster.write("/boxes")
        harness.cluster.ensemble.listeners.append(self.removals)
        self.steps: list[tuple[int, Callable[[], None]]] = [
            (30, self.write),
            (15, self.delete),
            (10, self.box),
            (8, self.expire_box),
            (12, self.send),
            (12, self.receive),
            (12, self.part),
            (6, self.settle),
            (2, self.cut),
            (1, self.expire_own),
            (1, self.stall),
            (1, self.lag),
            (4, self.late),
            (6, self.mend),
            (1, self.folder),
            (1, self.forget),
            (1, self.restore),
        ]

    def removals(self, change: object) -> None:
        for effect in getattr(change, "effects", ()):
            name = effect.path.rpartition("/")[2] if isinstance(effect, Gone) else ""
            if name in self.harness.follower.nodes:
                self.told_gone.append((name, self.harness.follower.nodes[name][1]))

    def path(self) -> str:
        return "/boxes/" + self.chance.choice(NAMES)

    def write(self) -> None:
        self.harness.cluster.write(self.path(), str(self.chance.random()).encode())

    def delete(self) -> None:
        path = self.path()
        if path in self.harness.cluster.ensemble.tree.nodes:
            self.harness.cluster.delete(path)

    def box(self) -> None:
        path = self.path()
        if path not in self.harness.cluster.ensemble.tree.nodes:
            self.harness.cluster.box(path, b"box")

    def expire_box(self) -> None:
        owned = [path for paths in self.harness.cluster.ensemble.tree.owned.values() for path in sorted(paths)]
        if owned:
            self.harness.cluster.expire(self.chance.choice(sorted(owned)))

    def send(self) -> None:
        self.harness.send()

    def receive(self) -> None:
        self.harness.receive()

    def part(self) -> None:
        if self.harness.pipe.data:
            self.harness.receive(self.chance.randrange(1, len(self.harness.pipe.data) + 1))

    def settle(self) -> None:
        self.harness.settle()

    def cut(self) -> None:
        for server in self.harness.servers:
            server.faults.old = self.old
        self.harness.connect(self.chance.randrange(3))

    def expire_own(self) -> None:
        self.harness.cluster.ensemble.end(self.harness.session.id)

    def stall(self) -> None:
        self.chance.choice(self.harness.servers).stall()

    def lag(self) -> None:
        self.chance.choice(self.harness.servers).lag()

    def late(self) -> None:
        """Replies wait from now on, and events may overtake them."""
        faults = self.chance.choice(self.harness.servers).faults
        faults.late, faults.overtaking = float("inf"), self.chance.random() < 0.8

    def mend(self) -> None:
        self.chance.choice(self.harness.servers).mend()

    def forget(self) -> None:
        self.chance.choice(self.harness.servers).faults.forgets = True

    def folder(self) -> None:
        for path in sorted(self.harness.cluster.ensemble.tree.nodes, reverse=True):
            if path.startswith("/boxes"):
                self.harness.cluster.delete(path)

    def restore(self) -> None:
        self.harness.cluster.ensemble.restore()

    def run(self, steps: int) -> None:
        weights = [weight for weight, _ in self.steps]
        for _ in range(steps):
            self.chance.choices(self.steps, weights)[0][1]()

    def check(self) -> None:
        """All is mended and quiet."""
        self.harness.recover()
        assert self.harness.follower.nodes == self.harness.tree()
        missed = set(self.told_gone) - set(self.harness.follower.removals)
        assert not missed


def churn(number: int, rounds: int, old: bool) -> None:
    async def run() -> None:
        harness = Churn(random.Random(number), old)
        for _ in range(rounds):
            harness.cut()
            harness.run(60)
            harness.check()

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
@pytest.mark.parametrize("number", range(8))
def test_the_view_equals_the_tree_after_thousands_of_steps(number: int, old: bool) -> None:
    churn(number, rounds=50, old=old)


@settings(max_examples=60, deadline=None)
@given(number=st.integers(), old=st.booleans())
@example(number=892_058_059_144_642_935, old=True)  # the folder went before addWatch was answered
@example(number=21_312_990_608_571_088, old=False)  # a server was mended that was silent and behind
def test_the_view_equals_the_tree_whatever_the_seed(number: int, old: bool) -> None:
    churn(number, rounds=6, old=old)


# ---- cases by hand --------------------------------------------------------------------------------


def following(harness: SessionHarness) -> SessionHarness:
    harness.connect()
    harness.settle()
    assert harness.view.phase is Phase.FOLLOWING
    harness.updates.clear()
    return harness


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_an_event_that_crosses_the_reply_to_a_read_makes_it_be_read_once_more(old: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        for server in harness.servers:
            server.faults.old = old
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        faults = harness.servers[0].faults
        harness.cluster.write("/boxes/a", b"2")
        harness.receive()
        faults.late, faults.overtaking = float("inf"), True
        harness.send()  # the read is served, with 2, and its reply held back
        harness.cluster.write("/boxes/a", b"3")
        harness.receive()  # the event overtakes it
        harness.servers[0].mend()
        harness.settle()
        assert harness.follower.nodes["a"][0] == b"3"

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_a_folder_that_went_before_the_watch_was_answered_is_followed_all_the_same(old: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        for server in harness.servers:
            server.faults.old = old
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        harness.disconnect()
        harness.cluster.delete("/boxes/a")
        harness.cluster.delete("/boxes")
        harness.connect(1)  # told of both at once, ahead of the reply to addWatch
        harness.settle()
        harness.cluster.write("/boxes/b", b"2")
        harness.settle()
        harness.cluster.write("/boxes/c", b"3")
        harness.settle()
        assert harness.follower.nodes == harness.tree()

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_two_changes_between_event_and_read_show_the_latter(old: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.servers[0].faults.old = old
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        harness.cluster.write("/boxes/a", b"2")
        harness.cluster.write("/boxes/a", b"3")
        harness.settle()
        assert [one.data.data for one in harness.updates if isinstance(one, NodeChanged) and one.data] == [b"3"]

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
@pytest.mark.parametrize("gap", [False, True], ids=["in sight", "in a gap"])
def test_a_node_deleted_and_made_again_is_told_gone_first(old: bool, gap: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        for server in harness.servers:
            server.faults.old = old
        harness.cluster.box("/boxes/a", b"same")
        following(harness)
        if gap:
            harness.disconnect()
        harness.cluster.expire("/boxes/a")
        harness.cluster.box("/boxes/a", b"same")
        if gap:
            harness.connect(1)
        harness.settle()
        told = [type(one) for one in harness.updates if not isinstance(one, Snapshot)]
        assert told == [NodeDeleted, NodeChanged] and harness.follower.nodes == harness.tree()

    run_in_loop(run())


def test_ten_thousand_nodes_take_one_read_each_and_a_change_takes_one() -> None:
    async def run() -> None:
        harness = SessionHarness()
        for at in range(10_000):
            harness.cluster.write(f"/boxes/{at}", b"x")
        following(harness)
        asked = harness.servers[0].asked
        assert (asked[Op.GET_DATA], asked[Op.GET_CHILDREN2]) == (10_000, 1) and len(harness.follower.nodes) == 10_000
        asked.clear()
        harness.cluster.write("/boxes/77", b"y")
        harness.cluster.delete("/boxes/78")
        harness.cluster.write("/boxes/new")
        harness.settle()
        assert asked == {Op.GET_DATA: 2} and harness.follower.nodes == harness.tree()

    run_in_loop(run())


def test_children_that_change_while_they_are_read_are_all_there_in_the_end() -> None:
    async def run() -> None:
        harness = SessionHarness()
        for at in range(50):
            harness.cluster.write(f"/boxes/{at}")
        harness.connect()
        for at in range(200):
            if at % 2:
                harness.cluster.write(f"/boxes/{at}")
            elif f"/boxes/{at}" in harness.cluster.ensemble.tree.nodes:
                harness.cluster.delete(f"/boxes/{at}")
            harness.send()
            harness.receive(700)
        harness.settle()
        assert harness.follower.nodes == harness.tree() and harness.snapshot_count() == 1

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_a_folder_that_does_not_exist_is_no_removal_until_it_has_existed(old: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.servers[0].faults.old = old
        harness.connect()
        harness.settle()
        assert harness.updates == [ReadFailed(-101)]
        harness.cluster.write("/boxes/a", b"1")
        harness.settle()
        assert harness.follower.nodes.keys() == {"a"}
        harness.cluster.delete("/boxes/a")
        harness.cluster.delete("/boxes")
        harness.settle()
        assert harness.follower.nodes == {} and isinstance(harness.updates[-1], Snapshot)
        harness.cluster.write("/boxes/b", b"2")
        harness.settle()
        assert harness.follower.nodes.keys() == {"b"}

    run_in_loop(run())


def test_nodes_below_the_children_and_beside_the_folder_are_not_taken_for_boxes() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a/below", b"1")
        harness.cluster.write("/boxes-2/b", b"1")
        following(harness)
        harness.cluster.write("/boxes/a/other", b"1")
        harness.cluster.write("/boxes-2/b", b"2")
        harness.settle()
        assert harness.follower.nodes.keys() == {"a"} and harness.updates == []

    run_in_loop(run())


def test_a_node_of_one_megabyte_is_read_like_any_other() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/big", b"x" * (1 << 20))
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        assert harness.follower.nodes.keys() == {"big", "a"}

    run_in_loop(run())


def test_a_server_that_hangs_up_on_addwatch_is_followed_by_one_shot_watches() -> None:
    async def run() -> None:
        harness = SessionHarness(servers=1)
        harness.cluster.write("/boxes/a", b"1")
        for _ in range(2):
            harness.connect()
            harness.send()
            harness.receive()
            assert harness.session.take_output()  # addWatch is among it; the server hangs up
            harness.disconnect()
        harness.connect()
        harness.settle()
        assert harness.servers[0].asked[Op.ADD_WATCH] == 0
        harness.cluster.write("/boxes/b", b"2")
        harness.settle()
        assert harness.follower.nodes.keys() == {"a", "b"}

    run_in_loop(run())


def test_a_view_reads_again_after_every_gap_even_where_watches_are_forgotten() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        for server in harness.servers:
            server.faults.forgets = True
        following(harness)
        harness.disconnect()
        harness.cluster.write("/boxes/a", b"2")
        harness.connect(1)
        harness.settle()
        harness.cluster.write("/boxes/a", b"3")
        harness.settle()
        assert harness.follower.nodes["a"][0] == b"3"

    run_in_loop(run())


def test_nothing_is_told_while_there_is_no_server() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        harness.disconnect()
        harness.cluster.ensemble.end(harness.session.id)
        assert harness.updates == [] and harness.follower.nodes.keys() == {"a"}
        harness.view.on_watch_triggered(EventType.DELETED, "/boxes/a")  # what a former connection left over
        assert harness.view.take_updates() == []

    run_in_loop(run())


def test_a_list_that_is_older_than_a_nodes_making_does_not_take_it_out() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/m", b"1")
        following(harness)
        harness.disconnect()
        harness.cluster.delete("/boxes/m")
        harness.connect(1)
        for _ in range(2):  # the session is taken; then sync and addWatch are answered
            harness.send()
            harness.receive()
        faults = harness.servers[1].faults
        faults.late, faults.overtaking = float("inf"), True
        harness.send()  # the list is read, without m, and its reply held back
        harness.cluster.write("/boxes/m", b"2")
        harness.receive()  # m is told of before it
        harness.servers[1].mend()
        harness.settle()
        assert harness.follower.nodes == harness.tree() and "m" in harness.follower.nodes

    run_in_loop(run())


def test_a_server_that_lags_is_waited_for_before_anything_is_read() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        harness.cluster.write("/boxes/b", b"1")
        following(harness)
        harness.disconnect()
        harness.servers[1].lag()  # as far as this client has seen, and no further
        harness.cluster.delete("/boxes/a")
        harness.connect(1)
        harness.settle()
        assert harness.updates == []
        harness.servers[1].mend()
        harness.settle()
        assert harness.follower.nodes.keys() == {"b"} and harness.snapshot_count() == 1

    run_in_loop(run())


def test_a_folder_that_may_not_be_read_is_read_when_it_may() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        shut = (Acl(PERM_ADMIN, "world", "anyone"),)
        harness.cluster.ensemble.commit(harness.cluster.operator, ((Op.SET_ACL, SetAcl("/boxes", shut, -1)),))
        harness.connect()
        harness.settle()
        assert harness.updates == [ReadFailed(Error.NO_AUTH)] and harness.view.phase is Phase.READING
        harness.cluster.ensemble.commit(harness.cluster.operator, ((Op.SET_ACL, SetAcl("/boxes", OPEN_ACL, -1)),))
        harness.view.retry_read()
        harness.multiplexer.send_requests(harness.now)
        harness.settle()
        assert harness.follower.nodes.keys() == {"a"}

    run_in_loop(run())
