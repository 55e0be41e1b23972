"""Mutation test of the soak: disables one guard of the mesh in real processes and measures when the soak detects it.

A soak without findings says little unless it is known which faults of the program it would detect. Each entry here is
a check that the program makes, and what it would do without that check.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from multiprocessing import get_context
from pathlib import Path
from typing import Any

from lugspur.emulator.control import guards as control_guards
from lugspur.http1.upstream import Connection, Exchange
from lugspur.interfaces import Response
from lugspur.mesh.control.freshness import Freshness
from lugspur.mesh.control.messages import Delta, ForwardRequest
from lugspur.mesh.dataplane import backend_exchange, proxied_request
from lugspur.mesh.dataplane.concurrency_limiter import ConcurrencyLimiter
from lugspur.mesh.dataplane.delay_estimation import ExcessDelayEstimator
from lugspur.mesh.dataplane.local_backend import LocalBackend
from lugspur.mesh.dataplane.proxied_request import ProxiedRequest
from lugspur.mesh.sidecar.backend_incarnations import BackendIncarnations
from lugspur.mesh.sidecar.unrun_requests import UnrunRequests

# Time of fault injection in one soak; soaks follow each other until a missing guard is detected or the time is up.
SOAK_SECONDS = 20.0


@dataclass(frozen=True)
class SoakGuard:
    """One guard: the attribute that implements it, and what replaces that when the guard is disabled."""

    name: str
    owner: Any
    attribute: str
    replacement: Any

    def disable(self) -> None:
        """Disable the guard for the rest of this process's lifetime; raises GuardNotFoundError."""
        control_guards.own_attribute(self.owner, self.attribute)
        setattr(self.owner, self.attribute, self.replacement)


# ---- replacements without the guard --------------------------------------------------------------


def _retry_even_if_run(self: ProxiedRequest, now: float) -> bool:
    attempts = self.attempts
    if attempts.in_flight:
        return True
    if attempts.rejections >= proxied_request.MAX_REJECTIONS or now >= self.deadline:
        return False
    if attempts.sent_count >= self.route.max_attempts:
        return False
    attempts.may_have_run = False
    return self._send(now, True)


def _release_without_proof(self: ProxiedRequest) -> None:
    if self.reservation.is_held:
        self.reservation.release()


def _run_without_reservation(self: ProxiedRequest, outcome: Any) -> None:
    self.reservation.is_held = True
    if not self.is_finished:
        self._send(self.proxy.loop.time())


def _accepts_for_any_incarnation(self: ConcurrencyLimiter, now: float, backend: str) -> bool:
    return self.local_backend is not None and not self.is_shutting_down and not self.local_backend.is_unreachable


def _always_may_start(self: ConcurrencyLimiter, now: float, admitted: Any) -> bool:
    return True


def _never_stray(self: Connection) -> bool:
    return False


_original_receive = Freshness.receive


def _receive_as_echoed(self: Freshness, now: float, ip: str, delta: Delta) -> float:
    delta.echoed_at = now
    return _original_receive(self, now, ip, delta)


def _any_incarnation_is_current(
    self: BackendIncarnations, now: float, ident: str, sequence: int, has_ended: bool
) -> bool:
    return True


def _any_response_is_valid(forward: ForwardRequest, response: Response) -> bool:
    return True


def _no_excess_delay(self: ExcessDelayEstimator, now: float, sent_at: float) -> float:
    return 0.0


def _never_may_have_run(self: Exchange) -> bool:
    return False


def _always_proven_unrun(self: UnrunRequests, incarnation: str, number: int) -> bool:
    return True


def _accepts_while_closing(self: ConcurrencyLimiter, now: float, backend: str) -> bool:
    local: LocalBackend | None = self.local_backend
    return local is not None and local.id == backend and not self.is_shutting_down and not local.is_unreachable


