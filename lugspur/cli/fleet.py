"""`lugspur fleet`: shows what one daemon knows of its fleet, by calls to its admin listener."""

from __future__ import annotations

import http.client
import json
import os
import sys
import time
from datetime import UTC, datetime
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from lugspur.config.units import InvalidValueError, address, duration

CALL_TIMEOUT_SECONDS = 5.0  # until a daemon has to answer
EXIT_HELD_ELSEWHERE = 3  # the exit status of `run` if this daemon does not hold the duty
WATCH_INTERVAL_SECONDS = 1.0  # between two calls with --watch


@click.group()
def fleet() -> None:
    """Show what a daemon knows of its fleet; --at is its admin listener, [management] address in its file."""


def _call(at: str, method: str, path: str, body: str = "") -> tuple[int, str]:
    """Make one call and return status and body; exit with status 1 if no daemon answers."""
    try:
        connection = http.client.HTTPConnection(*address(at), timeout=CALL_TIMEOUT_SECONDS)
        connection.request(method, path, body.encode() or None)
        response = connection.getresponse()
        return response.status, response.read().decode().strip()
    except InvalidValueError as fault:
        raise click.UsageError(f"--at {at}: {fault}") from fault
    except (OSError, http.client.HTTPException) as fault:
        click.echo(f"{at}: {fault}", err=True)
        sys.exit(1)


def _get(at: str, path: str) -> dict[str, Any]:
    status, text = _call(at, "GET", path)
    if status == 404:
        click.echo(f"{at}: this daemon is in no fleet; its file needs [fleet]", err=True)
        sys.exit(1)
    found = json.loads(text)
    assert isinstance(found, dict)
    return found


def _print_members(console: Console, status: dict[str, Any]) -> None:
    rows = status["members"]
    reachable = sum(row["state"] in ("alive", "suspect") for row in rows)
    table = Table(
        title=f"fleet {status['fleet']}, as {status['member']} sees it: {reachable} of {len(rows)} are reachable",
        title_justify="left",
    )
    for column in ("member", "address", "state", "zone", "version", "since", "notes"):
        table.add_column(column)
    for row in rows:
        notes = [word for word in ("elector", "draining") if row[word]]
        since = datetime.fromtimestamp(row["started"], UTC).strftime("%Y-%m-%d %H:%M:%S")
        table.add_row(
            row["name"], row["address"], row["state"], row["zone"] or "-", row["version"], since, ", ".join(notes)
        )
    console.print(table)


def _print_duties(console: Console, status: dict[str, Any]) -> None:
    table = Table(title=f"duties for which {status['member']} is a candidate", title_justify="left")
    for column in ("duty", "holder", "epoch", "left s"):
        table.add_column(column)
    for row in status["duties"]:
        table.add_row(
            row["duty"], row["holder"] or "(unknown)", str(row["epoch"]), str(row["left"]) if row["ours"] else "-"
        )
    console.print(table)
    for pool, backends in status["down"].items():
        if backends:
            console.print(f"pool {pool}: down, as its prober reports: {', '.join(backends)}")


PRINTERS = {"members": _print_members, "duties": _print_duties}


def _show(at: str, what: tuple[str, ...], as_json: bool, watch: bool) -> None:
    console = Console(width=None if sys.stdout.isatty() else 120)
    while True:
        found = {name: _get(at, f"/fleet/{name}") for name in what}
        if watch and not as_json:
            console.clear()
        if as_json:
            click.echo(json.dumps(found if len(what) > 1 else found[what[0]]))
        else:
            for name in what:
                PRINTERS[name](console, found[name])
        if not watch:
            return
        time.sleep(WATCH_INTERVAL_SECONDS)


AT = click.option("--at", required=True, metavar="HOST:PORT", help="The daemon's admin listener.")
JSON = click.option("--json", "as_json", is_flag=True, help="Print one line of JSON instead of tables.")
WATCH = click.option("--watch", is_flag=True, help="Repeat each second until interrupted.")


@fleet.command()
@AT
@JSON
@WATCH
def show(at: str, as_json: bool, watch: bool) -> None:
    """Show members and duties."""
    _show(at, ("members", "duties"), as_json, watch)


@fleet.command()
@AT
@JSON
@WATCH
def members(at: str, as_json: bool, watch: bool) -> None:
    """Show which members are alive, suspect, dead or have left."""
    _show(at, ("members",), as_json, watch)


@fleet.command()
@AT
@JSON
@WATCH
def duties(at: str, as_json: bool, watch: bool) -> None:
    """Show the holders and epochs of the duties for which this daemon is a candidate."""
    _show(at, ("duties",), as_json, watch)


@fleet.command(context_settings={"ignore_unknown_options": True})
@AT
@click.option("--needs", default="0s", show_default=True, help="Time that the lease must still last.")
@click.argument("duty")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def run(at: str, needs: str, duty: str, command: tuple[str, ...]) -> None:
    """Run COMMAND if this daemon holds DUTY, with its epoch in LUGSPUR_EPOCH; else exit with status 3 and run nothing.

    Use it for a job that is scheduled on every machine and has to run on one of them: each asks its own daemon.
    """
    try:
        seconds = duration()(needs)
    except InvalidValueError as fault:
        raise click.UsageError(f"--needs {needs}: {fault}") from fault
    status, text = _call(at, "POST", "/fleet/may", f"{duty} {seconds:.3f}")
    if status == 409:
        holder = json.loads(text)["holder"]
        click.echo(f"this daemon does not hold duty {duty}" + (f": {holder} holds it" if holder else ""), err=True)
        sys.exit(EXIT_HELD_ELSEWHERE)
    if status != 200:
        click.echo(f"{at}: {text}", err=True)
        sys.exit(1)
    try:
        os.execvpe(command[0], command, os.environ | {"LUGSPUR_EPOCH": str(json.loads(text)["epoch"])})
    except OSError as fault:
        click.echo(f"{command[0]}: {fault.strerror or fault}", err=True)
        sys.exit(127)
