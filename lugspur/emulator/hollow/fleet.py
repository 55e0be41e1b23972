"""Drives a hollow fleet: control processes, rack processes, hollow backends, and one real proxy among them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from lugspur.bench.mesh import call
from lugspur.emulator.hollow.backends import BackendSettings, FleetSettings
from lugspur.emulator.hollow.commands import ClaimAt, Collect, Collected, Command, RackSettings
from lugspur.emulator.hollow.layout import APP, DISPATCH, HEARTBEAT_S, Layout, configuration, route

ROOT = Path(__file__).parents[3]
RACK = 40  # proxies of one process, which fail together
POLL_S = 0.1
READY_WITHIN_S = 180.0  # on a loaded machine too
ANSWER_MOST = 64 << 20  # bytes of one answer of a rack process
VARIABLE = "LUGSPUR_NODE_FILE"

Process = asyncio.subprocess.Process


class RackProcess:
    """One rack process and the proxies in it."""

    def __init__(self, process: Process, indexes: Sequence[int]) -> None:
        self.process, self.indexes = process, indexes
        self._asking = asyncio.Lock()

    async def collect(self, keep: bool = False) -> Collected:
        """What has happened there since the last time; `keep`: to be told again."""
        async with self._asking:
            await self._send(Collect(keep))
            assert self.process.stdout is not None
            return msgspec.json.decode(await self.process.stdout.readline(), type=Collected)

    async def claim_at(self, per_second: float) -> None:
        """Have its proxies claim operation keys."""
        await self._send(ClaimAt(per_second))

    async def _send(self, command: Command) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(msgspec.json.encode(command) + b"\n")
        await self.process.stdin.drain()


class HollowFleet:
    """So many control machines and proxies; the proxy with index 0 is a real process, the last is alone in its rack."""

    def __init__(self, folder: Path, control: int, proxies: int) -> None:
        self.layout = Layout.here(folder)
        self.proxies = proxies
        self.seeds = [self.layout.control_ip(n) for n in range(min(3, control))]
        self.control: dict[int, Process] = {}
        self.racks: list[RackProcess] = []
        self.reals: list[Process] = []  # of `start_real`
        self.spared: list[Sequence[int]] = []  # indexes of killed racks
        self._control_count = control
        self._edition = 1
        self._ended: list[Process] = []

    # ---- processes -----------------------------------------------------------------------

    async def start(self) -> None:
        """Start all, and return when every proxy is ready and knows every backend."""
        await self._start_all_control(configuration())
        self.backends = await self._start_backends()
        self.real = await self._spawn("lugspur.mesh", "serve", settings=self.layout.write_proxy(0, self.seeds))
        last = self.proxies - 1
        for first in range(1, last, RACK):
            await self.start_rack(range(first, min(first + RACK, last)))
        await self.start_rack(range(last, last + 1))
        await self.until_complete()

    async def start_real(self, first: dict[str, Any]) -> None:
        """Start all proxies as real processes, without backends, under this first configuration."""
        await self._start_all_control(first)
        for index in range(self.proxies):
            path = self.layout.write_proxy(index, self.seeds)
            self.reals.append(await self._spawn("lugspur.mesh", "serve", settings=path))

    async def start_profiled(self, first: dict[str, Any]) -> list[Path]:
        """The same under a profile (see profiled.py); returns the files that will have the times."""
        await self._start_all_control(first)
        files = []
        for index in range(self.proxies):
            path = self.layout.write_proxy(index, self.seeds)
            files.append(path.with_suffix(".json"))
            process = await self._spawn("lugspur.emulator.hollow.profiled", str(files[-1]), settings=path)
            self.reals.append(process)
        return files

    async def _start_all_control(self, first: dict[str, Any]) -> None:
        for index in range(self._control_count):
            await self.start_control(index, first_start=True)
        await self.amend(first)

    async def start_control(self, index: int, first_start: bool = False) -> None:
        """Start a control machine's process and return once it answers."""
        path = self.layout.write_control(index, self.seeds, first_start)
        self.control[index] = await self._spawn("lugspur.mesh", "serve", settings=path)
        await self._until(lambda: self.status(index), lambda found: found is not None)

    async def start_rack(self, indexes: Sequence[int]) -> RackProcess:
        """Start the proxies with these indexes in one process."""
        paths = [str(self.layout.write_proxy(index, self.seeds)) for index in indexes]
        file = self.layout.folder / f"rack-{indexes[0]}.json"
        file.write_bytes(msgspec.json.encode(RackSettings(paths, [self.layout.proxy_ip(0)])))
        process = await self._spawn("lugspur.emulator.hollow.rack", str(file))
        rack = RackProcess(process, indexes)
        self.racks.append(rack)
        return rack

    async def kill_rack(self, rack: RackProcess) -> None:
        """Kill all proxies of a rack at once."""
        self.racks.remove(rack)
        self.spared.append(rack.indexes)
        await self._kill(rack.process)

    async def kill_control(self, index: int) -> None:
        """Kill a control machine's process; its disk stays."""
        await self._kill(self.control.pop(index))

    async def stop_control(self, index: int) -> None:
        """End a control machine's process in order, as its platform does."""
        process = self.control.pop(index)
        process.terminate()
        await process.wait()

    async def exchange_control(self, former: int, fresh: int) -> None:
        """Put a new control machine in the place of another one, and in its place among the seeds of all."""
        await self.start_control(fresh)
        self.seeds = [
            self.layout.control_ip(fresh) if ip == self.layout.control_ip(former) else ip for ip in self.seeds
        ]
        for index in range(self.proxies):
            self.layout.write_proxy(index, self.seeds)
        for index in self.control:
            self.layout.write_control(index, self.seeds, False)
        await self.stop_control(former)
        await self._until(self.statuses, lambda found: self._is_exchanged(found, former))
        await self.until_settled()

    def _is_exchanged(self, found: dict[str, dict[str, Any]], former: int) -> bool:
        return all(self.layout.control_ip(former) not in one["voters"] for one in found.values())

    async def _kill(self, process: Process) -> None:
        process.send_signal(signal.SIGKILL)
        await process.wait()

    async def _start_backends(self) -> Process:
        backends = [
            BackendSettings(
                self.layout.service(index),
                self.layout.proxy_zone(index),
                f"{self.layout.proxy_ip(index)}:{APP}",
                f"{self.layout.proxy_ip(index)}:{DISPATCH}",
            )
            for index in range(self.proxies)
        ]
        file = self.layout.folder / "backends.json"
        file.write_bytes(msgspec.json.encode(FleetSettings(HEARTBEAT_S, backends)))
        return await self._spawn("lugspur.emulator.hollow.backends", str(file))

    async def _spawn(self, module: str, argument: str, settings: Path | None = None) -> Process:
        told = {} if settings is None else {VARIABLE: str(settings)}
        name = (settings or Path(argument)).stem
        with (self.layout.folder / f"{name}.log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                argument,
                cwd=ROOT,
                env=os.environ | told,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=ANSWER_MOST,
            )
        self._ended.append(process)
        return process

    async def close(self) -> None:
        """End all processes that this fleet started."""
        for process in self._ended:
            with suppress(ProcessLookupError):
                process.kill()
        for process in self._ended:
            await process.wait()

    # ---- state ---------------------------------------------------------------------------

    async def collect(self) -> list[Collected]:
        """What has happened in each rack since the last time."""
        return list(await asyncio.gather(*(rack.collect() for rack in self.racks)))

    async def look(self) -> list[Collected]:
        """The state of each rack; what has happened is kept for the next `collect`."""
        return list(await asyncio.gather(*(rack.collect(keep=True) for rack in self.racks)))

    async def claim_at(self, per_second: float) -> None:
        """Have all hollow proxies together claim operation keys at this rate."""
        proxies = sum(len(rack.indexes) for rack in self.racks)
        for rack in self.racks:
            await rack.claim_at(per_second * len(rack.indexes) / proxies)

    async def status(self, index: int) -> dict[str, Any] | None:
        """What a control machine says of itself, or None where it does not answer."""
        with suppress(OSError, IndexError, ValueError):
            status, _, body = await call(f"{self.layout.control_ip(index)}:{DISPATCH}", "GET", "/mesh/status")
            if status == 200:
                found: dict[str, Any] = json.loads(body)
                return found
        return None

    async def until_complete(self, backends: int | None = None) -> None:
        """Return when every hollow proxy is ready and knows exactly so many backends."""
        wanted = self.proxies if backends is None else backends

        def complete(found: list[Collected]) -> bool:
            return all(one.ready == one.proxies and one.fewest_backends == one.most_backends == wanted for one in found)

        await self._until(self.look, complete)

    async def statuses(self) -> dict[str, dict[str, Any]]:
        """What each control machine that answers says of itself, by its address."""
        found = {self.layout.control_ip(index): await self.status(index) for index in sorted(self.control)}
        return {ip: one for ip, one in found.items() if one is not None}

    async def until_settled(self, above_epoch: int = 0) -> None:
        """Return when a membership after that epoch has all its voters, each of which has all and hears a majority."""

        def is_settled(found: dict[str, dict[str, Any]]) -> bool:
            newest = max(found.values(), key=lambda one: int(one["epoch"]))
            voters = [found.get(ip) for ip in newest["voters"]]
            return (
                newest["epoch"] > above_epoch
                and len(voters) >= newest["voters_wanted"]
                and all(one is not None and _votes(one, newest["epoch"]) for one in voters)
            )

        await self._until(self.statuses, is_settled, 0.02)

    async def until_followed(self, ip: str, age_s: float) -> None:
        """Return when no hollow proxy follows that address any more and the news of all is younger than this."""

        def followed(found: list[Collected]) -> bool:
            return all(ip not in one.sources and one.oldest_news_s < age_s for one in found)

        await self._until(self.look, followed)

    async def _until(self, look: Callable[[], Any], is_right: Callable[[Any], bool], every: float = POLL_S) -> None:
        async with asyncio.timeout(READY_WITHIN_S):
            while not is_right(await look()):
                await asyncio.sleep(every)

    # ---- changes -------------------------------------------------------------------------

    async def amend(self, upsert: dict[str, Any], control: int | None = None) -> None:
        """Change the configuration, again and at other machines until that is confirmed."""
        body = json.dumps({"upsert": upsert}).encode()
        indexes = [control] if control is not None else list(self.control)
        async with asyncio.timeout(READY_WITHIN_S):
            for attempt in range(1_000_000):
                ip = self.layout.control_ip(indexes[(self._edition + attempt) % len(indexes)])
                with suppress(OSError, IndexError, ValueError, TimeoutError):
                    async with asyncio.timeout(4.0):
                        status, _, _ = await call(f"{ip}:{DISPATCH}", "POST", "/config/amend", body)
                    if status == 200:
                        return
                await asyncio.sleep(POLL_S)

    async def change(self) -> tuple[int, float, float]:
        """Change one route; its edition, and when that was sent and confirmed."""
        self._edition += 1
        edition = self._edition
        sent = time.monotonic()
        await self.amend({"routes": [route(edition % 54, edition)]})
        return edition, sent, time.monotonic()


def _votes(status: dict[str, Any], epoch: int) -> bool:
    return bool(status["epoch"] == epoch and status["voter"] and status["complete"] and status["age_s"] < 1.0)
