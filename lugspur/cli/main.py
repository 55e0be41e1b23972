"""The commands of `lugspur`; `state` and `fleet` are groups in modules of their own."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from importlib import import_module
from urllib.parse import urlsplit

import click

from lugspur.config.build import Plan, warnings
from lugspur.config.load import ConfigFileError, load
from lugspur.routing.explain import Verdict, deciding_rule, explain
from lugspur.routing.model import Forward, Redirect, RequestView, Route
from lugspur.routing.table import capture, parse_query
from lugspur.routing.target import TargetError, parse_target

EXIT_INVALID = 2  # the exit status for an invalid file or command line


def _load(path: str) -> Plan:
    """Return the plan of a file; if it has faults, print all of them to standard error and exit."""
    try:
        return load(path)
    except ConfigFileError as fault:
        click.echo("\n".join(fault.lines), err=True)
        sys.exit(EXIT_INVALID)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def cli() -> None:
    """A request proxy for services that call services.

    Without a command it runs the platform's proxy, configured by RELAY_CONFIG.
    """


def _loop_factory(plan: Plan) -> Callable[[], asyncio.AbstractEventLoop] | None:
    """Return the factory of the event loop: with load shedding a loop that measures the duration of its iterations."""
    if not plan.file.guard.on:
        return None
    from lugspur.daemon.load_signals import TimedEventLoop

    return TimedEventLoop


@cli.command()
@click.argument("file")
def run(file: str) -> None:
    """Run a daemon with FILE; SIGHUP reloads it, SIGTERM completes open requests and stops."""
    from lugspur.daemon.run import RunningDaemon, serve

    plan = _load(file)

    def ready(running: RunningDaemon) -> None:
        for name, (host, port) in running.addresses().items():
            click.echo(f"lugspur: listener {name} at {host}:{port}", err=True)

    try:
        with asyncio.Runner(loop_factory=_loop_factory(plan)) as runner:
            runner.run(serve(file, plan, ready))
    except OSError as fault:
        click.echo(f"lugspur: {fault}", err=True)
        sys.exit(1)


@cli.command()
@click.argument("file")
def check(file: str) -> None:
    """Report every fault of FILE, with its line and what to write instead; exit with status 2 if there is one."""
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
    summary = ", ".join(
        f"{count} {noun if count == 1 else noun + ('es' if noun.endswith('s') else 's')}" for count, noun in counts
    )
    click.echo(f"{file}: no fault; {summary}")


@cli.command("explain")
@click.argument("file")
@click.argument("method")
@click.argument("url")
@click.option("-H", "--header", "headers", multiple=True, metavar="NAME:VALUE", help="A header of the request.")
@click.option("--all", "everything", is_flag=True, help="Show all routes that don't match, not just ten.")
def explain_(file: str, method: str, url: str, headers: tuple[str, ...], everything: bool) -> None:
    """Show which route of FILE matches METHOD URL and why, and why other routes are not used.

    URL is a path, or a full URL, whose host is used as the Host header. Exits with status 1 if no route matches.
    """
    plan = _load(file)
    request = _parse_request(method, url, headers)
    verdicts = explain(plan.table.routes, request)
    matching = [v for v in verdicts if not v.reason]
    click.echo(f"{request.method} {request.target.origin_form.decode()}  host {request.target.host or '(none)'}")
    if not matching:
        click.echo("no route matches:" if verdicts else "the file has no route")
    else:
        _show_match(plan, matching[0], request)
        for verdict in matching[1:]:
            assert verdict.rank is not None and matching[0].rank is not None
            click.echo(f"  beats {verdict.route.name}: by {deciding_rule(matching[0].rank, verdict.rank)}")
    others = verdicts[len(matching) :]
    shown = others if everything else others[:10]
    for verdict in shown:
        click.echo(f"  not {verdict.route.name}: {verdict.reason}")
    if len(others) > len(shown):
        click.echo(f"  and {len(others) - len(shown)} more that don't match (--all shows them)")
    sys.exit(0 if matching else 1)


def _parse_request(method: str, url: str, headers: tuple[str, ...]) -> RequestView:
    found: dict[str, str] = {}
    for line in headers:
        name, colon, value = line.partition(":")
        if not colon or not name.strip():
            raise click.UsageError(f'-H "{line}" is not a header; write -H "Name: value"')
        found[name.strip().lower()] = value.strip()
    try:
        if not url.startswith("/") and urlsplit(url).scheme in ("http", "https"):
            found["host"] = urlsplit(url).netloc
        target = parse_target(url.partition("#")[0].encode(), found.get("host", "").encode())
    except (TargetError, ValueError) as fault:
        click.echo(f"{url}: answered 400: {fault}", err=True)
        sys.exit(EXIT_INVALID)
    return RequestView(method.upper(), target, found, parse_query(target.query))


def _show_match(plan: Plan, verdict: Verdict, request: RequestView) -> None:
    route = verdict.route
    click.echo(f"route {route.name}: {_describe_action(plan, route)}")
    captured = capture(route.path, request.target.forwarded_segments, request.target.segments)
    names = {name: value for name, value in captured.items() if not name.startswith("=")}
    if names:
        click.echo("  path " + ", ".join(f"{name} = {value or '(empty)'}" for name, value in names.items()))
    action = route.action
    if isinstance(action, Forward):
        kind = plan.classes[plan.class_indices[action.class_name]]
        click.echo(
            f"  class {kind.name}: {kind.retry_safety.value}, fails after "
            f"{min(kind.deadline, action.deadline or kind.deadline):g}s"
        )
        if action.rewrite is not None:
            click.echo(f"  backends see {action.rewrite.fill(captured) or '/'}")
        if action.coalescing is not None:
            who = "all tenants" if action.coalescing.across_tenants else "one tenant"
            click.echo(f"  identical requests of {who} share a call at most {action.coalescing.max_age_seconds:g}s old")


def _describe_action(plan: Plan, route: Route) -> str:
    action = route.action
    if isinstance(action, Redirect):
        return f"redirect {action.status} to {action.location.text}"
    if not isinstance(action, Forward):
        return f"direct response {action.status}"
    total = sum(weight for _, weight in action.splits)
    pools = ", ".join(
        name if len(action.splits) == 1 else f"{name} {100 * weight / total:g}%" for name, weight in action.splits
    )
    return f"pool {pools}" + (f"; then {', '.join(action.fallback)}" if action.fallback else "")


@cli.command()
@click.argument("file")
@click.argument("registry")
@click.argument("path")
@click.option("--name", required=True, help="The node's name; with --sequential its prefix.")
@click.option("--address", required=True, metavar="HOST:PORT", help="The address at which callers reach the backend.")
@click.option(
    "--check",
    "url",
    metavar="URL",
    help="http://HOST:PORT/PATH returns a status below 400, or tcp://HOST:PORT accepts "
    "connections, while the backend is healthy; by default tcp:// at its address.",
)
@click.option("--every", default="1s", show_default=True, help="Interval between checks.")
@click.option("--zone", default="", help="The backend's zone.")
@click.option("--cell", default=0, help="The backend's cell.")
@click.option("--weight", default=1.0, show_default=True, help="The backend's capacity relative to others.")
@click.option("--sequential", is_flag=True, help="Let the registry append a sequence number to the name.")
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
    """Register a backend below PATH in a REGISTRY that FILE defines, for as long as the backend is healthy.

    SIGTERM deletes the node and stops. Stop this command before the backend, so that callers see the removal first.
    """
    from lugspur.cli.register import parse_registration, run_registration

    plan = _load(file)
    try:
        registration = parse_registration(
            plan, registry, path, name, address, url, every, zone, cell, weight, sequential
        )
    except ValueError as fault:
        raise click.UsageError(str(fault)) from fault
    asyncio.run(run_registration(registration))


class _LazyGroup(click.Group):
    """A group whose module is imported when it is used: `lugspur run` does not need to load `rich`."""

    def _commands(self) -> click.Group:
        found = getattr(import_module(f"lugspur.cli.{self.name}"), str(self.name))
        assert isinstance(found, click.Group)
        return found

    def list_commands(self, ctx: click.Context) -> list[str]:
        return self._commands().list_commands(ctx)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        return self._commands().get_command(ctx, cmd_name)


cli.add_command(_LazyGroup("state", help="Show, verify or prune the persisted state of a daemon."))
cli.add_command(
    _LazyGroup("fleet", help="Show a daemon's fleet and its duties, or run a command if the daemon holds a duty.")
)


@cli.command()
@click.option("--requests", default=4000, show_default=True, help="Requests in each round.")
@click.option("--against", metavar="DIR", help="Another checkout, whose platform proxy is measured for comparison.")
def bench(requests: int, against: str | None) -> None:
    """Measure the cost of a request as a multiple of a plain byte relay; takes about two minutes on an idle machine."""
    from lugspur.bench.main import report

    report(requests, click.echo, against)


@cli.command()
@click.option("--seconds", default=8.0, show_default=True, help="Duration of the demo.")
@click.option("--seed", default=7, show_default=True, help="Seed of its random numbers.")
def demo(seconds: float, seed: int) -> None:
    """Run three tiers behind the daemon under a small load; half-way one backend is killed and another drained.

    Exits with status 0 only if no request was lost or executed twice and the draining backend got no new requests.
    """
    from rich.console import Console

    from lugspur.demo.main import run as run_demo

    sys.exit(0 if asyncio.run(run_demo(seconds, seed, Console())) else 1)
