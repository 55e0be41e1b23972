"""Admission of request bodies to the memory of one process. No I/O.

A body is counted from its first byte until the last reference to its buffer is gone. Room for a body of known length is
taken before the body is read, so that a body that has begun to arrive never waits for another one. A body of unknown
length takes room as it grows, and only as long as the largest of them could still grow to the limit. When it outgrows
the room of small bodies it joins the queue of the large ones.

Small bodies have a part of the memory that large ones can't use, and a queue of their own. So have the bodies of
callers, which wait for other processes, and those for the local backend, which wait for that alone: two processes never
wait for each other's memory.
"""

from __future__ import annotations

import enum
import itertools
from collections import deque
from collections.abc import Callable, Iterator
from functools import partial

from lugspur.routing.shares import SharedLimit

# Bodies up to this size don't wait for larger ones.
SMALL_BODY_BYTES = 1 << 20
# Bodies up to this size aren't counted: they are no larger than the head that they come with.
UNCOUNTED_BODY_BYTES = 4 << 10
# Part of the memory that is kept for the small bodies of each direction.
SMALL_PART = 1 / 32
# Bytes that a waiting body may take in the buffers of its connection, here and in the kernel.
WAITING_BODY_BYTES = 128 << 10
# Part of the memory that the buffers of waiting bodies may take together.
WAITING_PART = 1 / 8
# Part of that which is kept for the small bodies.
SMALL_WAITING_PART = 1 / 4
# Room that a body of unknown length takes at first; doubled whenever the body outgrows it.
FIRST_ROOM_BYTES = 64 << 10


class Direction(enum.Enum):
    """What a body in memory waits for."""

    OUTGOING = "outgoing"  # another process, or the local backend
    INCOMING = "incoming"  # the local backend


class BodyMemoryFullError(Exception):
    """There is no room for a body, and none to let it wait."""


class BodyBuffer(bytearray):
    """The bytes of one body, whose room is free again when the last reference to it is gone."""

    __slots__ = ("on_freed", "room")

    def __init__(self, size: int, on_freed: Callable[[int], None]) -> None:
        """`size`: number of bytes, all 0 at first; `on_freed` is called with the room that the buffer took."""
        super().__init__(size)
        self.room, self.on_freed = size, on_freed

    def __del__(self) -> None:
        self.on_freed(self.room)


class WaitingBody:
    """A body that waits for room; `cancel` it if it is no longer wanted."""

    __slots__ = ("_pool", "buffered_bytes", "can_be_admitted", "on_room", "size")

    def __init__(
        self,
        pool: _Pool,
        size: int,
        buffered_bytes: int,
        on_room: Callable[[], None],
        can_be_admitted: Callable[[], bool],
    ) -> None:
        """`size`: room to take; `buffered_bytes`: the most that the body takes in this process while it waits."""
        self._pool, self.size, self.buffered_bytes = pool, size, buffered_bytes
        self.on_room, self.can_be_admitted = on_room, can_be_admitted

    def cancel(self) -> None:
        """Stop waiting."""
        self._pool.cancel(self)


