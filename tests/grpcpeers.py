"""A daemon with gRPC boxes and callers round it, in this process."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from daemonic import HEAD, Served, pool, route, served
from loopback import HOST

from lugspur.standins.grpc.backend import Call, GrpcBackend, run_script
from lugspur.standins.grpc.caller import Caller
from lugspur.standins.grpc.script import Script

HTTP2 = HEAD.replace('address = "127.0.0.1:0"', 'address = "127.0.0.1:0"\nhttp2 = true')
ROUTES = "".join(
    (
        route("book", "/book/*", 'pool = "a"\nclass = "book"'),
        route("once", "/once/*", 'pool = "a"\nclass = "once"'),
        route("read", "/*", 'pool = "a"\nclass = "read"'),
    )
)
Work = Callable[[Call, Script], Awaitable[None]]


class World:
    """The daemon, its boxes, and callers that are closed at the end."""

    def __init__(self, up: Served, boxes: list[GrpcBackend]) -> None:
        self.up, self.boxes = up, boxes
        self.callers: list[Caller] = []

    @property
    def box(self) -> GrpcBackend:
        return self.boxes[0]

    async def caller(self, window: int | None = None) -> Caller:
        self.callers.append(await Caller(window).connect(HOST, self.up.port()))
        return self.callers[-1]

    def ran(self, rid: str = "") -> int:
        return sum(box.ran[rid] if rid else box.ran.total() for box in self.boxes)


@asynccontextmanager
async def boxed(
    count: int = 1,
    work: Work = run_script,
    more: str = "",
    text: str = ROUTES,
    head: str = HTTP2,
    streams: int = 100,
    window: int = 65_535,
    others: tuple[str, ...] = (),
) -> AsyncIterator[World]:
    """A daemon whose pool `a` has so many gRPC boxes, and HTTP/1.1 ones at the addresses `others`."""
    boxes = [GrpcBackend(work, streams, window) for _ in range(count)]
    for box in boxes:
        await box.listen()
    members = [
        *(f'{{ address = "{box.address}", protocol = "grpc" }}' for box in boxes),
        *(f'{{ address = "{address}" }}' for address in others),
    ]
    listed = pool("a", more=more).replace("members = []", f"members = [{', '.join(members)}]")
    async with served(listed + text, head) as up:
        world = World(up, boxes)
        try:
            yield world
        finally:
            for caller in world.callers:
                caller.close()
            for box in boxes:
                box.kill()
