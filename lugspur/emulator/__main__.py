"""Command line of the simulations in virtual time.

Subcommands of `python -m lugspur.emulator`: `joining [--reads N] [--plot FILE]`, `fleet`, `members`,
`duties [--seeds N]`, `control [--seeds N] [--kind KIND]`, `explore [--states N]`, `guards`, `catching-up`,
`coordination [--seeds N]` and `coordination-guards`; `capacity` writes the tables of docs/CAPACITY.md from the newest
sweep of the operators' bench.
"""

from __future__ import annotations

import argparse
import sys

from lugspur.emulator import fleet, joining

CONTROL_COMMANDS = ("control", "explore", "guards", "catching-up")
COORDINATION_COMMANDS = ("coordination", "coordination-guards")
COMMANDS = ("joining", "fleet", "members", "duties", *CONTROL_COMMANDS, *COORDINATION_COMMANDS)


def _plot(results: dict[str, dict[float, joining.LoadResult]], file: str) -> None:
    """Plot the fraction of reads served in time by load; needs the extra `emulator`."""
    import pygal

    chart = pygal.XY(
        title="Reads served in time, by load",
        x_title="load, as a multiple of the capacity of the backends",
        y_title="fraction of all reads",
        range=(0.0, 1.0),
        explicit_size=True,
    )
    for name, by_load in results.items():
        chart.add(name, [(load, result.served_in_time) for load, result in by_load.items()])
    chart.render_to_file(file)


def main() -> int:
    """Run the simulation of the subcommand, print its results, and plot them if `--plot` is given."""
    if sys.argv[1:2] == ["capacity"]:
        # Imported here since it needs the extras `mesh` and `emulator`.
        from lugspur.emulator.capacity import command

        return command.main()
    parser = argparse.ArgumentParser(description="Simulates load balancing, gossip and consensus in virtual time.")
    parser.add_argument("command", choices=COMMANDS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--reads", type=int, default=joining.READ_COUNT, help="number of reads at each load (joining)")
    parser.add_argument("--seeds", type=int, default=1000, help="number of seeds (duties, control and coordination)")
    parser.add_argument(
        "--kind", default="short", help="kind of the histories: a name in control/settings.py (control)"
    )
    parser.add_argument("--jobs", type=int, default=4, help="number of worker processes (control and coordination)")
    parser.add_argument("--states", type=int, default=100_000, help="maximum number of states of each world (explore)")
    parser.add_argument("--plot", default="", metavar="FILE", help="write a plot to this SVG file (joining)")
    arguments = parser.parse_args()
    if arguments.command == "fleet":
        print("| proxies | day | served in time | turned away | dials in vain | of the busiest box | CPU a request |")
        print("|---|---|---|---|---|---|---|")
        for count in fleet.PROXY_COUNTS:
            for scenario in (fleet.NO_FAULTS, fleet.TENTH_VANISH):
                print(fleet.play(count, scenario, arguments.seed).row())
        return 0
    if arguments.command == "members":
        # Imported here since it needs the extra `fleet`.
        from lugspur.emulator import members

        print(
            "| members | datagrams/s | bytes/s | CPU us/s | all joined s | one killed s | two halves s | "
            "a fifth stopped s | wrong doubts |"
        )
        print("|---|---|---|---|---|---|---|---|---|")
        for count in members.FLEET_SIZES:
            print(members.play(count, arguments.seed).row(), flush=True)
        return 0
    if arguments.command in CONTROL_COMMANDS:
        # Imported here since it needs the extra `mesh`.
        from lugspur.emulator.control import report

        return report.show(
            arguments.command, arguments.kind, arguments.seed, arguments.seeds, arguments.states, arguments.jobs
        )
    if arguments.command in COORDINATION_COMMANDS:
        # Imported here since it needs the extra `mesh`.
        from lugspur.emulator.coordination import guards, histories

        if arguments.command == "coordination":
            return histories.show(arguments.seed, arguments.seeds, arguments.jobs)
        return guards.show(arguments.jobs)
    if arguments.command == "duties":
        from lugspur.emulator import duties

        for line in duties.report(arguments.seed, arguments.seeds):
            print(line, flush=True)
        return 0
    results = joining.compare(arguments.seed, arguments.reads)
    print("| way | load | calls a read | in time | failed | turned away | oldest call |\n|---|---|---|---|---|---|---|")
    for name, by_load in results.items():
        for load, result in by_load.items():
            print(
                f"| {name} | {load:g} | {result.calls:.2f} | {result.served_in_time:.1%} | {result.failed:.1%} | "
                f"{result.rejected:.1%} | {1e3 * result.oldest_call:.0f} ms |"
            )
    if arguments.plot:
        _plot(results, arguments.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
