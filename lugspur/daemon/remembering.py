"""Keeps what the pools learned over a restart: slices on the loop, the file in a thread, what was kept given back."""

from __future__ import annotations

import asyncio
import sys
import threading
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import suppress
from typing import TYPE_CHECKING, TypeVar

from lugspur.config.load import resolved
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

Done = TypeVar("Done")
SLICE = 0.0003  # seconds of the loop's time that a slice takes, about: requests that come meanwhile wait for it...
PAUSE = 0.002  # ...and between two: a request takes several turns of the loop, and would meet a slice in each
EACH = 4  # backends asked for in one go: a full one takes some 30 us
SERVED_AFTER = 10.0  # seconds of service after which a start with a file counts as gone well
BACK_OFF_MOST = 60.0  # seconds between two tries where the disk fails
LAST_WITHIN = 2.0  # seconds that the last writing may hold up the end...
OPEN_WITHIN = 5.0  # ...and reading the start


class Remembering:
    """One daemon's folder."""

    def __init__(self, folder: str, every: float, beside: str) -> None:
        self._loop = asyncio.get_running_loop()
        self._folder = resolved(folder, beside)
        self._every = self._delay = every
        self._store: SnapshotStore | None = None
        self._snapshot: Snapshot | None = None
        self._age: float | None = None
        self._task: asyncio.Task[None] | None = None
        self._served: asyncio.TimerHandle | None = None
        self._written: object = None  # what the pools had seen when that was last written
        self._failing = False

    async def open(self) -> None:
        """Read what was kept; a folder that can't be used is one line in the log."""
        try:
            async with asyncio.timeout(OPEN_WITHIN):
                self._store, found = await self._aside(self._open)
        except DirectoryInUseError:
            _say(f"{self._folder} is kept by another process: this one keeps nothing")
            return
        except TimeoutError:  # before OSError, which it is too
            _say(f"{self._folder} is too slow: nothing is taken up or kept")
            return
        except OSError as fault:
            _say(f"{self._folder} can't be used: {fault.strerror or fault}; nothing is kept")
            return
        for line in found.warnings:
            _say(line)
        self._snapshot = found.snapshot
        if found.snapshot is not None:
            self._age = snapshot_age(found.snapshot.written_at, time.time())
            pools = found.snapshot.pools
            backends = sum(len(pool.endpoints) for pool in pools.values())
            aged = "of unknown age" if self._age is None else f"{self._age:.0f} s old"
            _say(f"{backends} backends of {len(pools)} pools, {aged}")

    def _open(self) -> tuple[SnapshotStore, LoadResult]:
        store = open_store(self._folder)
        return store, store.load()

    def of(self, name: str) -> tuple[PoolSnapshot | None, float | None]:
        """What was kept of a pool, and its age."""
        return (None if self._snapshot is None else self._snapshot.pools.get(name)), self._age

    def begin(self, clusters: Callable[[], Mapping[str, UpstreamCluster]]) -> None:
        """The daemon serves: keep on writing."""
        self._snapshot = None
        if self._store is None:
            return
        self._clusters = clusters
        self._served = self._loop.call_later(SERVED_AFTER, self._went_well)
        self._task = self._loop.create_task(self._keep())

    def _went_well(self) -> None:
        if self._store is not None:
            threading.Thread(target=self._store.confirm_start, daemon=True).start()

    async def _keep(self) -> None:
        while True:
            await asyncio.sleep(self._delay)
            await self._write()

    async def _write(self) -> None:
        store = self._store
        seen = {name: cluster.change_counts() for name, cluster in self._clusters().items()}
        if store is None or seen == self._written:
            return
        try:
            facts = await self._facts()
            await self._aside(lambda: store.save(encode_snapshot(time.time(), facts)))
        except Exception as fault:  # Guards service and its orderly end: a list may hold what no file can.
            if not self._failing:
                why = fault.strerror if isinstance(fault, OSError) and fault.strerror else repr(fault)
                _say(f"can't write to {self._folder}: {why}; tried again and again")
            self._failing = True
            self._delay = min(BACK_OFF_MOST, 2.0 * self._delay)
        else:
            if self._failing:
                _say(f"can write to {self._folder} again")
            self._failing, self._delay, self._written = False, self._every, seen

    async def _facts(self) -> list[bytes]:
        """All lines of a file, in slices."""
        found: list[bytes] = []
        begun, left = self._loop.time(), MAX_BACKENDS
        for cluster in tuple(self._clusters().values()):
            for line in lines(cluster, left):
                found.append(line)
                if self._loop.time() - begun >= SLICE:
                    await asyncio.sleep(PAUSE)
                    begun = self._loop.time()
            left = max(0, left - len(cluster.overrides.latest))
        return found

    async def close(self) -> None:
        """Write for the last time, and let others have the folder."""
        if self._served is not None:
            self._served.cancel()
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            try:
                async with asyncio.timeout(LAST_WITHIN):
                    await self._write()
            except TimeoutError:
                _say(f"{self._folder} is too slow: what was learned last is not kept")
                return  # the thread may still write; the lock ends with the process
        store, self._store = self._store, None
        if store is not None:
            if task is not None:
                store.confirm_start()
            store.close()

    async def _aside(self, work: Callable[[], Done]) -> Done:
        """Done in a thread that doesn't hold up the end of the process."""
        done: asyncio.Future[Done] = self._loop.create_future()

        def tell(result: Done | None, fault: BaseException | None) -> None:
            if done.done():
                return
            if fault is not None:
                done.set_exception(fault)
            else:
                done.set_result(result)  # type: ignore[arg-type]  # what `work` gave

        def run() -> None:
            result: Done | None = None
            fault: BaseException | None = None
            try:
                result = work()
            except BaseException as raised:  # whatever it is, whoever waits has to know
                fault = raised
            with suppress(RuntimeError):  # the loop is gone by now: so is whoever waited
                self._loop.call_soon_threadsafe(tell, result, fault)

        threading.Thread(target=run, name="state", daemon=True).start()
        return await done


def lines(cluster: UpstreamCluster, most: int) -> Iterator[bytes]:
    """What is kept of a pool, at most so many of its backends."""
    name, pool = cluster.name, cluster.pool
    yield encode_record("pool", name, {"at": pool.now()})
    told = tuple(cluster.overrides.latest.values())[:most]
    for endpoint in told:
        yield encode_record("backend", name, state_codec.encode_endpoint(endpoint))
    for at in range(0, len(told), EACH):
        among = [endpoint.row.server for endpoint in told[at : at + EACH]]
        for row in pool.balancer.export_learned(among).servers:
            yield encode_record("learned", name, state_codec.encode_learned_server(row))
    yield encode_record("tier", name, state_codec.encode_learned_pools(pool.balancer.export_learned(())))


def _say(line: str) -> None:
    print(f"lugspur: state: {line}", file=sys.stderr, flush=True)
