"""The node of a backend: never two, none while it is not wanted, and recreated after any fault."""

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
from lugspur.zookeeper.session import SessionState

DIRECTORY = "/boxes"


class RegistrationHarness(SessionHarness):
    """A harness with one registration instead of a view."""

    def __init__(self, sequential: bool = False) -> None:
        super().__init__()
        self.multiplexer.remove(self.view)
        self.registration = Registration(
            DIRECTORY, "box", b"ours", lambda data: data.startswith(b"ours"), "f00" if sequential else ""
        )
        self.multiplexer.add(self.registration, self.now)
        self.max_node_count = 0  # largest number of own nodes at the same time
        self.cluster.ensemble.listeners.append(lambda _: self.count_nodes())

    def count_nodes(self) -> None:
        self.max_node_count = max(self.max_node_count, len(self.own_nodes()))

    def own_nodes(self) -> list[str]:
        nodes = self.cluster.ensemble.tree.nodes
        return sorted(path for path, node in nodes.items() if node.data.startswith(b"ours"))

    def set_wanted(self, wanted: bool) -> None:
        self.registration.set_wanted(wanted)
        self.multiplexer.send_requests(self.now)

    def take_log_lines(self) -> list[str]:
        return self.registration.take_log_lines()


class RandomizedHarness(RegistrationHarness):
    """A registration harness with random faults and changes of the registration."""

    def __init__(self, random_source: random.Random, sequential: bool) -> None:
        super().__init__(sequential)
        self.random_source = random_source

    def step(self) -> None:
        action = self.random_source.choices(
            [
                self.send,
                self.receive,
                self.receive_part,
                self.reconnect,
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
        action()

    def receive_part(self) -> None:
        if self.pipe.data:
            self.receive(self.random_source.randrange(1, len(self.pipe.data) + 1))

    def reconnect(self) -> None:
        self.connect(self.random_source.randrange(3))

    def expire(self) -> None:
        self.cluster.ensemble.end(self.session.id)

    def toggle(self) -> None:
        self.set_wanted(not self.registration.is_wanted)

    def stall(self) -> None:
        self.random_source.choice(self.servers).stall()

    def lag(self) -> None:
        self.random_source.choice(self.servers).lag()

    def mend(self) -> None:
        self.random_source.choice(self.servers).mend()

    def remove(self) -> None:
        for path in self.own_nodes():
            self.cluster.delete(path)

    def write(self) -> None:
        self.registration.set_data(b"ours" + str(self.random_source.random()).encode())
        self.multiplexer.send_requests(self.now)


@settings(max_examples=300, deadline=None)
@given(seed=st.integers(), sequential=st.booleans())
def test_after_any_fault_there_is_one_node_if_it_is_wanted_and_never_two(seed: int, sequential: bool) -> None:
    async def run() -> None:
        harness = RandomizedHarness(random.Random(seed), sequential)
        for _ in range(6):
            for _ in range(40):
                harness.step()
            harness.recover()
            assert len(harness.own_nodes()) == harness.registration.is_wanted and harness.registration.is_settled
            if harness.registration.is_wanted:
                node = harness.cluster.ensemble.tree.nodes[harness.own_nodes()[0]]
                assert (node.owner, node.data) == (harness.session.id, harness.registration.data)
        assert harness.max_node_count <= 1

    asyncio.run(run())


def connected_harness(sequential: bool = False) -> RegistrationHarness:
    harness = RegistrationHarness(sequential)
    harness.connect()
    harness.settle()
    return harness


@pytest.mark.parametrize("sequential", [False, True], ids=["plain", "sequential"])
def test_a_create_whose_reply_is_lost_is_not_repeated(sequential: bool) -> None:
    async def run() -> None:
        harness = connected_harness(sequential)
        harness.set_wanted(True)
        while not harness.own_nodes():
            harness.send()
            if not harness.own_nodes():
                harness.receive()
        harness.connect(1)  # the reply does not arrive
        harness.settle()
        assert len(harness.own_nodes()) == 1 == harness.max_node_count and harness.registration.status is NodeStatus.OWN
        assert sum(server.request_counts[Op.CREATE] for server in harness.servers) <= 3  # the directory and one node

    asyncio.run(run())


@pytest.mark.parametrize("sequential", [False, True], ids=["plain", "sequential"])
def test_a_node_of_an_earlier_session_is_replaced_in_one_transaction(sequential: bool) -> None:
    """An ephemeral node of an earlier session, which has not expired yet, is replaced by one of the current session."""

    async def run() -> None:
        harness = RegistrationHarness(sequential)
        old = f"{DIRECTORY}/box-f00-0000000000" if sequential else f"{DIRECTORY}/box"
        harness.cluster.register_backend(old, b"ours before")
        events: list[int] = []
        harness.cluster.ensemble.listeners.append(lambda _: events.append(len(harness.own_nodes())))
        harness.set_wanted(True)
        harness.connect()
        harness.settle()
        assert harness.registration.status is NodeStatus.OWN and set(events) == {1}
        [path] = harness.own_nodes()
        assert harness.cluster.ensemble.tree.nodes[path].owner == harness.session.id

    asyncio.run(run())


def test_registration_waits_for_the_deletion_of_a_foreign_node_of_the_same_name() -> None:
    async def run() -> None:
        harness = connected_harness()
        harness.cluster.register_backend(f"{DIRECTORY}/box", b"theirs")
        harness.set_wanted(True)
        harness.settle()
        assert harness.own_nodes() == [] and harness.registration.status is NodeStatus.FOREIGN
        assert harness.take_log_lines() == ["/boxes/box belongs to another process; waiting until it is deleted"]
        harness.cluster.expire(f"{DIRECTORY}/box")
        harness.settle()
        assert harness.own_nodes() == ["/boxes/box"] and harness.take_log_lines() == ["registered as /boxes/box"]

    asyncio.run(run())


def test_an_expired_session_causes_a_new_registration() -> None:
    async def run() -> None:
        harness = connected_harness()
        harness.set_wanted(True)
        harness.settle()
        first_id = harness.session.id
        harness.cluster.ensemble.end(first_id)
        assert harness.own_nodes() == []
        harness.recover()
        assert harness.own_nodes() == ["/boxes/box"] and harness.session.id != first_id
        assert "the session has expired; registering again" in harness.take_log_lines()

    asyncio.run(run())


def test_an_unhealthy_backend_has_no_node_and_deregistration_deletes_it() -> None:
    async def run() -> None:
        harness = connected_harness()
        harness.settle()
        assert harness.own_nodes() == [] and harness.max_node_count == 0
        harness.set_wanted(True)
        harness.settle()
        harness.set_wanted(False)
        assert not harness.registration.is_settled
        harness.settle()
        assert harness.own_nodes() == [] and harness.registration.is_settled

    asyncio.run(run())


def test_a_forbidden_request_is_logged_once_and_retried_only_on_demand() -> None:
    async def run() -> None:
        harness = connected_harness()
        read_only = (r.Acl(r.PERM_READ, "world", "anyone"),)
        harness.cluster.ensemble.commit(
            harness.cluster.operator, ((Op.CREATE, r.Create(DIRECTORY, b"", read_only, 0)),)
        )
        harness.set_wanted(True)
        harness.settle()
        assert harness.take_log_lines() == ["CREATE of /boxes/box fails: NO_AUTH"]
        create_count = sum(server.request_counts[Op.CREATE] for server in harness.servers)
        harness.settle()
        harness.registration.retry()
        harness.multiplexer.send_requests(harness.now)
        harness.settle()
        assert (
            sum(server.request_counts[Op.CREATE] for server in harness.servers) == create_count + 1
            and harness.take_log_lines() == []
        )
        assert harness.session.state is SessionState.CONNECTED

    asyncio.run(run())


@pytest.mark.parametrize("sequential", [False, True], ids=["plain", "sequential"])
def test_registration_waits_for_a_server_that_lags_behind_a_create_without_a_reply(sequential: bool) -> None:
    async def run() -> None:
        harness = RegistrationHarness(sequential)
        harness.cluster.write(DIRECTORY)
        harness.connect()
        harness.settle()
        harness.servers[1].lag()
        harness.set_wanted(True)
        harness.send()
        assert len(harness.own_nodes()) == 1
        harness.connect(1)  # it has not applied the node, but all that this client has seen
        harness.settle()
        harness.servers[1].mend()
        harness.settle()
        assert len(harness.own_nodes()) == 1 == harness.max_node_count and harness.registration.status is NodeStatus.OWN

    asyncio.run(run())


def test_a_replacement_whose_reply_is_lost_is_found_by_its_new_sequence_number() -> None:
    async def run() -> None:
        harness = RegistrationHarness(sequential=True)
        harness.cluster.register_backend(f"{DIRECTORY}/box-f00-0000000000", b"ours before")
        harness.set_wanted(True)
        harness.connect()
        while harness.own_nodes() == ["/boxes/box-f00-0000000000"]:
            harness.send()
            if harness.own_nodes() == ["/boxes/box-f00-0000000000"]:
                harness.receive()
        harness.servers[1].faults.ignores_set_watches = True  # no restored watch reports the deletion of the old node
        harness.connect(1)
        harness.settle()
        assert harness.own_nodes() == ["/boxes/box-f00-0000000001"] and harness.max_node_count == 1

    asyncio.run(run())


def test_an_old_node_of_an_unhealthy_backend_is_deleted() -> None:
    async def run() -> None:
        harness = RegistrationHarness()
        harness.cluster.register_backend(f"{DIRECTORY}/box", b"ours before")
        harness.connect()
        harness.settle()
        assert harness.own_nodes() == [] and harness.registration.is_settled

    asyncio.run(run())
