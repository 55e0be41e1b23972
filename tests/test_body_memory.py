"""Request bodies are admitted to the memory before they are read, and count until their last reference is gone."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lugspur.http1.body_memory import (
    SMALL_BODY_BYTES,
    BodyBuffer,
    BodyMemory,
    BodyMemoryFullError,
    Direction,
    FramedBody,
    GrowingBody,
)
from lugspur.http1.front import Front
from lugspur.http1.request_parser import Sizes
from lugspur.interfaces import Request, Responder

MIB = 1 << 20
CAPACITY, LARGEST = 64 * MIB, 16 * MIB
OUT, IN = Direction.OUTGOING, Direction.INCOMING


def make_memory(capacity: int = CAPACITY, largest: int = LARGEST) -> BodyMemory:
    """Return a memory that admits who waits at once, instead of in the next turn of a loop."""
    memory = BodyMemory(capacity, lambda check: check())
    memory.set_largest_body(largest)
    return memory


def admit(memory: BodyMemory, direction: Direction, size: int) -> list[BodyBuffer]:
    """Ask for room; the buffer is in the list as soon as there is some."""
    admitted: list[BodyBuffer] = []
    memory.admit(direction, size, admitted.append)
    return admitted


def fill(memory: BodyMemory, size: int) -> list[BodyBuffer]:
    """Take all room that there is for outgoing bodies of this size."""
    held = []
    while memory.pool_for(OUT, size).can_acquire(size):
        held.append(memory.admit_received(OUT, size))
    return held


def test_room_is_taken_for_the_whole_body_and_is_free_with_the_last_reference() -> None:
    memory = make_memory()
    bodies = admit(memory, OUT, LARGEST)
    assert memory.used_bytes == len(bodies[0]) == LARGEST
    view, copy = memoryview(bodies[0])[3:3], bytes(bodies[0])
    bodies.clear()
    assert memory.used_bytes == LARGEST and len(copy) == LARGEST  # an empty view keeps the buffer
    view.release()
    del view
    assert memory.used_bytes == 0


def test_who_waits_is_admitted_first_come_first_served_and_may_leave() -> None:
    memory = make_memory()
    held = [admit(memory, OUT, LARGEST) for _ in range(2)]
    waiting = [admit(memory, OUT, size * MIB) for size in (16, 14)]
    assert not waiting[0] and not waiting[1] and memory.waiting_bodies == 2
    left = memory.admit(OUT, 2 * MIB, lambda buffer: None)
    assert left is not None
    left.cancel()
    held.pop().clear()
    assert waiting[0] and not waiting[1]
    held.pop().clear()
    assert waiting[1] and memory.used_bytes == 30 * MIB and memory.waiting_bodies == 0


def test_small_bodies_never_wait_behind_large_ones() -> None:
    memory = make_memory()
    held = [admit(memory, direction, 2 * MIB) for direction in Direction for _ in range(40)]
    for direction in Direction:
        assert admit(memory, direction, SMALL_BODY_BYTES)
        memory.admit_received(direction, 50_000)
    assert not all(held)  # some large ones do wait


@pytest.mark.parametrize("direction", Direction)
def test_a_direction_always_gets_room_for_the_largest_body_whatever_the_other_takes(direction: Direction) -> None:
    """Guards against two proxies that wait for each other's memory."""
    other = OUT if direction is IN else IN
    for largest in (LARGEST, CAPACITY // 2, 60 * MIB):
        memory = make_memory(largest=largest)
        held = [admit(memory, other, size) for size in (20 * MIB, 9 * MIB, *[SMALL_BODY_BYTES] * 60)]
        assert any(held) and memory.largest_body >= min(largest, memory.largest_body)
        own = admit(memory, direction, min(largest, 15 * MIB))
        if 2 * largest <= CAPACITY * 15 // 16:
            assert own
        held.clear()
        assert own  # bodies too large to be guaranteed wait for the other direction, but not for ever


def test_a_body_that_never_fits_and_too_many_that_wait_are_refused() -> None:
    memory = make_memory()
    with pytest.raises(BodyMemoryFullError):
        memory.admit(OUT, memory.largest_body + 1, lambda buffer: None)
    held = [admit(memory, OUT, LARGEST)]
    with pytest.raises(BodyMemoryFullError):
        for _ in range(1000):
            held.append(admit(memory, OUT, LARGEST))
    assert memory.used_bytes <= CAPACITY and 10 < memory.waiting_bodies < 100


def test_who_has_waited_leaves_its_place_to_others() -> None:
    """Guards against a bound on the buffers of those that wait that shrinks with each body that has waited."""
    memory = make_memory()
    held = fill(memory, 2 * MIB)
    for _ in range(1000):
        framed = FramedBody(memory, OUT, 2 * MIB, lambda: None)
        growing = GrowingBody(memory, OUT, lambda: None)
        for _ in range(18):
            growing.put(bytes(65536))
        assert framed.is_waiting and growing.is_waiting and memory.waiting_bodies == 2
        framed.close()
        growing.close()
    for _ in range(1000):
        growing = GrowingBody(memory, OUT, lambda: None)
        for _ in range(18):
            growing.put(bytes(65536))
        held.pop()
        assert not growing.is_waiting
        growing.close()
        held = [*held, *fill(memory, 2 * MIB)]
    held.clear()
    assert memory.used_bytes == 0


def test_a_body_that_another_ones_room_has_closed_takes_none() -> None:
    memory = make_memory()
    bodies = [GrowingBody(memory, OUT, lambda: bodies[1].close()) for _ in range(2)]
    for body in bodies:
        body.put(bytes(SMALL_BODY_BYTES + 1))
    held = fill(memory, 2 * MIB)
    for body in bodies:
        body.put(bytes(3 * MIB))
    assert all(body.is_waiting for body in bodies)
    held.clear()
    assert not bodies[0].is_waiting and not bodies[1].is_waiting
    bodies[0].close()
    assert memory.used_bytes == 0


def test_a_body_of_unknown_length_takes_room_as_it_grows_and_its_own_size_at_last() -> None:
    memory = make_memory()
    growing = GrowingBody(memory, OUT, lambda: None)
    for _ in range(100):
        growing.put(bytes(40_000))
        assert not growing.is_waiting
    assert 4_000_000 <= memory.used_bytes <= 8_000_000
    body = growing.finish()
    assert memory.used_bytes == len(body) == 4_000_000
    del body
    assert memory.used_bytes == 0
    growing = GrowingBody(memory, OUT, lambda: None)
    growing.put(bytes(3 * MIB))
    growing.close()
    assert memory.used_bytes == 0


@given(
    st.lists(st.tuples(st.integers(0, 11), st.integers(1, 3 * MIB)), max_size=60),
    st.lists(st.integers(1, LARGEST), min_size=12, max_size=12),
    st.lists(st.booleans(), min_size=12, max_size=12),
)
def test_half_read_bodies_never_all_wait_for_each_other(
    steps: list[tuple[int, int]], sizes: list[int], framed: list[bool]
) -> None:
    """However bodies of known and unknown length arrive, all are received: one can always go on."""
    memory = make_memory(capacity=48 * MIB)
    bodies: dict[int, FramedBody | GrowingBody] = {}
    received = dict.fromkeys(range(12), 0)
    done: set[int] = set()

    def step(number: int, size: int) -> bool:
        """Receive some bytes of a body, unless it waits or is refused for now; return whether anything was done."""
        if number in done:
            return False
        try:
            if number not in bodies:
                length = sizes[number]
                bodies[number] = (
                    FramedBody(memory, OUT, length, lambda: None)
                    if framed[number]
                    else GrowingBody(memory, OUT, lambda: None)
                )
            body = bodies[number]
            if body.is_waiting:
                return False
            data = min(size, sizes[number] - received[number])
            body.put(bytes(data))
            received[number] += data
        except BodyMemoryFullError:  # its sender gives up
            if number in bodies:
                bodies.pop(number).close()
            done.add(number)
            return True
        assert memory.used_bytes <= 48 * MIB + 12 * SMALL_BODY_BYTES  # what one read brings is not refused
        if received[number] == sizes[number] and not body.is_waiting:
            assert len(body.finish()) == sizes[number]
            done.add(number)
        return True

    for number, size in steps:
        step(number, size)
    while len(done) < 12:
        assert any([step(number, LARGEST) for number in range(12)]), "all wait for each other"
    bodies.clear()
    assert memory.used_bytes == 0 and memory.waiting_bodies == 0


# ---- connections of callers ----------------------------------------------------------------------


class Served:
    """A front whose requests are answered when the test says so."""

    def __init__(self, memory: BodyMemory) -> None:
        self.memory = memory
        self.front = Front(("127.0.0.1", 0), 64, 1 << 30, self._handle)
        self.front.body_memory = memory
        self.front.sizes = Sizes(body=LARGEST, ordinary=True)
        self.held: list[tuple[Request, Responder]] = []
        self.most_bytes = 0

    def _handle(self, request: Request, caller: Responder) -> None:
        self.most_bytes = max(self.most_bytes, self.memory.used_bytes)
        self.held.append((request, caller))

    def holds(self, size: int) -> bool:
        """Whether a request with a body of this size waits for its answer."""
        return any(len(request.body) == size for request, _ in self.held)

    def answer(self, size: int = 0) -> None:
        """Answer the first request, or the first one with a body of this size."""
        held = next(held for held in self.held if size in (0, len(held[0].body)))
        self.held.remove(held)
        request, caller = held
        caller.respond(200, b"", b"%d" % len(request.body))


def run_front(scenario: Callable[[Served, tuple[str, int]], Awaitable[None]], capacity: int = CAPACITY) -> None:
    async def run() -> None:
        memory = BodyMemory(capacity, asyncio.get_running_loop().call_soon)
        memory.set_largest_body(LARGEST)
        served = Served(memory)
        sock = await served.front.listen()
        await scenario(served, sock.getsockname())
        served.front.close()
        served.held.clear()
        for _ in range(10):
            await asyncio.sleep(0.01)
        assert memory.used_bytes == 0 and memory.waiting_bodies == 0

    asyncio.run(asyncio.wait_for(run(), 30.0))


async def post(address: tuple[str, int], body: bytes, is_chunked: bool = False, **headers: str) -> bytes:
    """Send one request, and return the first line of its answer and the body."""
    reader, writer = await asyncio.open_connection(*address)
    lines = b"".join(b"%b: %b\r\n" % (k.replace("_", "-").encode(), v.encode()) for k, v in headers.items())
    framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % len(body)
    writer.write(b"POST / HTTP/1.1\r\nHost: h\r\n%b%b\r\n\r\n" % (lines, framing))
    if is_chunked:
        pieces = [body[at : at + 50_000] for at in range(0, len(body), 50_000)]
        writer.write(b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces) + b"0\r\n\r\n")
    else:
        writer.write(body)
    head = await reader.readuntil(b"\r\n\r\n")
    length = next(int(line[16:]) for line in head.split(b"\r\n") if line.lower().startswith(b"content-length: "))
    answer = head.split(b"\r\n")[0] + b" " + await reader.readexactly(length)
    writer.close()
    return answer


