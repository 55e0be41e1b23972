"""The operators' command line."""

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

CALL_TIMEOUT_SECONDS = 10.0  # seconds for one call
app = cyclopts.App(name="python -m lugspur.mesh", help="The mesh: proxies carry requests, replicas keep the state.")


replica = cyclopts.App(name="replica", help="The folder of a replica that does not run; nothing is written.")
app.command(replica)


def call(address: str, method: str, path: str, body: bytes | None = None) -> bytes:
    """One call at a `dispatch` address; raises MeshError where it can't be made or is not taken."""
    try:
        host, port = read_address(address)
        connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_SECONDS)
        connection.request(method, path, body, {"Content-Type": "application/json"} if body is not None else {})
        answer = connection.getresponse()
        found = answer.read()
    except (OSError, ValueError, http.client.HTTPException) as fault:
        raise MeshError(ErrorKind.NOT_READY, f"{address}: {fault}") from None
    if answer.status != 200:
        raise MeshError(ErrorKind.BAD_REQUEST, f"{address}: {answer.status} {found.decode('utf-8', 'replace').strip()}")
    return found


@app.command
def check(path: Path) -> None:
    """Check a settings file; one line of what is wrong, and exit status 2, where it can't be used."""
    settings = load_settings(path)
    print(f"{settings.own.node_name}: {'replica' if settings.keeps else 'proxy'} in {settings.own.zone}")


@app.command
def serve() -> None:
    """Run a process of the mesh by the settings file that LUGSPUR_NODE_FILE names."""
    from lugspur.mesh.program import serve as run

    sys.exit(run())


@app.command
def show(address: str, *, as_json: bool = False, watch: float = 0.0) -> None:
    """What a process knows and goes by; it needs no majority. `watch`: again every so many seconds."""
    while True:
        found = call(address, "GET", "/mesh/status")
        print(found.decode() if as_json else "\n".join(lines(json.loads(found))), flush=True)
        if watch <= 0.0:
            return
        time.sleep(watch)


def lines(found: dict[str, Any]) -> list[str]:
    """A status as people read it: one line for each fact, one for each of many."""
    told = []
    for key, value in found.items():
        if isinstance(value, dict) and value and all(isinstance(v, dict) for v in value.values()):
            told += [f"{key} {name}: {_pairs(row)}" for name, row in value.items()]
        elif isinstance(value, list) and value and isinstance(value[0], dict):
            told += [f"{key}: {_pairs(row)}" for row in value]
        elif isinstance(value, dict):
            told.append(f"{key}: {_pairs(value)}")
        else:
            told.append(f"{key}: {' '.join(value) if isinstance(value, list) else value}")
    return told


def _pairs(row: dict[str, Any]) -> str:
    return " ".join(f"{key}={value}" for key, value in row.items())


@app.command
def failures(address: str, *, as_json: bool = False) -> None:
    """The latest requests that failed at a proxy: by what they were judged, where they went, what came back and why."""
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
    """A process's figures, as Prometheus reads them."""
    print(call(address, "GET", "/metrics").decode(), end="")


@app.command
def read(address: str) -> None:
    """The newest configuration, as a majority of the voters has it."""
    print(call(address, "GET", "/config/read").decode())


@app.command
def amend(address: str, path: Path) -> None:
    """Change the configuration by a file with `upsert` and `withdraw`; it is kept once this command ends well."""
    try:
        body = path.read_bytes()
    except OSError as fault:
        raise MeshError(ErrorKind.BAD_REQUEST, f"{path}: {fault.strerror}") from None
    call(address, "POST", "/config/amend", body)
    print("taken, and on the disks of a majority")


@replica.command(name="check")
def replica_check(folder: Path) -> None:
    """Whether a replica could start with this `data_dir`; a line for each fault, and exit status 2 for any."""
    found = read_directory(folder)
    if found.faults:
        raise MeshError(ErrorKind.STATE, "; ".join(found.faults))
    print(f"{folder}: {found.size} bytes, no fault")


@replica.command(name="show")
def replica_show(folder: Path, *, as_json: bool = False) -> None:
    """What is in a `data_dir`: its name, membership, items by kind, claims."""
    found = summarize(read_directory(folder))
    print(json.dumps(found) if as_json else "\n".join(lines(found)))


@replica.command(name="export")
def replica_export(folder: Path) -> None:
    """All items that stand in a `data_dir`, as a file for `amend`."""
    print(export_items(read_directory(folder)).decode())


def main() -> None:
    """Run the command line; what goes wrong is one line, and exit status 2."""
    try:
        app()
    except MeshError as fault:
        print(fault, file=sys.stderr)
        sys.exit(2)
