"""`python -m lugspur.standins.zookeeper` serves and runs the commands of a script, then those of standard input."""

from __future__ import annotations

import argparse
import asyncio
import os
import stat
import sys
from pathlib import Path

from lugspur.discovery.endpoints import read_address
from lugspur.standins.zookeeper.cluster import Cluster, Script


async def _run_input(script: Script) -> None:
    """Run the commands of standard input line by line until it ends."""
    loop = asyncio.get_running_loop()
    source = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(source), sys.stdin)
    while line := await source.readline():
        print(await script.run_line(line.decode()), flush=True)


def _stdin_is_waitable() -> bool:
    """Return whether standard input can be waited for; it can't if it is closed, a file or /dev/null."""
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
            reply = await script.run_line(line)
            if reply != "ok":
                print(f"{path}: {line}: {reply}", file=sys.stderr, flush=True)
        if _stdin_is_waitable():
            await _run_input(script)
        await asyncio.Event().wait()


def main() -> None:
    """Serve until the process is killed."""
    parser = argparse.ArgumentParser(
        description="A stand-in ZooKeeper ensemble; write `help` to its standard input for its commands."
    )
    parser.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT[,HOST:PORT...]")
    parser.add_argument("--script", default="", metavar="FILE", help="commands to run first, such as `wait 2s`")
    parser.add_argument("--shortest", type=float, default=0.2, help="minimum session timeout in seconds")
    parser.add_argument("--longest", type=float, default=60.0, help="maximum session timeout in seconds")
    arguments = parser.parse_args()
    try:
        asyncio.run(_serve(arguments.listen, arguments.script, arguments.shortest, arguments.longest))
    except (OSError, ValueError) as error:
        parser.error(str(error))


if __name__ == "__main__":
    main()