@pytest.mark.parametrize("is_chunked", [False, True])
def test_large_uploads_at_once_are_read_as_there_is_memory_and_all_are_served(is_chunked: bool) -> None:
    """Guards against proxies that are killed for a few large uploads at once, each inside the limits (review/8)."""

    async def scenario(served: Served, address: tuple[str, int]) -> None:
        sizes = [LARGEST - 10_000 * n for n in range(6)]
        posts = [asyncio.create_task(post(address, bytes(size), is_chunked)) for size in sizes]
        answered = 0
        while answered < len(sizes):
            await asyncio.sleep(0.01)
            assert served.memory.used_bytes <= CAPACITY
            if not served.held:
                continue
            small = asyncio.create_task(post(address, b"s" * 30_000))
            while not served.holds(30_000):  # it is served while large ones wait
                await asyncio.sleep(0.005)
            served.answer(30_000)
            assert b"200 OK 30000" in await small
            served.answer()
            answered += 1
        answers = await asyncio.gather(*posts)
        assert answers == [b"HTTP/1.1 200 OK %d" % size for size in sizes]

    run_front(scenario)


def test_who_waits_for_memory_is_not_read_and_is_rejected_at_its_deadline() -> None:
    async def scenario(served: Served, address: tuple[str, int]) -> None:
        served.front.seconds_of_use = lambda headers: int(headers[b"x-ms"]) / 1000.0
        first = [asyncio.create_task(post(address, bytes(LARGEST), x_ms="20000")) for _ in range(2)]
        while len(served.held) < 2:
            await asyncio.sleep(0.01)
        used = served.memory.used_bytes
        began = asyncio.get_running_loop().time()
        late = asyncio.create_task(post(address, bytes(LARGEST), x_ms="700"))
        last = asyncio.create_task(post(address, bytes(LARGEST), x_ms="20000"))
        assert b"503" in await late
        assert asyncio.get_running_loop().time() - began >= 0.7
        assert served.memory.used_bytes == used and not last.done()
        for _ in range(3):
            while not served.held:
                await asyncio.sleep(0.01)
            served.answer()
        assert all(b"200" in answer for answer in await asyncio.gather(*first, last))

    run_front(scenario)


