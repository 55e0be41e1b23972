"""The runs of a measurement: one hollow fleet for each number of proxies, and each cause of work in turn."""

from __future__ import annotations

import asyncio
import os
import shutil
import tempfile
import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from pathlib import Path

from lugspur.emulator.capacity.fit import percentile
from lugspur.emulator.capacity.measurement import CatchUp, Changes, Join, Keyed, Restart, Run, Window
from lugspur.emulator.capacity.observer import footprint, read, window
from lugspur.emulator.hollow.commands import Collected
from lugspur.emulator.hollow.fleet import HollowFleet
from lugspur.emulator.hollow.usage import of_address, of_process
from lugspur.mesh.link import PROXY_KEEP_IDLE

CONTROL = 4
SIZES = (20, 80, 160, 320, 620)
KEYED_SIZES = (20, 620)  # what a key costs must not depend on the number of proxies: seen at both ends
RATES = (300.0, 1000.0, 2000.0, 4000.0)  # operation keys a second
QUICK_SIZES, QUICK_RATES = (10, 20, 40), (50.0, 200.0)
CHANGES, CHANGE_EVERY_S = 10, 0.4
IDLE_S = PROXY_KEEP_IDLE + 2.0  # each idle connection is probed once in it, however old it is
KEYED_S = 5.0
SETTLE_S = 1.0  # after something, for its news to end
CATCH_UP_MOST_S = 25.0

Tell = Callable[[str], None]


async def measure(
    folder: Path, sizes: Sequence[int], keyed: Sequence[int], rates: Sequence[float], tell: Tell
) -> list[Run]:
    """Measure at each of these numbers of proxies; data folders lie under `folder` while it lasts."""
    folder.mkdir(parents=True, exist_ok=True)
    runs = []
    for size in sizes:
        begun = time.monotonic()
        try:
            with tempfile.TemporaryDirectory(dir=folder) as own:
                runs.append(await _run(Path(own), size, rates if size in keyed else ()))
            tell(f"{size} proxies: {time.monotonic() - begun:.0f} s")
        except TimeoutError:
            # The others' figures are kept; the page says which sizes there are.
            tell(f"{size} proxies: FAILED, not complete in time after {time.monotonic() - begun:.0f} s")
    return runs


async def _run(folder: Path, size: int, rates: Sequence[float]) -> Run:
    fleet = HollowFleet(folder, CONTROL, size)
    try:
        join = await _join(fleet)
        await asyncio.sleep(SETTLE_S)
        changes = await _changes(fleet)
        standing = await read(fleet)
        restart = await _restart(fleet)
        await asyncio.sleep(SETTLE_S)
        idle = await _idle(fleet)
        subscriptions = sum(int(one["subscribers"]) for one in (await fleet.statuses()).values())
        catch_up = [await _catch_up(fleet, empty_disk=False), await _catch_up(fleet, empty_disk=True)]
        keyed = [await _keyed(fleet, rate) for rate in rates]
        if rates:
            catch_up.append(await _catch_up(fleet, empty_disk=True))
        load, own = os.getloadavg()[0], footprint(fleet, standing)
        return Run(size, CONTROL, load, join, own, subscriptions, idle, changes, restart, keyed, catch_up)
    finally:
        await fleet.close()


async def _join(fleet: HollowFleet) -> Join:
    begun = time.monotonic()
    await fleet.start()
    seconds = time.monotonic() - begun
    return Join(seconds, sum(of_process(process.pid).cpu_s for process in fleet.control.values()))


async def _idle(fleet: HollowFleet) -> Window:
    first = await read(fleet)
    await asyncio.sleep(IDLE_S)
    return window(first, await read(fleet))


async def _changes(fleet: HollowFleet) -> Changes:
    first = await read(fleet)
    made = []
    for _ in range(CHANGES):
        made.append(await fleet.change())
        await asyncio.sleep(CHANGE_EVERY_S)
    await asyncio.sleep(SETTLE_S)
    last = await read(fleet)
    arrived = arrivals(last.collected.values())
    return Changes(
        window(first, last),
        sorted(_ms(confirmed - sent) for _, sent, confirmed in made),
        sorted(_ms(max(arrived[edition]) - sent) for edition, sent, _ in made),
        sorted(_ms(max(0.0, max(arrived[edition]) - confirmed)) for edition, _, confirmed in made),
    )


def arrivals(collected: Iterable[Collected]) -> dict[int, list[float]]:
    """When each edition came into force at each proxy."""
    found: dict[int, list[float]] = {}
    for one in collected:
        for arrival in one.arrivals:
            found.setdefault(arrival.edition, []).extend(arrival.at)
    return found


async def _restart(fleet: HollowFleet) -> Restart:
    alone = fleet.racks[-1]
    first = await read(fleet)
    killed = time.monotonic()
    await fleet.kill_rack(alone)
    await fleet.until_complete(fleet.proxies - 1)
    withdrawn = max(found.last_withdrawal for found in await fleet.collect())
    started = time.monotonic()
    await fleet.start_rack(alone.indexes)
    await fleet.until_complete()
    complete = time.monotonic()
    return Restart(window(first, await read(fleet)), withdrawn - killed, complete - started)


async def _keyed(fleet: HollowFleet, rate: float) -> Keyed:
    before = await _commits(fleet)
    first = await read(fleet)
    await fleet.claim_at(rate)
    await asyncio.sleep(KEYED_S)
    await fleet.claim_at(0.0)
    await asyncio.sleep(SETTLE_S)  # the last ones settle
    last = await read(fleet)
    after = await _commits(fleet)
    held = max(int(one["claims"]) for one in (await fleet.statuses()).values())
    claims = [found.claims for found in last.collected.values()]
    milliseconds = [ms for one in claims for ms in one.milliseconds]
    return Keyed(
        rate,
        window(first, last),
        sum(one.begun for one in claims),
        sum(one.won for one in claims),
        sum(one.lost for one in claims),
        percentile(milliseconds, 0.5),
        percentile(milliseconds, 0.99),
        [(now - then) / (last.at - first.at) for then, now in zip(before, after, strict=True)],
        held,
        [last.control[index].memory_mb for index in sorted(last.control)],
    )


async def _commits(fleet: HollowFleet) -> list[int]:
    found = [await fleet.status(index) for index in sorted(fleet.control)]
    return [0 if one is None else int(one["disk"]["commits"]) for one in found]


async def _catch_up(fleet: HollowFleet, empty_disk: bool) -> CatchUp:
    statuses = await fleet.statuses()
    held, epoch = max((int(one["claims"]), int(one["epoch"])) for one in statuses.values())
    index = next(n for n in sorted(fleet.control, reverse=True) if statuses[fleet.layout.control_ip(n)]["voter"])
    ip = fleet.layout.control_ip(index)
    await fleet.kill_control(index)
    if empty_disk:
        shutil.rmtree(fleet.layout.folder / ip)
    begun = time.monotonic()
    await fleet.start_control(index)
    seconds = -1.0
    with suppress(TimeoutError):
        async with asyncio.timeout(CATCH_UP_MOST_S):
            await fleet.until_settled(epoch if empty_disk else 0)
        seconds = time.monotonic() - begun
    others = of_address(ip, peers=f"127.{fleet.layout.net}.1.0/24")
    cpu_s = of_process(fleet.control[index].pid).cpu_s
    await fleet.until_complete()
    await asyncio.sleep(SETTLE_S)
    return CatchUp(empty_disk, held, seconds, cpu_s, others.payload_bytes)


def _ms(seconds: float) -> float:
    return round(1e3 * seconds, 2)
