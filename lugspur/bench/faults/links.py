"""A relay between the processes of a mesh that cuts links, by pair of machines and in each direction by itself.

Every machine is an address of its own, so that the source address of a connection names who dialled. The relay listens
where the others reach a machine and passes bytes on to where its process is bound.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass

PROBE_EVERY = 0.02  # seconds between looks at whether a process is bound
CHUNK = 16 << 10  # bytes passed on at a time; with the stream's limit, what one direction of a connection may hold
SLOW_PAUSE = 0.1  # seconds between two chunks of a slow link
DIAL_WITHIN = 2.0  # seconds for the connection to the bound process

Address = tuple[str, int]


class Cut(enum.Enum):
    """What happens to bytes from one machine to another."""

    OPEN = "open"
    SILENT = "silent"  # nothing is read: bytes wait, and arrive late if the connection outlives the cut
    RESET = "reset"  # connections are reset, and new ones too
    REFUSE = "refuse"  # connections go on, new ones are reset
    SLOW = "slow"


@dataclass(frozen=True)
class Pair:
    """One direction of a link."""

    source: str
    destination: str

    @property
    def reverse(self) -> Pair:
        """The other direction."""
        return Pair(self.destination, self.source)


async def _bound(address: Address) -> bool:
    """Whether a process accepts connections there."""
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by a reset, with what it still holds."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class _Connection:
    """A relayed connection: `pair` has who dialled as its source; the far side is added once it is there."""

    def __init__(self, pair: Pair, near: asyncio.StreamWriter) -> None:
        self.pair = pair
        self.sides = [near]
        self.broken = False

    def add(self, far: asyncio.StreamWriter) -> None:
        """The connection onwards is there; it ends at once if the cut came meanwhile."""
        self.sides.append(far)
        if self.broken:
            reset(far)

    def reset(self) -> None:
        """Reset both sides."""
        self.broken = True
        for writer in self.sides:
            reset(writer)


class Links:
    """All links of a mesh."""

    def __init__(self) -> None:
        self._cuts: dict[Pair, Cut] = {}
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._servers: dict[str, asyncio.Server] = {}
        self._opening: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, public: Address, bound: Address) -> asyncio.Task[None]:
        """Relay to a machine's process once that is bound: until then connections are refused, as by a machine."""
        self.shut(public[0])
        self._opening[public[0]] = self._start(self._listen(public, bound))
        return self._opening[public[0]]

    def shut(self, machine: str) -> None:
        """The process of a machine has ended: refuse connections."""
        opening = self._opening.pop(machine, None)
        if opening is not None:
            opening.cancel()
        server = self._servers.pop(machine, None)
        if server is not None:
            server.close()

    async def _listen(self, public: Address, bound: Address) -> None:
        while not await _bound(bound):
            await asyncio.sleep(PROBE_EVERY)

        def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._start(self._relay(public[0], bound, reader, writer))

        self._servers[public[0]] = await asyncio.start_server(accepted, *public, limit=CHUNK, backlog=512)

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """End all."""
        for server in self._servers.values():
            server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # ---- cuts --------------------------------------------------------------------------------

    def cut(self, pair: Pair, how: Cut) -> None:
        """Set what happens in one direction from now on."""
        self._cuts[pair] = how
        if how is Cut.RESET:
            self.reset(pair)
        self._notify()

    def heal(self) -> None:
        """Open all links."""
        self._cuts.clear()
        self._notify()

    def open_again(self, pairs: Iterable[Pair]) -> None:
        """Open some links; others stay as they are."""
        for pair in pairs:
            self._cuts.pop(pair, None)
        self._notify()

    def reset(self, pair: Pair) -> None:
        """Reset the present connections between two machines, whoever dialled."""
        for connection in list(self._connections):
            if connection.pair in (pair, pair.reverse):
                connection.reset()

    def state(self, pair: Pair) -> Cut:
        """What happens in one direction at present."""
        return self._cuts.get(pair, Cut.OPEN)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # ---- connections -------------------------------------------------------------------------

    async def _relay(
        self, destination: str, bound: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        pair = Pair(writer.get_extra_info("peername")[0], destination)
        if {self.state(pair), self.state(pair.reverse)} & {Cut.RESET, Cut.REFUSE}:
            reset(writer)
            return
        connection = _Connection(pair, writer)
        self._connections.add(connection)
        try:
            async with asyncio.timeout(DIAL_WITHIN):
                far_reader, far_writer = await asyncio.open_connection(*bound, limit=CHUNK, local_addr=(pair.source, 0))
            connection.add(far_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._carry(pair, reader, far_writer, connection))
                group.create_task(self._carry(pair.reverse, far_reader, writer, connection))
        except (OSError, TimeoutError):  # nobody is bound there
            connection.reset()
        finally:
            self._connections.discard(connection)
            for side in connection.sides:
                side.close()

    async def _carry(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: _Connection
    ) -> None:
        """Pass on one direction until it ends; a reset on one side becomes one on the other."""
        try:
            while data := await reader.read(CHUNK):
                await self._passable(pair)
                if self.state(pair) is Cut.SLOW:
                    await asyncio.sleep(SLOW_PAUSE)
                writer.write(data)
                await writer.drain()
            await self._passable(pair)
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            await self._passable(pair)  # the other side hears nothing of a reset that can't cross a cut
            connection.reset()

    async def _passable(self, pair: Pair) -> None:
        while self.state(pair) is Cut.SILENT:
            await self._changed.wait()
