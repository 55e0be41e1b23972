"""A process that comes meets what is at the socket: nothing, rubbish, another version, silence, half an estate."""

from __future__ import annotations

import asyncio
import os
import socket
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, OK, Running, backend, entry, read, running, soon, status, until

from lugspur.daemon.hot_restart import hot_restart as hot_restart_module
from lugspur.daemon.hot_restart.hot_restart import HotRestart, short_directory_path, socket_location
from lugspur.daemon.hot_restart.packets import (
    MAX_PACKET_BYTES,
    PROTOCOL_VERSION,
    ProcessState,
    encode_state,
    pack,
    unpack,
)
from lugspur.discovery.maintenance import Bans
from lugspur.load_balancing.model import Learned

ADDRESS = (HOST, 7)


@pytest.fixture(autouse=True)
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Path]:
    """A folder of its own, with a path longer than a Unix socket's address takes."""
    deep = tmp_path / ("d" * 90) / ("e" * 90)
    deep.mkdir(parents=True)
    monkeypatch.setattr(tempfile, "tempdir", str(deep))
    yield deep


class Old:
    """Stands where the process before would: a socket at the place, and what it says is the test's matter."""

    def __init__(self) -> None:
        folder, name = socket_location(ADDRESS)
        self._sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        with short_directory_path(folder) as path:
            self._sock.bind(f"{path}/{name}")
        self._sock.listen()
        self._sock.settimeout(20.0)

    def come(self) -> socket.socket:
        """The process that comes, once it has said hello."""
        one, _ = self._sock.accept()
        one.settimeout(20.0)
        assert unpack(one.recv(MAX_PACKET_BYTES)) == {"t": "hello", "version": PROTOCOL_VERSION}
        return one


def took(says: Any) -> tuple[bool, int]:
    """Whether an estate was taken where the old process does this; and the links that are left."""

    async def play() -> tuple[bool, int]:
        old = Old()
        hot_restart = HotRestart(ADDRESS)
        taking = asyncio.create_task(hot_restart.take_over())
        one = await asyncio.to_thread(old.come)
        says(one)
        found = await soon(taking)
        if found is not None:
            found.listener.close()
        left = len(hot_restart.connections)
        hot_restart.close()
        return found is not None, left

    return asyncio.run(play())


ESTATE = ProcessState(1, [], Bans([], [], {}), False, [], Learned((), (), 0.0, 0.0, 0))
PARTS = encode_state(ESTATE)
NEWER = [part.replace(b'\\"version\\":1', b'\\"version\\":9') for part in PARTS]


def with_socket(packets: list[bytes]) -> Any:
    """Say these, the last with a listening socket."""

    def say(one: socket.socket) -> None:
        with socket.socket() as listener:
            listener.bind((HOST, 0))
            for packet in packets[:-1]:
                one.send(packet)
            socket.send_fds(one, [packets[-1]], [listener.fileno()])

    return say


def test_a_whole_estate_is_taken_over_a_path_of_any_length(folder: Path) -> None:
    assert len(str(folder)) > 108
    assert took(with_socket(PARTS)) == (True, 1)


@pytest.mark.parametrize(
    "says",
    [
        lambda one: one.close(),
        lambda one: one.send(b"nonsense"),
        lambda one: one.send(b"x" * (MAX_PACKET_BYTES + 5000)),
        lambda one: one.send(pack({"t": "no", "why": "another version"})),
        lambda one: one.send(PARTS[0]),  # whole, and no socket comes with it
        lambda one: one.send(pack({"t": "estate", "n": 3, "of": 9, "part": ""})),
        lambda one: one.send(pack({"t": "estate", "n": 0, "of": 10**9, "part": ""})),
        with_socket(NEWER),
    ],
    ids=range(8),
)
def test_what_is_no_estate_means_a_start_from_nothing(says: Any) -> None:
    assert NEWER != PARTS
    assert took(says) == (False, 0)


def test_one_that_says_nothing_or_half_is_waited_for_a_moment(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(hot_restart_module, "STATE_TRANSFER_TIMEOUT_SECONDS", 0.1)
    half = pack({"t": "estate", "n": 0, "of": 2, "part": "{"})
    assert took(lambda one: None) == (False, 0)
    assert took_again(lambda one: one.send(half)) == (False, 0)


def took_again(says: Any) -> tuple[bool, int]:
    """After the socket of a dead process has been left where it was."""
    folder, name = socket_location(ADDRESS)
    os.unlink(f"{folder}/{name}")
    return took(says)


def test_a_stale_socket_another_users_and_none_at_all_are_no_process(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        hot_restart = HotRestart(ADDRESS)
        assert await hot_restart.take_over() is None
        Old()._sock.close()
        assert await hot_restart.take_over() is None
        old = again()
        monkeypatch.setattr(os, "geteuid", lambda: 12345)
        assert await hot_restart.take_over() is None
        old.close()
        hot_restart.close()

    asyncio.run(play())


def again() -> socket.socket:
    """One more at the place, where a stale one lies."""
    folder, name = socket_location(ADDRESS)
    os.unlink(f"{folder}/{name}")
    return Old()._sock


async def serving(up: Running) -> HotRestart:
    """The hot restart of a running proxy, which other processes find."""
    hot_restart = HotRestart(ADDRESS)
    [server] = up.proxy.front._server.sockets
    up.proxy.attach_peers(hot_restart)
    hot_restart.attach(up.proxy, server)
    hot_restart.announce_ready()
    return hot_restart


def test_rubbish_from_a_process_that_comes_harms_nobody(folder: Path) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address)]) as up:
            hot_restart = await serving(up)
            folder_, name = socket_location(ADDRESS)
            for packet in (
                b"nonsense",
                pack({"t": "ban", "id": 7}),
                pack({"t": "ids", "begun": 5}),
                b"x" * 60_000,
                pack({"t": "caller"}),
                pack({"t": "hello", "version": 9}),
                pack({"t": "hello"}),
            ):
                came = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
                with short_directory_path(folder_) as path:
                    came.connect(f"{path}/{name}")
                came.send(packet)
                await until(lambda: len(hot_restart.connections) <= 1)
                client = await up.client()
                assert status(await client.ask(read())) == 200
                came.close()
                await until(lambda: not hot_restart.connections)
            assert hot_restart.successor is None
            hot_restart.close()
            assert not os.path.exists(folder / name)  # its own it takes along

    asyncio.run(play())


def test_a_ban_told_to_either_in_the_instant_of_the_hand_over_binds_both() -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address), entry("s-2", one.address)]) as old:
            first = await serving(old)
            second = HotRestart(ADDRESS)
            taking = asyncio.create_task(second.take_over())
            await until(lambda: bool(first.connections))
            assert old.proxy.disable("s-1")  # before the estate has been read, or just after it was written
            found = await soon(taking)
            assert found is not None
            assert old.proxy.disable("s-2")  # before the new one serves
            found.listener.close()
            async with running([entry("s-1", one.address), entry("s-2", one.address)]) as new:
                new.proxy.maintenance.restore(found.state.bans)
                new.proxy.attach_peers(second)
                [server] = new.proxy.front._server.sockets
                second.attach(new.proxy, server)
                await until(lambda: len(new.proxy.maintenance.banned) == 2)
                assert new.proxy.enable("s-1")  # told to the new one
                await until(lambda: len(old.proxy.maintenance.banned) == 1)
                client = await new.client()
                assert status(await client.ask(read())) == 200
                second.close()
            await until(lambda: not first.connections)
            first.close()

    asyncio.run(play())
