"""The packets of a hot restart, byte for byte, as the build before this one wrote and read them.

A process of one build takes the place of a process of another, so that none of this may change: the socket's name, the
packets of JSON in both directions, the descriptors that go with them, their bounds, and the lines that operators read.
Each test plays the other process with literal bytes.
"""

from __future__ import annotations

import asyncio
import os
import socket
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import orjson
import pytest

from lugspur.daemon.hot_restart.hot_restart import HotRestart
from lugspur.daemon.hot_restart.packets import PacketError
from lugspur.daemon.hot_restart.process_state import ProcessState, StateAssembler, decode_state, encode_state
from lugspur.discovery.endpoint_overrides import SavedBans
from lugspur.discovery.endpoints import Endpoint, server_id
from lugspur.load_balancing.model import Learned, LearnedBreaker, LearnedPool, LearnedServer, ServerRow, ServerState

SOCKET_NAME = "lugspur-127.0.0.1-7.sock"  # in the directory for temporary files, for clients at 127.0.0.1:7
ADDRESS = ("127.0.0.1", 7)
WITHIN_SECONDS = 20.0

HELLO = b'{"t":"hello","version":1}'
ANOTHER_VERSION = b'{"t":"no","why":"this process speaks version 1"}'
READY = b'{"t":"ready"}'
BAN = b'{"t":"ban","id":"s-1","on":true,"at":7.5}'
END_OF_BAN = b'{"t":"ban","id":"s-1","on":false,"at":8.25}'
DRAIN = b'{"t":"drain","on":true}'
END_OF_DRAIN = b'{"t":"drain","on":false}'
IDS = b'{"t":"ids","begun":["id1","id2"],"done":["id0"]}'
CALLER = b'{"t":"caller"}'  # with the descriptor of the caller's connection

STATE_TEXT = (
    '{"version":1,"index":41,'
    '"endpoints":[["s-1","up","1",2,1.5,3.25,"0","127.0.0.1",81,true],'
    '["s-2","draining","-1",0,1.0,0.0,"-1","127.0.0.1",82,false]],'
    '"listed":["s-1","s-2"],"banned":["s-2"],"floors":{"s-1":7.5},"drained":true,"open":["id1","id2"],'
    '"learned":{"pools":['
    '{"rates":[[1.0,2.0],[3.0,4.0],[5.0,6.0]],"born":null,'
    '"breaker":{"baseline":0.25,"current":0.5,"window":[[7,3,2,1]]}},'
    '{"rates":[[1.0,2.0],[3.0,4.0],[5.0,6.0]],"born":12.5,'
    '"breaker":{"baseline":0.25,"current":0.5,"window":[[7,3,2,1]]}}],'
    '"pooled":0.75,"pace":1.25,"paced":6,"servers":['
    '{"server":"s-1","started":3.25,"latency":0.125,"seen":9.5,"downs":2,"down_until":11.0,'
    '"cold_credit":0.5,"cold_seen":8.0,"breaker":{"baseline":0.25,"current":0.5,"window":[[7,3,2,1]]}},'
    '{"server":"s-2","started":0.0,"latency":0.0,"seen":0.0,"downs":0,"down_until":0.0,'
    '"cold_credit":0.0,"cold_seen":0.0,"breaker":null}]}}'
)
STATE_PACKET = b'{"t":"estate","n":0,"of":1,"part":"' + STATE_TEXT.replace('"', '\\"').encode() + b'"}'

BREAKER = LearnedBreaker(0.25, 0.5, ((7, 3, 2, 1),))
RATES = ((1.0, 2.0), (3.0, 4.0), (5.0, 6.0))
ONE, TWO = server_id("s-1"), server_id("s-2")
STATE = ProcessState(
    41,
    [
        Endpoint(ServerRow(ONE, ServerState.UP, 1, 2, 1.5, 3.25, 0), ("127.0.0.1", 81), True),
        Endpoint(ServerRow(TWO, ServerState.DRAINING, -1, 0, 1.0, 0.0, -1), ("127.0.0.1", 82)),
    ],
    SavedBans([ONE, TWO], [TWO], {ONE: 7.5}),
    True,
    [b"id1", b"id2"],
    Learned(
        (
            LearnedServer(ONE, 3.25, 0.125, 9.5, 2, 11.0, 0.5, 8.0, BREAKER),
            LearnedServer(TWO, 0.0, 0.0, 0.0, 0, 0.0, 0.0, 0.0, None),
        ),
        (LearnedPool(RATES, None, BREAKER), LearnedPool(RATES, 12.5, BREAKER)),
        0.75,
        1.25,
        6,
    ),
)


