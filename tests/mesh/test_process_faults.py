"""Tests of the fault bench: its relay, its search of logs, and a short run over real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lugspur.bench.faults.links import Links, LinkState, Pair
from lugspur.bench.faults.logs import count_uncaught_exceptions
from lugspur.bench.faults.plan import Direction, Fault, Kind
from lugspur.bench.faults.report import details, table
from lugspur.bench.faults.run import play
from lugspur.bench.mesh import free_ports

CLIENT, SERVER = "127.0.0.2", "127.0.0.3"
TO_SERVER, TO_CLIENT = Pair(CLIENT, SERVER), Pair(SERVER, CLIENT)
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class RelayedServer:
    """A server behind a relay, and the connections to it."""

    def __init__(self, links: Links) -> None:
        self.links = links
        self.accepted: asyncio.Queue[Streams] = asyncio.Queue()
        self.streams: list[Streams] = []  # references that keep the connections open: a stream without one is closed

    async def begin(self) -> None:
        public, bound = free_ports([SERVER], 2)
        self.address = (SERVER, public)
        self.server = await asyncio.start_server(self.accept, SERVER, bound)
        self.bound = (SERVER, bound)
        await self.links.open(self.address, self.bound)
        self.streams.append(await self.accepted.get())  # the relay's check whether the server is bound

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.streams.append((reader, writer))
        self.accepted.put_nowait((reader, writer))

    async def connect(self) -> Streams:
        self.streams.append(await asyncio.open_connection(*self.address, local_addr=(CLIENT, 0)))
        return self.streams[-1]


def run_scenario(scenario: Callable[[RelayedServer], Awaitable[None]]) -> None:
    async def run() -> None:
        links = Links()
        relayed = RelayedServer(links)
        await relayed.begin()
        try:
            async with asyncio.timeout(20.0):
                await scenario(relayed)
        finally:
            relayed.server.close()
            await links.close()

    asyncio.run(run())


def test_cut_in_one_direction_delays_bytes_until_it_heals_and_leaves_the_other_open() -> None:
    async def scenario(relayed: RelayedServer) -> None:
        reader, writer = await relayed.connect()
        server_reader, server_writer = await relayed.accepted.get()
        relayed.links.set_state(TO_SERVER, LinkState.SILENT)
        writer.write(b"held")
        delayed = asyncio.create_task(server_reader.readexactly(4))
        for _ in range(5):  # messages in the other direction
            server_writer.write(b"news")
            assert await reader.readexactly(4) == b"news"
        assert not delayed.done()
        relayed.links.heal()
        assert await delayed == b"held"

    run_scenario(scenario)


def test_silent_cut_blocks_a_sender_that_writes_more_than_the_relay_buffers() -> None:
    async def scenario(relayed: RelayedServer) -> None:
        _, writer = await relayed.connect()
        server_reader, _ = await relayed.accepted.get()
        relayed.links.set_state(TO_SERVER, LinkState.SILENT)
        size = 32 << 20
        writer.write(b"x" * size)
        drained = asyncio.create_task(writer.drain())
        done, _ = await asyncio.wait({drained}, timeout=0.3)
        assert not done  # the relay buffers no more than its limit
        relayed.links.heal()
        assert len(await server_reader.readexactly(size)) == size

    run_scenario(scenario)


def test_cut_with_resets_closes_open_connections_on_both_sides_and_new_ones() -> None:
    async def scenario(relayed: RelayedServer) -> None:
        reader, _ = await relayed.connect()
        server_reader, _ = await relayed.accepted.get()
        relayed.links.set_state(TO_CLIENT, LinkState.RESET)
        for side in (reader, server_reader):
            with pytest.raises(ConnectionResetError):
                await side.read()
        new_reader, _ = await relayed.connect()
        with pytest.raises(ConnectionResetError):
            await new_reader.read()
        relayed.links.heal()
        later_reader, _ = await relayed.connect()
        _, server_writer = await relayed.accepted.get()
        server_writer.write(b"well")
        assert await later_reader.readexactly(4) == b"well"

    run_scenario(scenario)


def test_refusing_new_connections_leaves_open_ones() -> None:
    async def scenario(relayed: RelayedServer) -> None:
        reader, _ = await relayed.connect()
        _, server_writer = await relayed.accepted.get()
        relayed.links.set_state(TO_SERVER, LinkState.REFUSE)
        new_reader, _ = await relayed.connect()
        with pytest.raises(ConnectionResetError):
            await new_reader.read()
        server_writer.write(b"well")
        assert await reader.readexactly(4) == b"well"

    run_scenario(scenario)


def test_a_machine_whose_process_has_ended_refuses_connections_until_the_next_one_is_bound() -> None:
    async def scenario(relayed: RelayedServer) -> None:
        relayed.server.close()
        relayed.links.shut(SERVER)
        opening = relayed.links.open(relayed.address, relayed.bound)
        for _ in range(3):
            with pytest.raises(ConnectionRefusedError):
                await relayed.connect()
        assert not opening.done()
        relayed.server = await asyncio.start_server(relayed.accept, *relayed.bound)
        await opening
        await relayed.accepted.get()
        await relayed.connect()
        _, server_writer = await relayed.accepted.get()
        assert server_writer.get_extra_info("peername")[0] == CLIENT

    run_scenario(scenario)


def test_end_of_a_process_closes_its_connections() -> None:
    async def scenario(relayed: RelayedServer) -> None:
        reader, _ = await relayed.connect()
        _, server_writer = await relayed.accepted.get()
        server_writer.close()
        assert await reader.read() == b""

    run_scenario(scenario)


def test_uncaught_exceptions_are_found_in_logs(tmp_path: Path) -> None:
    (tmp_path / "a.log").write_text(
        "12:00 event=serving\nException in callback Node._look\nTraceback (most recent call last):\n"
        '  File "/src/lugspur/mesh/control/items.py", line 5, in check\n'
        "MeshError: conflict\n\nDuring handling of the above exception, another exception occurred:\n\n"
        "Traceback (most recent call last):\n"
        '  File "uvloop/cbhandles.pyx", line 64, in run\n'
        '  File "/src/lugspur/mesh/process.py", line 9, in _look\n    self.look(now)\n'
        "RuntimeError: no good <object at 0x12>; closed\n12:01 event=serving\n"
    )
    (tmp_path / "b.log").write_text("12:00 event=serving fault=RuntimeError: none\n")
    assert count_uncaught_exceptions(tmp_path) == {"RuntimeError (no good) in mesh/process.py, line 9, in _look": 1}


SHORT_RUN = [
    Fault(Kind.WIPE),
    Fault(Kind.KILL_AFTER_ACK),
    Fault(Kind.ISOLATE_CONTROL, 2.6, LinkState.SILENT, Direction.OUT),
    Fault(Kind.RESET_ONCE),
    Fault(Kind.FREEZE, 2.0),
    Fault(Kind.KILL_ALL),
]


def test_short_run_of_faults_violates_no_guarantee(tmp_path: Path) -> None:
    outcome = asyncio.run(play(tmp_path, 3, 1, SHORT_RUN, seed=1))
    assert outcome.injected.total() == len(SHORT_RUN)
    order_attempts, calls = outcome.history.order_attempts, outcome.history.calls
    assert sum(sent.confirmed for sent in order_attempts) > 20 and any(sent.refused for sent in order_attempts)
    assert any(call.key and call.status == 200 for call in calls)
    output = "\n".join([*table(outcome), *details(outcome)])
    failed = outcome.failed
    assert not failed, output