class _Pool:
    """The room for one kind of bodies, and those that wait for it, first come first served."""

    def __init__(self, limit: SharedLimit, waiting_limit: SharedLimit, name: str, free_up: Callable[[], None]) -> None:
        """`limit`: of the memory for bodies; `waiting_limit`: of that for the buffers of bodies that wait."""
        self._limit, self._waiting_limit, self._name, self._free_up = limit, waiting_limit, name, free_up
        self.waiting: deque[WaitingBody] = deque()
        self.growing: dict[GrowingBody, int] = {}  # bodies of unknown length, with the room that they take
        self.growing_waiting: dict[GrowingBody, None] = {}  # those that wait for more, which come first

    @property
    def has_queue(self) -> bool:
        """Whether a body that comes now has to wait behind others."""
        return bool(self.waiting or self.growing_waiting)

    def can_acquire(self, size: int) -> bool:
        return self._limit.can_acquire(self._name, size)

    def acquire(self, size: int) -> None:
        self._limit.acquire(self._name, size)

    def release(self, size: int) -> None:
        self._limit.release(self._name, size)
        self._free_up()

    def wait(
        self,
        size: int,
        buffered_bytes: int,
        on_room: Callable[[], None],
        can_be_admitted: Callable[[], bool] | None = None,
    ) -> WaitingBody:
        """Let a body wait for room; raises BodyMemoryFullError if the buffers of those that wait take too much."""
        if not self._waiting_limit.can_acquire(self._name, buffered_bytes):
            raise BodyMemoryFullError
        self._waiting_limit.acquire(self._name, buffered_bytes)
        body = WaitingBody(self, size, buffered_bytes, on_room, can_be_admitted or partial(self.can_acquire, size))
        self.waiting.append(body)
        return body

    def cancel(self, body: WaitingBody) -> None:
        if body in self.waiting:
            self.waiting.remove(body)
            self._waiting_limit.release(self._name, body.buffered_bytes)
            self._free_up()

    def admit_waiting(self) -> None:
        # The largest ones first: they are the first that need no more, and then free most.
        for growing in sorted(self.growing_waiting, key=self.growing.__getitem__, reverse=True):
            if growing in self.growing_waiting:  # else it was closed by what another one's room has set off
                growing.ask_again()
        while self.waiting and not self.growing_waiting and self.waiting[0].can_be_admitted():
            body = self.waiting.popleft()
            self._waiting_limit.release(self._name, body.buffered_bytes)
            self.acquire(body.size)
            body.on_room()

    def buffer(self, size: int) -> BodyBuffer:
        return BodyBuffer(size, self.release)


