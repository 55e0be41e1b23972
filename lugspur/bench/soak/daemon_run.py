"""Runs one seed of the daemon soak: a daemon with backends and callers under faults, then a check that it recovered."""

from __future__ import annotations

import asyncio
from collections import Counter
from pathlib import Path
from random import Random

from lugspur.bench.soak.daemon_fault_injector import DaemonFaultInjector
from lugspur.bench.soak.daemon_process import HOST, POLL_SECONDS, Daemon, wait_until_ready
from lugspur.bench.soak.faulty_backends import DaemonBackend
from lugspur.bench.soak.plan import DAEMON_WEIGHTS, Fault, draw_faults
from lugspur.bench.soak.valid_callers import RequestRecord, ValidCallers
from lugspur.bench.soak.verdict import Verdict, read_metrics

BACKENDS = 4
CALLERS = 6
# Deadline of every class in the settings.
DEADLINE_SECONDS = 2.0
# Time after the last fault in which all requests must be served again.
RECOVERY_TIMEOUT_SECONDS = 10.0
# Time after the last request in which the daemon must have no open work left.
IDLE_TIMEOUT_SECONDS = 8.0
# Statuses that promise that the request has not run at a backend.
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def soak_daemon(directory: Path, seed: int, seconds: float) -> Verdict:
    """Run one seed with faults drawn from it, and return the verdict."""
    return await run_with_faults(directory, draw_faults(Random(f"troubles-{seed}"), seconds, DAEMON_WEIGHTS), seed)


async def run_with_faults(directory: Path, faults: list[Fault], seed: int) -> Verdict:
    """Run one soak with these faults, and return the verdict."""
    verdict = Verdict()
    backends = [DaemonBackend(Random(f"backend-{seed}-{number}")) for number in range(BACKENDS)]
    for backend in backends:
        await backend.start()
    daemon = Daemon(directory, backends)
    loop = asyncio.get_running_loop()
    try:
        daemon.start()
        await wait_until_ready(daemon)
        callers, injector = ValidCallers(daemon), DaemonFaultInjector(daemon, Random(f"acts-{seed}"), verdict)
        caller_tasks = [
            asyncio.ensure_future(callers.send_requests(Random(f"caller-{seed}-{n}"))) for n in range(CALLERS)
        ]
        started_at = loop.time()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                await asyncio.sleep(max(0.0, started_at + fault.at - loop.time()))
                group.create_task(injector.inject(fault))
        await _wait_until_recovered(callers, verdict)
        for task in caller_tasks:
            task.cancel()
        await asyncio.gather(*caller_tasks, return_exceptions=True)
        await _wait_until_idle(daemon, verdict)
        if daemon.process is not None and daemon.process.poll() is not None:
            verdict.add("process that ended by itself", str(daemon.process.returncode))
    finally:
        await daemon.close()
        for backend in backends:
            backend.crash()
    _check_requests(callers, injector, backends, verdict)
    verdict.read_logs(directory)
    return verdict


async def _wait_until_recovered(callers: ValidCallers, verdict: Verdict) -> None:
    """Wait until twenty requests in a row are served; add a finding if that takes too long."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RECOVERY_TIMEOUT_SECONDS
    while not (len(callers.requests) >= 20 and all(request.status == 200 for request in callers.requests[-20:])):
        if loop.time() > deadline:
            verdict.add("not useful again", str(Counter(request.status for request in callers.requests[-20:])))
            return
        await asyncio.sleep(POLL_SECONDS)


async def _wait_until_idle(daemon: Daemon, verdict: Verdict) -> None:
    """Wait until the daemon has no open work once no caller sends requests; add a finding if that takes too long."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + IDLE_TIMEOUT_SECONDS
    metric_names = ("lugspur_requests_open", "lugspur_held_bytes")
    while True:
        metrics = await read_metrics(f"{HOST}:{daemon.management}")
        open_work = (
            {name: metrics[name] for name in metric_names if metrics.get(name)} if metrics else {"no figures": 1.0}
        )
        if not open_work:
            return
        if loop.time() > deadline:
            verdict.add("left open", str(open_work))
            return
        await asyncio.sleep(POLL_SECONDS)


def _check_requests(
    callers: ValidCallers, injector: DaemonFaultInjector, backends: list[DaemonBackend], verdict: Verdict
) -> None:
    """Check each request against the guarantees, and count responses by status."""
    runs = Counter(ident for backend in backends for ident in backend.ran)
    misbehaving, outages = injector.callers, injector.daemon.outages
    sent_ids = {request.ident for request in callers.requests} | misbehaving.complete_ids
    unsafe_ids = {request.ident for request in callers.requests if request.is_unsafe} | misbehaving.unsafe_ids
    for ident, run_count in runs.items():
        if ident in unsafe_ids and run_count > 1:
            verdict.add("ran twice", f"{ident}, {run_count} times")
        if ident not in sent_ids and ident in misbehaving.hidden_ids:
            verdict.add("ran and nobody sent it", ident)
    for request in callers.requests:
        is_excused = _overlaps_any(request, outages)
        # A stopping process accepts no new requests, but finishes those that it has forwarded.
        is_unanswered = request.status == 0 and not is_excused
        if is_unanswered and (request.ident in runs or not _overlaps_any(request, injector.daemon.stops)):
            verdict.add(
                "no answer",
                f"{request.ident} after {request.ended_at - request.started_at:.2f} s at {request.started_at:.2f}",
            )
        if request.status == 200 and request.body != request.ident.encode():
            verdict.add("a wrong answer", f"{request.ident} got {request.body[:40]!r}")
        if request.is_unsafe and request.status in NOT_RUN_STATUSES and request.ident in runs:
            verdict.add("refused and ran", f"{request.ident}: {request.status}")
        if request.ended_at - request.started_at > DEADLINE_SECONDS + 1.0 and not is_excused:
            verdict.add("answered late", f"{request.ident}: {request.ended_at - request.started_at:.2f} s")
    statuses = Counter(request.status for request in callers.requests)
    verdict.counts.update({f"requests with {status or 'no answer'}": count for status, count in statuses.items()})
    verdict.counts["runs"] = runs.total()


def _overlaps_any(request: RequestRecord, spans: list[tuple[float, float]]) -> bool:
    """Return whether a request was in progress during any of these spans."""
    return any(request.started_at <= until and request.ended_at >= since for since, until in spans)
