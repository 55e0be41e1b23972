"""`lugspur fleet`: what one daemon knows of its fleet, asked at its second address."""

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

from lugspur.config.units import Wrong, address, duration

WITHIN = 5.0  # seconds that a daemon may take to answer
HELD_ELSEWHERE = 3  # the exit status of `run` where another member holds the duty
WATCH_EVERY = 1.0  # seconds between two looks with --watch


@click.group()
def fleet() -> None:
    """What a daemon knows of its fleet; --at is its second address, [management] address of its file."""


def _called(at: str, method: str, path: str, body: str = "") -> tuple[int, str]:
    """One call; exits where no daemon answers."""
    try:
        connection = http.client.HTTPConnection(*address(at), timeout=WITHIN)
        connection.request(method, path, body.encode() or None)
        answer = connection.getresponse()
        return answer.status, answer.read().decode().strip()
    except Wrong as fault:
        raise click.UsageError(f"--at {at}: {fault}") from fault
    except (OSError, http.client.HTTPException) as fault:
        click.echo(f"{at}: {fault}", err=True)
        sys.exit(1)


def _told(at: str, path: str) -> dict[str, Any]:
    status, text = _called(at, "GET", path)
    if status == 404:
        click.echo(f"{at}: this daemon is in no fleet; its file needs [fleet]", err=True)
        sys.exit(1)
    found = json.loads(text)
    assert isinstance(found, dict)
    return found


def _members(console: Console, told: dict[str, Any]) -> None:
    rows = told["members"]
    there = sum(row["state"] in ("alive", "suspect") for row in rows)
    table = Table(
        title=f"fleet {told['fleet']}, as {told['member']} sees it: {there} of {len(rows)} are there",
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


def _duties(console: Console, told: dict[str, Any]) -> None:
    table = Table(title=f"duties that {told['member']} wants", title_justify="left")
    for column in ("duty", "holder", "epoch", "left s"):
        table.add_column(column)
    for row in told["duties"]:
        table.add_row(
            row["duty"], row["holder"] or "(nobody known)", str(row["epoch"]), str(row["left"]) if row["ours"] else "-"
        )
    console.print(table)
    for pool, boxes in told["down"].items():
        if boxes:
            console.print(f"pool {pool}: down, by its prober's word: {', '.join(boxes)}")


SHOWN = {"members": _members, "duties": _duties}


def _show(at: str, what: tuple[str, ...], as_json: bool, watch: bool) -> None:
    console = Console(width=None if sys.stdout.isatty() else 120)
    while True:
        found = {name: _told(at, f"/fleet/{name}") for name in what}
        if watch and not as_json:
            console.clear()
        if as_json:
            click.echo(json.dumps(found if len(what) > 1 else found[what[0]]))
        else:
            for name in what:
                SHOWN[name](console, found[name])
        if not watch:
            return
        time.sleep(WATCH_EVERY)


AT = click.option("--at", required=True, metavar="HOST:PORT", help="The daemon's second address.")
JSON = click.option("--json", "as_json", is_flag=True, help="One line of JSON instead of tables.")
WATCH = click.option("--watch", is_flag=True, help="Again each second, until interrupted.")


@fleet.command()
@AT
@JSON
@WATCH
def show(at: str, as_json: bool, watch: bool) -> None:
    """Members and duties."""
    _show(at, ("members", "duties"), as_json, watch)


@fleet.command()
@AT
@JSON
@WATCH
def members(at: str, as_json: bool, watch: bool) -> None:
    """Who is there, is doubted, is gone or has left."""
    _show(at, ("members",), as_json, watch)


@fleet.command()
@AT
@JSON
@WATCH
def duties(at: str, as_json: bool, watch: bool) -> None:
    """Who holds the duties that this daemon wants too, and under which epoch."""
    _show(at, ("duties",), as_json, watch)


@fleet.command(context_settings={"ignore_unknown_options": True})
@AT
@click.option("--needs", default="0s", show_default=True, help="Time that the lease has to last yet.")
@click.argument("duty")
@click.argument("command", nargs=-1, required=True, type=click.UNPROCESSED)
def run(at: str, needs: str, duty: str, command: tuple[str, ...]) -> None:
    """Run COMMAND if this daemon holds DUTY, with its epoch in LUGSPUR_EPOCH; else exit 3 and run nothing.

    For a job that is due on every machine and is to be done by one: let each machine's own daemon decide.
    """
    try:
        seconds = duration()(needs)
    except Wrong as fault:
        raise click.UsageError(f"--needs {needs}: {fault}") from fault
    status, text = _called(at, "POST", "/fleet/may", f"{duty} {seconds:.3f}")
    if status == 409:
        holder = json.loads(text)["holder"]
        click.echo(f"duty {duty} is not ours" + (f": {holder} holds it" if holder else ""), err=True)
        sys.exit(HELD_ELSEWHERE)
    if status != 200:
        click.echo(f"{at}: {text}", err=True)
        sys.exit(1)
    try:
        os.execvpe(command[0], command, os.environ | {"LUGSPUR_EPOCH": str(json.loads(text)["epoch"])})
    except OSError as fault:
        click.echo(f"{command[0]}: {fault.strerror or fault}", err=True)
        sys.exit(127)
