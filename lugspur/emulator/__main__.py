"""Designs in virtual time: `python -m lugspur.emulator joining [--reads N] [--plot FILE]`, `fleet`, `members`,
`duties` or `control [--seeds N] [--kind KIND]`, `explore [--states N]`, `guards`, `catching-up`; `coordination
[--seeds N]` and `coordination-guards`; `capacity` writes docs/CAPACITY.md's tables from the newest sweep of the
operators' bench.
"""

from __future__ import annotations

import argparse
import sys

from lugspur.emulator import fleet, joining

CONTROL_SIDE = ("control", "explore", "guards", "catching-up")
COORDINATION = ("coordination", "coordination-guards")
WHAT = ("joining", "fleet", "members", "duties", *CONTROL_SIDE, *COORDINATION)


def _plot(found: dict[str, dict[float, joining.Found]], file: str) -> None:
    """Draw what is served in time by load; needs the extra `emulator`."""
    import pygal

    chart = pygal.XY(
        title="Reads served in time, by load",
        x_title="load, of what the boxes can do",
        y_title="part of all reads",
        range=(0.0, 1.0),
        explicit_size=True,
    )
    for name, row in found.items():
        chart.add(name, [(load, one.timely) for load, one in row.items()])
    chart.render_to_file(file)


def main() -> int:
    """Play, print a table, and draw it where that is asked for."""
    if sys.argv[1:2] == ["capacity"]:
        # Imported only here: it needs the extras `mesh` and `emulator`.
        from lugspur.emulator.capacity import command

        return command.main()
    parser = argparse.ArgumentParser(description="Tries designs in virtual time.")
    parser.add_argument("what", choices=WHAT)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reads", type=int, default=joining.READS, help="at each load")
    parser.add_argument("--seeds", type=int, default=1000, help="of duties and control")
    parser.add_argument("--kind", default="short", help="of the histories of control: a name in control/settings.py")
    parser.add_argument("--jobs", type=int, default=4, help="processes, of the control side's models")
    parser.add_argument("--states", type=int, default=100_000, help="of each world of explore at most")
    parser.add_argument("--plot", default="", metavar="FILE", help="an SVG")
    given = parser.parse_args()
    if given.what == "fleet":
        print("| proxies | day | served in time | turned away | dials in vain | of the busiest box | CPU a request |")
        print("|---|---|---|---|---|---|---|")
        for count in fleet.SIZES:
            for day in (fleet.CALM, fleet.DEAD):
                print(fleet.play(count, day, given.seed).row())
        return 0
    if given.what == "members":
        # Imported only here: it needs the extra `fleet`.
        from lugspur.emulator import members

        print(
            "| members | datagrams/s | bytes/s | CPU us/s | all joined s | one killed s | two halves s | "
            "a fifth stopped s | wrong doubts |"
        )
        print("|---|---|---|---|---|---|---|---|---|")
        for count in members.SIZES:
            print(members.play(count, given.seed).row(), flush=True)
        return 0
    if given.what in CONTROL_SIDE:
        # Imported only here: it needs the extra `mesh`.
        from lugspur.emulator.control import report

        return report.show(given.what, given.kind, given.seed, given.seeds, given.states, given.jobs)
    if given.what in COORDINATION:
        # Imported only here: it needs the extra `mesh`.
        from lugspur.emulator.coordination import guards, histories

        if given.what == "coordination":
            return histories.show(given.seed, given.seeds, given.jobs)
        return guards.show(given.jobs)
    if given.what == "duties":
        from lugspur.emulator import duties

        for line in duties.report(given.seed, given.seeds):
            print(line, flush=True)
        return 0
    found = joining.compare(given.seed, given.reads)
    print("| way | load | calls a read | in time | failed | turned away | oldest call |\n|---|---|---|---|---|---|---|")
    for name, row in found.items():
        for load, one in row.items():
            print(
                f"| {name} | {load:g} | {one.calls:.2f} | {one.timely:.1%} | {one.failed:.1%} | {one.turned:.1%} | "
                f"{1e3 * one.oldest:.0f} ms |"
            )
    if given.plot:
        _plot(found, given.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
