"""One seed of the soak of the proxy in service: a daemon before backends, callers, troubles, then calm."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from random import Random

from lugspur.bench.soak.daemon_fault_injector import DaemonTroubles
from lugspur.bench.soak.daemon_process import HOST, LOOK_EVERY, Daemon, ready
from lugspur.bench.soak.faulty_backends import DaemonBackend
from lugspur.bench.soak.plan import DAEMON_WEIGHTS, Trouble, draw
from lugspur.bench.soak.valid_callers import Asked, SoundCallers
from lugspur.bench.soak.verdict import Verdict, figures

BACKENDS = 4
CALLERS = 6
DEADLINE = 2.0  # seconds of every class
CALM_WITHIN = 10.0  # seconds after the last trouble in which all is served again
QUIET_WITHIN = 8.0  # seconds after the last request in which nothing may be left open
NOT_RUN = (408, 421, 429, 503)  # statuses that promise that the request has not run


async def soak_daemon(folder: Path, seed: int, seconds: float) -> Verdict:
    """Play one seed, and say what was found."""
    return await play(folder, draw(Random(f"troubles-{seed}"), seconds, DAEMON_WEIGHTS), seed)


async def play(folder: Path, troubles: list[Trouble], seed: int) -> Verdict:
    """Play these troubles."""
    verdict = Verdict()
    backends = [DaemonBackend(Random(f"backend-{seed}-{number}")) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    daemon = Daemon(folder, backends)
    loop = asyncio.get_running_loop()
    try:
        daemon.start()
        await ready(daemon)
        callers, acts = SoundCallers(daemon), DaemonTroubles(daemon, Random(f"acts-{seed}"), verdict)
        asking = [asyncio.ensure_future(callers.work(Random(f"caller-{seed}-{n}"))) for n in range(CALLERS)]
        began = loop.time()
        async with asyncio.TaskGroup() as group:
            for trouble in troubles:
                await asyncio.sleep(max(0.0, began + trouble.at - loop.time()))
                group.create_task(acts.carry_out(trouble))
        await _until_useful(callers, verdict)
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
        await _until_quiet(daemon, verdict)
        if daemon.process is not None and daemon.process.poll() is not None:
            verdict.add("process that ended by itself", str(daemon.process.returncode))
    finally:
        await daemon.close()
        for backend in backends:
            backend.crash()
    _check(callers, acts, backends, verdict)
    verdict.read_logs(folder)
    return verdict


async def _until_useful(callers: SoundCallers, verdict: Verdict) -> None:
    """Twenty requests in a row are served, within the time."""
    loop = asyncio.get_running_loop()
    until = loop.time() + CALM_WITHIN
    while not (len(callers.asked) >= 20 and all(asked.status == 200 for asked in callers.asked[-20:])):
        if loop.time() > until:
            verdict.add("not useful again", str(Counter(asked.status for asked in callers.asked[-20:])))
            return
        await asyncio.sleep(LOOK_EVERY)


async def _until_quiet(daemon: Daemon, verdict: Verdict) -> None:
    """Nothing is left open once nobody asks."""
    loop = asyncio.get_running_loop()
    until = loop.time() + QUIET_WITHIN
    names = ("lugspur_requests_open", "lugspur_held_bytes")
    while True:
        found = await figures(f"{HOST}:{daemon.management}")
        left = {name: found[name] for name in names if found.get(name)} if found else {"no figures": 1.0}
        if not left:
            return
        if loop.time() > until:
            verdict.add("left open", str(left))
            return
        await asyncio.sleep(LOOK_EVERY)


def _check(callers: SoundCallers, acts: DaemonTroubles, backends: list[DaemonBackend], verdict: Verdict) -> None:
    """What the rules promise of each request."""
    runs = Counter(ident for backend in backends for ident in backend.ran)
    spoilt, away = acts.callers, acts.daemon.away
    sent = {asked.ident for asked in callers.asked} | spoilt.whole
    unsafe = {asked.ident for asked in callers.asked if asked.unsafe} | spoilt.unsafe
    for ident, times in runs.items():
        if ident in unsafe and times > 1:
            verdict.add("ran twice", f"{ident}, {times} times")
        if ident not in sent and ident in spoilt.hidden:
            verdict.add("ran and nobody sent it", ident)
    for asked in callers.asked:
        excused = _within(asked, away)
        # A stopping process takes nothing new, but finishes what it has passed on.
        unanswered = asked.status == 0 and not excused
        if unanswered and (asked.ident in runs or not _within(asked, acts.daemon.stopping)):
            verdict.add("no answer", f"{asked.ident} after {asked.ended - asked.began:.2f} s at {asked.began:.2f}")
        if asked.status == 200 and asked.body != asked.ident.encode():
            verdict.add("a wrong answer", f"{asked.ident} got {asked.body[:40]!r}")
        if asked.unsafe and asked.status in NOT_RUN and asked.ident in runs:
            verdict.add("refused and ran", f"{asked.ident}: {asked.status}")
        if asked.ended - asked.began > DEADLINE + 1.0 and not excused:
            verdict.add("answered late", f"{asked.ident}: {asked.ended - asked.began:.2f} s")
    statuses = Counter(asked.status for asked in callers.asked)
    verdict.done.update({f"requests with {status or 'no answer'}": count for status, count in statuses.items()})
    verdict.done["runs"] = runs.total()


def _within(asked: Asked, times: list[tuple[float, float]]) -> bool:
    """Whether a request was under way at any of these times."""
    return any(asked.began <= until and asked.ended >= since for since, until in times)
