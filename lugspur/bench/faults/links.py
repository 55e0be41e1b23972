"""A TCP relay between the processes of a mesh that can cut the link of two machines, each direction separately.

Every machine has an address of its own, so that the source address of a connection identifies the machine that opened
it. The relay listens on the address under which the others reach a machine, and forwards to the address that the
machine's process is bound to.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import Coroutine, Iterable
from dataclasses import dataclass

PROBE_INTERVAL = 0.02  # seconds between checks whether a process is bound
# Bytes forwarded at a time, and the limit of a stream's buffer; the two bound what one direction can hold back.
CHUNK_BYTES = 16 << 10
SLOW_PAUSE = 0.1  # seconds between two chunks on a slow link
CONNECT_TIMEOUT = 2.0  # seconds for the connection to the bound process

Address = tuple[str, int]


class LinkState(enum.Enum):
    """How the relay treats bytes and connections from one machine to another."""

    OPEN = "open"
    SILENT = "silent"  # bytes are not forwarded: they wait, and arrive late if the connection outlives the cut
    RESET = "reset"  # open connections are reset, and so are new ones
    REFUSE = "refuse"  # open connections stay, new ones are reset
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


async def _is_bound(address: Address) -> bool:
    """Return whether a process accepts connections at an address."""
    try:
        _, writer = await asyncio.open_connection(*address)
    except OSError:
        return False
    writer.close()
    return True


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset and discard what it still buffers."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class _Connection:
    """A relayed connection; the source of `pair` is the machine that opened it.

    The destination's side is added once the relay has connected to it.
    """

    def __init__(self, pair: Pair, source_writer: asyncio.StreamWriter) -> None:
        self.pair = pair
        self.sides = [source_writer]
        self.is_reset = False

    def add(self, destination_writer: asyncio.StreamWriter) -> None:
        """Add the connection to the destination, which is reset at once if the link was cut in the meantime."""
        self.sides.append(destination_writer)
        if self.is_reset:
            reset(destination_writer)

    def reset(self) -> None:
        """Reset both sides."""
        self.is_reset = True
        for writer in self.sides:
            reset(writer)


class Links:
    """All links of a mesh."""

    def __init__(self) -> None:
        self._states: dict[Pair, LinkState] = {}
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._servers: dict[str, asyncio.Server] = {}
        self._opening: dict[str, asyncio.Task[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def open(self, public: Address, bound: Address) -> asyncio.Task[None]:
        """Start to relay to a machine's process once it is bound.

        Until then connections are refused, as by a machine on which no process listens.
        """
        self.shut(public[0])
        self._opening[public[0]] = self._start_task(self._listen(public, bound))
        return self._opening[public[0]]

    def shut(self, machine: str) -> None:
        """Refuse connections to a machine whose process has ended."""
        opening = self._opening.pop(machine, None)
        if opening is not None:
            opening.cancel()
        server = self._servers.pop(machine, None)
        if server is not None:
            server.close()

    async def _listen(self, public: Address, bound: Address) -> None:
        while not await _is_bound(bound):
            await asyncio.sleep(PROBE_INTERVAL)

        def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self._start_task(self._relay(public[0], bound, reader, writer))

        self._servers[public[0]] = await asyncio.start_server(on_connection, *public, limit=CHUNK_BYTES, backlog=512)

    def _start_task(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Close all servers and connections."""
        for server in self._servers.values():
            server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # ---- link states -------------------------------------------------------------------------

    def set_state(self, pair: Pair, state: LinkState) -> None:
        """Set the state of one direction; a state of RESET also resets the open connections of the pair."""
        self._states[pair] = state
        if state is LinkState.RESET:
            self.reset(pair)
        self._notify_waiters()

    def heal(self) -> None:
        """Open all links."""
        self._states.clear()
        self._notify_waiters()

    def heal_pairs(self, pairs: Iterable[Pair]) -> None:
        """Open the links of these pairs only."""
        for pair in pairs:
            self._states.pop(pair, None)
        self._notify_waiters()

    def reset(self, pair: Pair) -> None:
        """Reset the open connections between two machines, whichever of them opened them."""
        for connection in list(self._connections):
            if connection.pair in (pair, pair.reverse):
                connection.reset()

    def state(self, pair: Pair) -> LinkState:
        """Return the state of one direction."""
        return self._states.get(pair, LinkState.OPEN)

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # ---- connections -------------------------------------------------------------------------

    async def _relay(
        self, destination: str, bound: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        pair = Pair(writer.get_extra_info("peername")[0], destination)
        if {self.state(pair), self.state(pair.reverse)} & {LinkState.RESET, LinkState.REFUSE}:
            reset(writer)
            return
        connection = _Connection(pair, writer)
        self._connections.add(connection)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                destination_reader, destination_writer = await asyncio.open_connection(
                    *bound, limit=CHUNK_BYTES, local_addr=(pair.source, 0)
                )
            connection.add(destination_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(pair, reader, destination_writer, connection))
                group.create_task(self._forward(pair.reverse, destination_reader, writer, connection))
        except (OSError, TimeoutError):  # no process is bound to the address
            connection.reset()
        finally:
            self._connections.discard(connection)
            for side in connection.sides:
                side.close()

    async def _forward(
        self, pair: Pair, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, connection: _Connection
    ) -> None:
        """Forward one direction until it ends; a reset on one side is passed on to the other."""
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self._wait_while_silent(pair)
                if self.state(pair) is LinkState.SLOW:
                    await asyncio.sleep(SLOW_PAUSE)
                writer.write(data)
                await writer.drain()
            await self._wait_while_silent(pair)
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            await self._wait_while_silent(pair)  # a reset cannot cross a silent cut: it waits as bytes do
            connection.reset()

    async def _wait_while_silent(self, pair: Pair) -> None:
        while self.state(pair) is LinkState.SILENT:
            await self._changed.wait()
