"""One process that follows a folder by our client or by kazoo: `python -m lugspur.bench.followers ours HOSTS FOLDER`.

Prints `whole NODES SECONDS CPU MIB THREADS` once all nodes are known, then `seen NAME MONOTONIC` for each that comes
after that. kazoo is no dependency of the program: it stands beside ours in docs/registry.md.
"""

from __future__ import annotations

import asyncio
import sys
import threading
import time
from pathlib import Path

from lugspur.discovery.endpoints import read_address


def _memory() -> float:
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024.0


def _whole(nodes: int, begun: float) -> None:
    print(
        f"whole {nodes} {time.monotonic() - begun:.4f} {time.process_time():.4f} {_memory():.1f} "
        f"{threading.active_count()}",
        flush=True,
    )


async def ours(hosts: str, folder: str) -> None:
    """By our own client."""
    from lugspur.zookeeper.client import Client
    from lugspur.zookeeper.session import Event, SessionOptions
    from lugspur.zookeeper.view import NodeChanged, Snapshot, View

    begun = time.monotonic()
    view = View(folder)

    def heard(_: list[Event]) -> None:
        for news in view.take_updates():
            if isinstance(news, Snapshot):
                _whole(len(news.nodes), begun)
            elif isinstance(news, NodeChanged):
                print(f"seen {news.name} {time.monotonic():.6f}", flush=True)

    client = Client([read_address(host) for host in hosts.split(",")], SessionOptions(10.0), heard)
    client.add(view)
    client.open()
    await asyncio.Event().wait()


def kazoo(hosts: str, folder: str) -> None:
    """By kazoo, as its users write it: a ChildrenWatch, and all nodes read at once by its pipelined calls."""
    from kazoo.client import KazooClient

    begun = time.monotonic()
    client = KazooClient(hosts, timeout=10.0)
    client.start()
    known: set[str] = set()

    def changed(names: list[str]) -> None:
        fresh = [name for name in names if name not in known]
        reads = [client.get_async(f"{folder}/{name}") for name in fresh]
        for read in reads:
            read.get()
        first = not known
        known.update(fresh)
        if first:
            _whole(len(known), begun)
        else:
            for name in fresh:
                print(f"seen {name} {time.monotonic():.6f}", flush=True)

    client.ChildrenWatch(folder)(changed)
    threading.Event().wait()


def main() -> None:
    """Follow until killed."""
    kind, hosts, folder = sys.argv[1:4]
    if kind == "kazoo":
        kazoo(hosts, folder)
    else:
        asyncio.run(ours(hosts, folder))


if __name__ == "__main__":
    main()
