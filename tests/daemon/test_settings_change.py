"""SIGHUP with other settings, on loopback: open requests keep their classes, invalid files change nothing."""

from __future__ import annotations

import asyncio
import copy
import json
from pathlib import Path
from typing import Any

import pytest
from loopback import HOST, MAY_HAVE_RUN, OK, WIRE, Running, backend, book, entry, read, running, soon, status, until

from lugspur.daemon.service import reload

PART = {"settings": WIRE, "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}}


def reload_with(up: Running, folder: Path, monkeypatch: pytest.MonkeyPatch, wire: Any) -> None:
    """Reload as SIGHUP does, with a file of these settings; `wire` is the settings, or the bytes of the file."""
    raw = {"name": "n0", "listen": f"{HOST}:0", "discovery": f"{HOST}:9", "seed": "1", **PART, "settings": wire}
    path = folder / "config.json"
    path.write_bytes(wire if isinstance(wire, bytes) else json.dumps(raw).encode())
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    reload(up.proxy)


def changed(**rows: dict[str, Any] | None) -> dict[str, Any]:
    """Return the usual settings with other classes: the changed values by class name, None to drop a class."""
    wire = copy.deepcopy(WIRE)
    kept = [
        row | (rows[row["Name"]] or {}) if row["Name"] in rows else row
        for row in wire["Services"]
        if rows.get(row["Name"], {}) is not None
    ]
    for row in WIRE["Services"]:
        rows.pop(row["Name"], None)
    kept += [WIRE["Services"][0] | {"Name": name} | (row or {}) for name, row in rows.items() if row is not None]
    return wire | {"Services": kept}


def test_an_open_request_keeps_its_class_when_that_is_dropped(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, running([entry("s-1", one.address)], wire=PART) as up:
            client = await up.client()
            client.writer.write(book(1))
            await soon(one.got.get())
            reload_with(up, tmp_path, monkeypatch, changed(book=None, new={}))
            up.proxy._policy._changeover_ends_at = 0.0  # the change-over has ended
            other = await up.client()
            assert status(await other.ask(book(2))) == 400
            fresh = await up.client()
            fresh.writer.write(read(3, X_Priority_Class="new"))
            await soon(one.got.get())
            one.open[0].write(MAY_HAVE_RUN)  # still unsafe: no retry, and no 503, which would allow one
            assert status(await client.answer()) == 502
            one.open[1].write(OK)
            assert status(await fresh.answer()) == 200

    asyncio.run(play())


def test_a_class_that_becomes_unsafe_is_not_retried_but_its_open_requests_are(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: None) as two:
            async with running([entry("s-1", one.address)], wire=PART) as up:
                client, other = await up.client(), await up.client()
                client.writer.write(read(1))
                await soon(one.got.get())
                up.tell([entry("s-2", two.address)])
                reload_with(up, tmp_path, monkeypatch, changed(read={"Repeat": "fragile"}))
                one.open[0].write(MAY_HAVE_RUN)
                await soon(two.got.get())  # the retry
                two.open[0].write(OK)
                assert status(await client.answer()) == 200
                other.writer.write(book(2, X_Priority_Class="read"))
                await until(lambda: one.got.qsize() + two.got.qsize() == 1)
                (one if one.got.qsize() else two).open[-1].write(MAY_HAVE_RUN)
                assert status(await other.answer()) == 502
                assert one.got.qsize() + two.got.qsize() == 1

    asyncio.run(play())


def test_a_lower_attempt_limit_does_not_apply_to_open_requests(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: None) as two:
            async with running([entry("s-1", one.address)], wire=PART) as up:
                client = await up.client()
                client.writer.write(read(1))
                await soon(one.got.get())
                up.tell([entry("s-2", two.address)])
                wire = copy.deepcopy(WIRE)
                wire["Bounds"]["MaxAttempts"] = 1
                reload_with(up, tmp_path, monkeypatch, wire)
                one.open[0].write(MAY_HAVE_RUN)
                await soon(two.got.get())
                two.open[0].write(OK)
                assert status(await client.answer()) == 200
                client.writer.write(read(2))
                await until(lambda: one.got.qsize() + two.got.qsize() == 1)
                (one if one.got.qsize() else two).open[-1].write(MAY_HAVE_RUN)
                assert status(await client.answer()) == 503  # safe to retry: rejected, but no second attempt is made

    asyncio.run(play())


INVALID_FILES = [
    b"",
    b"{",
    b"null",
    {},
    changed(read={"HardLimit": 0}),
    changed(read={"HardLimit": -1}),
    changed(book={"Aim": None}),
    changed(book={"Name": "read"}),
    WIRE | {"Bounds": WIRE["Bounds"] | {"MaxAttempts": 0}},
    {key: value for key, value in WIRE.items() if key != "Rules"},
]


@pytest.mark.parametrize("wire", INVALID_FILES, ids=range(len(INVALID_FILES)))
def test_an_invalid_file_changes_nothing_and_logs_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], wire: Any
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address)], wire=PART) as up:
            before = up.proxy.pool.settings
            reload_with(up, tmp_path, monkeypatch, wire)
            output = capsys.readouterr().err
            assert output.startswith("lugspur: reload: ")
            assert output.count("\n") == 1
            assert up.proxy.pool.settings == before
            assert up.proxy.pool.balancer.settings == before
            client = await up.client()
            assert status(await client.ask(read(1))) == 200

    asyncio.run(play())


def test_after_several_signals_the_last_valid_file_is_in_force(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address)], wire=PART) as up:
            for number in range(30):
                reload_with(up, tmp_path, monkeypatch, changed(**{f"c{number}": {}}))
                reload_with(up, tmp_path, monkeypatch, b"")
            client = await up.client()
            assert status(await client.ask(read(1, X_Priority_Class="c29"))) == 200
            up.proxy._policy._changeover_ends_at = -100.0
            up.proxy._end_changeover()
            names = [row.name for row in up.proxy.pool.settings.classes]
            assert len(names) <= len(WIRE["Services"]) + 30 + 1
            assert status(await client.ask(read(2, X_Priority_Class="c29"))) == 200
            assert status(await client.ask(read(3, X_Priority_Class="c28"))) == 400

    asyncio.run(play())
