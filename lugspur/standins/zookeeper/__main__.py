"""`python -m lugspur.standins.zookeeper`: serve, and obey the lines of a script and then of standard input."""

from __future__ import annotations

import argparse
import asyncio
import os
import stat
import sys
from pathlib import Path

from lugspur.discovery.endpoints import read_address
from lugspur.standins.zookeeper.cluster import Cluster, Script


async def _lines(script: Script) -> None:
    """Obey standard input line by line, until it ends."""
    loop = asyncio.get_running_loop()
    source = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(source), sys.stdin)
    while line := await source.readline():
        print(await script.obey(line.decode()), flush=True)


def _speaks() -> bool:
    """Whether lines may come on standard input: one that is closed, a file or /dev/null can't be waited for."""
    try:
        kind = os.fstat(0).st_mode
    except OSError:
        return False
    return os.isatty(0) or stat.S_ISFIFO(kind) or stat.S_ISSOCK(kind)


async def _serve(listen: str, path: str, shortest: float, longest: float) -> None:
    async with Cluster(shortest, longest) as cluster:
        await cluster.listen(*map(read_address, listen.split(",")))
        print(f"ready {cluster.hosts}", flush=True)
        script = Script(cluster)
        for line in Path(path).read_text().splitlines() if path else ():
            answer = await script.obey(line)
            if answer != "ok":
                print(f"{path}: {line}: {answer}", file=sys.stderr, flush=True)
        if _speaks():
            await _lines(script)
        await asyncio.Event().wait()


def main() -> None:
    """Serve until it is killed."""
    parser = argparse.ArgumentParser(description="A stand-in ZooKeeper ensemble; `help` on its standard input.")
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT[,HOST:PORT...]")
    parser.add_argument("--script", default="", metavar="FILE", help="lines to obey first, such as `wait 2s`")
    parser.add_argument("--shortest", type=float, default=0.2, help="seconds of a session's time-out at least")
    parser.add_argument("--longest", type=float, default=60.0, help="seconds of a session's time-out at most")
    given = parser.parse_args()
    try:
        asyncio.run(_serve(given.listen, given.script, given.shortest, given.longest))
    except (OSError, ValueError) as fault:
        parser.error(str(fault))


if __name__ == "__main__":
    main()
