"""A box's own node: never two of them, none while it is not wanted, and there again after whatever went wrong."""

from __future__ import annotations

import asyncio
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from wire import World

from lugspur.zookeeper import records as r
from lugspur.zookeeper.records import Op
from lugspur.zookeeper.registration import NodeStatus, Registration
from lugspur.zookeeper.session import State

FOLDER = "/boxes"


class Home(World):
    """A world with one registration instead of what others know."""

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
        world = home(sequential)
        world.want(True)
        while not world.mine():
            world.send()
            if not world.mine():
                world.receive()
        world.connect(1)  # the reply never comes
        world.settle()
        assert len(world.mine()) == 1 == world.most and world.registration.status is NodeStatus.OWN
        assert sum(server.asked[Op.CREATE] for server in world.servers) <= 3  # the folder, and one node

    asyncio.run(run())


@pytest.mark.parametrize("sequential", [False, True], ids=["plain", "sequential"])
def test_it_takes_the_place_of_its_own_old_node_in_one_step(sequential: bool) -> None:
    """The registration races its own old ephemeral node, whose session has not expired yet."""

    async def run() -> None:
        world = Home(sequential)
        old = f"{FOLDER}/box-f00-0000000000" if sequential else f"{FOLDER}/box"
        world.cluster.box(old, b"ours before")
        events: list[int] = []
        world.cluster.ensemble.listeners.append(lambda _: events.append(len(world.mine())))
        world.want(True)
        world.connect()
        world.settle()
        assert world.registration.status is NodeStatus.OWN and set(events) == {1}
        [path] = world.mine()
        assert world.cluster.ensemble.tree.nodes[path].owner == world.session.id

    asyncio.run(run())


def test_somebody_elses_node_of_the_same_name_is_waited_for() -> None:
    async def run() -> None:
        world = home()
        world.cluster.box(f"{FOLDER}/box", b"theirs")
        world.want(True)
        world.settle()
        assert world.mine() == [] and world.registration.status is NodeStatus.FOREIGN
        assert world.lines() == ["/boxes/box belongs to another process; waiting until it is deleted"]
        world.cluster.expire(f"{FOLDER}/box")
        world.settle()
        assert world.mine() == ["/boxes/box"] and world.lines() == ["registered as /boxes/box"]

    asyncio.run(run())


def test_a_session_that_was_lost_makes_it_register_again() -> None:
    async def run() -> None:
        world = home()
        world.want(True)
        world.settle()
        first = world.session.id
        world.cluster.ensemble.end(first)
        assert world.mine() == []
        world.recover()
        assert world.mine() == ["/boxes/box"] and world.session.id != first
        assert "the session has expired; registering again" in world.lines()

    asyncio.run(run())


def test_an_ill_box_has_no_node_and_leaving_deletes_it() -> None:
    async def run() -> None:
        world = home()
        world.settle()
        assert world.mine() == [] and world.most == 0
        world.want(True)
        world.settle()
        world.want(False)
        assert not world.registration.is_settled
        world.settle()
        assert world.mine() == [] and world.registration.is_settled

    asyncio.run(run())


def test_what_is_forbidden_is_said_once_and_tried_again_only_when_asked() -> None:
    async def run() -> None:
        world = home()
        guarded = (r.Acl(r.PERM_READ, "world", "anyone"),)
        world.cluster.ensemble.commit(world.cluster.operator, ((Op.CREATE, r.Create(FOLDER, b"", guarded, 0)),))
        world.want(True)
        world.settle()
        assert world.lines() == ["CREATE of /boxes/box fails: NO_AUTH"]
        asked = sum(server.asked[Op.CREATE] for server in world.servers)
        world.settle()
        world.registration.retry()
        world.multiplexer.send_requests(world.now)
        world.settle()
        assert sum(server.asked[Op.CREATE] for server in world.servers) == asked + 1 and world.lines() == []
        assert world.session.state is State.CONNECTED

    asyncio.run(run())


@pytest.mark.parametrize("sequential", [False, True], ids=["plain", "sequential"])
def test_a_server_that_lags_behind_a_lost_create_is_waited_for(sequential: bool) -> None:
    async def run() -> None:
        world = Home(sequential)
        world.cluster.write(FOLDER)
        world.connect()
        world.settle()
        world.servers[1].lag()
        world.want(True)
        world.send()
        assert len(world.mine()) == 1
        world.connect(1)  # it knows nothing of the node, and nothing that this client has not seen
        world.settle()
        world.servers[1].mend()
        world.settle()
        assert len(world.mine()) == 1 == world.most and world.registration.status is NodeStatus.OWN

    asyncio.run(run())


def test_a_replacement_whose_reply_is_lost_is_found_under_its_new_number() -> None:
    async def run() -> None:
        world = Home(sequential=True)
        world.cluster.box(f"{FOLDER}/box-f00-0000000000", b"ours before")
        world.want(True)
        world.connect()
        while world.mine() == ["/boxes/box-f00-0000000000"]:
            world.send()
            if world.mine() == ["/boxes/box-f00-0000000000"]:
                world.receive()
        world.servers[1].faults.forgets = True  # nor does a watch tell that the old one is gone
        world.connect(1)
        world.settle()
        assert world.mine() == ["/boxes/box-f00-0000000001"] and world.most == 1

    asyncio.run(run())


def test_an_old_node_of_a_box_that_is_ill_is_deleted() -> None:
    async def run() -> None:
        world = Home()
        world.cluster.box(f"{FOLDER}/box", b"ours before")
        world.connect()
        world.settle()
        assert world.mine() == [] and world.registration.is_settled

    asyncio.run(run())
