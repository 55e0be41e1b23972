"""One process with the proxies of a rack: `python -m lugspur.emulator.hollow.rack FILE`, driven over standard input."""

from __future__ import annotations

import asyncio
import gc
import sys
from pathlib import Path
from random import Random

import logbook
import msgspec
import uvloop

from lugspur.emulator.hollow.claimant import Claimant
from lugspur.emulator.hollow.commands import Arrival, ClaimAt, ClaimFigures, Collected, Command, RackSettings
from lugspur.emulator.hollow.counting import Counter
from lugspur.emulator.hollow.proxy import HollowProxy, Record
from lugspur.mesh.program import GC_YOUNG
from lugspur.mesh.settings import load

LINE_MOST = 1 << 20  # bytes of one command


class Rack:
    """The proxies of one process."""

    def __init__(self, settings: RackSettings, counter: Counter) -> None:
        self.record, self.counter = Record(), counter
        full_mesh = frozenset(settings.full_mesh)
        self.proxies = [HollowProxy(load(path), path, full_mesh, self.record) for path in settings.paths]
        self.claimant = Claimant(self.proxies, Random(settings.paths[0]))

    async def serve(self) -> None:
        """Listen at the addresses of all proxies, then do as the driver says until it closes its end."""
        for proxy in self.proxies:
            await proxy.serve()
        claiming = asyncio.get_running_loop().create_task(self.claimant.run())
        commands = asyncio.StreamReader(LINE_MOST)
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(commands), sys.stdin.buffer
        )
        decoder: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)
        while line := await commands.readline():
            command = decoder.decode(line)
            if isinstance(command, ClaimAt):
                self.claimant.per_second = command.per_second
            else:
                sys.stdout.buffer.write(msgspec.json.encode(self.collect(command.keep)) + b"\n")
                sys.stdout.buffer.flush()
        claiming.cancel()

    def collect(self, keep: bool) -> Collected:
        """What has happened since the last time; only the state where that is to be kept."""
        now = asyncio.get_running_loop().time()
        counts = [proxy.accepting for proxy in self.proxies]
        sources: dict[str, int] = {}
        for proxy in self.proxies:
            sources[proxy.source] = sources.get(proxy.source, 0) + 1
        arrivals: dict[int, list[float]] = {}
        claims = ClaimFigures()
        if not keep:
            arrivals, self.record.arrivals = self.record.arrivals, arrivals
            claims, self.claimant.figures = self.claimant.figures, claims
        return Collected(
            proxies=len(self.proxies),
            ready=sum(proxy.is_ready for proxy in self.proxies),
            fewest_backends=min(counts),
            most_backends=max(counts),
            oldest_news_s=max(now - proxy.source_at for proxy in self.proxies),
            sources=sources,
            arrivals=[Arrival(edition, at) for edition, at in arrivals.items()],
            last_withdrawal=self.record.last_withdrawal,
            received=self.counter.received,
            sent=self.counter.sent,
            claims=claims,
        )


async def _run(path: Path) -> None:
    counter = Counter()
    counter.install()
    rack = Rack(msgspec.json.decode(path.read_bytes(), type=RackSettings), counter)
    gc.set_threshold(GC_YOUNG, 20, 50)  # as the real program does
    await rack.serve()


def main() -> None:
    """Run the rack that the file describes."""
    with logbook.StreamHandler(sys.stderr, level=logbook.WARNING).applicationbound():
        uvloop.run(_run(Path(sys.argv[1])))


if __name__ == "__main__":
    main()