def test_a_caller_that_leaves_while_its_body_waits_or_arrives_gives_its_room_back() -> None:
    async def scenario(served: Served, address: tuple[str, int]) -> None:
        served.front.seconds_of_use = lambda headers: 0.5
        writers = []
        for _ in range(4):
            _, writer = await asyncio.open_connection(*address)
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % LARGEST + bytes(100_000))
            writers.append(writer)
        while served.memory.waiting_bodies < 2:
            await asyncio.sleep(0.01)
        assert served.memory.used_bytes == 2 * LARGEST
        for writer in writers:
            writer.transport.abort()
        while served.memory.used_bytes or served.memory.waiting_bodies:
            await asyncio.sleep(0.01)

    run_front(scenario)


def test_uploads_of_unknown_length_wait_their_turn_behind_large_ones_and_all_are_served() -> None:
    """Guards against 503 to uploads in chunks, each inside the limits, while others fill the memory (review/8)."""

    async def scenario(served: Served, address: tuple[str, int]) -> None:
        large = [asyncio.create_task(post(address, bytes(LARGEST))) for _ in range(2)]
        while len(served.held) < 2:
            await asyncio.sleep(0.01)
        sizes = [(2 * MIB if n % 3 else 9 * MIB) + n for n in range(6)]
        posts = [asyncio.create_task(post(address, bytes(size), True)) for size in sizes]
        while served.memory.waiting_bodies < 5:
            await asyncio.sleep(0.01)
        small = asyncio.create_task(post(address, bytes(500_000), True))
        while not served.holds(500_000):  # it is served while large ones wait
            await asyncio.sleep(0.005)
        served.answer(500_000)
        assert b"200 OK 500000" in await small
        tasks = [*large, *posts]
        while not all(task.done() for task in tasks):
            await asyncio.sleep(0.005)
            assert served.memory.used_bytes <= CAPACITY
            if served.held:
                served.answer()
        assert [await task for task in posts] == [b"HTTP/1.1 200 OK %d" % size for size in sizes]

    run_front(scenario)


