"""The mesh as processes on loopback: what is promised holds over kills, stops and restarts."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from meshplay import play

from lugspur.bench.mesh import ROOT, Mesh, call
from lugspur.standins.mesh import MeshBackend


def test_an_operation_runs_once_and_a_change_stays_over_the_kill_of_all_replicas(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        one, other = mesh.proxy_ips
        tries = [mesh.ask((one, other)[n % 2], "/book/1", f"t{n}", Lugspur_Operation_Key="k") for n in range(6)]
        statuses = {status for status, _, _ in await asyncio.gather(*tries)}
        assert statuses <= {200, 409, 503}
        first = await mesh.ask(one, "/book/1", "t6", Lugspur_Operation_Key="k")
        mesh.end(mesh.replica_ips[0])
        await mesh.amend({"routes": [mesh.route("late", "safe", "00000002")]}, 1)
        for ip in mesh.replica_ips[1:]:
            mesh.end(ip)
        for ip in mesh.replica_ips:
            mesh.start(ip)
        found = await mesh.read(0)
        assert {route["name"] for route in found["routes"]} == {"look", "book", "late"}
        await mesh.served(other, "/late/1", "l1")
        async with asyncio.timeout(20.0):
            while (again := await mesh.ask(other, "/book/1", "t7", Lugspur_Operation_Key="k"))[0] == 503:
                await asyncio.sleep(0.05)  # until the voters can be reached anew
        assert (again[0], again[2]) == (200, first[2])
        assert sum(len([t for t in backend.ran if t.startswith("t")]) for backend in mesh.backends) == 1
        logs = mesh.log(one) + mesh.log(other)
        assert not [ip for ip in mesh.proxy_ips if f"source={ip}" in logs]  # only replicas tell news

    play(tmp_path, what)


@pytest.mark.parametrize("damaged", [False, True])
def test_a_replica_with_an_empty_disk_or_a_damaged_one_is_a_newcomer_that_catches_up(
    tmp_path: Path, damaged: bool
) -> None:
    async def what(mesh: Mesh) -> None:
        await mesh.ask(mesh.proxy_ips[0], "/book/1", "t0", Lugspur_Operation_Key="k")
        wiped = mesh.replica_ips[0]
        mesh.end(wiped)
        for file in (tmp_path / wiped).rglob("*.mdb"):  # of the configuration and of coordination
            if damaged:
                file.write_bytes(b"\xa5" * file.stat().st_size)
            else:
                file.unlink()
        mesh.start(wiped)
        async with asyncio.timeout(20.0):
            while "event=complete" not in mesh.log(wiped):
                await asyncio.sleep(0.05)
        assert ("event=set-aside" in mesh.log(wiped)) is damaged
        mesh.end(mesh.replica_ips[1])  # now it is needed, and knows what it never heard
        repeat = await mesh.ask(mesh.proxy_ips[1], "/book/1", "t1", Lugspur_Operation_Key="k")
        assert repeat[0] == 200 and b"t0" in repeat[2]
        assert len((await mesh.read(0))["routes"]) == 2

    play(tmp_path, what)


def test_a_spare_replica_takes_the_voter_of_one_that_leaves(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        assert mesh.end(mesh.replica_ips[0], signal.SIGTERM) == 0
        async with asyncio.timeout(20.0):
            while "event=complete" not in mesh.log(mesh.replica_ips[3]):
                await asyncio.sleep(0.05)
        mesh.end(mesh.replica_ips[1])  # of the first three one is left
        await mesh.amend({"routes": [mesh.route("late", "safe", "00000002")]}, 3)
        await mesh.served(mesh.proxy_ips[0], "/late/1", "l1")

    play(tmp_path, what, replicas=4)


def test_a_proxy_that_is_stopped_finishes_what_is_in_flight_and_exits_with_status_0(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        one, other = mesh.proxy_ips
        for ip in mesh.proxy_ips:  # else the one that stays may not know yet whom to send to but itself
            await mesh.until_reached(ip, 2)
        for backend in mesh.backends:
            backend.work = 1.0
        open_ = [asyncio.create_task(mesh.ask(ip, "/look/1", f"o{n}")) for n, ip in enumerate([one, other] * 4)]
        while sum(len(backend.ran) for backend in mesh.backends) < 9:
            await asyncio.sleep(0.01)
        process = mesh.processes.pop(one)
        process.send_signal(signal.SIGTERM)
        await mesh.until(one, mesh.ready, "/readiness", 503)
        late = await mesh.ask(one, "/look/1", "late")  # its callers hear of it later
        assert late[0] == 200
        assert [status for status, _, _ in await asyncio.gather(*open_)] == [200] * 8
        assert await asyncio.to_thread(process.wait, 20.0) == 0
        assert "flights=0 busy=0" in mesh.log(one)
        mesh.start(one)
        await mesh.until(one, mesh.ready, "/readiness", 200)

    play(tmp_path, what)


def test_a_backend_that_closes_gets_nothing_new(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        closing = mesh.backends[0]
        closing.state = "closing"
        await closing.send_heartbeat()
        await asyncio.sleep(0.6)  # what the limiter still accepts while news gets round
        ran = len(closing.ran)
        for n in range(10):
            await mesh.served(mesh.proxy_ips[n % 2], "/look/1", f"c{n}")
        assert len(closing.ran) == ran and len(mesh.backends[1].ran) >= 10

    play(tmp_path, what)


def test_a_late_heartbeat_after_a_kill_of_the_proxy_does_not_undo_a_sign_off(tmp_path: Path) -> None:
    """Guards against requests that reach a backend long after its sign-off was acknowledged (review/6)."""

    async def what(mesh: Mesh) -> None:
        (one, other), (leaving, staying) = mesh.proxy_ips, mesh.backends
        await mesh.until_reached(one, 2)
        leaving.stop_heartbeats()
        assert await leaving.sign_off()
        mesh.end(one)
        mesh.end(mesh.replica_ips[0])  # it may be the one that the proxy followed
        mesh.start(one)
        await mesh.until(one, mesh.ready, "/readiness", 200)
        ran = len(leaving.ran)
        await leaving.send_heartbeat()  # late: it was sent before the sign-off
        deadline = asyncio.get_running_loop().time() + 1.5
        count = 0
        while asyncio.get_running_loop().time() < deadline:
            count += 1
            await mesh.served((one, other)[count % 2], "/look/1", f"l{count}")
            await asyncio.sleep(0.01)
        assert len(leaving.ran) == ran and len(staying.ran) >= count > 10

    play(tmp_path, what)


def test_large_bodies_cross_a_slow_link_in_parts_and_arrive_whole(tmp_path: Path) -> None:
    async def what(mesh: Mesh) -> None:
        one = mesh.proxy_ips[0]  # the service's only backend is beside the other
        await mesh.amend({"routes": [mesh.route("upload", "upload", service="desk")]})
        await mesh.served(one, "/upload/1", "first")
        bodies = [os.urandom(100_000 + n) for n in range(6)]
        answers = await asyncio.gather(*(mesh.ask(one, "/upload/1", f"u{n}", body) for n, body in enumerate(bodies)))
        taken = [n for n, (status, _, _) in enumerate(answers) if status == 200]
        assert taken and {status for status, _, _ in answers} <= {200, 503}
        for n in taken:
            assert f"{len(bodies[n])} bytes, {hashlib.sha256(bodies[n]).hexdigest()}".encode() in answers[n][2]
        ran = mesh.backends[1].ran
        assert sorted(ran) == sorted(["first", *(f"u{n}" for n in taken)])  # 503: it has not run

    play(tmp_path, what, services=("rooms", "desk"))


def test_a_few_large_uploads_at_once_are_served_within_the_memory_of_the_proxies(tmp_path: Path) -> None:
    """Guards against proxies that are killed for the memory of uploads inside the limits (review/7 and review/8)."""

    class Fast(Mesh):
        """Links on which six uploads at once are in time."""

        def tables(self, ip: str) -> dict[str, dict[str, Any]]:
            tables = super().tables(ip)
            tables["self.limits"]["link_mbps"] = 1000
            return tables

        def peak_mb(self, ip: str) -> int:
            lines = Path(f"/proc/{self.processes[ip].pid}/status").read_text().splitlines()
            return next(int(line.split()[1]) >> 10 for line in lines if line.startswith("VmHWM:"))

    async def run() -> None:
        mesh = Fast(tmp_path, 3, ("rooms", "desk"))
        try:
            async with asyncio.timeout(60.0):
                await mesh.begin()
                upload = mesh.route("upload", "upload", service="desk", deadline_ms=20_000, target_ms=20_000)
                await mesh.amend({"routes": [upload]})
                one, other = mesh.proxy_ips  # the service's only backend is beside the other
                await mesh.served(one, "/upload/1", "first")
                body = os.urandom(1 << 20) * 24
                deadline = {"Lugspur_Deliver_By_Ms": "20000"}
                asked = [mesh.ask(one, "/upload/1", f"u{n}", body, **deadline) for n in range(6)]
                answers = await asyncio.gather(*asked)
                assert [status for status, _, _ in answers] == [200] * 6
                digest = hashlib.sha256(body).hexdigest().encode()
                assert all(digest in answer for _, _, answer in answers)
                limit_mb = mesh.tables(one)["self.limits"]["memory_mb"]
                assert max(mesh.peak_mb(one), mesh.peak_mb(other)) < limit_mb
        finally:
            await mesh.close()

    asyncio.run(run())


def test_a_bad_settings_file_is_one_line_and_exit_status_2(tmp_path: Path) -> None:
    path = tmp_path / "bad.toml"
    path.write_text("[self]\nip = 7\n")
    ended = subprocess.run(
        [sys.executable, "-m", "lugspur.mesh", "serve"],
        cwd=ROOT,
        capture_output=True,
        check=False,
        env=os.environ | {"LUGSPUR_NODE_FILE": str(path)},
        timeout=30,
    )
    assert ended.returncode == 2 and len(ended.stderr.splitlines()) == 1 and b"event=settings" in ended.stderr


def test_a_proxy_that_is_stopped_answers_what_it_can_not_finish(tmp_path: Path) -> None:
    class Short(Mesh):
        """Processes have little time to end, and a backend has long work."""

        def tables(self, ip: str) -> dict[str, dict[str, Any]]:
            return super().tables(ip) | {"tariffs.bounds": {"grace_s": 1.5}}

        def new_backend(self, service: str, address: str, dispatch: str, zone: str) -> MeshBackend:
            return MeshBackend(service, address, dispatch, zone, work=0.0 if not self.backends else 30.0)

    async def run() -> None:
        mesh = Short(tmp_path, 3, ("rooms", "halls"))
        try:
            async with asyncio.timeout(60.0):
                await mesh.begin()
                await mesh.amend({"routes": [mesh.route("slow", "unsafe", "00000002", service="halls")]})
                await mesh.until_reached(mesh.proxy_ips[0], 2, 3)  # an order is acknowledged before all go by it
                asked = asyncio.create_task(mesh.ask(mesh.proxy_ips[0], "/slow/1", "s1", b"x"))
                while not any("s1" in backend.ran for backend in mesh.backends):
                    assert not asked.done(), asked.result()
                    await asyncio.sleep(0.01)
                mesh.processes[mesh.proxy_ips[0]].send_signal(signal.SIGTERM)
                status, _, body = await asked
                assert (status, body) == (502, b"maybe-ran\n")
        finally:
            await mesh.close()

    asyncio.run(run())


def test_a_control_node_that_stops_answers_the_operators_who_wait(tmp_path: Path) -> None:
    """No majority is left, so that the order waits for its whole time; nobody could take the vote, so that it ends."""

    async def what(mesh: Mesh) -> None:
        stays, *others = mesh.replica_ips
        for ip in others:
            mesh.end(ip)
        body = json.dumps({"upsert": {"routes": [mesh.route("late", "safe", "00000002")]}}).encode()
        address = f"{stays}:{mesh.dispatch}"
        while True:
            asked = asyncio.create_task(call(address, "POST", "/config/amend", body))
            while not asked.done():
                _, _, figures = await call(address, "GET", "/metrics")
                if b"lugspur_operator_calls_open 1.0" in figures:
                    break
            if not asked.done():
                break
        mesh.processes[stays].send_signal(signal.SIGTERM)
        status, _, answer = await asked
        assert status in (503, 504) and json.loads(answer)["error"] in ("no-quorum", "unclear")
        assert await asyncio.to_thread(mesh.processes[stays].wait, 20.0) == 0

    play(tmp_path, what)


def test_a_reload_that_is_asked_for_while_a_process_starts_is_carried_out(tmp_path: Path) -> None:
    """The settings file is a pipe at first, so that the start waits until it has been written."""

    async def run() -> None:
        mesh = Mesh(tmp_path, 1, ())
        (ip,) = mesh.replica_ips
        path = tmp_path / "settings.toml"
        os.mkfifo(path)
        (tmp_path / ip).mkdir()
        with (tmp_path / "process.log").open("wb") as log:
            command = [sys.executable, "-m", "lugspur.mesh", "serve"]
            environ = os.environ | {"LUGSPUR_NODE_FILE": str(path)}
            mesh.processes[ip] = process = subprocess.Popen(command, cwd=ROOT, stderr=log, env=environ)
        try:
            async with asyncio.timeout(30.0):
                with await asyncio.to_thread(path.open, "w") as pipe:  # once the process reads it
                    process.send_signal(signal.SIGHUP)
                    (tmp_path / "next.toml").write_text(mesh.settings(ip))
                    (tmp_path / "next.toml").rename(path)
                    pipe.write(mesh.settings(ip))
                await mesh.until(ip, mesh.dispatch, "/mesh/status", 200)
                while "event=settings" not in (tmp_path / "process.log").read_text():
                    assert process.poll() is None
                    await asyncio.sleep(0.02)
        finally:
            await mesh.close()

    asyncio.run(run())
