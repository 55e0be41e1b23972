"""The commands: `lugspur run`, `check` and `explain`."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from importlib import import_module
from urllib.parse import urlsplit

import click

from lugspur.config.build import Plan, warnings
from lugspur.config.load import FileFaults, load
from lugspur.routing.explain import Verdict, deciding_rule, explain
from lugspur.routing.model import Forward, Redirect, RequestView, Route
from lugspur.routing.table import capture, parse_query
from lugspur.routing.target import TargetError, parse_target

FAULTY = 2  # the exit status for a file or a command that makes no sense


def _load(path: str) -> Plan:
    """The plan of a file, or every fault of it on standard error."""
    try:
        return load(path)
    except FileFaults as fault:
        click.echo("\n".join(fault.lines), err=True)
        sys.exit(FAULTY)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A request proxy for services that call services.

    Without a command it is the platform's proxy, told by RELAY_CONFIG.
    """


def _loop_of(plan: Plan) -> Callable[[], asyncio.AbstractEventLoop] | None:
    """The loop to run in: one whose turns can be felt where the daemon guards itself."""
    if not plan.file.guard.on:
        return None
    from lugspur.daemon.load_signals import TimedEventLoop

    return TimedEventLoop


@cli.command()
@click.argument("file")
def run(file: str) -> None:
    """Serve by FILE; SIGHUP reads it again, SIGTERM finishes what was taken."""
    from lugspur.daemon.run import RunningDaemon, serve

    plan = _load(file)

    def ready(running: RunningDaemon) -> None:
        for name, (host, port) in running.addresses().items():
            click.echo(f"lugspur: listener {name} at {host}:{port}", err=True)

    try:
        with asyncio.Runner(loop_factory=_loop_of(plan)) as runner:
            runner.run(serve(file, plan, ready))
    except OSError as fault:
        click.echo(f"lugspur: {fault}", err=True)
        sys.exit(1)


@cli.command()
@click.argument("file")
def check(file: str) -> None:
    """Name every fault of FILE, with its line and what to write instead; exit 2 if there is one."""
    plan = _load(file)
    parts = plan.file
    for line in warnings(parts):
        click.echo(f"{file}: {line}", err=True)
    counts = [
        (len(parts.listeners), "listener"),
        (len(parts.classes), "class"),
        (len(parts.pools), "pool"),
        (len(parts.routes), "route"),
    ]
    said = ", ".join(
        f"{count} {what if count == 1 else what + ('es' if what.endswith('s') else 's')}" for count, what in counts
    )
    click.echo(f"{file}: no fault; {said}")


@cli.command("explain")
@click.argument("file")
@click.argument("method")
@click.argument("url")
@click.option("-H", "--header", "headers", multiple=True, metavar="NAME:VALUE", help="A header of the request.")
@click.option("--all", "everything", is_flag=True, help="Name every route that doesn't fit, not just ten.")
def explain_(file: str, method: str, url: str, headers: tuple[str, ...], everything: bool) -> None:
    """Tell which route of FILE takes METHOD URL, why, and which ones lost.

    URL is a path, or a whole URL whose host counts as the Host header. Exit 1 if no route takes it.
    """
    plan = _load(file)
    asked = _asked(method, url, headers)
    verdicts = explain(plan.table.routes, asked)
    matching = [v for v in verdicts if not v.reason]
    click.echo(f"{asked.method} {asked.target.origin_form.decode()}  host {asked.target.host or '(none)'}")
    if not matching:
        click.echo("no route takes it:" if verdicts else "the file has no route")
    else:
        _show_winner(plan, matching[0], asked)
        for verdict in matching[1:]:
            assert verdict.rank is not None and matching[0].rank is not None
            click.echo(f"  beats {verdict.route.name}: by {deciding_rule(matching[0].rank, verdict.rank)}")
    others = verdicts[len(matching) :]
    shown = others if everything else others[:10]
    for verdict in shown:
        click.echo(f"  not {verdict.route.name}: {verdict.reason}")
    if len(others) > len(shown):
        click.echo(f"  and {len(others) - len(shown)} more that don't fit (--all names them)")
    sys.exit(0 if matching else 1)


def _asked(method: str, url: str, headers: tuple[str, ...]) -> RequestView:
    found: dict[str, str] = {}
    for line in headers:
        name, colon, value = line.partition(":")
        if not colon or not name.strip():
            raise click.UsageError(f'-H "{line}" is no header; write -H "Name: value"')
        found[name.strip().lower()] = value.strip()
    try:
        if not url.startswith("/") and urlsplit(url).scheme in ("http", "https"):
            found["host"] = urlsplit(url).netloc
        target = parse_target(url.partition("#")[0].encode(), found.get("host", "").encode())
    except (TargetError, ValueError) as fault:
        click.echo(f"{url}: answered 400: {fault}", err=True)
        sys.exit(FAULTY)
    return RequestView(method.upper(), target, found, parse_query(target.query))


