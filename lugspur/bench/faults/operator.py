"""Operators that change the configuration in every way that may go wrong, and read it back."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import msgspec

from lugspur.bench.faults.cluster import SERVICES, Cluster
from lugspur.bench.faults.history import History, InvalidReason, Item, Order, OrderAttempt, Read
from lugspur.bench.mesh import call

RESPONSE_TIMEOUT = 1.0  # seconds after which an operator tries another machine
DELIVERY_TIMEOUT = 8.0  # seconds after which an operator gives up an order whose outcome is still unclear
REDIRECT_LIMIT = 2  # redirects followed for one call
CONCURRENT_ORDERS = 4  # orders that one operator has under way at once
PAUSE = (0.05, 0.35)  # shortest and longest pause between two orders of one operator, in seconds
READ_INTERVAL = 0.4  # seconds on average between two reads
ROUTE_NAMES = tuple(f"r-{n}" for n in range(10))  # routes that operators change while faults are injected
ROUTE_PREFIX = "r-"  # of the names of these routes

#: Fields that make an order invalid, and why they do.
INVALID_FIELDS: tuple[tuple[InvalidReason, dict[str, Any]], ...] = (
    (InvalidReason.IN_CONTEXT, {"service": "nowhere"}),
    (InvalidReason.BY_ITSELF, {"path_prefix": "bare"}),
    (InvalidReason.BY_ITSELF, {"deadline_ms": 0}),
    (InvalidReason.BY_ITSELF, {"deadline_ms": 10**6}),
)

_route_decoder = msgspec.json.Decoder(dict[str, Any])
_routes_decoder = msgspec.json.Decoder(list[msgspec.Raw])
_configuration_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


class Console:
    """Sends single calls to single machines and records their outcome."""

    def __init__(self, cluster: Cluster, history: History) -> None:
        self.cluster, self.history = cluster, history
        self.bodies: dict[Order, bytes] = {}
        self._loop = asyncio.get_running_loop()

    async def send(self, order: Order, machine: str) -> OrderAttempt:
        """Send an order to a machine once and record the attempt."""
        began = self._loop.time()
        status, _ = await self._call(machine, "POST", "/config/amend", self.bodies[order])
        attempt = OrderAttempt(order, machine, began, self._loop.time(), status)
        self.history.order_attempts.append(attempt)
        return attempt

    async def read(self, machine: str) -> Read:
        """Read the whole configuration from a machine and record the read."""
        began = self._loop.time()
        status, body = await self._call(machine, "GET", "/config/read", b"")
        items = tuple(read_items(body)) if status == 200 else ()
        read = Read(machine, began, self._loop.time(), status, items)
        self.history.reads.append(read)
        return read

    async def _call(self, machine: str, method: str, path: str, body: bytes) -> tuple[int | None, bytes]:
        address = f"{machine}:{self.cluster.dispatch}"
        for _ in range(REDIRECT_LIMIT + 1):
            try:
                async with asyncio.timeout(RESPONSE_TIMEOUT):
                    status, head, content = await call(address, method, path, body)
            except (OSError, IndexError, ValueError, TimeoutError):
                return None, b""
            if status != 307:
                return (status, content) if _is_complete(head, content) else (None, b"")
            location = next(line for line in head.decode().split("\r\n") if line.lower().startswith("location:"))
            address = location.split("//", 1)[1].split("/", 1)[0]
        return None, b""


def _is_complete(head: bytes, body: bytes) -> bool:
    """Return whether a response is complete: a process may be killed while it sends one."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.split(b":")[1]) == len(body)
    return True


def read_items(body: bytes) -> list[Item]:
    """Return the items of a read that the operators change, with their bytes as received."""
    items = []
    for raw in _routes_decoder.decode(_configuration_decoder.decode(body)["routes"]):
        route = _route_decoder.decode(raw)
        if route["name"].startswith(ROUTE_PREFIX):
            items.append(Item(route["name"], int(route["edition"], 16), bytes(raw), route.get("service", "")))
    return items


