"""The view equals the tree after every quiet moment, and tells each removal, whatever happened before."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from wire import World, inside

from lugspur.standins.zookeeper.tree import Gone
from lugspur.zookeeper.records import OPEN_ACL, PERM_ADMIN, Acl, Error, EventType, Op, SetAcl
from lugspur.zookeeper.view import NodeChanged, NodeDeleted, Phase, ReadFailed, Snapshot

NAMES = ["a", "b", "c", "d e", "ü"]


class Churn:
    """Random changes of the folder, cuts, stalls and expiries; every step is drawn by `chance`."""

    def __init__(self, chance: random.Random, old: bool) -> None:
        self.chance = chance
        self.world = world = World()
        self.old = old
        self.told_gone: list[tuple[str, int]] = []  # removals while the view followed and knew the node
        world.cluster.write("/boxes")
        world.cluster.ensemble.listeners.append(self.removals)
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
            if name in self.world.follower.nodes:
                self.told_gone.append((name, self.world.follower.nodes[name][1]))

    def path(self) -> str:
        return "/boxes/" + self.chance.choice(NAMES)

    def write(self) -> None:
        self.world.cluster.write(self.path(), str(self.chance.random()).encode())

    def delete(self) -> None:
        path = self.path()
        if path in self.world.cluster.ensemble.tree.nodes:
            self.world.cluster.delete(path)

    def box(self) -> None:
        path = self.path()
        if path not in self.world.cluster.ensemble.tree.nodes:
            self.world.cluster.box(path, b"box")

    def expire_box(self) -> None:
        owned = [path for paths in self.world.cluster.ensemble.tree.owned.values() for path in sorted(paths)]
        if owned:
            self.world.cluster.expire(self.chance.choice(sorted(owned)))

    def send(self) -> None:
        self.world.send()

    def receive(self) -> None:
        self.world.receive()

    def part(self) -> None:
        if self.world.pipe.data:
            self.world.receive(self.chance.randrange(1, len(self.world.pipe.data) + 1))

    def settle(self) -> None:
        self.world.settle()

    def cut(self) -> None:
        for server in self.world.servers:
            server.faults.old = self.old
        self.world.connect(self.chance.randrange(3))

    def expire_own(self) -> None:
        self.world.cluster.ensemble.end(self.world.session.id)

    def stall(self) -> None:
        self.chance.choice(self.world.servers).stall()

    def lag(self) -> None:
        self.chance.choice(self.world.servers).lag()

    def late(self) -> None:
        """Replies wait from now on, and events may overtake them."""
        faults = self.chance.choice(self.world.servers).faults
        faults.late, faults.overtaking = float("inf"), self.chance.random() < 0.8

    def mend(self) -> None:
        self.chance.choice(self.world.servers).mend()

    def forget(self) -> None:
        self.chance.choice(self.world.servers).faults.forgets = True

    def folder(self) -> None:
        for path in sorted(self.world.cluster.ensemble.tree.nodes, reverse=True):
            if path.startswith("/boxes"):
                self.world.cluster.delete(path)

    def restore(self) -> None:
        self.world.cluster.ensemble.restore()

    def run(self, steps: int) -> None:
        weights = [weight for weight, _ in self.steps]
        for _ in range(steps):
            self.chance.choices(self.steps, weights)[0][1]()

    def check(self) -> None:
        """All is mended and quiet."""
        self.world.recover()
        assert self.world.follower.nodes == self.world.tree()
        missed = set(self.told_gone) - set(self.world.follower.removed)
        assert not missed


def churn(number: int, rounds: int, old: bool) -> None:
    async def run() -> None:
        world = Churn(random.Random(number), old)
        for _ in range(rounds):
            world.cut()
            world.run(60)
            world.check()

    inside(run())


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


def following(world: World) -> World:
    world.connect()
    world.settle()
    assert world.view.phase is Phase.FOLLOWING
    world.news.clear()
    return world


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_an_event_that_crosses_the_reply_to_a_read_makes_it_be_read_once_more(old: bool) -> None:
    async def run() -> None:
        world = World()
        for server in world.servers:
            server.faults.old = old
        world.cluster.write("/boxes/a", b"1")
        following(world)
        faults = world.servers[0].faults
        world.cluster.write("/boxes/a", b"2")
        world.receive()
        faults.late, faults.overtaking = float("inf"), True
        world.send()  # the read is served, with 2, and its reply held back
        world.cluster.write("/boxes/a", b"3")
        world.receive()  # the event overtakes it
        world.servers[0].mend()
        world.settle()
        assert world.follower.nodes["a"][0] == b"3"

    inside(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_a_folder_that_went_before_the_watch_was_answered_is_followed_all_the_same(old: bool) -> None:
    async def run() -> None:
        world = World()
        for server in world.servers:
            server.faults.old = old
        world.cluster.write("/boxes/a", b"1")
        following(world)
        world.disconnect()
        world.cluster.delete("/boxes/a")
        world.cluster.delete("/boxes")
        world.connect(1)  # told of both at once, ahead of the reply to addWatch
        world.settle()
        world.cluster.write("/boxes/b", b"2")
        world.settle()
        world.cluster.write("/boxes/c", b"3")
        world.settle()
        assert world.follower.nodes == world.tree()

    inside(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_two_changes_between_event_and_read_show_the_latter(old: bool) -> None:
    async def run() -> None:
        world = World()
        world.servers[0].faults.old = old
        world.cluster.write("/boxes/a", b"1")
        following(world)
        world.cluster.write("/boxes/a", b"2")
        world.cluster.write("/boxes/a", b"3")
        world.settle()
        assert [one.data.data for one in world.news if isinstance(one, NodeChanged) and one.data] == [b"3"]

    inside(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
@pytest.mark.parametrize("gap", [False, True], ids=["in sight", "in a gap"])
def test_a_node_deleted_and_made_again_is_told_gone_first(old: bool, gap: bool) -> None:
    async def run() -> None:
        world = World()
        for server in world.servers:
            server.faults.old = old
        world.cluster.box("/boxes/a", b"same")
        following(world)
        if gap:
            world.disconnect()
        world.cluster.expire("/boxes/a")
        world.cluster.box("/boxes/a", b"same")
        if gap:
            world.connect(1)
        world.settle()
        told = [type(one) for one in world.news if not isinstance(one, Snapshot)]
        assert told == [NodeDeleted, NodeChanged] and world.follower.nodes == world.tree()

    inside(run())


def test_ten_thousand_nodes_take_one_read_each_and_a_change_takes_one() -> None:
    async def run() -> None:
        world = World()
        for at in range(10_000):
            world.cluster.write(f"/boxes/{at}", b"x")
        following(world)
        asked = world.servers[0].asked
        assert (asked[Op.GET_DATA], asked[Op.GET_CHILDREN2]) == (10_000, 1) and len(world.follower.nodes) == 10_000
        asked.clear()
        world.cluster.write("/boxes/77", b"y")
        world.cluster.delete("/boxes/78")
        world.cluster.write("/boxes/new")
        world.settle()
        assert asked == {Op.GET_DATA: 2} and world.follower.nodes == world.tree()

    inside(run())


def test_children_that_change_while_they_are_read_are_all_there_in_the_end() -> None:
    async def run() -> None:
        world = World()
        for at in range(50):
            world.cluster.write(f"/boxes/{at}")
        world.connect()
        for at in range(200):
            if at % 2:
                world.cluster.write(f"/boxes/{at}")
            elif f"/boxes/{at}" in world.cluster.ensemble.tree.nodes:
                world.cluster.delete(f"/boxes/{at}")
            world.send()
            world.receive(700)
        world.settle()
        assert world.follower.nodes == world.tree() and world.whole() == 1

    inside(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_a_folder_that_does_not_exist_is_no_removal_until_it_has_existed(old: bool) -> None:
    async def run() -> None:
        world = World()
        world.servers[0].faults.old = old
        world.connect()
        world.settle()
        assert world.news == [ReadFailed(-101)]
        world.cluster.write("/boxes/a", b"1")
        world.settle()
        assert world.follower.nodes.keys() == {"a"}
        world.cluster.delete("/boxes/a")
        world.cluster.delete("/boxes")
        world.settle()
        assert world.follower.nodes == {} and isinstance(world.news[-1], Snapshot)
        world.cluster.write("/boxes/b", b"2")
        world.settle()
        assert world.follower.nodes.keys() == {"b"}

    inside(run())


def test_nodes_below_the_children_and_beside_the_folder_are_not_taken_for_boxes() -> None:
    async def run() -> None:
        world = World()
        world.cluster.write("/boxes/a/below", b"1")
        world.cluster.write("/boxes-2/b", b"1")
        following(world)
        world.cluster.write("/boxes/a/other", b"1")
        world.cluster.write("/boxes-2/b", b"2")
        world.settle()
        assert world.follower.nodes.keys() == {"a"} and world.news == []

    inside(run())


def test_a_node_of_one_megabyte_is_read_like_any_other() -> None:
    async def run() -> None:
        world = World()
        world.cluster.write("/boxes/big", b"x" * (1 << 20))
        world.cluster.write("/boxes/a", b"1")
        following(world)
        assert world.follower.nodes.keys() == {"big", "a"}

    inside(run())


def test_a_server_that_hangs_up_on_addwatch_is_followed_by_one_shot_watches() -> None:
    async def run() -> None:
        world = World(servers=1)
        world.cluster.write("/boxes/a", b"1")
        for _ in range(2):
            world.connect()
            world.send()
            world.receive()
            assert world.session.take_output()  # addWatch is among it; the server hangs up
            world.disconnect()
        world.connect()
        world.settle()
        assert world.servers[0].asked[Op.ADD_WATCH] == 0
        world.cluster.write("/boxes/b", b"2")
        world.settle()
        assert world.follower.nodes.keys() == {"a", "b"}

    inside(run())


def test_a_view_reads_again_after_every_gap_even_where_watches_are_forgotten() -> None:
    async def run() -> None:
        world = World()
        world.cluster.write("/boxes/a", b"1")
        for server in world.servers:
            server.faults.forgets = True
        following(world)
        world.disconnect()
        world.cluster.write("/boxes/a", b"2")
        world.connect(1)
        world.settle()
        world.cluster.write("/boxes/a", b"3")
        world.settle()
        assert world.follower.nodes["a"][0] == b"3"

    inside(run())


def test_nothing_is_told_while_there_is_no_server() -> None:
    async def run() -> None:
        world = World()
        world.cluster.write("/boxes/a", b"1")
        following(world)
        world.disconnect()
        world.cluster.ensemble.end(world.session.id)
        assert world.news == [] and world.follower.nodes.keys() == {"a"}
        world.view.on_watch_triggered(EventType.DELETED, "/boxes/a")  # what a former connection left over
        assert world.view.take_updates() == []

    inside(run())


def test_a_list_that_is_older_than_a_nodes_making_does_not_take_it_out() -> None:
    async def run() -> None:
        world = World()
        world.cluster.write("/boxes/m", b"1")
        following(world)
        world.disconnect()
        world.cluster.delete("/boxes/m")
        world.connect(1)
        for _ in range(2):  # the session is taken; then sync and addWatch are answered
            world.send()
            world.receive()
        faults = world.servers[1].faults
        faults.late, faults.overtaking = float("inf"), True
        world.send()  # the list is read, without m, and its reply held back
        world.cluster.write("/boxes/m", b"2")
        world.receive()  # m is told of before it
        world.servers[1].mend()
        world.settle()
        assert world.follower.nodes == world.tree() and "m" in world.follower.nodes

    inside(run())


def test_a_server_that_lags_is_waited_for_before_anything_is_read() -> None:
    async def run() -> None:
        world = World()
        world.cluster.write("/boxes/a", b"1")
        world.cluster.write("/boxes/b", b"1")
        following(world)
        world.disconnect()
        world.servers[1].lag()  # as far as this client has seen, and no further
        world.cluster.delete("/boxes/a")
        world.connect(1)
        world.settle()
        assert world.news == []
        world.servers[1].mend()
        world.settle()
        assert world.follower.nodes.keys() == {"b"} and world.whole() == 1

    inside(run())


def test_a_folder_that_may_not_be_read_is_read_when_it_may() -> None:
    async def run() -> None:
        world = World()
        world.cluster.write("/boxes/a", b"1")
        shut = (Acl(PERM_ADMIN, "world", "anyone"),)
        world.cluster.ensemble.commit(world.cluster.operator, ((Op.SET_ACL, SetAcl("/boxes", shut, -1)),))
        world.connect()
        world.settle()
        assert world.news == [ReadFailed(Error.NO_AUTH)] and world.view.phase is Phase.READING
        world.cluster.ensemble.commit(world.cluster.operator, ((Op.SET_ACL, SetAcl("/boxes", OPEN_ACL, -1)),))
        world.view.retry_read()
        world.multiplexer.send_requests(world.now)
        world.settle()
        assert world.follower.nodes.keys() == {"a"}

    inside(run())
