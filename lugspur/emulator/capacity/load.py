"""The load run: a full fleet with changes and operation keys all the while, and failures one after another."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from lugspur.emulator.capacity.fit import percentile
from lugspur.emulator.capacity.measure import CONTROL, Tell, arrivals
from lugspur.emulator.capacity.measurement import Flow, Load, Phase
from lugspur.emulator.capacity.observer import read, window
from lugspur.emulator.hollow.fleet import HollowFleet

CLAIMS_PER_S = 200.0
CHANGES_EVERY_S = 1.0
SETTLE_S = 1.5  # before a phase's end without further changes, so that the last one arrives within it
FRESH_S = 2.0  # age of the news under which a proxy counts as told: `edition_ms` of the settings
SAMPLE = 2000  # of the arrivals of a phase at most are kept
KILLED = 1  # the control machine that is killed: a voter
Event = Callable[[HollowFleet], Awaitable[None]]


async def load(folder: Path, proxies: int, seconds: float, tell: Tell) -> Load:
    """Play all phases; together they last about so many seconds, and as long as the fleet takes to recover."""
    folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(dir=folder) as own:
        fleet = HollowFleet(Path(own), CONTROL, proxies)
        try:
            await fleet.start()
            await fleet.claim_at(CLAIMS_PER_S)
            phases = []
            for name, event in EVENTS.items():
                phases.append(await _phase(fleet, name, event, seconds / len(EVENTS)))
                tell(f"{name}: {phases[-1].seconds:.0f} s, recovered {phases[-1].recovered_s:.1f} s")
            return Load(proxies, CONTROL, CLAIMS_PER_S, CHANGES_EVERY_S, phases)
        finally:
            await fleet.close()


async def _phase(fleet: HollowFleet, name: str, event: Event | None, seconds: float) -> Phase:
    first = await read(fleet)
    changing = asyncio.Event()
    changes = asyncio.create_task(_change_on(fleet, changing))
    recovered = -1.0
    if event is not None:
        begun = time.monotonic()
        await event(fleet)
        recovered = time.monotonic() - begun
    await asyncio.sleep(max(0.0, first.at + seconds - SETTLE_S - time.monotonic()))
    changing.set()
    made = await changes
    await asyncio.sleep(SETTLE_S)
    last = await read(fleet)
    used = window(first, last)
    arrived = arrivals(last.collected.values())
    samples = [_ms(at - sent) for edition, sent, _ in made for at in arrived.get(edition, [])]
    running = sum(one.proxies for one in last.collected.values())
    claims = [one.claims for one in last.collected.values()]
    milliseconds = [ms for one in claims for ms in one.milliseconds]
    return Phase(
        name=name,
        seconds=used.seconds,
        changes=len(made),
        confirmed_ms=sorted(_ms(confirmed - sent) for _, sent, confirmed in made),
        proxy_ms=sorted(samples)[:: max(1, len(samples) // SAMPLE)],
        last_proxy_ms=sorted(_ms(max(arrived[e]) - sent) for e, sent, _ in made if e in arrived),
        after_confirmation_ms=sorted(_ms(max(0.0, max(arrived[e]) - done)) for e, _, done in made if e in arrived),
        not_arrived=sum(max(0, running - len(arrived.get(edition, []))) for edition, _, _ in made),
        claims_begun=sum(one.begun for one in claims),
        claims_won=sum(one.won for one in claims),
        claim_p50_ms=percentile(milliseconds, 0.5),
        claim_p99_ms=percentile(milliseconds, 0.99),
        proxy_cores=used.hollow_proxy_cores,
        busiest_control_cores=max(used.control_cores),
        news_bytes_per_proxy=used.received.get("Delta", Flow(0.0, 0.0)).bytes * used.seconds / running,
        real_proxy_memory_mb=last.real.memory_mb,
        real_proxy_wire_bytes_s=used.real_proxy_wire_bytes_s,
        oldest_news_s=max(one.oldest_news_s for one in last.collected.values()),
        recovered_s=recovered,
    )


async def _change_on(fleet: HollowFleet, over: asyncio.Event) -> list[tuple[int, float, float]]:
    made = []
    while not over.is_set():
        made.append(await fleet.change())
        await asyncio.sleep(max(0.0, made[-1][1] + CHANGES_EVERY_S - time.monotonic()))
    return made


async def _rack_killed(fleet: HollowFleet) -> None:
    await fleet.kill_rack(fleet.racks[0])
    await fleet.until_complete(fleet.proxies - len(fleet.spared[-1]))


async def _rack_back(fleet: HollowFleet) -> None:
    rack = await fleet.start_rack(fleet.spared.pop())
    await rack.claim_at(CLAIMS_PER_S * len(rack.indexes) / fleet.proxies)
    await fleet.until_complete()


async def _control_killed(fleet: HollowFleet) -> None:
    await fleet.kill_control(KILLED)
    await fleet.until_followed(fleet.layout.control_ip(KILLED), FRESH_S)


async def _control_back(fleet: HollowFleet) -> None:
    await fleet.start_control(KILLED)
    await fleet.until_settled()


async def _seeds_exchanged(fleet: HollowFleet) -> None:
    for former in range(len(fleet.seeds)):
        await fleet.exchange_control(former, CONTROL + former)
    await fleet.until_complete()


EVENTS: dict[str, Event | None] = {
    "calm": None,
    "a rack of 40 killed": _rack_killed,
    "the rack starts again": _rack_back,
    "a control machine killed": _control_killed,
    "that control machine starts again": _control_back,
    "all seeds exchanged": _seeds_exchanged,
    "calm again": None,
}


def _ms(seconds: float) -> float:
    return round(1e3 * seconds, 2)
