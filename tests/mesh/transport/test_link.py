"""Connections between processes: split frames, and what ends a connection without harm to others."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from lugspur.mesh.control.messages import Hello, Message, Pong, ReserveKey, encode
from lugspur.mesh.transport import link as link_module
from lugspur.mesh.transport.dialer import Dialer
from lugspur.mesh.transport.link import KEEPALIVE_IDLE_SECONDS, PROXY_KEEPALIVE_IDLE_SECONDS, Link


def play(what: Callable[[Server], Awaitable[None]]) -> None:
    async def run() -> None:
        server = Server()
        async with asyncio.timeout(10.0):
            await server.begin()
            await what(server)
        server.listening.close()

    asyncio.run(run())


class Server:
    """One that listens, and what it heard."""

    def __init__(self) -> None:
        self.heard: list[Message] = []
        self.links: list[Link] = []
        self.ended: list[Link] = []
        self.turn = asyncio.Event()

    async def begin(self) -> None:
        def accepted() -> Link:
            self.links.append(Link(self._heard, self._over))
            return self.links[-1]

        self.listening = await asyncio.get_running_loop().create_server(accepted, "127.0.0.1", 0)
        self.port = self.listening.sockets[0].getsockname()[1]

    def _heard(self, link: Link, message: Message) -> None:
        self.heard.append(message)
        self.turn.set()

    def _over(self, link: Link) -> None:
        self.ended.append(link)
        self.turn.set()

    async def until(self, is_so: Callable[[], bool]) -> None:
        while not is_so():
            self.turn.clear()
            await self.turn.wait()


def test_frames_arrive_complete_and_in_order_however_they_are_split() -> None:
    async def what(server: Server) -> None:
        sent: list[Message] = [Hello("10.0.0.1", "life", False), ReserveKey(b"k", b"b", 3, 1.5), Pong()]
        data = b"".join(map(encode, sent))
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        for n in range(len(data)):
            writer.write(data[n : n + 1])
            await writer.drain()
        await server.until(lambda: len(server.heard) == 3)
        assert server.heard == sent
        writer.close()
        await server.until(lambda: len(server.ended) == 1)

    play(what)


@pytest.mark.parametrize(
    "data",
    [(200 << 20).to_bytes(4, "big"), b"\0\0\0\3abc", b"\0\0\0\2\x91\x63", b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\0"],
)
def test_what_is_no_message_ends_its_connection_and_no_other(data: bytes) -> None:
    async def what(server: Server) -> None:
        _, good = await asyncio.open_connection("127.0.0.1", server.port)
        _, bad = await asyncio.open_connection("127.0.0.1", server.port)
        bad.write(data + encode(Pong()))
        await server.until(lambda: len(server.ended) == 1)
        assert server.heard == []
        good.write(encode(Pong()))
        await server.until(lambda: server.heard == [Pong()])
        bad.close()
        good.close()

    play(what)


def test_a_peer_that_does_not_read_is_dropped_before_it_fills_the_memory(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link_module, "MAX_UNSENT_BYTES", 1 << 20)

    async def what(server: Server) -> None:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        await server.until_link()  # type: ignore[attr-defined]
        link = server.links[0]
        for _ in range(1000):
            link.send(ReserveKey(bytes(100_000), b"b", 1, 1.0))
            await asyncio.sleep(0)
            if not link.is_open:
                break
        assert not link.is_open and server.ended == [link]
        link.send(Pong())  # to nobody
        writer.close()

    async def until_link(self: Server) -> None:
        while not self.links or self.links[0]._transport is None:
            await asyncio.sleep(0)

    monkeypatch.setattr(Server, "until_link", until_link, raising=False)
    play(what)


def test_a_dialer_dials_again_until_it_is_closed() -> None:
    async def what(server: Server) -> None:
        ups: list[Dialer] = []
        downs: list[Dialer] = []

        def up(dialer: Dialer) -> None:
            ups.append(dialer)
            server.turn.set()

        def down(dialer: Dialer) -> None:
            downs.append(dialer)
            server.turn.set()

        dialer = Dialer(
            "127.0.0.1", server.port, "127.0.0.1", on_message=lambda *_: None, on_connected=up, on_disconnected=down
        )
        await server.until(lambda: len(ups) == 1 and bool(server.links))
        server.links[0].close()
        await server.until(lambda: len(ups) == 2)
        assert len(downs) == 1 and dialer.link is not None
        dialer.close()
        await server.until(lambda: len(server.ended) == 2)
        assert len(downs) == 1

    play(what)


def test_a_connection_to_a_former_incarnation_ends_once_the_next_one_dials_here() -> None:
    async def what(server: Server) -> None:
        up: asyncio.Queue[Dialer] = asyncio.Queue()
        down: list[Dialer] = []
        dialer = Dialer(
            "127.0.0.1",
            server.port,
            "127.0.0.1",
            on_message=lambda *_: None,
            on_connected=up.put_nowait,
            on_disconnected=down.append,
            keep_idle=PROXY_KEEPALIVE_IDLE_SECONDS,
        )
        await up.get()
        assert dialer.link is not None
        dialer.peer_dialled(
            "first"
        )  # its Hello has not been answered yet: nothing is known of the incarnation behind it
        dialer.link.peer_incarnation = "first"
        dialer.peer_dialled("first")
        assert not down and dialer.link is not None
        dialer.peer_dialled("second")
        assert down == [dialer] and dialer.link is None
        assert (await up.get()).link is not None  # and it dials again
        dialer.close()

    play(what)


def test_keepalive_probes_between_proxies_are_rarer() -> None:
    async def what(server: Server) -> None:
        for keep_idle in (KEEPALIVE_IDLE_SECONDS, PROXY_KEEPALIVE_IDLE_SECONDS):
            up: asyncio.Queue[Dialer] = asyncio.Queue()
            dialer = Dialer(
                "127.0.0.1",
                server.port,
                "127.0.0.1",
                on_message=lambda *_: None,
                on_connected=up.put_nowait,
                on_disconnected=lambda _: None,
                keep_idle=keep_idle,
            )
            link = (await up.get()).link
            assert link is not None and link._transport is not None
            sock = link._transport.get_extra_info("socket")
            assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) == keep_idle
            dialer.close()

    play(what)