class Proxy:
    """A proxy that records what it is told, in order; the code under test alone calls its methods."""

    def __init__(self) -> None:
        self.told: list[Any] = []

    def snapshot_state(self) -> ProcessState:
        return STATE

    def apply_peer_ban(self, server: int, on: bool, at: float) -> None:
        self.told.append(("ban", server, on, at))

    def apply_peer_drain(self, on: bool) -> None:
        self.told.append(("drain", on))

    def apply_peer_requests(self, begun: list[bytes], done: list[bytes]) -> None:
        self.told.append(("ids", begun, done))

    def forget_peer_requests(self) -> None:
        self.told.append("forget ids")

    def set_superseded(self, on: bool) -> None:
        self.told.append(("succeeded", on))

    def detach_peers(self) -> None:
        self.told.append("alone")

    def adopt_connection(self, sock: socket.socket) -> None:
        self.told.append(("caller", sock.getsockname()))
        sock.close()


@pytest.fixture(autouse=True)
def directory(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """The directory for temporary files, which both processes share."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    return tmp_path


@contextmanager
def other_process() -> Iterator[socket.socket]:
    """A socket of the other process, which keeps the bounds of packets."""
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as other:
        other.settimeout(WITHIN_SECONDS)
        yield other


@contextmanager
def short_path(directory: Path) -> Iterator[str]:
    """The socket's path in a form that fits a Unix socket's address."""
    fd = os.open(directory, os.O_RDONLY)
    try:
        yield f"/proc/self/fd/{fd}/{SOCKET_NAME}"
    finally:
        os.close(fd)


async def packet(other: socket.socket) -> bytes:
    """The next packet that comes at the other process."""
    return await asyncio.to_thread(other.recv, 1 << 20)


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(WITHIN_SECONDS):
        while not holds():
            await asyncio.sleep(0.005)


def as_predecessor(directory: Path, play: Callable[[HotRestart, Proxy, socket.socket], Awaitable[None]]) -> None:
    """Play against a process that serves; the other process comes to take its place."""

    async def run() -> None:
        hot_restart, proxy = HotRestart(ADDRESS), Proxy()
        with socket.create_server(("127.0.0.1", 0)) as listener, other_process() as other:
            hot_restart.attach(proxy, listener)
            hot_restart.announce_ready()
            with short_path(directory) as path:
                other.connect(path)
            await until(lambda: len(hot_restart.connections) == 1)
            proxy.told.clear()
            await play(hot_restart, proxy, other)
            hot_restart.close()

    asyncio.run(run())


def as_successor(directory: Path, play: Callable[[HotRestart, Proxy, socket.socket], Awaitable[None]]) -> None:
    """Play against a process that comes, once the other process has said its state and sent its listening socket."""

    async def run() -> None:
        hot_restart, proxy = HotRestart(ADDRESS), Proxy()
        with other_process() as serving, socket.create_server(("127.0.0.1", 0)) as listener:
            with short_path(directory) as path:
                serving.bind(path)
            serving.listen()
            taking = asyncio.create_task(hot_restart.take_over())
            other, _ = await asyncio.to_thread(serving.accept)
            other.settimeout(WITHIN_SECONDS)
            with other:
                assert await packet(other) == HELLO
                socket.send_fds(other, [STATE_PACKET], [listener.fileno()])
                taken = await asyncio.wait_for(taking, WITHIN_SECONDS)
                assert taken is not None and taken.state == STATE
                with taken.listener:
                    assert taken.listener.getsockname() == listener.getsockname()
                    hot_restart.attach(proxy, taken.listener)
                    hot_restart.announce_ready()
                    await play(hot_restart, proxy, other)
                    hot_restart.close()

    asyncio.run(run())


# ---- what a process that serves sends ------------------------------------------------------------


def test_a_hello_is_answered_by_the_state_with_the_listening_socket(directory: Path) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        other.send(HELLO)
        data, fds, _, _ = await asyncio.to_thread(socket.recv_fds, other, 1 << 20, 4)
        assert data == STATE_PACKET and len(fds) == 1
        with socket.socket(fileno=fds[0]) as listener:
            assert listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN) == 1

    as_predecessor(directory, play)


@pytest.mark.parametrize("hello", [b'{"t":"hello","version":2}', b'{"t":"hello"}'])
def test_a_hello_of_another_version_is_answered_by_the_own_version(directory: Path, hello: bytes) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        other.send(hello)
        assert await packet(other) == ANOTHER_VERSION

    as_predecessor(directory, play)


def test_bans_drains_and_ids_of_requests_are_sent_in_this_form(directory: Path) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        hot_restart.broadcast_ban(ONE, True, 7.5)
        hot_restart.broadcast_ban(ONE, False, 8.25)
        hot_restart.broadcast_drain(True)
        hot_restart.broadcast_drain(False)
        hot_restart.request_started(b"id1")
        hot_restart.request_finished(b"id0")
        hot_restart.request_started(b"id2")
        sent = [await packet(other) for _ in range(5)]
        assert sent == [BAN, END_OF_BAN, DRAIN, END_OF_DRAIN, IDS]

    as_predecessor(directory, play)


def test_at_most_64_ids_begun_and_64_done_are_sent_in_one_packet(directory: Path) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        for number in range(65):
            hot_restart.request_started(b"%d" % number)
        hot_restart.request_finished(b"x")
        first, second = await packet(other), await packet(other)
        begun = ",".join(f'"{number}"' for number in range(64))
        assert first == f'{{"t":"ids","begun":[{begun}],"done":["x"]}}'.encode()
        assert second == b'{"t":"ids","begun":["64"],"done":[]}'

    as_predecessor(directory, play)


def test_the_connection_of_a_caller_goes_to_the_process_that_has_said_ready(directory: Path) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        with socket.create_server(("127.0.0.1", 0)) as caller:
            assert not hot_restart.transfer_connection(caller.fileno())
            other.send(READY)
            await until(hot_restart.has_successor)
            assert hot_restart.transfer_connection(caller.fileno())
            data, fds, _, _ = await asyncio.to_thread(socket.recv_fds, other, 1 << 20, 4)
            assert data == CALLER and len(fds) == 1
            with socket.socket(fileno=fds[0]) as passed:
                assert passed.getsockname() == caller.getsockname()
        assert proxy.told == [("succeeded", True)]

    as_predecessor(directory, play)


# ---- what a process that comes sends -------------------------------------------------------------


def test_a_process_that_comes_says_hello_and_then_ready(directory: Path) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        assert await packet(other) == READY
        assert (directory / SOCKET_NAME).is_socket()

    as_successor(directory, play)


# ---- what both read ------------------------------------------------------------------------------

READ = [
    (BAN, ("ban", ONE, True, 7.5)),
    (END_OF_BAN, ("ban", ONE, False, 8.25)),
    (DRAIN, ("drain", True)),
    (END_OF_DRAIN, ("drain", False)),
    (IDS, ("ids", [b"id1", b"id2"], [b"id0"])),
]


@pytest.mark.parametrize("role", [as_predecessor, as_successor])
def test_bans_drains_and_ids_of_requests_are_read_in_this_form(directory: Path, role: Callable[..., None]) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        for data, _ in READ:
            other.send(data)
        await until(lambda: len(proxy.told) == len(READ))
        assert proxy.told == [told for _, told in READ]

    role(directory, play)


def test_the_connection_of_a_caller_is_read_with_its_descriptor(directory: Path) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        with socket.create_server(("127.0.0.1", 0)) as caller:
            socket.send_fds(other, [CALLER], [caller.fileno()])
            await until(lambda: bool(proxy.told))
            assert proxy.told == [("caller", caller.getsockname())]

    as_successor(directory, play)


def test_the_state_is_read_and_written_in_this_form() -> None:
    assert encode_state(STATE) == [STATE_PACKET]
    assert decode_state(STATE_TEXT) == STATE


@pytest.mark.parametrize("key", list(orjson.loads(STATE_TEXT)))
def test_a_state_that_lacks_a_key_is_not_understood(key: str) -> None:
    state = orjson.loads(STATE_TEXT)
    del state[key]
    with pytest.raises(PacketError):
        decode_state(orjson.dumps(state).decode())


# ---- bounds --------------------------------------------------------------------------------------


def test_the_state_is_split_into_parts_of_12288_characters() -> None:
    text = STATE_TEXT.replace('"open":["id1","id2"]', '"open":["' + "x" * 30_000 + '"]')
    packets = encode_state(decode_state(text))
    parts = [text[at : at + 12288] for at in range(0, len(text), 12288)]
    assert packets == [
        f'{{"t":"estate","n":{number},"of":3,"part":'.encode() + orjson.dumps(part) + b"}"
        for number, part in enumerate(parts)
    ]


@pytest.mark.parametrize(("count", "size", "fits"), [(512, 12288, True), (513, 0, False), (2, 12289, False)])
def test_up_to_512_parts_of_up_to_12288_characters_are_read(count: int, size: int, fits: bool) -> None:
    first = {"t": "estate", "n": 0, "of": count, "part": "x" * size}
    if fits:
        assert StateAssembler().add(first) is None
        return
    with pytest.raises(PacketError):
        StateAssembler().add(first)


@pytest.mark.parametrize(("size", "fits"), [(49152, True), (49153, False)])
def test_a_packet_of_up_to_49152_bytes_is_read(directory: Path, size: int, fits: bool) -> None:
    async def play(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        other.send(DRAIN + b" " * (size - len(DRAIN)))
        await until(lambda: bool(proxy.told))
        assert proxy.told[0] == (("drain", True) if fits else "alone")

    as_predecessor(directory, play)


# ---- what operators read -------------------------------------------------------------------------


def test_operators_read_these_lines(directory: Path, capsys: pytest.CaptureFixture[str]) -> None:
    async def serving(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        other.send(READY)
        await until(hot_restart.has_successor)
        other.close()
        await until(lambda: ("succeeded", False) in proxy.told)

    async def coming(hot_restart: HotRestart, proxy: Proxy, other: socket.socket) -> None:
        assert await packet(other) == READY

    as_predecessor(directory, serving)
    as_successor(directory, coming)
    assert capsys.readouterr().err.splitlines() == [
        "lugspur: replacement: another process serves in the place of this one",
        "lugspur: replacement: the process that was to follow has ended; this one serves on",
        "lugspur: replacement: this process serves in the place of the one before",
    ]


REFUSALS = {
    ANOTHER_VERSION: "no hand-over: this process speaks version 1",
    b'{"t":"estate","n":0,"of":1,"part":"{}"}': "no hand-over: no estate: KeyError('version')",
    STATE_PACKET: "no hand-over: no listening socket came",
    b'{"t":"estate","n":1,"of":2,"part":""}': "no hand-over: a part of another estate",
    b'{"t":"estate","n":0,"of":2,"part":""}': "no hand-over: nothing whole came within 1 s",
    b"nonsense": "no hand-over: the process that serves has ended",
}


@pytest.mark.parametrize("answer", REFUSALS, ids=range(len(REFUSALS)))
def test_operators_read_why_there_was_no_hand_over(
    directory: Path, answer: bytes, capsys: pytest.CaptureFixture[str]
) -> None:
    async def run() -> None:
        hot_restart = HotRestart(ADDRESS)
        with other_process() as serving:
            with short_path(directory) as path:
                serving.bind(path)
            serving.listen()
            taking = asyncio.create_task(hot_restart.take_over())
            other, _ = await asyncio.to_thread(serving.accept)
            with other:
                other.send(answer)
                assert await asyncio.wait_for(taking, WITHIN_SECONDS) is None
        hot_restart.close()

    asyncio.run(run())
    assert capsys.readouterr().err.splitlines() == [f"lugspur: replacement: {REFUSALS[answer]}"]