class BodyMemory:
    """The memory of one process for request bodies."""

    def __init__(self, capacity: int, call_soon: Callable[[Callable[[], None]], object]) -> None:
        """`capacity`: bytes for all bodies together; `call_soon` runs a function a little later."""
        self.capacity = capacity
        self._limit = SharedLimit(capacity, {})
        self._call_soon = call_soon
        self._is_check_due = False
        self._body_limit = 0
        waiting_bytes = int(capacity * WAITING_PART)
        small_waiting_bytes = int(waiting_bytes * SMALL_WAITING_PART)
        self._waiting_limit = SharedLimit(waiting_bytes, {f"small {Direction.OUTGOING.value}": small_waiting_bytes})
        self._small = {direction: self._pool(f"small {direction.value}") for direction in Direction}
        self._large = {direction: self._pool(f"large {direction.value}") for direction in Direction}
        self.set_largest_body(0)

    def _pool(self, name: str) -> _Pool:
        return _Pool(self._limit, self._waiting_limit, name, self._check_soon)

    def set_largest_body(self, size: int) -> None:
        """Guarantee each direction room for a body of this size, as far as the capacity allows."""
        self._body_limit = size
        small = int(self.capacity * SMALL_PART)
        rest = self.capacity - 2 * small
        large = min(size, rest // 2) if 2 * size <= rest else max(0, rest - size)
        self._large_part, self._small_part = large, small
        self._limit.set_parts(
            self.capacity,
            {f"small {direction.value}": small for direction in Direction}
            | {f"large {direction.value}": large for direction in Direction},
        )
        self._check_soon()

    @property
    def largest_body(self) -> int:
        """The size of the largest body that can ever be admitted."""
        return self.capacity - 2 * self._small_part - self._large_part

    @property
    def used_bytes(self) -> int:
        """Return the bytes that are counted now."""
        names = (f"{size} {direction.value}" for size in ("small", "large") for direction in Direction)
        return sum(map(self._limit.held_by, names))

    @property
    def waiting_bodies(self) -> int:
        """Return the number of bodies that wait for room."""
        return sum(len(pool.waiting) + len(pool.growing_waiting) for pool in self._pools())

    def _pools(self) -> Iterator[_Pool]:
        return itertools.chain(self._small.values(), self._large.values())

    def pool_for(self, direction: Direction, size: int) -> _Pool:
        """Return the pool for bodies of this size."""
        return (self._small if size <= SMALL_BODY_BYTES else self._large)[direction]

    def admit(self, direction: Direction, size: int, on_admitted: Callable[[BodyBuffer], None]) -> WaitingBody | None:
        """Take room for a body of a known size, now or later; `on_admitted` is called with its buffer.

        Returns None if there was room now. Raises BodyMemoryFullError if too many bodies wait, or if the body never
        fits.
        """
        if size > self.largest_body:
            raise BodyMemoryFullError
        pool = self.pool_for(direction, size)
        if not pool.has_queue and pool.can_acquire(size):
            pool.acquire(size)
            on_admitted(pool.buffer(size))
            return None
        # An incoming body waits at its sender.
        buffered_bytes = WAITING_BODY_BYTES if direction is Direction.OUTGOING else 0
        return pool.wait(size, buffered_bytes, lambda: on_admitted(pool.buffer(size)))

    def admit_received(self, direction: Direction, size: int) -> BodyBuffer:
        """Take room for a body that has already been received; raises BodyMemoryFullError if there is none."""
        pool = self.pool_for(direction, size)
        if not pool.can_acquire(size):
            raise BodyMemoryFullError
        pool.acquire(size)
        return pool.buffer(size)

    def may_grow(self, body: GrowingBody, pool: _Pool, room: int) -> bool:
        """Whether a body of unknown length may take this room in a pool.

        Source: the banker's algorithm (Dijkstra, EWD 623): afterwards the largest of them must still be able to grow to
        the limit, so that they never all wait for each other.
        """
        rooms = [held for other, held in pool.growing.items() if other is not body] + [room]
        is_small = pool in self._small.values()
        limit = self.capacity - self._small_part - 2 * self._large_part if is_small else self.largest_body
        largest = SMALL_BODY_BYTES if is_small else max(min(self._body_limit, self.largest_body), max(rooms))
        return sum(rooms) - max(rooms) + largest <= limit and pool.can_acquire(room - pool.growing.get(body, 0))

    def _check_soon(self) -> None:
        if not self._is_check_due and self.waiting_bodies:
            self._is_check_due = True
            self._call_soon(self._admit_waiting)

    def _admit_waiting(self) -> None:
        self._is_check_due = False
        for pool in self._pools():
            pool.admit_waiting()


class FramedBody:
    """Receives a body of a known length into its buffer."""

    def __init__(self, memory: BodyMemory, direction: Direction, length: int, on_room: Callable[[], None]) -> None:
        """`on_room` is called if the body has waited for room. Raises BodyMemoryFullError."""
        self._received = 0
        self._early: list[bytes] = []  # bytes that were read before there was room
        self._buffer: BodyBuffer | None = None
        self._on_room = _nothing
        self._waiting = memory.admit(direction, length, self._admitted)
        self._on_room = on_room

    @property
    def is_waiting(self) -> bool:
        """Whether nothing more may be read yet."""
        return self._waiting is not None

    def _admitted(self, buffer: BodyBuffer) -> None:
        self._waiting, self._buffer = None, buffer
        early, self._early = self._early, []
        for data in early:
            self.put(data)
        self._on_room()

    def put(self, data: bytes) -> None:
        """Append received bytes."""
        if self._buffer is None:
            self._early.append(data)
        else:
            end = self._received + len(data)
            self._buffer[self._received : end] = data
            self._received = end

    def finish(self) -> BodyBuffer:
        """Return the complete body; it must not be waiting."""
        buffer, self._buffer = self._buffer, None
        assert buffer is not None
        self.close()
        return buffer

    def close(self) -> None:
        """Drop the body, unless it has been returned."""
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.cancel()
        self._buffer, self._on_room = None, _nothing
        self._early.clear()


class GrowingBody:
    """Receives a body of unknown length, and takes room as it grows."""

    def __init__(self, memory: BodyMemory, direction: Direction, on_room: Callable[[], None]) -> None:
        """`on_room` is called whenever the body has waited for room."""
        self._memory, self._direction, self._on_room = memory, direction, on_room
        self._pool: _Pool | None = None  # the pool that the present room was taken from
        self._room = 0
        self._buffer = BodyBuffer(0, _ignore)
        self._waiting: WaitingBody | None = None  # its place in the queue of a pool that it has no room of yet
        self._waits_for_more = False  # whether it waits for more room of its pool

    @property
    def is_waiting(self) -> bool:
        """Whether nothing more may be read yet."""
        return self._waits_for_more or self._waiting is not None

    def put(self, data: bytes) -> None:
        """Append received bytes; raises BodyMemoryFullError if there is no room for more, and none to wait."""
        self._buffer += data
        if len(self._buffer) > self._room and not self.is_waiting:
            self._grow()

    def _grow(self) -> None:
        """Take more room, or wait for it."""
        room = max(FIRST_ROOM_BYTES, 1 << (len(self._buffer) - 1).bit_length())
        room = min(room, max(self._memory.largest_body, len(self._buffer)))
        pool = self._memory.pool_for(self._direction, room)
        if pool is not self._pool:
            self._enter(pool, room)
        elif self._memory.may_grow(self, pool, room):
            pool.acquire(room - self._room)
            self._take(pool, room)
        else:
            self._waits_for_more = True
            pool.growing_waiting[self] = None

    def _enter(self, pool: _Pool, room: int) -> None:
        """Take room in another pool than before, or join its queue."""
        memory = self._memory
        if not pool.has_queue and memory.may_grow(self, pool, room):
            self._leave_pool()
            pool.acquire(room)
            self._take(pool, room)
            return
        buffered_bytes = max(WAITING_BODY_BYTES, self._room)
        self._waiting = pool.wait(
            room, buffered_bytes, partial(self._admitted, pool, room), partial(memory.may_grow, self, pool, room)
        )
        self._leave_pool()  # what has been received counts among the buffers of those that wait

    def _take(self, pool: _Pool, room: int) -> None:
        self._pool, self._room = pool, room
        pool.growing[self] = room

    def _admitted(self, pool: _Pool, room: int) -> None:
        self._waiting = None
        self._take(pool, room)
        self._on_room()

    def ask_again(self) -> None:
        """Take more room of the pool if there is now some."""
        self._stop_waiting()
        self._grow()
        if not self.is_waiting:
            self._on_room()

    def _stop_waiting(self) -> None:
        waiting, self._waiting = self._waiting, None
        if waiting is not None:
            waiting.cancel()
        if self._waits_for_more and self._pool is not None:
            self._pool.growing_waiting.pop(self, None)
        self._waits_for_more = False

    def _leave_pool(self) -> None:
        if self._pool is not None:
            pool, self._pool, self._room = self._pool, None, 0
            pool.release(pool.growing.pop(self, 0))

    def finish(self) -> BodyBuffer:
        """Return the complete body, which takes its own size from now on; it must not be waiting."""
        body, self._buffer = self._buffer, BodyBuffer(0, _ignore)
        pool = self._memory.pool_for(self._direction, len(body))
        pool.acquire(len(body))  # within the room that is released next
        body.room, body.on_freed = len(body), pool.release
        self.close()
        return body

    def close(self) -> None:
        """Drop the body, unless it has been returned."""
        self._stop_waiting()
        self._leave_pool()
        self._on_room = _nothing
        self._buffer = BodyBuffer(0, _ignore)


def _nothing() -> None:
    """Do nothing."""


def _ignore(room: int) -> None:
    """Ignore a freed buffer whose room is counted elsewhere."""
