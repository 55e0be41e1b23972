"""Telling a registry that a box is there: what its node says, whether the box is well, and when it began."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from urllib.parse import urlsplit

import orjson

from lugspur.discovery.registry import Registry
from lugspur.zookeeper.registration import Registration
from lugspur.zookeeper.session import Event

FALL = 3  # failed checks in a row after which a box is taken for ill
AGAIN = 5.0  # seconds before a request that was forbidden is tried again
LEAVE_WITHIN = 2.0  # seconds that deleting the node may take at the end; the session's end deletes it too
HEAD_MOST = 4096  # bytes of a health answer that are waited for: its status line is in the first few


@dataclass(frozen=True, slots=True)
class Box:
    """What is told of a box, in the platform's words."""

    name: str
    address: str
    zone: str = ""
    cell: int = 0
    weight: float = 1.0

    def data(self, since_ms: int) -> bytes:
        """The data of its node, in our own format."""
        return orjson.dumps(
            {
                "name": self.name,
                "address": self.address,
                "status": "in_service",
                "zone": self.zone,
                "group": self.cell,
                "weight": self.weight,
                "since_ms": since_ms,
            }
        )

    def same(self, data: bytes) -> bool:
        """Whether a node is this box's own: only one process can listen at an address."""
        try:
            found = orjson.loads(data)
        except orjson.JSONDecodeError:
            return False
        return isinstance(found, dict) and found.get("address") == self.address


class Checked(Enum):
    """How one check went."""

    WELL = auto()
    ILL = auto()  # no answer, or a bad one: the process may be the same
    NOBODY = auto()  # nobody listens: the process is gone


class Health:
    """Whether a box is well, from checks in a row, and when it began, in milliseconds since 1970; without I/O."""

    def __init__(self) -> None:
        self.well = False
        self.since_ms = 0
        self._failed = 0

    def checked(self, how: Checked, now_ms: int) -> None:
        """One check is done.

        Guards followers: a box that only missed some checks is as warm as before, and one whose process was gone is
        cold again when it is back.
        """
        if how is Checked.WELL:
            self._failed = 0
            self.well = True
            self.since_ms = self.since_ms or now_ms
            return
        self._failed += 1
        if how is Checked.NOBODY:
            self.since_ms = 0
        if how is Checked.NOBODY or self._failed >= FALL:
            self.well = False


async def check(url: str, within: float) -> Checked:
    """One check: `http://host:port/path` has to answer below 400, `tcp://host:port` to let us connect."""
    parts = urlsplit(url)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection(parts.hostname, parts.port, limit=HEAD_MOST)
            if parts.scheme == "tcp":
                return Checked.WELL
            target = (parts.path or "/") + (f"?{parts.query}" if parts.query else "")
            writer.write(f"GET {target} HTTP/1.1\r\nHost: {parts.netloc}\r\nConnection: close\r\n\r\n".encode())
            words = (await reader.readline()).split()
            well = len(words) > 1 and words[0].startswith(b"HTTP/1.") and words[1] < b"400"
            return Checked.WELL if well else Checked.ILL
    except ConnectionRefusedError:
        return Checked.NOBODY
    except (OSError, ValueError):
        return Checked.ILL
    finally:
        if writer is not None:
            writer.transport.abort()


class Announcer:
    """Keeps a box's node in a registry from `open` until `leave`."""

    def __init__(self, registry: Registry, folder: str, box: Box, ident: str, clock: Callable[[], float]) -> None:
        self.box = box
        self._registry = registry
        self._clock = clock  # seconds since 1970
        self.health = Health()
        self.registration = Registration(folder, box.name, box.data(0), box.same, ident)
        self._again: asyncio.TimerHandle | None = None
        self._settled = asyncio.Event()

    def open(self) -> None:
        """Begin: the node is made once the box is well."""
        self._registry.join(self.registration, self._woken)

    def checked(self, how: Checked) -> None:
        """How a check went, if the box has one; without one say WELL once."""
        self.health.checked(how, int(self._clock() * 1000))
        if self.health.well:
            self.registration.write(self.box.data(self.health.since_ms))
        self.registration.want(self.health.well)
        self._turn()

    async def leave(self) -> None:
        """Delete the node first thing; ends when the registry has confirmed it, or hasn't for too long."""
        self.registration.want(False)
        self._settled.clear()
        self._turn()
        try:
            async with asyncio.timeout(LEAVE_WITHIN):
                while not self.registration.settled:
                    self._settled.clear()
                    await self._settled.wait()
        except TimeoutError:
            self._say("the registry has not confirmed that the node is deleted; it goes with its session")
        if self._again is not None:
            self._again.cancel()
        self._registry.part(self.registration)

    def _turn(self) -> None:
        self._registry.client.turn()
        self._woken([])

    def _woken(self, events: list[Event]) -> None:
        for line in self.registration.take_news():
            self._say(line)
        self._settled.set()
        if self._again is None:
            self._again = asyncio.get_running_loop().call_later(AGAIN, self._try_again)

    def _try_again(self) -> None:
        self._again = None
        self.registration.again()
        self._turn()

    def _say(self, line: str) -> None:
        print(f"lugspur: {self.box.name}: {line}", file=sys.stderr, flush=True)