def _show_winner(plan: Plan, verdict: Verdict, asked: RequestView) -> None:
    route = verdict.route
    click.echo(f"route {route.name}: {_leads(plan, route)}")
    captured = capture(route.path, asked.target.forwarded_segments, asked.target.segments)
    names = {name: value for name, value in captured.items() if not name.startswith("=")}
    if names:
        click.echo("  path " + ", ".join(f"{name} = {value or '(empty)'}" for name, value in names.items()))
    action = route.action
    if isinstance(action, Forward):
        kind = plan.classes[plan.kinds[action.class_name]]
        click.echo(
            f"  class {kind.name}: {kind.retry_safety.value}, given up after "
            f"{min(kind.deadline, action.deadline or kind.deadline):g}s"
        )
        if action.rewrite is not None:
            click.echo(f"  backends see {action.rewrite.fill(captured) or '/'}")
        if action.coalescing is not None:
            who = "all tenants" if action.coalescing.across_tenants else "one tenant"
            click.echo(
                f"  like reads of {who} share a call that began at most {action.coalescing.max_age_seconds:g}s before"
            )


def _leads(plan: Plan, route: Route) -> str:
    action = route.action
    if isinstance(action, Redirect):
        return f"redirect {action.status} to {action.location.text}"
    if not isinstance(action, Forward):
        return f"answered here with {action.status}"
    total = sum(weight for _, weight in action.splits)
    pools = ", ".join(
        name if len(action.splits) == 1 else f"{name} {100 * weight / total:g}%" for name, weight in action.splits
    )
    return f"pool {pools}" + (f"; then {', '.join(action.fallback)}" if action.fallback else "")


@cli.command()
@click.argument("file")
@click.argument("registry")
@click.argument("path")
@click.option("--name", required=True, help="The node's name; with --sequential the beginning of it.")
@click.option("--address", required=True, metavar="HOST:PORT", help="Where the box is reached.")
@click.option(
    "--check",
    "url",
    metavar="URL",
    help="http://HOST:PORT/PATH answers below 400, or tcp://HOST:PORT takes "
    "connections, while the box is well; by default tcp:// at its address.",
)
@click.option("--every", default="1s", show_default=True, help="Time between two checks.")
@click.option("--zone", default="", help="The box's zone.")
@click.option("--cell", default=0, help="The box's cell.")
@click.option("--weight", default=1.0, show_default=True, help="The box's size against the others'.")
@click.option("--sequential", is_flag=True, help="Let the registry number the node.")
def register(
    file: str,
    registry: str,
    path: str,
    name: str,
    address: str,
    url: str | None,
    every: str,
    zone: str,
    cell: int,
    weight: float,
    sequential: bool,
) -> None:
    """Keep the node of a box in PATH of a REGISTRY that FILE names, while the box is well.

    SIGTERM deletes the node first thing, then ends. Stop it before the box itself, so that nobody calls the box later.
    """
    from lugspur.cli.register import beside, wished

    plan = _load(file)
    try:
        wish = wished(plan, registry, path, name, address, url, every, zone, cell, weight, sequential)
    except ValueError as fault:
        raise click.UsageError(str(fault)) from fault
    asyncio.run(beside(wish))


class _Later(click.Group):
    """Imports its commands when one of them is asked for: `lugspur run` has no use for tables."""

    def _commands(self) -> click.Group:
        found = getattr(import_module(f"lugspur.cli.{self.name}"), str(self.name))
        assert isinstance(found, click.Group)
        return found

    def list_commands(self, ctx: click.Context) -> list[str]:
        return self._commands().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        return self._commands().get_command(ctx, cmd_name)


cli.add_command(_Later("state", help="Show, verify or prune what a daemon has kept of its backends."))
cli.add_command(_Later("fleet", help="Show a daemon's fleet and its duties, or run a command where a duty is held."))


@cli.command()
@click.option("--requests", default=4000, show_default=True, help="Requests of each round.")
@click.option("--against", metavar="DIR", help="Another checkout, whose platform's proxy is measured beside ours.")
def bench(requests: int, against: str | None) -> None:
    """Measure what a request costs, as multiples of a bare byte relay; some two minutes of a quiet machine."""
    from lugspur.bench.main import report

    report(requests, click.echo, against)


@cli.command()
@click.option("--seconds", default=8.0, show_default=True, help="How long it plays.")
@click.option("--seed", default=7, show_default=True, help="For what it draws.")
def demo(seconds: float, seed: int) -> None:
    """Three tiers behind the daemon under a small load, a backend killed and another drained half-way.

    Ends by itself; exit 0 only if no request was lost or doubled and the drain was kept.
    """
    from rich.console import Console

    from lugspur.demo.main import run as play

    sys.exit(0 if asyncio.run(play(seconds, seed, Console())) else 1)
