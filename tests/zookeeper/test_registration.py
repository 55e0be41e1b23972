"""A box's own node: never two of them, none while it is not wanted, and there again after whatever went wrong."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from session_harness import SessionHarness

from lugspur.zookeeper import records as r
from lugspur.zookeeper.records import Op
from lugspur.zookeeper.registration import NodeStatus, Registration
from lugspur.zookeeper.session import State

FOLDER = "/boxes"


class Home(SessionHarness):
    """A harness with one registration instead of what others know."""

    def __init__(self, sequential: bool = False) -> None:
        super().__init__()
        self.multiplexer.remove(self.view)
        self.registration = Registration(
            FOLDER, "box", b"ours", lambda data: data.startswith(b"ours"), "f00" if sequential else ""
        )
        self.multiplexer.add(self.registration, self.now)
        self.most = 0  # nodes of ours at one time
        self.cluster.ensemble.listeners.append(lambda _: self.count())

    def count(self) -> None:
        self.most = max(self.most, len(self.mine()))

    def mine(self) -> list[str]:
        nodes = self.cluster.ensemble.tree.nodes
        return sorted(path for path, node in nodes.items() if node.data.startswith(b"ours"))

    def want(self, wanted: bool) -> None:
        self.registration.set_wanted(wanted)
        self.multiplexer.send_requests(self.now)

    def lines(self) -> list[str]:
        return self.registration.take_log_lines()


class Life(Home):
    """The same with random trouble."""

    def __init__(self, chance: random.Random, sequential: bool) -> None:
        super().__init__(sequential)
        self.chance = chance

    def step(self) -> None:
        act = self.chance.choices(
            [
                self.send,
                self.receive,
                self.part,
                self.cut,
                self.expire,
                self.toggle,
                self.stall,
                self.mend,
                self.remove,
                self.write,
                self.lag,
            ],
            [20, 20, 10, 4, 2, 6, 1, 4, 1, 2, 2],
        )[0]
        act()

    def part(self) -> None:
        if self.pipe.data:
            self.receive(self.chance.randrange(1, len(self.pipe.data) + 1))

    def cut(self) -> None:
        self.connect(self.chance.randrange(3))

    def expire(self) -> None:
        self.cluster.ensemble.end(self.session.id)

    def toggle(self) -> None:
        self.want(not self.registration.is_wanted)

    def stall(self) -> None:
        self.chance.choice(self.servers).stall()

    def lag(self) -> None:
        self.chance.choice(self.servers).lag()

    def mend(self) -> None:
        self.chance.choice(self.servers).mend()

    def remove(self) -> None:
        for path in self.mine():
            self.cluster.delete(path)

    def write(self) -> None:
        self.registration.set_data(b"ours" + str(self.chance.random()).encode())
        self.multiplexer.send_requests(self.now)


@settings(max_examples=300, deadline=None)
@given(number=st.integers(), sequential=st.booleans())
def test_after_any_trouble_there_is_one_node_if_it_is_wanted_and_never_two(number: int, sequential: bool) -> None:
    async def run() -> None:
        life = Life(random.Random(number), sequential)
        for _ in range(6):
            for _ in range(40):
                life.step()
            life.recover()
            assert len(life.mine()) == life.registration.is_wanted and life.registration.is_settled
            if life.registration.is_wanted:
                node = life.cluster.ensemble.tree.nodes[life.mine()[0]]
                assert (node.owner, node.data) == (life.session.id, life.registration.data)
        assert life.most <= 1

    asyncio.run(run())


def home(sequential: bool = False) -> Home:
    made = Home(sequential)
    made.connect()
    made.settle()
    return made


@pytest.mark.parametrize("sequential", [False, True], ids=["plain", "sequential"])
def test_a_create_whose_reply_is_lost_is_not_done_twice(sequential: bool) -> None:
    async def run() -> None:
        harness = home(sequential)
        harness.want(True)
        while not harness.mine():
            harness.send()
            if not harness.mine():
                harness.receive()
        harness.connect(1)  # the reply never comes
        harness.settle()
        assert len(harness.mine()) == 1 == harness.most and harness.registration.status is NodeStatus.OWN
        assert sum(server.asked[Op.CREATE] for server in harness.servers) <= 3  # the folder, and one node

    asyncio.run(run())


@pytest.mark.parametrize("sequential", [False, True], ids=["plain", "sequential"])
def test_it_takes_the_place_of_its_own_old_node_in_one_step(sequential: bool) -> None:
    """The registration races its own old ephemeral node, whose session has not expired yet."""

    async def run() -> None:
        harness = Home(sequential)
        old = f"{FOLDER}/box-f00-0000000000" if sequential else f"{FOLDER}/box"
        harness.cluster.box(old, b"ours before")
        events: list[int] = []
        harness.cluster.ensemble.listeners.append(lambda _: events.append(len(harness.mine())))
        harness.want(True)
        harness.connect()
        harness.settle()
        assert harness.registration.status is NodeStatus.OWN and set(events) == {1}
        [path] = harness.mine()
        assert harness.cluster.ensemble.tree.nodes[path].owner == harness.session.id

    asyncio.run(run())


def test_somebody_elses_node_of_the_same_name_is_waited_for() -> None:
    async def run() -> None:
        harness = home()
        harness.cluster.box(f"{FOLDER}/box", b"theirs")
        harness.want(True)
        harness.settle()
        assert harness.mine() == [] and harness.registration.status is NodeStatus.FOREIGN
        assert harness.lines() == ["/boxes/box belongs to another process; waiting until it is deleted"]
        harness.cluster.expire(f"{FOLDER}/box")
        harness.settle()
        assert harness.mine() == ["/boxes/box"] and harness.lines() == ["registered as /boxes/box"]

    asyncio.run(run())


def test_a_session_that_was_lost_makes_it_register_again() -> None:
    async def run() -> None:
        harness = home()
        harness.want(True)
        harness.settle()
        first = harness.session.id
        harness.cluster.ensemble.end(first)
        assert harness.mine() == []
        harness.recover()
        assert harness.mine() == ["/boxes/box"] and harness.session.id != first
        assert "the session has expired; registering again" in harness.lines()

    asyncio.run(run())


def test_an_ill_box_has_no_node_and_leaving_deletes_it() -> None:
    async def run() -> None:
        harness = home()
        harness.settle()
        assert harness.mine() == [] and harness.most == 0
        harness.want(True)
        harness.settle()
        harness.want(False)
        assert not harness.registration.is_settled
        harness.settle()
        assert harness.mine() == [] and harness.registration.is_settled

    asyncio.run(run())


def test_what_is_forbidden_is_said_once_and_tried_again_only_when_asked() -> None:
    async def run() -> None:
        harness = home()
        guarded = (r.Acl(r.PERM_READ, "world", "anyone"),)
        harness.cluster.ensemble.commit(harness.cluster.operator, ((Op.CREATE, r.Create(FOLDER, b"", guarded, 0)),))
        harness.want(True)
        harness.settle()
        assert harness.lines() == ["CREATE of /boxes/box fails: NO_AUTH"]
        asked = sum(server.asked[Op.CREATE] for server in harness.servers)
        harness.settle()
        harness.registration.retry()
        harness.multiplexer.send_requests(harness.now)
        harness.settle()
        assert sum(server.asked[Op.CREATE] for server in harness.servers) == asked + 1 and harness.lines() == []
        assert harness.session.state is State.CONNECTED

    asyncio.run(run())


@pytest.mark.parametrize("sequential", [False, True], ids=["plain", "sequential"])
def test_a_server_that_lags_behind_a_lost_create_is_waited_for(sequential: bool) -> None:
    async def run() -> None:
        harness = Home(sequential)
        harness.cluster.write(FOLDER)
        harness.connect()
        harness.settle()
        harness.servers[1].lag()
        harness.want(True)
        harness.send()
        assert len(harness.mine()) == 1
        harness.connect(1)  # it knows nothing of the node, and nothing that this client has not seen
        harness.settle()
        harness.servers[1].mend()
        harness.settle()
        assert len(harness.mine()) == 1 == harness.most and harness.registration.status is NodeStatus.OWN

    asyncio.run(run())


def test_a_replacement_whose_reply_is_lost_is_found_under_its_new_number() -> None:
    async def run() -> None:
        harness = Home(sequential=True)
        harness.cluster.box(f"{FOLDER}/box-f00-0000000000", b"ours before")
        harness.want(True)
        harness.connect()
        while harness.mine() == ["/boxes/box-f00-0000000000"]:
            harness.send()
            if harness.mine() == ["/boxes/box-f00-0000000000"]:
                harness.receive()
        harness.servers[1].faults.forgets = True  # nor does a watch tell that the old one is gone
        harness.connect(1)
        harness.settle()
        assert harness.mine() == ["/boxes/box-f00-0000000001"] and harness.most == 1

    asyncio.run(run())


def test_an_old_node_of_a_box_that_is_ill_is_deleted() -> None:
    async def run() -> None:
        harness = Home()
        harness.cluster.box(f"{FOLDER}/box", b"ours before")
        harness.connect()
        harness.settle()
        assert harness.mine() == [] and harness.registration.is_settled

    asyncio.run(run())