class Operators:
    """Issues the orders and reads of all operators."""

    def __init__(self, console: Console, rng: Random) -> None:
        self.console, self.rng = console, rng
        self._order_numbers = itertools.count(1)
        self._editions = dict.fromkeys(ROUTE_NAMES, 1)
        self._confirmed: list[Order] = []  # confirmed orders, the latest last
        self._under_way: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self._changes: list[tuple[int, Callable[[str], Awaitable[None]]]] = [
            (6, self._send_new),
            (3, self._race_for_edition),
            (2, self._send_again),
            (2, self._send_to_all),
            (2, self._send_older_after_newer),
            (1, self._reuse_edition_later),
            (2, self._withdraw),
            (1, self._send_invalid),
        ]

    async def issue_orders(self, operator: str) -> None:
        """Issue orders as one operator until cancelled."""
        own_tasks: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(self.rng.uniform(*PAUSE))
            own_tasks = {task for task in own_tasks if not task.done()}
            if len(own_tasks) >= CONCURRENT_ORDERS:
                continue
            (change,) = self.rng.choices(
                [change for _, change in self._changes], [weight for weight, _ in self._changes]
            )
            task = asyncio.ensure_future(change(operator))
            own_tasks.add(task)
            self._under_way.add(task)
            task.add_done_callback(self._on_change_done)

    def _on_change_done(self, task: asyncio.Task[None]) -> None:
        self._under_way.discard(task)
        if not task.cancelled():
            task.result()  # raises an error of the rig itself

    async def wait_until_idle(self) -> None:
        """Wait until no order is under way any more."""
        while self._under_way:
            await asyncio.wait(self._under_way)

    async def read_repeatedly(self) -> None:
        """Read the configuration from random machines until cancelled."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.5, 1.5) * READ_INTERVAL)
            await self.console.read(self._random_machine())

    # ---- orders ------------------------------------------------------------------------------

    def order(
        self,
        operator: str,
        items: dict[str, int],
        withdrawn: bool = False,
        invalid: InvalidReason = InvalidReason.NONE,
        **fields: Any,
    ) -> Order:
        """Make an order from names and their editions; no two orders have the same bytes."""
        number = next(self._order_numbers)
        service = SERVICES[number % len(SERVICES)]
        order_items, values = [], []
        for name, edition in items.items():
            value = Cluster.route(name, "safe", f"{edition:08x}", service=service, note=f"order {number}") | fields
            raw = json.dumps(value).encode()
            values.append(raw)
            order_items.append(Item(name, edition, None if withdrawn else raw, "" if withdrawn else service))
        order = Order(number, operator, tuple(order_items), invalid)
        if withdrawn:
            withdrawals = [{"name": item.name, "edition": f"{item.edition:08x}"} for item in order_items]
            self.console.bodies[order] = json.dumps({"withdraw": {"routes": withdrawals}}).encode()
        else:
            self.console.bodies[order] = b'{"upsert":{"routes":[' + b",".join(values) + b"]}}"
        return order

    def next_edition(self, name: str) -> int:
        """Return an edition higher than all earlier ones of a name, by a random step."""
        self._editions[name] = self._editions.get(name, 1) + self.rng.randint(1, 5)
        return self._editions[name]

    def _random_machine(self) -> str:
        return self.rng.choice(self.console.cluster.control)

    async def deliver(self, order: Order, machine: str = "") -> bool | None:
        """Send an order until it is confirmed (True) or refused (False); None if its outcome stays unclear."""
        deadline = self._loop.time() + DELIVERY_TIMEOUT
        pause = 0.02
        machine = machine or self._random_machine()
        while self._loop.time() < deadline:
            attempt = await self.console.send(order, machine)
            if attempt.confirmed:
                self._confirmed.append(order)
                return True
            if attempt.refused:
                return False
            await asyncio.sleep(pause)
            pause = min(0.5, 2.0 * pause)
            others = [ip for ip in self.console.cluster.control if ip != machine]
            machine = self.rng.choice(others or [machine])
        return None

    # ---- kinds of change ---------------------------------------------------------------------

    def new_order(self, operator: str) -> Order:
        """Make an order with new editions of a few random items."""
        names = self.rng.sample(ROUTE_NAMES, self.rng.choice((1, 1, 1, 2, 3)))
        return self.order(operator, {name: self.next_edition(name) for name in names})

    async def _send_new(self, operator: str) -> None:
        await self.deliver(self.new_order(operator))

    async def _race_for_edition(self, operator: str) -> None:
        """Have two operators send different content under the same edition at the same time."""
        name = self.rng.choice(ROUTE_NAMES)
        edition = self.next_edition(name)
        rivals = [self.order(f"{operator}{n}", {name: edition}) for n in range(2)]
        await asyncio.gather(*(self.deliver(order) for order in rivals))

    async def _send_again(self, operator: str) -> None:
        if self._confirmed:
            await self.deliver(self.rng.choice(self._confirmed[-20:]))

    async def _send_to_all(self, operator: str) -> None:
        order = self.new_order(operator)
        attempts = await asyncio.gather(*(self.console.send(order, ip) for ip in list(self.console.cluster.control)))
        if not any(attempt.confirmed or attempt.refused for attempt in attempts):
            await self.deliver(order)

    async def _send_older_after_newer(self, operator: str) -> None:
        name = self.rng.choice(ROUTE_NAMES)
        older = self.order(operator, {name: self.next_edition(name)})
        await self.deliver(self.order(operator, {name: self.next_edition(name)}))
        await self.deliver(older)

    async def _reuse_edition_later(self, operator: str) -> None:
        if self._confirmed:
            items = self.rng.choice(self._confirmed[-20:]).items
            await self.deliver(self.order(f"{operator}-late", {item.name: item.edition for item in items}))

    async def _withdraw(self, operator: str) -> None:
        name = self.rng.choice(ROUTE_NAMES)
        await self.deliver(self.order(operator, {name: self.next_edition(name)}, withdrawn=True))

    async def _send_invalid(self, operator: str) -> None:
        name = self.rng.choice(ROUTE_NAMES)
        invalid, fields = self.rng.choice(INVALID_FIELDS)
        order = self.order(operator, {name: self.next_edition(name)}, invalid=invalid, **fields)
        await self.deliver(order)
