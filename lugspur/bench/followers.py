"""Watches the children of a node in one process: `python -m lugspur.bench.followers ours HOSTS FOLDER`.

The first argument selects lugspur's own ZooKeeper client (`ours`) or kazoo (`kazoo`). The process prints
`whole NODES SECONDS CPU MIB THREADS` once all nodes are known, then `seen NAME MONOTONIC` for each node that appears
after that. kazoo is no dependency of the program; docs/registry.md compares it with lugspur's own client.
"""

from __future__ import annotations

import asyncio
import sys
import threading
import time
from pathlib import Path

from lugspur.discovery.endpoints import read_address


def _resident_mib() -> float:
    lines = Path("/proc/self/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmRSS")) / 1024.0


def _print_complete(nodes: int, started_at: float) -> None:
    print(
        f"whole {nodes} {time.monotonic() - started_at:.4f} {time.process_time():.4f} {_resident_mib():.1f} "
        f"{threading.active_count()}",
        flush=True,
    )


async def ours(hosts: str, folder: str) -> None:
    """Watch the folder with lugspur's own client."""
    from lugspur.zookeeper.client import Client
    from lugspur.zookeeper.session import Event, SessionOptions
    from lugspur.zookeeper.view import NodeChanged, Snapshot, View

    started_at = time.monotonic()
    view = View(folder)

    def print_updates(_: list[Event]) -> None:
        for update in view.take_updates():
            if isinstance(update, Snapshot):
                _print_complete(len(update.nodes), started_at)
            elif isinstance(update, NodeChanged):
                print(f"seen {update.name} {time.monotonic():.6f}", flush=True)

    client = Client([read_address(host) for host in hosts.split(",")], SessionOptions(10.0), print_updates)
    client.add(view)
    client.open()
    await asyncio.Event().wait()


def kazoo(hosts: str, folder: str) -> None:
    """Watch the folder with kazoo as its users do: with a ChildrenWatch, and with pipelined reads of all new nodes."""
    from kazoo.client import KazooClient

    started_at = time.monotonic()
    client = KazooClient(hosts, timeout=10.0)
    client.start()
    known: set[str] = set()

    def print_changes(names: list[str]) -> None:
        new_names = [name for name in names if name not in known]
        reads = [client.get_async(f"{folder}/{name}") for name in new_names]
        for read in reads:
            read.get()
        first = not known
        known.update(new_names)
        if first:
            _print_complete(len(known), started_at)
        else:
            for name in new_names:
                print(f"seen {name} {time.monotonic():.6f}", flush=True)

    client.ChildrenWatch(folder)(print_changes)
    threading.Event().wait()


def main() -> None:
    """Watch until killed."""
    kind, hosts, folder = sys.argv[1:4]
    if kind == "kazoo":
        kazoo(hosts, folder)
    else:
        asyncio.run(ours(hosts, folder))


if __name__ == "__main__":
    main()
