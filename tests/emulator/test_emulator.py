"""The emulator accounts for requests and backends and shows the effect of request coalescing, in virtual time."""

from __future__ import annotations

import subprocess
import sys
from collections import Counter
from pathlib import Path
from random import Random

import pytest

from lugspur.emulator import fleet, joining
from lugspur.emulator.backends import Attempt, Backend, BackendSettings
from lugspur.emulator.clock import Clock
from lugspur.emulator.world import FAILED, LATE, REJECTED, SERVED, World
from lugspur.load_balancing.model import Outcome


def test_events_run_by_time_and_in_order() -> None:
    clock, seen = Clock(), list[str]()
    clock.call_at(2.0, lambda: seen.append("late"))
    clock.call_at(1.0, lambda: (seen.append("a"), clock.call_at(0.5, lambda: seen.append("past")))[0])  # type: ignore[func-returns-value]
    clock.call_at(1.0, lambda: seen.append("b"))
    clock.run()
    assert seen == ["a", "b", "past", "late"] and clock.now == 2.0


def test_a_backend_runs_as_many_requests_as_it_has_slots_and_rejects_excess_requests() -> None:
    clock, ends = Clock(), list[tuple[float, Outcome]]()
    backend = Backend(
        clock, BackendSettings(slots=2, queue_limit=2, mean_service_time=1.0, gamma_shape=100_000), Random(1)
    )
    attempts = [Attempt(lambda how: ends.append((round(clock.now, 1), how))) for _ in range(6)]
    for attempt in attempts[:3]:
        backend.submit(attempt)
    assert backend.started_count == 2 and [attempt.is_started for attempt in attempts[:3]] == [True, True, False]
    attempts[2].is_finished = True  # cancelled before it began, so that it takes no slot
    for attempt in attempts[3:]:
        backend.submit(attempt)
    clock.run()
    assert (
        Counter(ends) == {(0.0, Outcome.OVERLOADED): 2, (1.0, Outcome.OK): 2, (2.0, Outcome.OK): 1}
        and backend.started_count == 3
    )


def test_a_request_ends_exactly_once_and_by_its_deadline() -> None:
    for seed in range(5):
        clock = Clock()
        world = World(
            clock,
            joining.settings(),
            2,
            BackendSettings(slots=1, queue_limit=3, mean_service_time=0.2, error_fraction=0.3),
            seed,
        )
        ends: Counter[int] = Counter()
        how: Counter[str] = Counter()
        rng = Random(seed)

        def ask(
            n: int,
            left: float,
            clock: Clock = clock,
            world: World = world,
            ends: Counter[int] = ends,
            how: Counter[str] = how,
        ) -> None:
            due = clock.now + left

            def done(end: str) -> None:
                ends[n] += 1
                how[end] += 1
                assert clock.now <= due

            world.request(0, n % joining.TENANTS, due, done)

        for n in range(200):
            clock.call_at(rng.random() * 10.0, lambda n=n, ask=ask, rng=rng: ask(n, rng.choice((0.05, 1.0))))  # type: ignore[misc]
        clock.run()
        assert ends == Counter(range(200)) and how.keys() <= {SERVED, REJECTED, FAILED, LATE} and how[SERVED]
        assert not world._requests and not world.balancer.requests


def test_the_same_seed_gives_the_same_run() -> None:
    strategy = joining.STRATEGIES["joined within 100 ms"]
    assert (
        joining.play(strategy, 2.0, 7, 500)
        == joining.play(strategy, 2.0, 7, 500)
        != joining.play(strategy, 2.0, 8, 500)
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_coalescing_for_a_short_time_serves_more_in_time_without_older_responses(seed: int) -> None:
    found = {name: joining.play(strategy, 2.0, seed, 4000) for name, strategy in joining.STRATEGIES.items()}
    alone, common = found["each its own"], found["single flight"]
    ours, short = found["joined within 100 ms"], found["joined within 20 ms"]
    assert ours.served_in_time > alone.served_in_time + 0.2 and ours.rejected < alone.rejected / 4.0
    assert ours.served_in_time >= common.served_in_time  # a request with a short deadline doesn't fail the others
    assert ours.oldest_call <= 0.1 + 1e-9 and short.oldest_call <= 0.02 + 1e-9 and common.oldest_call > 0.1
    assert ours.calls < alone.calls


def test_the_command_prints_a_table_and_writes_a_plot(tmp_path: Path) -> None:
    picture = tmp_path / "joining.svg"
    done = subprocess.run(
        [sys.executable, "-m", "lugspur.emulator", "joining", "--reads", "300", "--plot", str(picture)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.count("\n") == 2 + len(joining.STRATEGIES) * len(joining.LOADS)
    assert "joined within 100 ms" in picture.read_text()


@pytest.mark.parametrize("proxies", [4, 40])
def test_a_fleet_dials_vanished_backends_rarely_and_rejects_few_requests(proxies: int) -> None:
    found = fleet.play(proxies, fleet.TENTH_VANISH, 1)
    # Before the load balancer avoided such backends, 0.064 to 0.067 of the requests dialled them and 0.018 to 0.025
    # were rejected.
    assert (
        found.connect_failures <= 0.05 * found.requests and found.rejected <= 0.01 and found.served_in_time >= 0.97
    ), found


def test_a_fleet_without_faults_rejects_few_requests() -> None:
    found = fleet.play(40, fleet.NO_FAULTS, 2)
    assert found.rejected <= 0.005 and found.served_in_time >= 0.98 and found.connect_failures == 0, found


def test_a_vanished_backend_runs_nothing_and_fails_requests_as_unreachable_after_a_delay() -> None:
    clock, ends = Clock(), list[tuple[float, Outcome]]()
    backend = Backend(clock, BackendSettings(), Random(1))
    backend.has_vanished = True
    backend.submit(Attempt(lambda how: ends.append((clock.now, how))))
    clock.run()
    assert ends == [(0.12, Outcome.UNREACHABLE)] and backend.started_count == 0 and backend.connect_failures == 1
