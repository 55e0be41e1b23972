"""The processes of the demo: tiers of backends that call one another through the daemon, and their callers."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from lugspur.standins.backend import Backend, Request, Response
from lugspur.standins.callers import Caller, Outcome, Tally

TIERS = {"edge-api": 3, "channel-core": 3, "inventory-store": 4}  # number of backends of each tier
# Method and repeat policy of each kind of request.
KINDS = {"rate-push": ("PUT", "safe"), "booking-modify": ("PATCH", "unsafe"), "booking-new": ("POST", "unsafe")}
# Part of the load that each kind of request makes up.
SHARES = {"rate-push": 0.39, "booking-modify": 0.34, "booking-new": 0.27}
DEADLINE = 1.0  # seconds after which a caller gives up
SLACK = 0.05  # seconds that a caller allows beyond its deadline for the response to arrive
GRACE = 0.5  # seconds after the start of a drain in which new requests may still arrive
WORK = 0.006  # mean seconds of work in each tier
START_TIMEOUT = 20.0  # seconds that the daemon may take to start


@dataclass(slots=True)
class TierBackend:
    """One backend with its state."""

    tier: str
    backend: Backend
    status: str = "in_service"
    drain_started_at: float = 0.0  # event loop time at which its drain started; 0 if it did not
    late: int = 0  # requests that arrived after the grace period of the drain


class World:
    """Everything that the demo starts. `close` stops it."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder = folder
        self.rng = random.Random(seed)
        self.backends: dict[str, TierBackend] = {}
        self.tally: dict[str, Tally] = {kind: Tally() for kind in KINDS}
        self.sent = self.lost = 0
        self._idle: list[Caller] = []
        self._daemon: asyncio.subprocess.Process | None = None
        self._port = 0

    async def start(self) -> None:
        """Start the backends, write the configuration and the endpoint lists, and start the daemon."""
        for tier, count in TIERS.items():
            for number in range(1, count + 1):
                name = f"{tier}-{number}"
                backend = Backend(name, lambda request, name=name: self._serve(name, request))  # type: ignore[misc]
                await backend.listen()
                self.backends[name] = TierBackend(tier, backend)
            self.write_endpoint_list(tier)
        config_file = self.folder / "demo.toml"
        config_file.write_text(config_text())
        self._daemon = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lugspur", "run", str(config_file), stderr=asyncio.subprocess.PIPE
        )
        assert self._daemon.stderr is not None
        async with asyncio.timeout(START_TIMEOUT):
            line = (await self._daemon.stderr.readline()).decode()
        if " at " not in line:
            raise RuntimeError(f"the daemon did not start: {line.strip()}")
        self._port = int(line.rpartition(":")[2])

    async def close(self) -> None:
        """Stop the daemon, the backends and the callers."""
        if self._daemon is not None:
            with suppress(ProcessLookupError):
                self._daemon.terminate()
            await self._daemon.wait()
        for member in self.backends.values():
            member.backend.kill()
        for caller in self._idle:
            caller.close()

    # ---- changes of backends ---------------------------------------------------------------------

    def write_endpoint_list(self, tier: str) -> None:
        """Replace a tier's endpoint list atomically."""
        entries = [
            {"name": name, "address": member.backend.address, "status": member.status}
            for name, member in self.backends.items()
            if member.tier == tier and member.status != "unlisted"
        ]
        new_file = self.folder / f"{tier}.new"
        new_file.write_text(json.dumps({"endpoints": entries}))
        new_file.rename(self.folder / f"{tier}.json")

    def kill(self, name: str) -> None:
        """Kill a backend without a change of its endpoint list."""
        self.backends[name].backend.kill()
        self.backends[name].status = "killed"

    def unlist_and_drain(self, dead: str, drained: str) -> None:
        """Remove the dead backend from its endpoint list, and start the drain of the other one."""
        self.backends[dead].status = "unlisted"
        self.write_endpoint_list(self.backends[dead].tier)
        member = self.backends[drained]
        member.status, member.drain_started_at = "terminating", asyncio.get_running_loop().time()
        self.write_endpoint_list(member.tier)

    async def _serve(self, name: str, request: Request) -> Response:
        loop = asyncio.get_running_loop()
        started_at, member = loop.time(), self.backends[name]
        if member.drain_started_at and started_at > member.drain_started_at + GRACE:
            member.late += 1
        await asyncio.sleep(self.rng.expovariate(1.0 / WORK))
        tiers = list(TIERS)
        tier_index = tiers.index(member.tier)
        if tier_index + 1 == len(tiers):
            return 200, b"done"
        kind, key = request.target.split("/")[2:4]
        remaining = float(request.headers["x-timeout"]) - (loop.time() - started_at)
        rid = f"{request.headers['x-request-id']}.{tier_index + 1}"
        outcome = await self._send(tiers[tier_index + 1], kind, key, rid, remaining)
        return (200, outcome.body) if outcome.status == 200 else (502, b"the tier below failed")

    # ---- callers ---------------------------------------------------------------------------------

    async def _send(self, tier: str, kind: str, key: str, rid: str, within: float) -> Outcome:
        caller = self._idle.pop() if self._idle else Caller("127.0.0.1", self._port)
        method = KINDS[kind][0]
        request = (
            f"{method} /{tier}/{kind}/{key} HTTP/1.1\r\nHost: demo.local\r\nX-Request-ID: {rid}\r\n"
            f"X-Timeout: {max(within, 0.001):.3f}\r\nContent-Length: 4\r\n\r\nbody"
        ).encode()
        outcome = await caller.ask(request, max(within, 0.001) + SLACK)
        self._idle.append(caller)
        return outcome

    async def call(self) -> None:
        """Send one caller's request, of a kind drawn with the weights SHARES."""
        self.sent += 1
        number = self.sent
        [kind] = self.rng.choices(list(SHARES), list(SHARES.values()))
        outcome = await self._send("edge-api", kind, f"k{number % 50}", f"{kind}-{number}", DEADLINE)
        self.tally[kind].add(outcome)
        self.lost += outcome.status == 0

    # ---- outcomes --------------------------------------------------------------------------------

    def doubled(self) -> int:
        """Return the number of repeated runs of requests that must not run twice, over all backends of a tier."""
        ran = Counter[str]()
        for member in self.backends.values():
            ran.update(member.backend.ran)
        return sum(count - 1 for rid, count in ran.items() if not rid.startswith("rate-push"))

    def late(self) -> int:
        """Return the number of requests that reached a draining backend after the grace period."""
        return sum(member.late for member in self.backends.values())


def config_text() -> str:
    """Return the daemon's configuration: per tier a pool with an endpoint list file, and a route for each kind."""
    text = '[listeners.main]\naddress = "127.0.0.1:0"\n'
    for kind, (_, repeat) in KINDS.items():
        text += f'[classes.{kind}]\naim = "410ms"\ndeadline = "{DEADLINE:g}s"\nrepeat = "{repeat}"\n'
    for tier in TIERS:
        text += f'[pools.{tier}]\nfile = "{tier}.json"\n'
        for kind, (method, _) in KINDS.items():
            text += (
                f'[routes.{tier}-{kind}]\npath = "/{tier}/{kind}/{{key}}"\nmethods = ["{method}"]\n'
                f'pool = "{tier}"\nclass = "{kind}"\n'
            )
    return text
