"""The watch over loopback: a discovery service that sends nothing anymore, and when its watchers reconnect."""

from __future__ import annotations

import asyncio
import re

import pytest
from loopback import HOST, soon

from lugspur.discovery import platform_watch
from lugspur.discovery.endpoints import Endpoint, EndpointReader
from lugspur.load_balancing.model import ListUpdateKind

#: Seconds after which the platform counts an update as delivered, according to its protocol.
DELIVERY_TIMEOUT_SECONDS = 6.0


def line(index: int, snapshot: str, name: str, status: str) -> bytes:
    text = (
        f'{{"index":{index},"snapshot":{snapshot},"endpoints":[{{"name":"{name}","address":"127.0.0.1:9",'
        f'"status":"{status}"}}]}}\n'
    ).encode()
    return b"%x\r\n%b\r\n" % (len(text), text)


def test_a_silent_watch_is_resumed_from_its_last_index(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(platform_watch, "SILENCE_TIMEOUT_SECONDS", 0.05)

    async def run() -> None:
        since: list[int] = []
        updates: asyncio.Queue[tuple[ListUpdateKind, str]] = asyncio.Queue()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            since_match = re.search(rb"since=(\d+)", head)
            assert since_match is not None
            since.append(int(since_match[1]))
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            # The first watch delivers the list and hangs; the next one gets the change.
            first = len(since) == 1
            writer.write(line(4, "true", "a", "in_service") if first else line(5, "false", "a", "terminating"))
            await reader.read()
            writer.close()

        def receive(kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
            updates.put_nowait((kind, endpoints[0].row.state.value))

        server = await asyncio.start_server(serve, HOST, 0)
        watch = platform_watch.PlatformWatch(server.sockets[0].getsockname()[:2], EndpointReader(), 0, receive)
        watch.open()
        assert await soon(updates.get()) == (ListUpdateKind.COMPLETE, "up")
        assert await soon(updates.get()) == (ListUpdateKind.PATCH, "draining")
        assert since[:2] == [0, 4]
        watch.close()
        server.close()

    asyncio.run(run())


def test_a_silent_watch_is_replaced_before_the_platform_counts_its_updates_as_delivered() -> None:
    worst = (
        platform_watch.SILENCE_TIMEOUT_SECONDS * (1.0 + platform_watch.SILENCE_TIMEOUT_JITTER)
        + 1.5 * platform_watch.FIRST_RETRY_DELAY_SECONDS
    )
    assert worst + 2.0 <= DELIVERY_TIMEOUT_SECONDS  # 2 s: the interval after the last line, and one failed attempt