def test_a_body_that_came_in_one_read_waits_for_memory_instead_of_being_turned_away() -> None:
    async def scenario(served: Served, address: tuple[str, int]) -> None:
        held = fill(served.memory, 50_000)
        reader, writer = await asyncio.open_connection(*address)
        request = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" + bytes(50_000)
        writer.write(request)
        while not served.memory.waiting_bodies:
            await asyncio.sleep(0.01)
        assert not served.held
        held.clear()
        for _ in range(2):  # the connection serves on
            while not served.held:
                await asyncio.sleep(0.01)
            served.answer()
            assert b"200" in await reader.readuntil(b"\r\n\r\n50000")
            writer.write(request)
        writer.close()

    run_front(scenario)


def test_a_body_that_outgrows_small_room_with_its_last_bytes_waits_for_memory() -> None:
    async def scenario(served: Served, address: tuple[str, int]) -> None:
        held = fill(served.memory, 2 * MIB)
        upload = asyncio.create_task(post(address, bytes(SMALL_BODY_BYTES + 100), True))
        while not served.memory.waiting_bodies:
            await asyncio.sleep(0.01)
        assert not served.held
        held.clear()
        while not served.held:
            await asyncio.sleep(0.01)
        served.answer()
        assert b"200 OK 1048676" in await upload

    run_front(scenario)


def test_nothing_is_read_behind_a_complete_body_that_waits_for_memory() -> None:
    async def scenario(served: Served, address: tuple[str, int]) -> None:
        held = fill(served.memory, 9000)
        reader, writer = await asyncio.open_connection(*address)
        writer.write((b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n" + bytes(9000)) * 2)
        assert b"503" in await reader.readuntil(b"\r\n\r\n")
        assert held and not served.held and not served.memory.waiting_bodies
        writer.close()

    run_front(scenario)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_a_body_that_is_incomplete_at_its_deadline_gives_its_room_to_those_that_wait(is_chunked: bool) -> None:
    """Guards against slow senders that keep the memory from others long after their requests are of use."""

    async def scenario(served: Served, address: tuple[str, int]) -> None:
        served.front.seconds_of_use = lambda headers: int(headers[b"x-ms"]) / 1000.0
        framing = b"Transfer-Encoding: chunked" if is_chunked else b"Content-Length: %d" % LARGEST
        piece = b"%x\r\n%b\r\n" % (LARGEST - 10, bytes(LARGEST - 10)) if is_chunked else bytes(LARGEST - 10)
        slow = []
        for _ in range(2):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"POST / HTTP/1.1\r\nHost: h\r\nX-Ms: 1500\r\n%b\r\n\r\n%b" % (framing, piece))
            slow.append((reader, writer))
        while served.memory.used_bytes < 2 * LARGEST:
            await asyncio.sleep(0.01)
        waiting = asyncio.create_task(post(address, bytes(LARGEST), x_ms="9000"))
        for reader, _ in slow:
            assert b"503" in await reader.readuntil(b"\r\n\r\n")
        while not served.held:
            await asyncio.sleep(0.01)
        served.answer()
        assert b"200" in await waiting
        for _, writer in slow:
            writer.close()

    run_front(scenario)
