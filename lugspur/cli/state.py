"""`lugspur state`: shows, verifies and prunes the persisted state of a daemon."""

from __future__ import annotations

import json
import os
import sys
import time
from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from lugspur.config.units import InvalidValueError, duration
from lugspur.daemon.persistence.directory import Directory
from lugspur.daemon.persistence.snapshot_format import (
    MAX_FILE_BYTES,
    PoolSnapshot,
    Snapshot,
    UnreadableSnapshotError,
    decode_snapshot,
    encode_record,
    encode_snapshot,
)
from lugspur.daemon.persistence.snapshot_store import DirectoryInUseError, SnapshotStore
from lugspur.discovery import state_codec
from lugspur.discovery.endpoints import server_name

EXIT_UNUSABLE = 2  # the exit status for a file that can't be used


@click.group()
def state() -> None:
    """Work with the persisted state of a daemon: the file `state` in the directory that [state] names."""


def _read(file: str) -> Snapshot:
    """Return the snapshot in a file; if it can't be used, print the reason to standard error and exit."""
    path = Path(file)
    try:
        disk = Directory(str(path.parent))
        try:
            return decode_snapshot(disk.read(path.name, MAX_FILE_BYTES))
        finally:
            disk.close()
    except OSError as fault:
        reason = fault.strerror or str(fault)
    except (ValueError, UnreadableSnapshotError) as fault:
        reason = str(fault)
    click.echo(f"{file}: {reason}", err=True)
    sys.exit(EXIT_UNUSABLE)


def _rows(pool: PoolSnapshot) -> Iterator[dict[str, Any]]:
    """Yield a row for each backend of a pool, with what was learned about it."""
    learned = {} if pool.learned is None else {row.server: row for row in pool.learned.servers}
    for endpoint in pool.endpoints:
        row, known = endpoint.row, learned.get(endpoint.row.server)
        breaker = None if known is None else known.breaker
        window = () if breaker is None else breaker.window
        host, port = endpoint.address
        yield {
            "backend": server_name(row.server),
            "address": f"{host}:{port}",
            "state": row.state.name.lower(),
            "latency_ms": None if known is None or not known.latency else round(known.latency * 1e3, 3),
            "seen_s": None if known is None or not known.seen else round(pool.captured_at - known.seen, 1),
            "calls": sum(bucket[1] for bucket in window),
            "failed": sum(bucket[3] for bucket in window),
            "turned_away": 0 if known is None else known.downs,
        }


@state.command()
@click.argument("file")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object instead of tables.")
def show(file: str, as_json: bool) -> None:
    """Show the pools and backends in FILE."""
    snapshot = _read(file)
    age = time.time() - snapshot.written_at
    if as_json:
        click.echo(
            json.dumps(
                {
                    "written": snapshot.written_at,
                    "age_s": round(age, 1),
                    "pools": {name: list(_rows(pool)) for name, pool in snapshot.pools.items()},
                }
            )
        )
        return
    click.echo(f"written {age:.0f} s ago")
    console = Console(width=None if sys.stdout.isatty() else 120)
    for name, pool in snapshot.pools.items():
        table = Table(title=f"pool {name}", title_justify="left")
        for column in ("backend", "address", "state", "latency ms", "seen s before", "calls", "failed", "rejected"):
            table.add_column(column)
        for row in _rows(pool):
            table.add_row(*("-" if value is None else str(value) for value in row.values()))
        console.print(table)


@state.command()
@click.argument("file")
def verify(file: str) -> None:
    """Check whether FILE is complete and can be used; exit with status 2 if not."""
    snapshot = _read(file)
    backends = sum(len(pool.endpoints) for pool in snapshot.pools.values())
    click.echo(f"{file}: whole; {len(snapshot.pools)} pools, {backends} backends")


@state.command()
@click.argument("file")
@click.option(
    "--unseen", default="1h", show_default=True, help="Remove what was learned about backends not seen for this time."
)
def prune(file: str, unseen: str) -> None:
    """Remove what was learned about backends that were not seen for a long time; they stay in the list of endpoints.

    Fails while a daemon uses the directory.
    """
    try:
        max_age = duration(0.0, 1e9)(unseen)
    except InvalidValueError as fault:
        raise click.UsageError(f"--unseen {unseen}: {fault}") from fault
    snapshot = _read(file)
    path = Path(file)
    dropped = 0
    records: list[bytes] = []
    for name, pool in snapshot.pools.items():
        records.append(encode_record("pool", name, {"at": pool.captured_at}))
        records += (
            encode_record("backend", name, state_codec.encode_endpoint(endpoint)) for endpoint in pool.endpoints
        )
        if pool.learned is not None:
            kept = [row for row in pool.learned.servers if row.seen and pool.captured_at - row.seen <= max_age]
            dropped += len(pool.learned.servers) - len(kept)
            records += (encode_record("learned", name, state_codec.encode_learned_server(row)) for row in kept)
            records.append(
                encode_record("tier", name, state_codec.encode_learned_pools(replace(pool.learned, servers=())))
            )
    try:
        store = SnapshotStore(Directory(os.path.dirname(path.resolve())))
    except DirectoryInUseError:
        click.echo(f"{file}: a daemon uses this directory; stop it first", err=True)
        sys.exit(1)
    except OSError as fault:
        click.echo(f"{file}: {fault.strerror or fault}", err=True)
        sys.exit(1)
    try:
        store.replace_file(path.name, encode_snapshot(snapshot.written_at, records))
    except OSError as fault:
        click.echo(f"{file}: {fault.strerror or fault}", err=True)
        sys.exit(1)
    finally:
        store.close()
    click.echo(f"{file}: forgot {dropped} backends")
