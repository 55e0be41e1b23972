"""The command line for operators; the docstrings of commands are their help texts."""

from __future__ import annotations

import http.client
import json
import sys
import time
from pathlib import Path
from typing import Any

import cyclopts

from lugspur.discovery.endpoints import read_address
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.settings import load_settings
from lugspur.mesh.storage.data_directory import export_items, read_directory, summarize

CALL_TIMEOUT_SECONDS = 10.0
app = cyclopts.App(
    name="python -m lugspur.mesh", help="The mesh: proxies forward requests, control nodes keep the state."
)


replica = cyclopts.App(
    name="replica", help="Inspect the data directory of a control node that does not run; nothing is written."
)
app.command(replica)
locks = cyclopts.App(name="locks", help="Show locks and elections, as one control node knows them.")
numbers = cyclopts.App(name="numbers", help="Show numbers, as one control node knows them.")
keys = cyclopts.App(name="keys", help="Show keys and their revisions, as one control node knows them.")
for group in (locks, numbers, keys):
    app.command(group)


def call(address: str, method: str, path: str, body: bytes | None = None) -> bytes:
    """Make a call to a `dispatch` address; return the body of the response, or raise MeshError if the call failed."""
    try:
        host, port = read_address(address)
        connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_SECONDS)
        connection.request(method, path, body, {"Content-Type": "application/json"} if body is not None else {})
        response = connection.getresponse()
        found = response.read()
    except (OSError, ValueError, http.client.HTTPException) as fault:
        raise MeshError(ErrorKind.NOT_READY, f"{address}: {fault}") from None
    if response.status != 200:
        raise MeshError(
            ErrorKind.BAD_REQUEST, f"{address}: {response.status} {found.decode('utf-8', 'replace').strip()}"
        )
    return found


@app.command
def check(path: Path) -> None:
    """Check a settings file; if it can't be used, print the reason in one line and exit with status 2."""
    settings = load_settings(path)
    print(f"{settings.own.node_name}: {'replica' if settings.is_control_node else 'proxy'} in {settings.own.zone}")


@app.command
def serve() -> None:
    """Run a process of the mesh with the settings file that LUGSPUR_NODE_FILE names."""
    from lugspur.mesh.program import serve as run

    sys.exit(run())


@app.command
def show(address: str, *, as_json: bool = False, watch: float = 0.0) -> None:
    """Show the state of a process; no majority is needed. `watch`: repeat at this interval in seconds."""
    while True:
        found = call(address, "GET", "/mesh/status")
        print(found.decode() if as_json else "\n".join(lines(json.loads(found))), flush=True)
        if watch <= 0.0:
            return
        time.sleep(watch)


def lines(found: dict[str, Any]) -> list[str]:
    """Format a status for people: one line for each field, and for each element of a list or table."""
    found_lines = []
    for key, value in found.items():
        if isinstance(value, dict) and value and all(isinstance(v, dict) for v in value.values()):
            found_lines += [f"{key} {name}: {_pairs(row)}" for name, row in value.items()]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            found_lines += [f"{key}: {_pairs(row)}" for row in value]
        elif isinstance(value, dict):
            found_lines.append(f"{key}: {_pairs(value)}")
        else:
            found_lines.append(f"{key}: {' '.join(value) if isinstance(value, list) else value}")
    return found_lines


def _pairs(row: dict[str, Any]) -> str:
    return " ".join(f"{key}={value}" for key, value in row.items())


@app.command
def failures(address: str, *, as_json: bool = False) -> None:
    """Show the latest failed requests of a proxy: the configuration in force, the attempts and the reasons."""
    found = call(address, "GET", "/mesh/failures")
    if as_json:
        print(found.decode())
        return
    for failed in json.loads(found):
        steps = failed.pop("steps")
        print(_pairs(failed))
        for step in steps:
            print(f"    {_pairs(step)}")


@app.command
def metrics(address: str) -> None:
    """Show the metrics of a process, in the text format of Prometheus."""
    print(call(address, "GET", "/metrics").decode(), end="")


@app.command
def read(address: str) -> None:
    """Read the configuration that a majority of the voters confirms to be the latest."""
    print(call(address, "GET", "/config/read").decode())


@app.command
def amend(address: str, path: Path) -> None:
    """Change the configuration by a file with `upsert` and `withdraw`; the change is durable once this succeeds."""
    try:
        body = path.read_bytes()
    except OSError as fault:
        raise MeshError(ErrorKind.BAD_REQUEST, f"{path}: {fault.strerror}") from None
    call(address, "POST", "/config/amend", body)
    print("taken, and on the disks of a majority")


def _show_coordination(address: str, field: str, *, as_json: bool) -> None:
    """Print one table of the coordination state of a control node."""
    found = json.loads(call(address, "GET", "/mesh/coordination"))[field]
    print(json.dumps(found) if as_json else "\n".join(lines({field: found})))


@locks.command(name="show")
def locks_show(address: str, *, as_json: bool = False) -> None:
    """Show the holder, the fencing token and the remaining time of each lock, by that node's monotonic clock."""
    _show_coordination(address, "locks", as_json=as_json)


@numbers.command(name="show")
def numbers_show(address: str, *, as_json: bool = False) -> None:
    """Show the latest number that was issued under each name."""
    _show_coordination(address, "numbers", as_json=as_json)


@keys.command(name="show")
def keys_show(address: str, *, as_json: bool = False) -> None:
    """Show the keys with their revisions and values."""
    _show_coordination(address, "keys", as_json=as_json)


@replica.command(name="check")
def replica_check(folder: Path) -> None:
    """Check whether a control node can start with this `data_dir`; if not, print the faults and exit with status 2."""
    found = read_directory(folder)
    if found.faults:
        raise MeshError(ErrorKind.STATE, "; ".join(found.faults))
    print(f"{folder}: {found.size} bytes, no fault")


@replica.command(name="show")
def replica_show(folder: Path, *, as_json: bool = False) -> None:
    """Show the contents of a `data_dir`: the name of the disk, membership, items by kind, reservations."""
    found = summarize(read_directory(folder))
    print(json.dumps(found) if as_json else "\n".join(lines(found)))


@replica.command(name="export")
def replica_export(folder: Path) -> None:
    """Print all items of a `data_dir` that are not withdrawn, as a file for `amend`."""
    print(export_items(read_directory(folder)).decode())


def main() -> None:
    """Run the command line; an error prints one line and exits with status 2."""
    try:
        app()
    except MeshError as fault:
        print(fault, file=sys.stderr)
        sys.exit(2)
