"""SIGHUP with other settings, on loopback: what is open keeps its class, broken files change nothing."""

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


def told(up: Running, folder: Path, monkeypatch: pytest.MonkeyPatch, wire: Any) -> None:
    """The signal, with this file; `wire` is its settings, or the file's bytes."""
    raw = {"name": "n0", "listen": f"{HOST}:0", "discovery": f"{HOST}:9", "seed": "1", **PART, "settings": wire}
    path = folder / "config.json"
    path.write_bytes(wire if isinstance(wire, bytes) else json.dumps(raw).encode())
    monkeypatch.setenv("RELAY_CONFIG", str(path))
    reload(up.proxy)


def changed(**rows: dict[str, Any] | None) -> dict[str, Any]:
    """The usual settings with other classes: by name what is other in them, None to drop one."""
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
            told(up, tmp_path, monkeypatch, changed(book=None, new={}))
            up.proxy._policy._changeover_ends_at = 0.0  # the change-over has passed
            other = await up.client()
            assert status(await other.ask(book(2))) == 400
            fresh = await up.client()
            fresh.writer.write(read(3, X_Priority_Class="new"))
            await soon(one.got.get())
            one.open[0].write(MAY_HAVE_RUN)  # unsafe still: no repeat, and no promise
            assert status(await client.answer()) == 502
            one.open[1].write(OK)
            assert status(await fresh.answer()) == 200

    asyncio.run(play())


def test_safe_that_becomes_unsafe_is_not_repeated_and_what_is_open_still_is(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: None) as two:
            async with running([entry("s-1", one.address)], wire=PART) as up:
                client, other = await up.client(), await up.client()
                client.writer.write(read(1))
                await soon(one.got.get())
                up.tell([entry("s-2", two.address)])
                told(up, tmp_path, monkeypatch, changed(read={"Repeat": "fragile"}))
                one.open[0].write(MAY_HAVE_RUN)
                await soon(two.got.get())  # its repeat
                two.open[0].write(OK)
                assert status(await client.answer()) == 200
                other.writer.write(book(2, X_Priority_Class="read"))
                await until(lambda: one.got.qsize() + two.got.qsize() == 1)
                (one if one.got.qsize() else two).open[-1].write(MAY_HAVE_RUN)
                assert status(await other.answer()) == 502
                assert one.got.qsize() + two.got.qsize() == 1

    asyncio.run(play())


def test_fewer_attempts_than_already_made_end_nothing_and_open_requests_keep_theirs(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def play() -> None:
        async with backend(lambda _: None) as one, backend(lambda _: None) as two:
            async with running([entry("s-1", one.address)], wire=PART) as up:
                client = await up.client()
                client.writer.write(read(1))
                await soon(one.got.get())
                up.tell([entry("s-2", two.address)])
                wire = copy.deepcopy(WIRE)
                wire["Bounds"]["MaxAttempts"] = 1
                told(up, tmp_path, monkeypatch, wire)
                one.open[0].write(MAY_HAVE_RUN)
                await soon(two.got.get())
                two.open[0].write(OK)
                assert status(await client.answer()) == 200
                client.writer.write(read(2))
                await until(lambda: one.got.qsize() + two.got.qsize() == 1)
                (one if one.got.qsize() else two).open[-1].write(MAY_HAVE_RUN)
                assert status(await client.answer()) == 503  # safe to repeat: refused, and not tried again

    asyncio.run(play())


BROKEN = [
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


@pytest.mark.parametrize("wire", BROKEN, ids=range(len(BROKEN)))
def test_a_broken_file_changes_nothing_and_says_so_in_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str], wire: Any
) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address)], wire=PART) as up:
            before = up.proxy.pool.settings
            told(up, tmp_path, monkeypatch, wire)
            said = capsys.readouterr().err
            assert said.startswith("lugspur: reload: ")
            assert said.count("\n") == 1
            assert up.proxy.pool.settings == before
            assert up.proxy.pool.balancer.settings == before
            client = await up.client()
            assert status(await client.ask(read(1))) == 200

    asyncio.run(play())


def test_signals_in_a_row_end_with_the_last_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def play() -> None:
        async with backend(lambda _: OK) as one, running([entry("s-1", one.address)], wire=PART) as up:
            for number in range(30):
                told(up, tmp_path, monkeypatch, changed(**{f"c{number}": {}}))
                told(up, tmp_path, monkeypatch, b"")
            client = await up.client()
            assert status(await client.ask(read(1, X_Priority_Class="c29"))) == 200
            up.proxy._policy._changeover_ends_at = -100.0
            up.proxy._end_changeover()
            names = [row.name for row in up.proxy.pool.settings.classes]
            assert len(names) <= len(WIRE["Services"]) + 30 + 1
            assert status(await client.ask(read(2, X_Priority_Class="c29"))) == 200
            assert status(await client.ask(read(3, X_Priority_Class="c28"))) == 400

    asyncio.run(play())