DATA_PLANE = [
    SoakGuard("what may have run is not sent again", ProxiedRequest, "_retry", _retry_even_if_run),
    SoakGuard("a claim is given back with proof alone", ProxiedRequest, "_release_unrun", _release_without_proof),
    SoakGuard(
        "an operation runs only once its key is won", ProxiedRequest, "_reservation_ended", _run_without_reservation
    ),
    SoakGuard("a request runs at the life that it names", ConcurrencyLimiter, "accepts", _accepts_for_any_incarnation),
    SoakGuard("a backend that closes gets nothing new", ConcurrencyLimiter, "accepts", _accepts_while_closing),
    SoakGuard("what waits is sent to the life that took it", ConcurrencyLimiter, "may_start", _always_may_start),
    SoakGuard("an answer bears its request's id", backend_exchange, "is_valid_response", _any_response_is_valid),
    SoakGuard("a late answer to another is passed over", Connection, "_is_stray", _never_stray),
    SoakGuard("what was sent may have run", Exchange, "_may_have_run", _never_may_have_run),
    SoakGuard("what was held up is not begun", ExcessDelayEstimator, "observe", _no_excess_delay),
    SoakGuard("only what never came is proven so", UnrunRequests, "is_proven_unrun", _always_proven_unrun),
    SoakGuard(
        "a late heartbeat takes nobody's place", BackendIncarnations, "record_heartbeat", _any_incarnation_is_current
    ),
    SoakGuard("a voter's word counts only while it hears us", Freshness, "receive", _receive_as_echoed),
]

GUARDS = [
    *DATA_PLANE,
    *(SoakGuard(guard.name, guard.owner, guard.attribute, guard.replacement) for guard in control_guards.GUARDS),
]


# ---- detection -----------------------------------------------------------------------------------


@dataclass(frozen=True)
class GuardResult:
    """The result for one guard: the seconds of soak until its absence was detected (None: never), and by what."""

    name: str
    seconds: float | None
    detected_by: str

    def line(self) -> str:
        """Return the row of the table."""
        return (
            f"| {self.name} | {'not seen' if self.seconds is None else f'{self.seconds:.0f} s'} | {self.detected_by} |"
        )


def soak_without_guard(index: int, seconds: float, seed: int, machines: int) -> GuardResult:
    """Soak the mesh without one guard until its absence is detected or the time is up."""
    # Imported here because mesh_run starts processes that import this module.
    from lugspur.bench.soak.mesh_run import soak_mesh

    guard = GUARDS[index]
    soaked_seconds = 0.0
    while soaked_seconds < seconds:
        with tempfile.TemporaryDirectory() as directory:
            verdict = asyncio.run(soak_mesh(Path(directory), seed, SOAK_SECONDS, machines, index))
        soaked_seconds += SOAK_SECONDS
        seed += 1
        if verdict.findings:
            kinds = sorted({kind for kind, _ in verdict.findings})
            return GuardResult(guard.name, soaked_seconds, f"{', '.join(kinds)} ({len(verdict.findings)} findings)")
    return GuardResult(guard.name, None, f"in {soaked_seconds:.0f} s")


def soak_without_guards(
    indexes: list[int], seconds: float, seed: int, machines: int, at_once: int, report: Callable[[GuardResult], None]
) -> list[GuardResult]:
    """Soak without each of these guards, several in parallel, and report each result.

    Each soak runs in a process of its own, as the addresses of a mesh are derived from its process.
    """
    results = []
    with ProcessPoolExecutor(at_once, get_context("spawn"), max_tasks_per_child=1) as pool:
        futures = [pool.submit(soak_without_guard, index, seconds, seed, machines) for index in indexes]
        for future in futures:
            results.append(future.result())
            report(results[-1])
    return results


def guards_matching(text: str) -> Iterator[int]:
    """Return the indexes of the guards whose names contain the text."""
    return (index for index, guard in enumerate(GUARDS) if text in guard.name)


def main(seconds: float, seed: int, machines: int, at_once: int, text: str) -> int:
    """Print the table; return 0 if the absence of each guard was detected, else 1."""
    started_at = time.monotonic()
    print("| guard | missed after | by |\n|---|---|---|", flush=True)
    results = soak_without_guards(
        list(guards_matching(text)), seconds, seed, machines, at_once, lambda result: print(result.line(), flush=True)
    )
    detected_count = sum(result.seconds is not None for result in results)
    print(f"\n{detected_count} of {len(results)} guards missed, {time.monotonic() - started_at:.0f} s")
    return 0 if detected_count == len(results) else 1
