"""The demo's world: tiers of backends that call one another through the daemon, and callers before them."""

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

TIERS = {"edge-api": 3, "channel-core": 3, "inventory-store": 4}  # backends of each
KINDS = {"rate-push": ("PUT", "safe"), "booking-modify": ("PATCH", "unsafe"), "booking-new": ("POST", "unsafe")}
SHARES = {"rate-push": 0.39, "booking-modify": 0.34, "booking-new": 0.27}
DEADLINE = 1.0  # seconds after which a caller gives up
SLACK = 0.05  # seconds that an answer may take to come back
GRACE = 0.5  # seconds after a drain in which something new may still come
WORK = 0.006  # seconds of work in each tier, on average
READY = 20.0  # seconds that the daemon may take to start


@dataclass(slots=True)
class Box:
    """One backend and what has happened to it."""

    tier: str
    backend: Backend
    status: str = "in_service"
    told: float = 0.0  # the loop's time at which it was told to drain
    late: int = 0  # requests that began later than the grace after that


class World:
    """Everything that the demo starts; `close` ends it all."""

    def __init__(self, folder: Path, seed: int) -> None:
        self.folder = folder
        self.rng = random.Random(seed)
        self.boxes: dict[str, Box] = {}
        self.tally: dict[str, Tally] = {kind: Tally() for kind in KINDS}
        self.sent = self.lost = 0
        self._idle: list[Caller] = []
        self._daemon: asyncio.subprocess.Process | None = None
        self._port = 0

    async def start(self) -> None:
        """Start the backends, write the file and start the daemon."""
        for tier, count in TIERS.items():
            for number in range(1, count + 1):
                name = f"{tier}-{number}"
                backend = Backend(name, lambda asked, name=name: self._work(name, asked))  # type: ignore[misc]
                await backend.listen()
                self.boxes[name] = Box(tier, backend)
            self.tell(tier)
        file = self.folder / "demo.toml"
        file.write_text(demo_file())
        self._daemon = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "lugspur", "run", str(file), stderr=asyncio.subprocess.PIPE
        )
        assert self._daemon.stderr is not None
        async with asyncio.timeout(READY):
            line = (await self._daemon.stderr.readline()).decode()
        if " at " not in line:
            raise RuntimeError(f"the daemon did not start: {line.strip()}")
        self._port = int(line.rpartition(":")[2])

    async def close(self) -> None:
        """End what was started here."""
        if self._daemon is not None:
            with suppress(ProcessLookupError):
                self._daemon.terminate()
            await self._daemon.wait()
        for box in self.boxes.values():
            box.backend.kill()
        for caller in self._idle:
            caller.close()

    # ---- what happens to backends ----------------------------------------------------------------

    def tell(self, tier: str) -> None:
        """Write a tier's list anew, in one step."""
        entries = [
            {"name": name, "address": box.backend.address, "status": box.status}
            for name, box in self.boxes.items()
            if box.tier == tier and box.status != "unlisted"
        ]
        fresh = self.folder / f"{tier}.new"
        fresh.write_text(json.dumps({"endpoints": entries}))
        fresh.rename(self.folder / f"{tier}.json")

    def kill(self, name: str) -> None:
        """It dies without a word; the list goes on naming it."""
        self.boxes[name].backend.kill()
        self.boxes[name].status = "killed"

    def notice(self, dead: str, drained: str) -> None:
        """The lists name the dead one no more, and tell the other to finish what it has."""
        self.boxes[dead].status = "unlisted"
        self.tell(self.boxes[dead].tier)
        box = self.boxes[drained]
        box.status, box.told = "terminating", asyncio.get_running_loop().time()
        self.tell(box.tier)

    async def _work(self, name: str, asked: Request) -> Response:
        loop = asyncio.get_running_loop()
        begun, box = loop.time(), self.boxes[name]
        if box.told and begun > box.told + GRACE:
            box.late += 1
        await asyncio.sleep(self.rng.expovariate(1.0 / WORK))
        tiers = list(TIERS)
        place = tiers.index(box.tier)
        if place + 1 == len(tiers):
            return 200, b"done"
        kind, key = asked.target.split("/")[2:4]
        left = float(asked.headers["x-timeout"]) - (loop.time() - begun)
        rid = f"{asked.headers['x-request-id']}.{place + 1}"
        outcome = await self._ask(tiers[place + 1], kind, key, rid, left)
        return (200, outcome.body) if outcome.status == 200 else (502, b"the tier below failed")

    # ---- callers ---------------------------------------------------------------------------------

    async def _ask(self, tier: str, kind: str, key: str, rid: str, within: float) -> Outcome:
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
        """One caller's request, of a kind drawn by its share."""
        self.sent += 1
        number = self.sent
        [kind] = self.rng.choices(list(SHARES), list(SHARES.values()))
        outcome = await self._ask("edge-api", kind, f"k{number % 50}", f"{kind}-{number}", DEADLINE)
        self.tally[kind].add(outcome)
        self.lost += outcome.status == 0

    # ---- what became of it -----------------------------------------------------------------------

    def doubled(self) -> int:
        """Runs of what must never run twice, beyond the first, over all backends of a tier."""
        ran = Counter[str]()
        for box in self.boxes.values():
            ran.update(box.backend.ran)
        return sum(count - 1 for rid, count in ran.items() if not rid.startswith("rate-push"))

    def late(self) -> int:
        """Requests that began at a draining backend after the grace."""
        return sum(box.late for box in self.boxes.values())


def demo_file() -> str:
    """The daemon's file: a pool for each tier, with its list in a file beside it, and a route for each kind."""
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
