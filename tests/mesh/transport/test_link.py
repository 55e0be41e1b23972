"""Connections between processes: split frames, and closing of a connection without an effect on others."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from lugspur.mesh.control.messages import Hello, Message, Pong, ReserveKey, encode
from lugspur.mesh.transport import link as link_module
from lugspur.mesh.transport.dialer import Dialer
from lugspur.mesh.transport.link import KEEPALIVE_IDLE_SECONDS, PROXY_KEEPALIVE_IDLE_SECONDS, Link


def run_with_server(scenario: Callable[[Server], Awaitable[None]]) -> None:
    async def run() -> None:
        server = Server()
        async with asyncio.timeout(10.0):
            await server.start()
            await scenario(server)
        server.listener.close()

    asyncio.run(run())


class Server:
    """A listening process that records the messages it receives."""

    def __init__(self) -> None:
        self.received: list[Message] = []
        self.links: list[Link] = []
        self.ended: list[Link] = []
        self.changed = asyncio.Event()

    async def start(self) -> None:
        def accept() -> Link:
            self.links.append(Link(self._on_message, self._on_end))
            return self.links[-1]

        self.listener = await asyncio.get_running_loop().create_server(accept, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def _on_message(self, link: Link, message: Message) -> None:
        self.received.append(message)
        self.changed.set()

    def _on_end(self, link: Link) -> None:
        self.ended.append(link)
        self.changed.set()

    async def until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            self.changed.clear()
            await self.changed.wait()


def test_frames_arrive_complete_and_in_order_however_they_are_split() -> None:
    async def scenario(server: Server) -> None:
        sent: list[Message] = [Hello("10.0.0.1", "life", False), ReserveKey(b"k", b"b", 3, 1.5), Pong()]
        data = b"".join(map(encode, sent))
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        for n in range(len(data)):
            writer.write(data[n : n + 1])
            await writer.drain()
        await server.until(lambda: len(server.received) == 3)
        assert server.received == sent
        writer.close()
        await server.until(lambda: len(server.ended) == 1)

    run_with_server(scenario)


@pytest.mark.parametrize(
    "data",
    [(200 << 20).to_bytes(4, "big"), b"\0\0\0\3abc", b"\0\0\0\2\x91\x63", b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\0"],
)
def test_invalid_data_closes_its_connection_and_no_other(data: bytes) -> None:
    async def scenario(server: Server) -> None:
        _, good = await asyncio.open_connection("127.0.0.1", server.port)
        _, bad = await asyncio.open_connection("127.0.0.1", server.port)
        bad.write(data + encode(Pong()))
        await server.until(lambda: len(server.ended) == 1)
        assert server.received == []
        good.write(encode(Pong()))
        await server.until(lambda: server.received == [Pong()])
        bad.close()
        good.close()

    run_with_server(scenario)


def test_a_peer_that_does_not_read_is_disconnected_before_memory_fills_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(link_module, "MAX_UNSENT_BYTES", 1 << 20)

    async def scenario(server: Server) -> None:
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
        link.send(Pong())  # dropped
        writer.close()

    async def until_link(self: Server) -> None:
        while not self.links or self.links[0]._transport is None:
            await asyncio.sleep(0)

    monkeypatch.setattr(Server, "until_link", until_link, raising=False)
    run_with_server(scenario)


def test_a_dialer_dials_again_until_it_is_closed() -> None:
    async def scenario(server: Server) -> None:
        connected: list[Dialer] = []
        disconnected: list[Dialer] = []

        def on_connected(dialer: Dialer) -> None:
            connected.append(dialer)
            server.changed.set()

        def on_disconnected(dialer: Dialer) -> None:
            disconnected.append(dialer)
            server.changed.set()

        dialer = Dialer(
            "127.0.0.1",
            server.port,
            "127.0.0.1",
            on_message=lambda *_: None,
            on_connected=on_connected,
            on_disconnected=on_disconnected,
        )
        await server.until(lambda: len(connected) == 1 and bool(server.links))
        server.links[0].close()
        await server.until(lambda: len(connected) == 2)
        assert len(disconnected) == 1 and dialer.link is not None
        dialer.close()
        await server.until(lambda: len(server.ended) == 2)
        assert len(disconnected) == 1

    run_with_server(scenario)


def test_a_connection_to_a_former_incarnation_is_closed_when_the_next_one_dials() -> None:
    async def scenario(server: Server) -> None:
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
        # The peer has not sent its Hello yet, so the incarnation behind the link is unknown.
        dialer.peer_dialled("first")
        dialer.link.peer_incarnation = "first"
        dialer.peer_dialled("first")
        assert not down and dialer.link is not None
        dialer.peer_dialled("second")
        assert down == [dialer] and dialer.link is None
        assert (await up.get()).link is not None  # it dials again
        dialer.close()

    run_with_server(scenario)


def test_keepalive_probes_between_proxies_are_rarer() -> None:
    async def scenario(server: Server) -> None:
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

    run_with_server(scenario)
