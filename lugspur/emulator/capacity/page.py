"""The generated parts of docs/CAPACITY.md: tables between markers, each made of a committed measurement alone."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

from lugspur.emulator.capacity import size
from lugspur.emulator.capacity.fit import percentile
from lugspur.emulator.capacity.measurement import Hop, Load, Measurement, Phase, Run, Stage
from lugspur.emulator.capacity.slopes import Slope, slopes
from lugspur.emulator.capacity.verdicts import holds, verdicts

MARKERS = re.compile(r"(<!-- capacity:begin (\w+) -->\n).*?(<!-- capacity:end \2 -->)", re.S)
NOT_RUN = "Not run.\n"


def tables(capacity: Measurement | None, load: Measurement | None, hops: Measurement | None) -> dict[str, str]:
    """All generated parts by name; what was not measured says so."""
    found = dict.fromkeys(("source", "verdicts", "slopes", "keyed", "catch_up", "points"), NOT_RUN)
    if capacity is not None:
        lines = slopes(capacity.runs)
        found |= {
            "source": _source(capacity) + _loads(capacity.runs) + _failed(capacity),
            "verdicts": _verdicts(capacity.runs, lines),
            "slopes": _slopes(lines),
            "keyed": _keyed(capacity.runs),
            "catch_up": _catch_up(capacity.runs),
            "points": _points(lines),
        }
    found["load"] = NOT_RUN if load is None or load.load is None else _source(load) + "\n" + _load(load.load)
    found["hops"] = NOT_RUN if hops is None or not hops.hops else _source(hops) + "\n" + _hops(hops.hops)
    found["stages"] = NOT_RUN if hops is None or not hops.stages else _stages(hops.stages)
    return found


def put(text: str, parts: dict[str, str]) -> str:
    """The page with these parts between their markers; raises KeyError for a marker of no part."""
    return MARKERS.sub(lambda found: found[1] + parts[found[2]] + found[3], text)


def _table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    if len({len(line) for line in lines}) > 1:
        raise ValueError(f"a row has more or fewer columns than {head}")
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def _figure(value: float) -> str:
    if value and abs(value) < 0.1:
        return f"{value:.2g}"
    return f"{value:,.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def _source(found: Measurement) -> str:
    note = f" {found.note}" if found.note else ""
    return f"`{found.command}`, {found.made} UTC, on build {found.build}.{note}\n"


def _loads(runs: Sequence[Run]) -> str:
    loads = "; ".join(f"{run.proxies} proxies: {run.machine_load:.1f}" for run in runs)
    return f"Load average of the whole machine at each run's end: {loads}.\n"


def _failed(found: Measurement) -> str:
    failed = [str(size) for size in found.sizes if size not in {run.proxies for run in found.runs}]
    return f"**Failed** at {', '.join(failed)} proxies: not complete in time.\n" if failed else ""


def _verdicts(runs: Sequence[Run], lines: Sequence[Slope]) -> str:
    return _table(
        ("role", "what", "at the size", "allowed", "holds", "from"),
        (
            (
                found.role,
                found.what,
                f"{_figure(found.value)} {found.unit}".strip(),
                f"{_figure(found.budget)} {found.unit}".strip() if found.budget else "",
                found.holds,
                found.basis,
            )
            for found in verdicts(runs, lines)
        ),
    )


def _slopes(lines: Sequence[Slope]) -> str:
    return _table(
        ("role", "cause", "quantity", "slope", "at 0", "R²", "what makes it grow"),
        (
            (
                one.role,
                one.cause,
                one.quantity,
                f"{_figure(one.line.slope)} {one.unit} for each {one.per}".replace("  ", " "),
                f"{_figure(one.line.intercept)} {one.unit}".strip(),
                f"{one.line.r2:.3f}",
                one.mechanism,
            )
            for one in lines
        ),
    )


def _points(lines: Sequence[Slope]) -> str:
    return _table(
        ("role", "cause", "quantity", "measured, x: y"),
        (
            (
                one.role,
                one.cause,
                f"{one.quantity}{f', {one.unit}' if one.unit else ''}",
                "; ".join(f"{_figure(x)}: {_figure(y)}" for x, y in one.points),
            )
            for one in lines
        ),
    )


def _keyed(runs: Sequence[Run]) -> str:
    return _table(
        (
            "proxies",
            "asked a second",
            "begun",
            "won",
            "not won",
            "p50",
            "p99",
            "busiest voter",
            "its synced writes",
            "its disk writes",
        ),
        (
            (
                str(run.proxies),
                _figure(one.asked_per_s),
                str(one.begun),
                str(one.won),
                str(one.begun - one.won),
                f"{_figure(one.p50_ms)} ms",
                f"{_figure(one.p99_ms)} ms",
                f"{_figure(max(one.window.control_cores))} cores",
                f"{_figure(max(one.commits_per_s))}/s",
                f"{_figure(max(one.window.control_written_bytes_s) / 1e6)} MB/s",
            )
            for run in runs
            for one in run.keyed
        ),
    )


def _catch_up(runs: Sequence[Run]) -> str:
    return _table(
        (
            "proxies",
            "disk",
            "claims that the others held",
            "until all vote again",
            "CPU, its start too",
            "bytes fetched",
        ),
        (
            (
                str(run.proxies),
                "empty" if one.empty_disk else "as it was",
                str(one.claims),
                f"{_figure(one.seconds)} s" if one.seconds >= 0.0 else "not in 25 s",
                f"{_figure(one.cpu_s)} s",
                f"{one.received_bytes:,}",
            )
            for run in runs
            for one in run.catch_up
        ),
    )


def _load(found: Load) -> str:
    told = (
        f"{found.proxies} proxies, {found.control} control machines; a change each {_figure(found.changes_every_s)} s, "
        f"{_figure(found.claims_per_s)} operation keys a second.\n\n"
    )
    return told + _table(
        (
            "phase",
            "s",
            "changes",
            "confirmed, p50 / most",
            "at each proxy, p50 / p99",
            "at the last proxy, p50 / most",
            f"in force in {size.IN_FORCE_S:g} s",
            "last proxy after confirmation, most",
            "not told as a change",
            "keys won",
            "key p50 / p99",
            "proxy cores",
            "busiest control",
            "news to a proxy",
            "oldest news at the end",
            "recovered",
        ),
        (
            (
                phase.name,
                _figure(phase.seconds),
                str(phase.changes),
                f"{_figure(percentile(phase.confirmed_ms, 0.5))} / {_figure(percentile(phase.confirmed_ms, 1.0))} ms",
                f"{_figure(percentile(phase.proxy_ms, 0.5))} / {_figure(percentile(phase.proxy_ms, 0.99))} ms",
                f"{_figure(percentile(phase.last_proxy_ms, 0.5))} / {_figure(percentile(phase.last_proxy_ms, 1.0))} ms",
                _in_force(phase),
                f"{_figure(percentile(phase.after_confirmation_ms, 1.0))} ms",
                str(phase.not_arrived),
                f"{phase.claims_won} of {phase.claims_begun}",
                f"{_figure(phase.claim_p50_ms)} / {_figure(phase.claim_p99_ms)} ms",
                _figure(phase.proxy_cores),
                _figure(phase.busiest_control_cores),
                f"{_figure(phase.news_bytes_per_proxy / 1000)} KB",
                f"{_figure(phase.oldest_news_s)} s",
                f"{_figure(phase.recovered_s)} s" if phase.recovered_s >= 0.0 else "",
            )
            for phase in found.phases
        ),
    )


def _in_force(phase: Phase) -> str:
    return holds(percentile(phase.last_proxy_ms, 1.0) / 1e3, size.IN_FORCE_S)


def _hops(found: Sequence[Hop]) -> str:
    return _table(
        (
            "deep",
            "calls",
            "without proxies, p50 / p99",
            "through proxies, p50 / p99",
            "added to a hop, p50",
            "added, p99",
            f"{size.ADDED_P99_MS:g} ms for 99 in 100",
            "CPU a hop",
        ),
        (
            (
                str(hop.depth),
                str(hop.calls),
                f"{_figure(hop.direct_p50_ms)} / {_figure(hop.direct_p99_ms)} ms",
                f"{_figure(hop.mesh_p50_ms)} / {_figure(hop.mesh_p99_ms)} ms",
                f"{_figure((hop.mesh_p50_ms - hop.direct_p50_ms) / hop.depth)} ms",
                f"{_figure(hop.mesh_p99_ms - hop.direct_p99_ms)} ms",
                holds(hop.mesh_p99_ms - hop.direct_p99_ms, size.ADDED_P99_MS),
                f"{_figure(hop.proxies_cpu_ms)} ms",
            )
            for hop in found
        ),
    )


def _stages(found: Sequence[Stage]) -> str:
    proxies, names = list(dict.fromkeys(s.proxy for s in found)), list(dict.fromkeys(s.name for s in found))
    parts = {(one.proxy, one.name): one.part for one in found}
    return _table(
        ("processor time of a proxy, parts", *proxies),
        ((name, *(f"{parts[proxy, name]:.1%}" for proxy in proxies)) for name in names),
    )
