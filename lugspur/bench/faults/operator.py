"""Two operators, who change the configuration in every way that may go wrong, and read it back."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import msgspec

from lugspur.bench.faults.cluster import SERVICES, Cluster
from lugspur.bench.faults.history import History, Invalid, Item, Order, OrderAttempt, Read
from lugspur.bench.mesh import call

SILENCE = 1.0  # seconds after which an operator goes on to another machine
DELIVER_WITHIN = 8.0  # seconds until an operator gives an order up, unclear
REDIRECTS = 2
UNDER_WAY = 4  # orders of one operator at once
PAUSE = (0.05, 0.35)  # seconds between two orders of one operator
READ_EVERY = 0.4
NAMES = tuple(f"r-{n}" for n in range(10))
PREFIX = "r-"  # of all names that operators change while faults come

#: What makes an order invalid.
WRONG: tuple[tuple[Invalid, dict[str, Any]], ...] = (
    (Invalid.BESIDE_OTHERS, {"service": "nowhere"}),
    (Invalid.ITSELF, {"path_prefix": "bare"}),
    (Invalid.ITSELF, {"deadline_ms": 0}),
    (Invalid.ITSELF, {"deadline_ms": 10**6}),
)

_lists = msgspec.json.Decoder(dict[str, Any])
_raws = msgspec.json.Decoder(list[msgspec.Raw])
_tables = msgspec.json.Decoder(dict[str, msgspec.Raw])


class Console:
    """Sends single calls to single machines, and records how they end."""

    def __init__(self, cluster: Cluster, history: History) -> None:
        self.cluster, self.history = cluster, history
        self.bodies: dict[Order, bytes] = {}
        self._loop = asyncio.get_running_loop()

    async def send(self, order: Order, machine: str) -> OrderAttempt:
        """One sending of an order."""
        began = self._loop.time()
        status, _ = await self._call(machine, "POST", "/config/amend", self.bodies[order])
        sent = OrderAttempt(order, machine, began, self._loop.time(), status)
        self.history.tries.append(sent)
        return sent

    async def read(self, machine: str) -> Read:
        """One read of the whole configuration."""
        began = self._loop.time()
        status, body = await self._call(machine, "GET", "/config/read", b"")
        items = tuple(read_items(body)) if status == 200 else ()
        read = Read(machine, began, self._loop.time(), status, items)
        self.history.reads.append(read)
        return read

    async def _call(self, machine: str, method: str, path: str, body: bytes) -> tuple[int | None, bytes]:
        address = f"{machine}:{self.cluster.dispatch}"
        for _ in range(REDIRECTS + 1):
            try:
                async with asyncio.timeout(SILENCE):
                    status, head, answer = await call(address, method, path, body)
            except (OSError, IndexError, ValueError, TimeoutError):
                return None, b""
            if status != 307:
                return (status, answer) if _whole(head, answer) else (None, b"")
            place = next(line for line in head.decode().split("\r\n") if line.lower().startswith("location:"))
            address = place.split("//", 1)[1].split("/", 1)[0]
        return None, b""


def _whole(head: bytes, body: bytes) -> bool:
    """Whether all of an answer has come: a process may be killed in the middle of one."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1]) == len(body)
    return True


def read_items(body: bytes) -> list[Item]:
    """The items of a read that operators change here, with their bytes as they came."""
    found = []
    for raw in _raws.decode(_tables.decode(body)["routes"]):
        route = _lists.decode(raw)
        if route["name"].startswith(PREFIX):
            found.append(Item(route["name"], int(route["edition"], 16), bytes(raw), route.get("service", "")))
    return found


