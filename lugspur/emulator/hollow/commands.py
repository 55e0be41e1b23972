"""What the driver of a hollow fleet and its rack processes say to each other: one line of JSON each."""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from lugspur.emulator.hollow.counting import Traffic


class RackSettings(msgspec.Struct):
    """What one rack process runs. `full_mesh`: addresses that each proxy connects to as real proxies do to all."""

    paths: list[str]
    full_mesh: list[str]


class Collect(msgspec.Struct, tag=True):
    """Tell what has happened; what was told once is not told again, unless it is to be kept."""

    keep: bool = False


class ClaimAt(msgspec.Struct, tag=True):
    """Claim operation keys at this rate, all proxies of the rack together."""

    per_second: float


Command: TypeAlias = Collect | ClaimAt


class Arrival(msgspec.Struct):
    """When an edition of a route came into force at each proxy of the rack, by the machine's steady clock."""

    edition: int
    at: list[float]


class ClaimFigures(msgspec.Struct):
    """How claims of operation keys ended."""

    begun: int = 0
    won: int = 0
    lost: int = 0
    milliseconds: list[float] = msgspec.field(default_factory=list)  # of those that were won


class Collected(msgspec.Struct):
    """The state of a rack process's proxies, and what has happened since the last Collect."""

    proxies: int
    ready: int  # proxies that have all news and a configuration
    fewest_backends: int  # that any of them would send to
    most_backends: int
    oldest_news_s: float  # age of the news at the proxy that has the oldest
    sources: dict[str, int]  # proxies by the control machine that they follow
    arrivals: list[Arrival]
    last_withdrawal: float  # when the latest backend that went was noticed by the last proxy; 0: never
    received: dict[str, Traffic]  # since the process began
    sent: dict[str, Traffic]
    claims: ClaimFigures
