"""The rig of faults: what its relay does to links, what its checker finds, and a short run over real processes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from lugspur.bench.faults.links import Cut, Links, Pair
from lugspur.bench.faults.logs import exceptions
from lugspur.bench.faults.plan import Direction, Fault, Kind
from lugspur.bench.faults.report import details, table
from lugspur.bench.faults.run import play
from lugspur.bench.mesh import free_ports

CLIENT, SERVER = "127.0.0.2", "127.0.0.3"
THERE, BACK = Pair(CLIENT, SERVER), Pair(SERVER, CLIENT)
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Relayed:
    """A server behind a relay, and connections to it."""

    def __init__(self, links: Links) -> None:
        self.links = links
        self.accepted: asyncio.Queue[Streams] = asyncio.Queue()
        self.kept: list[Streams] = []  # a reader that nobody keeps ends its connection

    async def begin(self) -> None:
        public, bound = free_ports([SERVER], 2)
        self.address = (SERVER, public)
        self.server = await asyncio.start_server(self.accept, SERVER, bound)
        self.bound = (SERVER, bound)
        await self.links.open(self.address, self.bound)
        self.kept.append(await self.accepted.get())  # the relay's look whether it is bound

    def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.kept.append((reader, writer))
        self.accepted.put_nowait((reader, writer))

    async def dial(self) -> Streams:
        self.kept.append(await asyncio.open_connection(*self.address, local_addr=(CLIENT, 0)))
        return self.kept[-1]


def relayed(what: Callable[[Relayed], Awaitable[None]]) -> None:
    async def run() -> None:
        links = Links()
        there = Relayed(links)
        await there.begin()
        try:
            async with asyncio.timeout(20.0):
                await what(there)
        finally:
            there.server.close()
            await links.close()

    asyncio.run(run())


def test_a_cut_in_one_direction_holds_bytes_until_it_heals_and_the_other_direction_goes_on() -> None:
    async def what(there: Relayed) -> None:
        reader, writer = await there.dial()
        far_reader, far_writer = await there.accepted.get()
        there.links.cut(THERE, Cut.SILENT)
        writer.write(b"held")
        held = asyncio.create_task(far_reader.readexactly(4))
        for _ in range(5):  # so many round trips the other way
            far_writer.write(b"news")
            assert await reader.readexactly(4) == b"news"
        assert not held.done()
        there.links.heal()
        assert await held == b"held"

    relayed(what)


def test_a_silent_cut_holds_back_what_is_written_without_limit_at_its_sender() -> None:
    async def what(there: Relayed) -> None:
        _, writer = await there.dial()
        far_reader, _ = await there.accepted.get()
        there.links.cut(THERE, Cut.SILENT)
        size = 32 << 20
        writer.write(b"x" * size)
        drained = asyncio.create_task(writer.drain())
        done, _ = await asyncio.wait({drained}, timeout=0.3)
        assert not done  # the relay reads no more than its bound
        there.links.heal()
        assert len(await far_reader.readexactly(size)) == size

    relayed(what)


def test_a_cut_with_resets_ends_connections_on_both_sides_and_new_ones_too() -> None:
    async def what(there: Relayed) -> None:
        reader, _ = await there.dial()
        far_reader, _ = await there.accepted.get()
        there.links.cut(BACK, Cut.RESET)
        for side in (reader, far_reader):
            with pytest.raises(ConnectionResetError):
                await side.read()
        fresh, _ = await there.dial()
        with pytest.raises(ConnectionResetError):
            await fresh.read()
        there.links.heal()
        again, _ = await there.dial()
        _, far_writer = await there.accepted.get()
        far_writer.write(b"well")
        assert await again.readexactly(4) == b"well"

    relayed(what)


def test_refusing_new_connections_leaves_the_present_ones() -> None:
    async def what(there: Relayed) -> None:
        reader, _ = await there.dial()
        _, far_writer = await there.accepted.get()
        there.links.cut(THERE, Cut.REFUSE)
        fresh, _ = await there.dial()
        with pytest.raises(ConnectionResetError):
            await fresh.read()
        far_writer.write(b"well")
        assert await reader.readexactly(4) == b"well"

    relayed(what)


def test_a_machine_whose_process_has_ended_refuses_connections_until_the_next_one_is_bound() -> None:
    async def what(there: Relayed) -> None:
        there.server.close()
        there.links.shut(SERVER)
        opening = there.links.open(there.address, there.bound)
        for _ in range(3):
            with pytest.raises(ConnectionRefusedError):
                await there.dial()
        assert not opening.done()
        there.server = await asyncio.start_server(there.accept, *there.bound)
        await opening
        await there.accepted.get()
        await there.dial()
        _, far_writer = await there.accepted.get()
        assert far_writer.get_extra_info("peername")[0] == CLIENT

    relayed(what)


def test_the_end_of_a_process_reaches_the_other_side() -> None:
    async def what(there: Relayed) -> None:
        reader, _ = await there.dial()
        _, far_writer = await there.accepted.get()
        far_writer.close()
        assert await reader.read() == b""

    relayed(what)


def test_exceptions_that_nobody_caught_are_found_in_logs(tmp_path: Path) -> None:
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
    assert exceptions(tmp_path) == {"RuntimeError (no good) in mesh/process.py, line 9, in _look": 1}


SHORT_RUN = [
    Fault(Kind.WIPE),
    Fault(Kind.KILL_AFTER_ACK),
    Fault(Kind.ISOLATE_CONTROL, 2.6, Cut.SILENT, Direction.OUT),
    Fault(Kind.RESET_ONCE),
    Fault(Kind.FREEZE, 2.0),
    Fault(Kind.KILL_ALL),
]


def test_nothing_promised_is_broken_by_a_short_run_of_faults(tmp_path: Path) -> None:
    outcome = asyncio.run(play(tmp_path, 3, 1, SHORT_RUN, seed=1))
    assert outcome.injected.total() == len(SHORT_RUN)
    tries, calls = outcome.history.tries, outcome.history.calls
    assert sum(sent.confirmed for sent in tries) > 20 and any(sent.refused for sent in tries)
    assert any(call.key and call.status == 200 for call in calls)
    told = "\n".join([*table(outcome), *details(outcome)])
    failed = outcome.failed
    assert not failed, told