class Operators:
    """Both operators."""

    def __init__(self, console: Console, rng: Random) -> None:
        self.console, self.rng = console, rng
        self._idents = itertools.count(1)
        self._editions = dict.fromkeys(NAMES, 1)
        self._taken: list[Order] = []  # orders that were confirmed, the latest last
        self._under_way: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._ways: list[tuple[int, Callable[[str], Awaitable[None]]]] = [
            (6, self._change),
            (3, self._race),
            (2, self._again),
            (2, self._everywhere),
            (2, self._older_after_newer),
            (1, self._same_number_later),
            (2, self._withdraw),
            (1, self._invalid),
        ]

    async def work(self, operator: str) -> None:
        """Give orders until cancelled."""
        own: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(self.rng.uniform(*PAUSE))
            own = {task for task in own if not task.done()}
            if len(own) >= UNDER_WAY:
                continue
            (way,) = self.rng.choices([way for _, way in self._ways], [weight for weight, _ in self._ways])
            task = asyncio.ensure_future(way(operator))
            own.add(task)
            self._under_way.add(task)
            task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._under_way.discard(task)
        if not task.cancelled():
            task.result()  # a fault of the rig itself is told

    async def settle(self) -> None:
        """Wait until no order is under way."""
        while self._under_way:
            await asyncio.wait(self._under_way)

    async def read_on(self) -> None:
        """Read at any machine, until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * READ_EVERY)
            await self.console.read(self._machine())

    # ---- orders ------------------------------------------------------------------------------

    def order(
        self, operator: str, items: dict[str, int], withdrawn: bool = False, invalid: Invalid = Invalid.NO, **other: Any
    ) -> Order:
        """An order of items with their editions; every order has bytes of its own."""
        ident = next(self._idents)
        service = SERVICES[ident % len(SERVICES)]
        made, values = [], []
        for name, edition in items.items():
            value = Cluster.route(name, "safe", f"{edition:08x}", service=service, note=f"order {ident}") | other
            raw = json.dumps(value).encode()
            values.append(raw)
            made.append(Item(name, edition, None if withdrawn else raw, "" if withdrawn else service))
        order = Order(ident, operator, tuple(made), invalid)
        if withdrawn:
            dropped = [{"name": item.name, "edition": f"{item.edition:08x}"} for item in made]
            self.console.bodies[order] = json.dumps({"withdraw": {"routes": dropped}}).encode()
        else:
            self.console.bodies[order] = b'{"upsert":{"routes":[' + b",".join(values) + b"]}}"
        return order

    def next_edition(self, name: str) -> int:
        """A higher edition than any before, by an uneven step."""
        self._editions[name] = self._editions.get(name, 1) + self.rng.randint(1, 5)
        return self._editions[name]

    def _machine(self) -> str:
        return self.rng.choice(self.console.cluster.control)

    async def deliver(self, order: Order, machine: str = "") -> bool | None:
        """Send an order until it is confirmed (True) or refused (False); unclear at the end: None."""
        until = self._loop.time() + DELIVER_WITHIN
        pause = 0.02
        machine = machine or self._machine()
        while self._loop.time() < until:
            sent = await self.console.send(order, machine)
            if sent.confirmed:
                self._taken.append(order)
                return True
            if sent.refused:
                return False
            await asyncio.sleep(pause)
            pause = min(0.5, 2.0 * pause)
            others = [ip for ip in self.console.cluster.control if ip != machine]
            machine = self.rng.choice(others or [machine])
        return None

    # ---- ways to change ----------------------------------------------------------------------

    def fresh(self, operator: str) -> Order:
        """A new edition of some items."""
        names = self.rng.sample(NAMES, self.rng.choice((1, 1, 1, 2, 3)))
        return self.order(operator, {name: self.next_edition(name) for name in names})

    async def _change(self, operator: str) -> None:
        await self.deliver(self.fresh(operator))

    async def _race(self, operator: str) -> None:
        """The same number with other content by another operator, at the same moment."""
        name = self.rng.choice(NAMES)
        edition = self.next_edition(name)
        rivals = [self.order(f"{operator}{n}", {name: edition}) for n in range(2)]
        await asyncio.gather(*(self.deliver(order) for order in rivals))

    async def _again(self, operator: str) -> None:
        if self._taken:
            await self.deliver(self.rng.choice(self._taken[-20:]))

    async def _everywhere(self, operator: str) -> None:
        order = self.fresh(operator)
        sent = await asyncio.gather(*(self.console.send(order, ip) for ip in list(self.console.cluster.control)))
        if not any(one.confirmed or one.refused for one in sent):
            await self.deliver(order)

    async def _older_after_newer(self, operator: str) -> None:
        name = self.rng.choice(NAMES)
        older = self.order(operator, {name: self.next_edition(name)})
        await self.deliver(self.order(operator, {name: self.next_edition(name)}))
        await self.deliver(older)

    async def _same_number_later(self, operator: str) -> None:
        if self._taken:
            items = self.rng.choice(self._taken[-20:]).items
            await self.deliver(self.order(f"{operator}-late", {item.name: item.edition for item in items}))

    async def _withdraw(self, operator: str) -> None:
        name = self.rng.choice(NAMES)
        await self.deliver(self.order(operator, {name: self.next_edition(name)}, withdrawn=True))

    async def _invalid(self, operator: str) -> None:
        name = self.rng.choice(NAMES)
        invalid, wrong = self.rng.choice(WRONG)
        order = self.order(operator, {name: self.next_edition(name)}, invalid=invalid, **wrong)
        await self.deliver(order)
