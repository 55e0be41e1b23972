"""The watch over loopback: a discovery that goes silent, and when its watchers come back."""

from __future__ import annotations

import asyncio
import re

import pytest
from loopback import HOST, soon

from lugspur.discovery import watch
from lugspur.discovery.endpoints import Endpoint, EndpointReader
from lugspur.load_balancing.model import ListUpdateKind

TOLD_WITHIN = 6.0  # seconds after which what discovery has to tell counts as told, by the platform's protocol


def line(index: int, snapshot: str, name: str, status: str) -> bytes:
    text = (
        f'{{"index":{index},"snapshot":{snapshot},"endpoints":[{{"name":"{name}","address":"127.0.0.1:9",'
        f'"status":"{status}"}}]}}\n'
    ).encode()
    return b"%x\r\n%b\r\n" % (len(text), text)


def test_a_watch_that_falls_silent_is_made_anew_where_it_was(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "SILENT", 0.05)

    async def run() -> None:
        since: list[int] = []
        told: asyncio.Queue[tuple[ListUpdateKind, str]] = asyncio.Queue()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = await reader.readuntil(b"\r\n\r\n")
            asked = re.search(rb"since=(\d+)", head)
            assert asked is not None
            since.append(int(asked[1]))
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            # The first watch tells the list and hangs; the change is told to whoever comes next.
            first = len(since) == 1
            writer.write(line(4, "true", "a", "in_service") if first else line(5, "false", "a", "terminating"))
            await reader.read()
            writer.close()

        def heard(kind: ListUpdateKind, endpoints: list[Endpoint]) -> None:
            told.put_nowait((kind, endpoints[0].row.state.value))

        server = await asyncio.start_server(serve, HOST, 0)
        found = watch.Discovery(server.sockets[0].getsockname()[:2], EndpointReader(), 0, heard)
        found.open()
        assert await soon(told.get()) == (ListUpdateKind.COMPLETE, "up")
        assert await soon(told.get()) == (ListUpdateKind.PATCH, "draining")
        assert since[:2] == [0, 4]
        found.close()
        server.close()

    asyncio.run(run())


def test_silence_is_noticed_before_what_was_missed_counts_as_told() -> None:
    worst = watch.SILENT * (1.0 + watch.SILENT_SPREAD) + 1.5 * watch.RETRY_FIRST
    assert worst + 2.0 <= TOLD_WITHIN  # 2 s: the line that came just before, and one try that fails
