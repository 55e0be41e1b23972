"""Persists what the pools learned of their backends; encodes it in slices on the loop, and writes it in a thread."""

from __future__ import annotations

import asyncio
import sys
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from typing import TYPE_CHECKING, TypeVar

from lugspur.config.load import resolve_path
from lugspur.daemon.persistence.aging import snapshot_age
from lugspur.daemon.persistence.snapshot_format import (
    MAX_BACKENDS,
    PoolSnapshot,
    Snapshot,
    encode_record,
    encode_snapshot,
)
from lugspur.daemon.persistence.snapshot_store import DirectoryInUseError, LoadResult, SnapshotStore, open_store
from lugspur.discovery import state_codec

if TYPE_CHECKING:
    from lugspur.daemon.cluster import UpstreamCluster

Result = TypeVar("Result")
# Approximate time that the loop spends encoding without a pause; requests that arrive meanwhile wait for it.
ENCODE_SLICE_SECONDS = 0.0003
# Between two slices: a request takes several turns of the loop, and without a pause would wait for a slice in each.
ENCODE_PAUSE_SECONDS = 0.002
BACKENDS_PER_EXPORT = 4  # a backend with full statistics takes some 30 us
CONFIRM_START_DELAY_SECONDS = 10.0  # time in service after which a start with a file counts as a success
MAX_RETRY_DELAY_SECONDS = 60.0  # between two attempts while the disk fails
LAST_WRITE_TIMEOUT_SECONDS = 2.0  # time by which the last write may delay the end of the process
READ_TIMEOUT_SECONDS = 5.0  # time by which reading may delay the start


