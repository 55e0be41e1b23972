"""Whatever happened before, the view equals the tree once all data has arrived, and has reported each removal."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from session_harness import SessionHarness, run_in_loop

from lugspur.standins.zookeeper.tree import DeleteEffect
from lugspur.zookeeper.records import OPEN_ACL, PERM_ADMIN, Acl, ErrorCode, EventType, Op, SetAcl
from lugspur.zookeeper.view import NodeChanged, NodeDeleted, Phase, ReadFailed, Snapshot

NAMES = ["a", "b", "c", "d e", "ü"]


class Churn:
    """Random changes of the directory, disconnections, stalls and expiries; `random_source` selects each step."""

    def __init__(self, random_source: random.Random, old: bool) -> None:
        self.random_source = random_source
        self.harness = harness = SessionHarness()
        self.old = old
        self.expected_removals: list[tuple[str, int]] = []  # removals of nodes that the follower knew
        harness.cluster.write("/boxes")
        harness.cluster.ensemble.listeners.append(self.record_removals)
        self.steps: list[tuple[int, Callable[[], None]]] = [
            (30, self.write),
            (15, self.delete),
            (10, self.create_ephemeral),
            (8, self.expire_ephemeral),
            (12, self.send),
            (12, self.receive),
            (12, self.receive_part),
            (6, self.settle),
            (2, self.reconnect),
            (1, self.expire_own),
            (1, self.stall),
            (1, self.lag),
            (4, self.delay_replies),
            (6, self.mend),
            (1, self.delete_directory),
            (1, self.forget_watches),
            (1, self.restore),
        ]

    def record_removals(self, change: object) -> None:
        for effect in getattr(change, "effects", ()):
            name = effect.path.rpartition("/")[2] if isinstance(effect, DeleteEffect) else ""
            if name in self.harness.follower.nodes:
                self.expected_removals.append((name, self.harness.follower.nodes[name][1]))

    def path(self) -> str:
        return "/boxes/" + self.random_source.choice(NAMES)

    def write(self) -> None:
        self.harness.cluster.write(self.path(), str(self.random_source.random()).encode())

    def delete(self) -> None:
        path = self.path()
        if path in self.harness.cluster.ensemble.tree.nodes:
            self.harness.cluster.delete(path)

    def create_ephemeral(self) -> None:
        path = self.path()
        if path not in self.harness.cluster.ensemble.tree.nodes:
            self.harness.cluster.register_backend(path, b"box")

    def expire_ephemeral(self) -> None:
        owned = [path for paths in self.harness.cluster.ensemble.tree.owned.values() for path in sorted(paths)]
        if owned:
            self.harness.cluster.expire(self.random_source.choice(sorted(owned)))

    def send(self) -> None:
        self.harness.send()

    def receive(self) -> None:
        self.harness.receive()

    def receive_part(self) -> None:
        if self.harness.pipe.data:
            self.harness.receive(self.random_source.randrange(1, len(self.harness.pipe.data) + 1))

    def settle(self) -> None:
        self.harness.settle()

    def reconnect(self) -> None:
        for server in self.harness.servers:
            server.faults.no_persistent_watches = self.old
        self.harness.connect(self.random_source.randrange(3))

    def expire_own(self) -> None:
        self.harness.cluster.ensemble.end(self.harness.session.id)

    def stall(self) -> None:
        self.random_source.choice(self.harness.servers).stall()

    def lag(self) -> None:
        self.random_source.choice(self.harness.servers).lag()

    def delay_replies(self) -> None:
        """Delay replies from now on; events may overtake them."""
        faults = self.random_source.choice(self.harness.servers).faults
        faults.reply_delay, faults.events_first = float("inf"), self.random_source.random() < 0.8

    def mend(self) -> None:
        self.random_source.choice(self.harness.servers).mend()

    def forget_watches(self) -> None:
        self.random_source.choice(self.harness.servers).faults.ignores_set_watches = True

    def delete_directory(self) -> None:
        for path in sorted(self.harness.cluster.ensemble.tree.nodes, reverse=True):
            if path.startswith("/boxes"):
                self.harness.cluster.delete(path)

    def restore(self) -> None:
        self.harness.cluster.ensemble.restore()

    def run(self, steps: int) -> None:
        weights = [weight for weight, _ in self.steps]
        for _ in range(steps):
            self.random_source.choices(self.steps, weights)[0][1]()

    def check(self) -> None:
        """End all faults, move all data, and compare the view with the tree."""
        self.harness.recover()
        assert self.harness.follower.nodes == self.harness.tree()
        missed = set(self.expected_removals) - set(self.harness.follower.removals)
        assert not missed


def run_churn(seed: int, rounds: int, old: bool) -> None:
    async def run() -> None:
        churn = Churn(random.Random(seed), old)
        for _ in range(rounds):
            churn.reconnect()
            churn.run(60)
            churn.check()

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
@pytest.mark.parametrize("seed", range(8))
def test_the_view_equals_the_tree_after_thousands_of_steps(seed: int, old: bool) -> None:
    run_churn(seed, rounds=50, old=old)


@settings(max_examples=60, deadline=None)
@given(seed=st.integers(), old=st.booleans())
@example(seed=892_058_059_144_642_935, old=True)  # the directory was deleted before the reply to addWatch
@example(seed=21_312_990_608_571_088, old=False)  # a server recovered that had stalled and lagged
def test_the_view_equals_the_tree_whatever_the_seed(seed: int, old: bool) -> None:
    run_churn(seed, rounds=6, old=old)


# ---- single cases ---------------------------------------------------------------------------------


def following(harness: SessionHarness) -> SessionHarness:
    harness.connect()
    harness.settle()
    assert harness.view.phase is Phase.FOLLOWING
    harness.updates.clear()
    return harness


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_a_node_is_read_again_if_its_event_overtakes_the_reply_to_a_read(old: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        for server in harness.servers:
            server.faults.no_persistent_watches = old
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        faults = harness.servers[0].faults
        harness.cluster.write("/boxes/a", b"2")
        harness.receive()
        faults.reply_delay, faults.events_first = float("inf"), True
        harness.send()  # the read returns 2, and its reply is delayed
        harness.cluster.write("/boxes/a", b"3")
        harness.receive()  # the event overtakes the reply
        harness.servers[0].mend()
        harness.settle()
        assert harness.follower.nodes["a"][0] == b"3"

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_a_directory_that_is_deleted_before_the_reply_to_addwatch_is_followed(old: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        for server in harness.servers:
            server.faults.no_persistent_watches = old
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        harness.disconnect()
        harness.cluster.delete("/boxes/a")
        harness.cluster.delete("/boxes")
        harness.connect(1)  # both deletions are reported at once, before the reply to addWatch
        harness.settle()
        harness.cluster.write("/boxes/b", b"2")
        harness.settle()
        harness.cluster.write("/boxes/c", b"3")
        harness.settle()
        assert harness.follower.nodes == harness.tree()

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_two_changes_before_a_read_show_the_latter(old: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.servers[0].faults.no_persistent_watches = old
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        harness.cluster.write("/boxes/a", b"2")
        harness.cluster.write("/boxes/a", b"3")
        harness.settle()
        assert [update.data.data for update in harness.updates if isinstance(update, NodeChanged) and update.data] == [
            b"3"
        ]

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
@pytest.mark.parametrize("gap", [False, True], ids=["in sight", "in a gap"])
def test_a_recreated_node_is_reported_as_deleted_first(old: bool, gap: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        for server in harness.servers:
            server.faults.no_persistent_watches = old
        harness.cluster.register_backend("/boxes/a", b"same")
        following(harness)
        if gap:
            harness.disconnect()
        harness.cluster.expire("/boxes/a")
        harness.cluster.register_backend("/boxes/a", b"same")
        if gap:
            harness.connect(1)
        harness.settle()
        update_types = [type(update) for update in harness.updates if not isinstance(update, Snapshot)]
        assert update_types == [NodeDeleted, NodeChanged] and harness.follower.nodes == harness.tree()

    run_in_loop(run())


def test_ten_thousand_nodes_and_each_change_take_one_read() -> None:
    async def run() -> None:
        harness = SessionHarness()
        for index in range(10_000):
            harness.cluster.write(f"/boxes/{index}", b"x")
        following(harness)
        asked = harness.servers[0].request_counts
        assert (asked[Op.GET_DATA], asked[Op.GET_CHILDREN2]) == (10_000, 1) and len(harness.follower.nodes) == 10_000
        asked.clear()
        harness.cluster.write("/boxes/77", b"y")
        harness.cluster.delete("/boxes/78")
        harness.cluster.write("/boxes/new")
        harness.settle()
        assert asked == {Op.GET_DATA: 2} and harness.follower.nodes == harness.tree()

    run_in_loop(run())


def test_children_that_change_during_the_full_read_are_all_read() -> None:
    async def run() -> None:
        harness = SessionHarness()
        for index in range(50):
            harness.cluster.write(f"/boxes/{index}")
        harness.connect()
        for index in range(200):
            if index % 2:
                harness.cluster.write(f"/boxes/{index}")
            elif f"/boxes/{index}" in harness.cluster.ensemble.tree.nodes:
                harness.cluster.delete(f"/boxes/{index}")
            harness.send()
            harness.receive(700)
        harness.settle()
        assert harness.follower.nodes == harness.tree() and harness.snapshot_count() == 1

    run_in_loop(run())


@pytest.mark.parametrize("old", [False, True], ids=["persistent watches", "one-shot watches"])
def test_a_missing_directory_removes_nodes_only_if_it_existed_before(old: bool) -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.servers[0].faults.no_persistent_watches = old
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


def test_nodes_below_the_children_and_beside_the_directory_are_ignored() -> None:
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


def test_one_shot_watches_are_used_if_a_server_closes_the_connection_on_addwatch() -> None:
    async def run() -> None:
        harness = SessionHarness(servers=1)
        harness.cluster.write("/boxes/a", b"1")
        for _ in range(2):
            harness.connect()
            harness.send()
            harness.receive()
            assert harness.session.take_output()  # the output contains addWatch; the server closes the connection
            harness.disconnect()
        harness.connect()
        harness.settle()
        assert harness.servers[0].request_counts[Op.ADD_WATCH] == 0
        harness.cluster.write("/boxes/b", b"2")
        harness.settle()
        assert harness.follower.nodes.keys() == {"a", "b"}

    run_in_loop(run())


def test_a_view_reads_everything_after_a_disconnection_even_if_watches_are_lost() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        for server in harness.servers:
            server.faults.ignores_set_watches = True
        following(harness)
        harness.disconnect()
        harness.cluster.write("/boxes/a", b"2")
        harness.connect(1)
        harness.settle()
        harness.cluster.write("/boxes/a", b"3")
        harness.settle()
        assert harness.follower.nodes["a"][0] == b"3"

    run_in_loop(run())


def test_a_view_reports_nothing_while_it_is_disconnected() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        following(harness)
        harness.disconnect()
        harness.cluster.ensemble.end(harness.session.id)
        assert harness.updates == [] and harness.follower.nodes.keys() == {"a"}
        harness.view.on_watch_triggered(EventType.DELETED, "/boxes/a")  # an event of a former connection
        assert harness.view.take_updates() == []

    run_in_loop(run())


def test_a_list_that_is_older_than_a_node_does_not_remove_it() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/m", b"1")
        following(harness)
        harness.disconnect()
        harness.cluster.delete("/boxes/m")
        harness.connect(1)
        for _ in range(2):  # the server accepts the session, then replies to sync and addWatch
            harness.send()
            harness.receive()
        faults = harness.servers[1].faults
        faults.reply_delay, faults.events_first = float("inf"), True
        harness.send()  # the list is read without m, and its reply is delayed
        harness.cluster.write("/boxes/m", b"2")
        harness.receive()  # the event of m arrives before the list
        harness.servers[1].mend()
        harness.settle()
        assert harness.follower.nodes == harness.tree() and "m" in harness.follower.nodes

    run_in_loop(run())


def test_a_view_waits_for_a_server_that_lags_before_it_reads() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        harness.cluster.write("/boxes/b", b"1")
        following(harness)
        harness.disconnect()
        harness.servers[1].lag()  # it has applied what this client has seen, but no later change
        harness.cluster.delete("/boxes/a")
        harness.connect(1)
        harness.settle()
        assert harness.updates == []
        harness.servers[1].mend()
        harness.settle()
        assert harness.follower.nodes.keys() == {"b"} and harness.snapshot_count() == 1

    run_in_loop(run())


def test_a_directory_that_may_not_be_read_is_read_once_it_may() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        unreadable = (Acl(PERM_ADMIN, "world", "anyone"),)
        harness.cluster.ensemble.commit(harness.cluster.operator, ((Op.SET_ACL, SetAcl("/boxes", unreadable, -1)),))
        harness.connect()
        harness.settle()
        assert harness.updates == [ReadFailed(ErrorCode.NO_AUTH)] and harness.view.phase is Phase.READING
        harness.cluster.ensemble.commit(harness.cluster.operator, ((Op.SET_ACL, SetAcl("/boxes", OPEN_ACL, -1)),))
        harness.view.retry_read()
        harness.multiplexer.send_requests(harness.now)
        harness.settle()
        assert harness.follower.nodes.keys() == {"a"}

    run_in_loop(run())
