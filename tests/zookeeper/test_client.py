"""The transport over loopback: selection of servers, delays between connections, and closing."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from itertools import pairwise

import pytest
from loopback import until
from session_harness import Follower

from lugspur.standins.zookeeper.cluster import Cluster
from lugspur.standins.zookeeper.server import Server
from lugspur.zookeeper.client import Client
from lugspur.zookeeper.session import Connected, Disconnected, Event, Expired, SessionOptions, SessionState
from lugspur.zookeeper.view import View


class ClientHarness:
    """An ensemble, and a client with a view of /boxes."""

    def __init__(self, cluster: Cluster, client: Client, view: View, events: list[Event]) -> None:
        self.cluster, self.client, self.view, self.events = cluster, client, view, events

    async def wait_until_connected(self) -> None:
        """Wait until a server has accepted the session."""
        await until(lambda: self.client.session.state is SessionState.CONNECTED)

    def current_server(self) -> Server:
        """Return the server to which the client is connected."""
        return next(server for server in self.cluster.servers if server.address == self.client.server_address)

    def count(self, kind: type) -> int:
        return sum(isinstance(event, kind) for event in self.events)


@asynccontextmanager
async def client_harness(servers: int = 3, options: SessionOptions | None = None) -> AsyncIterator[ClientHarness]:
    async with Cluster() as cluster:
        await cluster.listen(*[("127.0.0.1", 0)] * servers)
        cluster.write("/boxes")
        events: list[Event] = []
        client = Client(cluster.addresses, options or SessionOptions(6.0), events.extend, random.Random(1))
        view = View("/boxes")
        client.add(view)
        client.open()
        harness = ClientHarness(cluster, client, view, events)
        try:
            await harness.wait_until_connected()
            yield harness
        finally:
            await client.close()


def test_the_stand_in_expires_a_short_session_that_started_after_a_long_one() -> None:
    async def run() -> None:
        async with Cluster() as cluster:
            cluster.register_backend("/boxes", b"{}")
            short = cluster.ensemble.begin(0.2)
            await until(lambda: short.id not in cluster.ensemble.sessions)
            assert len(cluster.ensemble.sessions) == 1

    asyncio.run(run())


def stall(server: Server) -> None:
    server.stall()


def cut(server: Server) -> None:
    server.faults.truncates = True


@pytest.mark.parametrize(
    "inject_fault",
    [stall, Server.refuse, Server.flap, Server.garbage, Server.huge, cut],
    ids=["stall", "refuse", "flap", "garbage", "frame of 1 GB", "cut in mid-frame"],
)
def test_the_session_is_resumed_at_another_server_after_any_fault(inject_fault: Callable[[Server], None]) -> None:
    async def run() -> None:
        async with client_harness() as harness:
            session = harness.client.session.id
            inject_fault(harness.current_server())
            await until(lambda: harness.count(Disconnected) == 1)
            await harness.wait_until_connected()
            assert harness.client.session.id == session and harness.count(Expired) == 0
            assert [event.is_new_session for event in harness.events if isinstance(event, Connected)] == [True, False]

    asyncio.run(run())


def test_a_stalled_server_is_given_up_before_the_session_expires() -> None:
    """The exact time is tested without sockets in test_session.py, as events are late on a loaded machine."""

    async def run() -> None:
        async with client_harness() as harness:
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            harness.current_server().stall()
            await until(lambda: harness.count(Disconnected) == 1)
            # The last data of the server may have arrived a third of the timeout before the stall.
            assert loop.time() - started_at > 6.0 / 3.0
            await until(lambda: harness.count(Connected) == 2)
            assert harness.count(Expired) == 0

    asyncio.run(run())


def test_the_session_survives_servers_that_stall_one_after_another() -> None:
    async def run() -> None:
        async with client_harness() as harness:
            others = [server for server in harness.cluster.servers if server is not harness.current_server()]
            others[0].stall()  # accepts connections and sends nothing
            harness.current_server().stall()
            await until(lambda: harness.count(Connected) == 2)
            assert harness.current_server() is others[1] and harness.count(Expired) == 0

    asyncio.run(run())


def test_a_server_that_lags_is_given_up_for_one_that_does_not() -> None:
    async def run() -> None:
        async with client_harness() as harness:
            ahead, *behind = sorted(harness.cluster.servers, key=lambda server: server is not harness.current_server())
            for server in behind:
                server.lag()
            harness.cluster.write("/boxes/a", b"1")
            await until(lambda: harness.client.session.zxid == harness.cluster.ensemble.zxid)
            ahead.flap()
            await until(lambda: harness.count(Connected) == 2)
            assert harness.current_server() is ahead

    asyncio.run(run())


def test_the_delay_between_connections_to_a_failed_ensemble_grows() -> None:
    async def run() -> None:
        async with client_harness(servers=1) as harness:
            [server] = harness.cluster.servers
            accepted_at: list[float] = []
            loop = asyncio.get_running_loop()

            def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                accepted_at.append(loop.time())
                writer.close()

            server.refuse()
            listener = await asyncio.start_server(accept, *server.address)
            await until(lambda: len(accepted_at) >= 6)
            gaps = [later - earlier for earlier, later in pairwise(accepted_at)]
            assert max(gaps[-2:]) > 2.0 * gaps[0]
            listener.close()

    asyncio.run(run())


def test_closing_ends_the_session_and_all_connections() -> None:
    async def run() -> None:
        async with client_harness() as harness:
            await harness.client.close()
            assert not harness.cluster.ensemble.sessions and harness.client.session.state is SessionState.CLOSED
            await until(lambda: not any(server.connections for server in harness.cluster.servers))

    asyncio.run(run())


def test_closing_without_a_server_does_not_wait_for_one() -> None:
    async def run() -> None:
        async with client_harness() as harness:
            for server in harness.cluster.servers:
                server.refuse()
            await until(lambda: harness.count(Disconnected) == 1)
            await harness.client.close()
            assert harness.client.session.state is SessionState.CLOSED

    asyncio.run(run())


@pytest.mark.parametrize("seed", range(3))
def test_the_view_equals_the_tree_after_churn_over_sockets(seed: int) -> None:
    """Like the test in test_view.py with real connections: fewer steps, and every fault of a server."""

    async def run() -> None:
        random_source = random.Random(seed)
        async with client_harness(options=SessionOptions(3.0)) as harness:
            follower = Follower()
            on_events = harness.client._on_events

            def receive_events(events: list[Event]) -> None:
                on_events(events)
                follower.receive(harness.view.take_updates())

            harness.client._on_events = receive_events
            cluster, servers = harness.cluster, harness.cluster.servers

            def change(path: str) -> None:
                exists = path in cluster.ensemble.tree.nodes
                kind = random_source.randrange(3)
                if kind == 0:
                    cluster.write(path, str(random_source.random()).encode())
                elif kind == 1 and exists:
                    cluster.delete(path)
                elif kind == 2 and not exists:
                    cluster.register_backend(path, b"box")

            faults = [
                Server.flap,
                Server.garbage,
                Server.huge,
                Server.lag,
                Server.mend,
                Server.mend,
                cut,
                forget_watches,
            ]
            for step in range(300):
                change(f"/boxes/{random_source.choice('abcdef')}")
                if step % 10 == 0:
                    random_source.choice(faults)(random_source.choice(servers))
                if step % 100 == 50:
                    cluster.ensemble.end(harness.client.session.id)
                await asyncio.sleep(random_source.choice([0.0, 0.0, 0.002]))
            for server in servers:
                server.mend()
            nodes = cluster.ensemble.tree.nodes
            await until(
                lambda: (
                    follower.nodes
                    == {
                        path[len("/boxes/") :]: (node.data, node.czxid)
                        for path, node in nodes.items()
                        if path.startswith("/boxes/")
                    }
                )
            )

    asyncio.run(run())


def forget_watches(server: Server) -> None:
    server.faults.ignores_set_watches = True
