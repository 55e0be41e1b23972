"""The lines through a measurement: what each cause costs, by the number of proxies or by the rate."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from lugspur.emulator.capacity.fit import Line, fit
from lugspur.emulator.capacity.measurement import Flow, Keyed, Run, Window
from lugspur.emulator.hollow.fleet import RACK

MICRO = 1e6
MEBI = 1 << 20
KEYED_KINDS = ("Claim", "Verdict", "Done", "Release")
Value = Callable[[Run], float]


@dataclass(frozen=True)
class Slope:
    """One quantity of one role, for one cause. `per`: what x counts; `mechanism`: what makes it grow."""

    role: str
    cause: str
    quantity: str
    unit: str
    per: str
    mechanism: str
    points: tuple[tuple[float, float], ...]

    @property
    def line(self) -> Line:
        """The line through the points."""
        return fit(self.points)


def slopes(runs: Sequence[Run]) -> list[Slope]:
    """All of a measurement for which it has two points at least."""
    return [found for found in (*_by_proxies(runs), *_by_rate(runs)) if len({x for x, _ in found.points}) > 1]


def _by_proxies(runs: Sequence[Run]) -> list[Slope]:
    def slope(
        role: str, cause: str, quantity: str, unit: str, mechanism: str, value: Value, of: Sequence[Run] = runs
    ) -> Slope:
        points = tuple((float(run.proxies), value(run)) for run in of)
        return Slope(role, cause, quantity, unit, "proxy in the fleet", mechanism, points)

    # What the processes themselves take is shared by as many proxies only where racks are full.
    full_racks = [run for run in runs if run.footprint.rack_proxies == RACK]
    # A restart that was not over in time has no time.
    caught_up = [run for run in runs if run.catch_up[1].seconds >= 0.0]

    control, proxy = "control machine", "proxy"
    return [
        slope(
            control,
            "leases and news pings",
            "CPU, all machines",
            "us/s",
            "one `Delta` each 0.25 s to each subscriber, one `Pong` back",
            lambda run: MICRO * sum(run.idle.control_cores),
        ),
        slope(
            control,
            "leases and news pings",
            "network, all machines",
            "B/s",
            "the same, and keepalives of connections of proxies that follow another one",
            lambda run: sum(run.idle.control_wire_bytes_s),
        ),
        slope(
            control,
            "leases and news pings",
            "messages, all machines",
            "1/s",
            "the same",
            lambda run: _messages(run.idle) * _share(run),
        ),
        slope(
            control,
            "state",
            "memory, largest machine",
            "KiB",
            "entries, leases, connections",
            lambda run: 1024 * max(run.footprint.control_memory_mb),
        ),
        slope(
            control,
            "state",
            "subscriptions, all machines",
            "",
            "one for each source that a proxy or a control machine follows",
            lambda run: run.subscriptions,
        ),
        slope(
            control,
            "state",
            "descriptors, busiest machine",
            "",
            "each proxy has a connection to each voter",
            lambda run: max(run.footprint.control_descriptors),
        ),
        slope(
            control,
            "a start of all at once",
            "CPU a proxy, all machines",
            "ms",
            "each proxy's entry goes to all others: the total grows with the square",
            lambda run: 1e3 * run.join.control_cpu_s / run.proxies,
        ),
        slope(
            control,
            "a change",
            "CPU, all machines",
            "us",
            "one `Delta` to each proxy, encoded for each",
            lambda run: MICRO * extra(run, run.changes.window, _control_cores) / len(run.changes.confirmed_ms),
        ),
        slope(
            control,
            "a change",
            "bytes, all machines",
            "B",
            "the same; frames alone",
            lambda run: _extra_bytes(run, run.changes.window) / len(run.changes.confirmed_ms),
        ),
        slope(
            control,
            "a proxy's restart",
            "CPU, all machines",
            "us",
            "its entry withdrawn, then said anew: each to all",
            lambda run: MICRO * extra(run, run.restart.window, _control_cores),
        ),
        slope(
            control,
            "its own restart, empty disk",
            "time until all vote again",
            "ms",
            "the voter is replaced, then fetches all from a majority",
            lambda run: 1e3 * run.catch_up[1].seconds,
            caught_up,
        ),
        slope(
            control,
            "its own restart, empty disk",
            "bytes fetched",
            "B",
            "`State` and `Delta` of all entries from each other machine",
            lambda run: run.catch_up[1].received_bytes,
            caught_up,
        ),
        slope(
            proxy,
            "idle",
            "CPU, hollow",
            "us/s",
            "pings, heartbeats, ten looks a second",
            lambda run: MICRO * run.idle.hollow_proxy_cores,
        ),
        slope(
            proxy,
            "idle",
            "CPU, real process",
            "us/s",
            "the same, and keepalives with all others",
            lambda run: MICRO * run.idle.real_proxy_cores,
        ),
        slope(
            proxy,
            "idle",
            "network to control machines",
            "B/s",
            "pings and pongs, keepalives to voters that it does not follow",
            lambda run: run.idle.real_proxy_news_bytes_s,
        ),
        slope(
            proxy,
            "idle",
            "network to other proxies",
            "B/s",
            "keepalives: two connections to each other proxy, a probe each 75 s",
            lambda run: run.idle.real_proxy_wire_bytes_s - run.idle.real_proxy_news_bytes_s,
        ),
        slope(
            proxy,
            "state",
            "memory, real process",
            "KiB",
            "an entry, a rank and two connections for each other one",
            lambda run: 1024 * run.footprint.real_memory_mb,
        ),
        slope(
            proxy,
            "state",
            "memory, hollow",
            "KiB",
            "the same without connections",
            lambda run: 1024 * run.footprint.rack_memory_mb / run.footprint.rack_proxies,
            full_racks,
        ),
        slope(
            proxy,
            "state",
            "descriptors, real process",
            "",
            "two connections to each other proxy",
            lambda run: run.footprint.real_descriptors,
        ),
        slope(
            proxy,
            "a change",
            "CPU, hollow",
            "us",
            "one `Delta`, the table compiled anew",
            lambda run: (
                MICRO * extra(run, run.changes.window, lambda w: w.hollow_proxy_cores) / len(run.changes.confirmed_ms)
            ),
        ),
        slope(
            proxy,
            "another's restart",
            "CPU, hollow",
            "us",
            "its entry withdrawn, then said anew: the service's ranks made anew",
            lambda run: MICRO * extra(run, run.restart.window, lambda w: w.hollow_proxy_cores),
        ),
        slope(
            "operator's command",
            "a change",
            "order to confirmation, median",
            "ms",
            "a read and a write over the voters, each of a majority; one synced write",
            lambda run: _middle(run.changes.confirmed_ms),
        ),
        slope(
            "operator's command",
            "a change",
            "order to last proxy, slowest",
            "ms",
            "then one `Delta` to each proxy in turn",
            lambda run: max(run.changes.last_proxy_ms),
        ),
    ]


def _by_rate(runs: Sequence[Run]) -> list[Slope]:
    return [slope for run in runs if len(run.keyed) > 1 for slope in _of_keys(run)]


def _of_keys(run: Run) -> list[Slope]:
    cause, keyed = f"a keyed operation, {run.proxies} proxies", run.keyed

    def slope(role: str, quantity: str, unit: str, mechanism: str, value: Callable[[Keyed], float]) -> Slope:
        points = tuple((one.won / one.window.seconds, value(one)) for one in keyed)
        return Slope(role, cause, quantity, unit, "operation/s", mechanism, points)

    control, together = "control machine", "proxies together"
    at_voter = "a claim, its verdict and the answer's copy on each of three voters"
    held = tuple((float(one.claims_held), MEBI * max(one.control_memory_mb)) for one in keyed)
    return [
        slope(control, "CPU of a voter", "us/s", at_voter, lambda one: MICRO * max(one.window.control_cores)),
        slope(control, "network of a voter", "B/s", at_voter, lambda one: max(one.window.control_wire_bytes_s)),
        slope(
            control,
            "synced writes of a voter",
            "1/s",
            "claims that wait together share one",
            lambda one: max(one.commits_per_s),
        ),
        slope(
            control,
            "disk writes of a voter",
            "B/s",
            "a page of 4 KiB for nearly each row, since keys are drawn at random",
            lambda one: max(one.window.control_written_bytes_s),
        ),
        Slope(control, cause, "memory of a voter", "B", "claim held", "kept for 70 s", held),
        slope(
            together,
            "CPU",
            "us/s",
            "claim, three verdicts, three copies of the answer",
            lambda one: MICRO * one.window.hollow_proxy_cores * (run.proxies - 1),
        ),
        slope(
            together,
            "messages, both ways",
            "1/s",
            "`Claim`, `Verdict`, `Done` for each of three voters",
            lambda one: _of_kinds(one.window, KEYED_KINDS).messages,
        ),
        slope(
            together,
            "bytes, both ways",
            "B/s",
            "the same; frames alone, answers of 256 B",
            lambda one: _of_kinds(one.window, KEYED_KINDS).bytes,
        ),
    ]


def _of_kinds(window: Window, kinds: Sequence[str]) -> Flow:
    flows = [flow for side in (window.received, window.sent) for kind, flow in side.items() if kind in kinds]
    return Flow(sum(flow.messages for flow in flows), sum(flow.bytes for flow in flows))


def _messages(window: Window) -> float:
    return sum(flow.messages for side in (window.received, window.sent) for flow in side.values())


def _bytes(window: Window) -> float:
    return sum(flow.bytes for side in (window.received, window.sent) for flow in side.values())


def _share(run: Run) -> float:
    """Guards the count against the proxy that is a real process, at which nothing is counted."""
    return run.proxies / (run.proxies - 1)


def _control_cores(window: Window) -> float:
    return sum(window.control_cores)


def extra(run: Run, window: Window, value: Callable[[Window], float]) -> float:
    """What a window used beyond an idle one: per-second values times its length."""
    return (value(window) - value(run.idle)) * window.seconds


def _extra_bytes(run: Run, window: Window) -> float:
    return extra(run, window, _bytes) * _share(run)


def _middle(ordered: Sequence[float]) -> float:
    return ordered[len(ordered) // 2]
