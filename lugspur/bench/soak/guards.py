"""Guards of the mesh taken out of real processes, one at a time: what tells of it, and after how many seconds of soak.

A soak that finds nothing says little unless it is known what it would have found. Each row here is a check that the
program makes, and what it would do without that check.
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

SECONDS_EACH = 20.0  # of troubles in one play; plays follow each other until the guard is missed or the time is up


@dataclass(frozen=True)
class SoakGuard:
    """One guard: where it is, and what stands there instead."""

    name: str
    owner: Any
    attribute: str
    wrong: Any

    def take_out(self) -> None:
        """Go on without it, for the rest of this process's life; raises GuardNotFoundError."""
        control_guards.own_attribute(self.owner, self.attribute)
        setattr(self.owner, self.attribute, self.wrong)


# ---- the wrong ways ------------------------------------------------------------------------------


def _send_again_whatever_ran(self: ProxiedRequest, now: float) -> bool:
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


def _run_without_claim(self: ProxiedRequest, outcome: Any) -> None:
    self.reservation.is_held = True
    if not self.is_finished:
        self._send(self.proxy.loop.time())


def _takes_any_life(self: ConcurrencyLimiter, now: float, backend: str) -> bool:
    return self.local_backend is not None and not self.is_shutting_down and not self.local_backend.is_unreachable


def _takes_whatever_waits(self: ConcurrencyLimiter, now: float, admitted: Any) -> bool:
    return True


def _first_answer_whoevers(self: Connection) -> bool:
    return False


_heard = Freshness.receive


def _count_words_of_the_deaf(self: Freshness, now: float, ip: str, delta: Delta) -> float:
    delta.echoed_at = now
    return _heard(self, now, ip, delta)


def _any_incarnation_is_present(
    self: BackendIncarnations, now: float, ident: str, sequence: int, has_ended: bool
) -> bool:
    return True


def _sound_whatever_came(forward: ForwardRequest, response: Response) -> bool:
    return True


def _never_late(self: ExcessDelayEstimator, now: float, sent_at: float) -> float:
    return 0.0


def _never_ran(self: Exchange) -> bool:
    return False


def _all_is_proven(self: UnrunRequests, life: str, number: int) -> bool:
    return True


def _no_closing(self: ConcurrencyLimiter, now: float, backend: str) -> bool:
    local: LocalBackend | None = self.local_backend
    return local is not None and local.id == backend and not self.is_shutting_down and not local.is_unreachable


DATA_PLANE = [
    SoakGuard("what may have run is not sent again", ProxiedRequest, "_retry", _send_again_whatever_ran),
    SoakGuard("a claim is given back with proof alone", ProxiedRequest, "_release_unrun", _release_without_proof),
    SoakGuard("an operation runs only once its key is won", ProxiedRequest, "_reservation_ended", _run_without_claim),
    SoakGuard("a request runs at the life that it names", ConcurrencyLimiter, "accepts", _takes_any_life),
    SoakGuard("a backend that closes gets nothing new", ConcurrencyLimiter, "accepts", _no_closing),
    SoakGuard("what waits is sent to the life that took it", ConcurrencyLimiter, "may_start", _takes_whatever_waits),
    SoakGuard("an answer bears its request's id", backend_exchange, "is_valid_response", _sound_whatever_came),
    SoakGuard("a late answer to another is passed over", Connection, "_is_stray", _first_answer_whoevers),
    SoakGuard("what was sent may have run", Exchange, "_may_have_run", _never_ran),
    SoakGuard("what was held up is not begun", ExcessDelayEstimator, "observe", _never_late),
    SoakGuard("only what never came is proven so", UnrunRequests, "is_proven_unrun", _all_is_proven),
    SoakGuard(
        "a late heartbeat takes nobody's place", BackendIncarnations, "record_heartbeat", _any_incarnation_is_present
    ),
    SoakGuard("a voter's word counts only while it hears us", Freshness, "receive", _count_words_of_the_deaf),
]

GUARDS = [
    *DATA_PLANE,
    *(SoakGuard(guard.name, guard.owner, guard.attribute, guard.wrong) for guard in control_guards.GUARDS),
]


# ---- who misses them -----------------------------------------------------------------------------


@dataclass(frozen=True)
class Seen:
    """What became of one guard: after how many seconds of troubles it was missed, and by what; none: it was not."""

    name: str
    seconds: float | None
    by: str

    def line(self) -> str:
        """One row of the table."""
        return f"| {self.name} | {'not seen' if self.seconds is None else f'{self.seconds:.0f} s'} | {self.by} |"


def seek(number: int, seconds: float, seed: int, machines: int) -> Seen:
    """Play without one guard until that is found out or the time is up."""
    from lugspur.bench.soak.mesh_run import soak_mesh  # it starts processes, which import this module

    guard = GUARDS[number]
    played = 0.0
    while played < seconds:
        with tempfile.TemporaryDirectory() as folder:
            verdict = asyncio.run(soak_mesh(Path(folder), seed, SECONDS_EACH, machines, number))
        played += SECONDS_EACH
        seed += 1
        if verdict.findings:
            kinds = sorted({kind for kind, _ in verdict.findings})
            return Seen(guard.name, played, f"{', '.join(kinds)} ({len(verdict.findings)} findings)")
    return Seen(guard.name, None, f"in {played:.0f} s")


def seek_all(
    numbers: list[int], seconds: float, seed: int, machines: int, at_once: int, told: Callable[[Seen], None]
) -> list[Seen]:
    """All of these, several at once, each in a process of its own: a mesh's addresses follow from its process."""
    found = []
    with ProcessPoolExecutor(at_once, get_context("spawn"), max_tasks_per_child=1) as pool:
        futures = [pool.submit(seek, number, seconds, seed, machines) for number in numbers]
        for future in futures:
            found.append(future.result())
            told(found[-1])
    return found


def named(words: str) -> Iterator[int]:
    """The numbers of the guards whose names hold these words."""
    return (number for number, guard in enumerate(GUARDS) if words in guard.name)


def main(seconds: float, seed: int, machines: int, at_once: int, words: str) -> int:
    """Print the table; 0 where each guard was missed."""
    began = time.monotonic()
    print("| guard | missed after | by |\n|---|---|---|", flush=True)
    found = seek_all(list(named(words)), seconds, seed, machines, at_once, lambda seen: print(seen.line(), flush=True))
    missed = sum(seen.seconds is not None for seen in found)
    print(f"\n{missed} of {len(found)} guards missed, {time.monotonic() - began:.0f} s")
    return 0 if missed == len(found) else 1
