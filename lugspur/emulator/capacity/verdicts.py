"""What each role needs at the size, beside what it may use: holds or not, and by what factor."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from lugspur.control.claim_table import CLAIM_BYTES, CLAIMS_PART
from lugspur.emulator.capacity import size
from lugspur.emulator.capacity.measurement import Run
from lugspur.emulator.capacity.slopes import Slope, extra


@dataclass(frozen=True)
class Verdict:
    """One quantity at the size. `basis`: how the figure came about; `budget` 0: none is set."""

    role: str
    what: str
    value: float
    unit: str
    budget: float
    basis: str
    at_least: bool = False  # the budget is what is needed, not what is allowed

    @property
    def holds(self) -> str:
        """yes or no, and by what factor."""
        return holds(self.value, self.budget, self.at_least)


def holds(value: float, budget: float, at_least: bool = False) -> str:
    """Whether a value keeps to what is allowed, or reaches what is needed (`at_least`), and by what factor."""
    if not budget:
        return "no budget set"
    if not value:
        return "**no**, none" if at_least else "yes"
    spare = value / budget if at_least else budget / value
    if spare >= 1.0:
        return f"yes, {spare:.3g} times"
    return f"**no**, {1.0 / spare:.3g} times {'too few' if at_least else 'over'}"


def verdicts(runs: Sequence[Run], slopes: Iterable[Slope]) -> list[Verdict]:
    """At the largest number of proxies that was measured, which has to be the size's."""
    run = max(runs, key=lambda one: one.proxies)
    lines = {(s.role, s.cause, s.quantity): s for s in slopes}

    def keyed(role: str, quantity: str) -> float:
        return max(s.line.slope for (r, c, q), s in lines.items() if r == role and q == quantity and "keyed" in c)

    day = size.CHANGES_PER_DAY / size.DAY_S
    restarts = size.RESTARTS_PER_DAY / size.DAY_S
    change_cores = extra(run, run.changes.window, lambda w: w.hollow_proxy_cores) / len(run.changes.confirmed_ms)
    restart_cores = extra(run, run.restart.window, lambda w: w.hollow_proxy_cores)
    other = run.idle.real_proxy_wire_bytes_s - run.idle.real_proxy_news_bytes_s
    claims = size.KEYED_PER_S * size.CLAIM_KEPT_S
    held = keyed("control machine", "memory of a voter")
    voter_cores = keyed("control machine", "CPU of a voter") / 1e6
    at = f"measured at {run.proxies}"
    headers, real = f"{at}, with headers", f"{at}, real process"
    proxy, control, operator = "proxy", "control machine", "operator's command"
    of_day = f"CPU, with {size.CHANGES_PER_DAY} changes and {size.RESTARTS_PER_DAY} restarts a day"
    at_rate = f"at {size.KEYED_PER_S:g} keyed operations/s"
    idle_cores, news_bytes = run.idle.real_proxy_cores, run.idle.real_proxy_news_bytes_s
    day_cores = idle_cores + day * change_cores + restarts * restart_cores
    grown_mb = size.PROXIES * lines[proxy, "state", "memory, real process"].line.slope / 1024
    control_mb, control_cores = max(run.footprint.control_memory_mb), max(run.idle.control_cores)
    voter_mb = claims * held / (1 << 20) + control_mb
    voter_bytes = size.KEYED_PER_S * keyed(control, "network of a voter")
    written = size.KEYED_PER_S * keyed(control, "disk writes of a voter")
    last_proxy, confirmed = run.changes.last_proxy_ms, run.changes.confirmed_ms
    own_files, voter_files = run.footprint.real_descriptors, max(run.footprint.control_descriptors)
    files = f"{at}; {size.DESCRIPTORS} is what today's settings give"
    return [
        Verdict(proxy, "CPU, idle", idle_cores, "cores", size.PROXY_CORES, real),
        Verdict(proxy, of_day, day_cores, "cores", size.PROXY_CORES, "the same, and the slopes of hollow ones"),
        Verdict(proxy, "memory, no traffic", run.footprint.real_memory_mb, "MB", size.PROXY_MEMORY_MB, real),
        Verdict(proxy, "...that grows with the fleet", grown_mb, "MB", size.PROXY_MEMORY_MB, "slope times the size"),
        Verdict(proxy, "network, to control machines", news_bytes, "B/s", size.PROXY_BYTES_S, headers),
        Verdict(proxy, "network, idle connections to all others", other, "B/s", size.PROXY_BYTES_S, headers),
        Verdict(proxy, "network, both", news_bytes + other, "B/s", size.PROXY_BYTES_S, headers),
        Verdict(proxy, "descriptors, before callers", own_files, "", size.DESCRIPTORS, files),
        Verdict(control, "CPU, idle, busiest", control_cores, "cores", size.CONTROL_CORES, at),
        Verdict(
            control,
            f"CPU of a voter {at_rate}",
            size.KEYED_PER_S * voter_cores + control_cores,
            "cores",
            size.CONTROL_CORES,
            "slope times the rate",
        ),
        Verdict(
            control,
            f"keyed operations/s, all won, 99 in 100 within {size.KEY_P99_MS:g} ms",
            _won_in_time(run),
            "/s",
            size.KEYED_PER_S,
            f"{at}, the highest rate that was tried and met",
            True,
        ),
        Verdict(control, "memory, idle, largest", control_mb, "MB", size.CONTROL_MEMORY_MB, at),
        Verdict(
            control,
            f"memory of a voter {at_rate}",
            voter_mb,
            "MB",
            size.CONTROL_MEMORY_MB,
            f"slope times {claims:,.0f} claims held, answers of 256 B",
        ),
        Verdict(control, f"claims held {at_rate}", claims, "", _claims_most(), "the limit in `replica.py`"),
        Verdict(control, f"network of a voter {at_rate}", voter_bytes / 1e6, "MB/s", 0.0, "slope times the rate"),
        Verdict(control, f"disk writes of a voter {at_rate}", written / 1e6, "MB/s", 0.0, "slope times the rate"),
        Verdict(control, "disk, after all runs, largest", max(run.footprint.control_disk_mb), "MB", 0.0, at),
        Verdict(control, "descriptors, busiest", voter_files, "", size.DESCRIPTORS, files),
        Verdict(operator, "order to confirmation, slowest", max(confirmed) / 1e3, "s", size.IN_FORCE_S, at),
        Verdict(
            operator,
            "order to the last proxy, slowest",
            max(last_proxy) / 1e3,
            "s",
            size.IN_FORCE_S,
            f"{at}, {len(last_proxy)} changes",
        ),
    ]


def _won_in_time(run: Run) -> float:
    met = [one.asked_per_s for one in run.keyed if one.won == one.begun and one.p99_ms <= size.KEY_P99_MS]
    return max(met, default=0.0)


def _claims_most() -> float:
    return float(int(size.CONTROL_MEMORY_MB * (1 << 20) * CLAIMS_PART / CLAIM_BYTES))