class StatePersistence:
    """Reads the snapshot of a data directory at the start, and writes what changes at intervals and at the end."""

    def __init__(self, directory: str, interval_seconds: float, config_path: str) -> None:
        self._loop = asyncio.get_running_loop()
        self._directory = resolve_path(directory, config_path)
        self._interval_seconds = self._delay_seconds = interval_seconds
        self._store: SnapshotStore | None = None
        self._snapshot: Snapshot | None = None
        self._snapshot_age: float | None = None
        self._task: asyncio.Task[None] | None = None
        self._confirm_timer: asyncio.TimerHandle | None = None
        self._last_written_counts: object = None  # change counts of the clusters at the last write
        self._is_failing = False

    async def open(self) -> None:
        """Read the snapshot; a directory that can't be used is logged in one line, and the daemon serves without it."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_SECONDS):
                self._store, found = await self._run_in_thread(self._open)
        except DirectoryInUseError:
            _log(f"{self._directory} is in use by another process: this one persists nothing")
            return
        except TimeoutError:  # before OSError, which it is too
            _log(f"{self._directory} is too slow: nothing is loaded or persisted")
            return
        except OSError as error:
            _log(f"{self._directory} can't be used: {error.strerror or error}; nothing is persisted")
            return
        for line in found.warnings:
            _log(line)
        self._snapshot = found.snapshot
        if found.snapshot is not None:
            self._snapshot_age = snapshot_age(found.snapshot.written_at, time.time())
            pools = found.snapshot.pools
            backends = sum(len(pool.endpoints) for pool in pools.values())
            aged = "of unknown age" if self._snapshot_age is None else f"{self._snapshot_age:.0f} s old"
            _log(f"{backends} backends of {len(pools)} pools, {aged}")

    def _open(self) -> tuple[SnapshotStore, LoadResult]:
        store = open_store(self._directory)
        return store, store.load()

    def snapshot_of(self, name: str) -> tuple[PoolSnapshot | None, float | None]:
        """Return the snapshot of a pool and its age in seconds; None where there is none, or its age is unknown."""
        return (None if self._snapshot is None else self._snapshot.pools.get(name)), self._snapshot_age

    def start_writing(self, clusters: Callable[[], Mapping[str, UpstreamCluster]]) -> None:
        """Write from now on, at intervals, since the daemon serves."""
        self._snapshot = None
        if self._store is None:
            return
        self._clusters = clusters
        self._confirm_timer = self._loop.call_later(CONFIRM_START_DELAY_SECONDS, self._confirm_start)
        self._task = self._loop.create_task(self._write_periodically())

    def _confirm_start(self) -> None:
        if self._store is not None:
            threading.Thread(target=self._store.confirm_start, daemon=True).start()

    async def _write_periodically(self) -> None:
        while True:
            await asyncio.sleep(self._delay_seconds)
            await self._write()

    async def _write(self) -> None:
        store = self._store
        counts = {name: cluster.change_counts() for name, cluster in self._clusters().items()}
        if store is None or counts == self._last_written_counts:
            return
        try:
            records = await self._encode_records()
            await self._run_in_thread(lambda: store.save(encode_snapshot(time.time(), records)))
        except Exception as error:  # Must not stop service or shutdown: a list may hold values that can't be encoded.
            if not self._is_failing:
                why = error.strerror if isinstance(error, OSError) and error.strerror else repr(error)
                _log(f"can't write to {self._directory}: {why}; retrying")
            self._is_failing = True
            self._delay_seconds = min(MAX_RETRY_DELAY_SECONDS, 2.0 * self._delay_seconds)
        else:
            if self._is_failing:
                _log(f"can write to {self._directory} again")
            self._is_failing, self._delay_seconds, self._last_written_counts = False, self._interval_seconds, counts

    async def _encode_records(self) -> list[bytes]:
        """Return the encoded records of all clusters; yields to the loop after each slice."""
        records: list[bytes] = []
        begun, remaining = self._loop.time(), MAX_BACKENDS
        for cluster in tuple(self._clusters().values()):
            for record in encode_cluster(cluster, remaining):
                records.append(record)
                if self._loop.time() - begun >= ENCODE_SLICE_SECONDS:
                    await asyncio.sleep(ENCODE_PAUSE_SECONDS)
                    begun = self._loop.time()
            remaining = max(0, remaining - len(cluster.overrides.latest))
        return records

    async def close(self) -> None:
        """Write for the last time, and release the directory."""
        if self._confirm_timer is not None:
            self._confirm_timer.cancel()
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            try:
                async with asyncio.timeout(LAST_WRITE_TIMEOUT_SECONDS):
                    await self._write()
            except TimeoutError:
                _log(f"{self._directory} is too slow: what was learned last is not persisted")
                return  # the thread may still write; the lock ends with the process
        store, self._store = self._store, None
        if store is not None:
            if task is not None:
                store.confirm_start()
            store.close()

    async def _run_in_thread(self, work: Callable[[], Result]) -> Result:
        """Return the result of `work`, run in a thread that doesn't delay the end of the process."""
        done: asyncio.Future[Result] = self._loop.create_future()

        def finish(result: Result | None, error: BaseException | None) -> None:
            if done.done():
                return
            if error is not None:
                done.set_exception(error)
            else:
                done.set_result(result)  # type: ignore[arg-type]  # the result of `work`

        def run() -> None:
            result: Result | None = None
            error: BaseException | None = None
            try:
                result = work()
            except BaseException as raised:  # of any kind, because the coroutine would wait for ever
                error = raised
            with suppress(RuntimeError):  # the loop has closed, so no coroutine waits any more
                self._loop.call_soon_threadsafe(finish, result, error)

        threading.Thread(target=run, name="state", daemon=True).start()
        return await done


def encode_cluster(cluster: UpstreamCluster, max_backends: int) -> Iterator[bytes]:
    """Yield the records of a cluster and of at most so many of its backends."""
    name, pool = cluster.name, cluster.pool
    yield encode_record("pool", name, {"at": pool.now()})
    endpoints = tuple(cluster.overrides.latest.values())[:max_backends]
    for endpoint in endpoints:
        yield encode_record("backend", name, state_codec.encode_endpoint(endpoint))
    for at in range(0, len(endpoints), BACKENDS_PER_EXPORT):
        servers = [endpoint.row.server for endpoint in endpoints[at : at + BACKENDS_PER_EXPORT]]
        for row in pool.balancer.export_learned(servers).servers:
            yield encode_record("learned", name, state_codec.encode_learned_server(row))
    yield encode_record("tier", name, state_codec.encode_learned_pools(pool.balancer.export_learned(())))


def _log(line: str) -> None:
    print(f"lugspur: state: {line}", file=sys.stderr, flush=True)
