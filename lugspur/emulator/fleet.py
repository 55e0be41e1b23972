"""Many instances of the decision module before boxes that they share, in virtual time: what the sum of them does.

`python -m lugspur.emulator fleet` plays 4, 40 and 400 proxies at the same thin traffic: a calm day, and one on which a
tenth of the boxes vanish without a word while every list still names them.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass
from random import Random

from lugspur.emulator.backends import Box, Kind
from lugspur.emulator.clock import Clock
from lugspur.emulator.world import SERVED, TURNED, World
from lugspur.load_balancing.model import Limits, RequestClass, RetrySafety, Settings

SIZES = (4, 40, 400)
CALM, DEAD = "calm", "a tenth vanish"
AIM, DEADLINE = 0.41, 1.0  # seconds
KIND = Kind(slots=1, queue=8, work=0.1)
LOAD = 0.55  # of what the boxes can do
BOXES_EACH = 1.5  # boxes for each proxy
WARM, LAST = 5.0, 13.0  # seconds: boxes vanish then, and the day ends


@dataclass(slots=True, frozen=True)
class Found:
    """What a day came to."""

    proxies: int
    day: str
    asked: int
    timely: float  # the part of requests served within the aim, after the boxes vanished...
    turned: float  # ...and of those turned away at the front
    vain: int  # dials to boxes that are gone
    busiest: float  # what the busiest box ran, as a multiple of the mean
    cpu: float  # seconds of the module and the emulator for a request

    def row(self) -> str:
        """A line of the table."""
        return (
            f"| {self.proxies} | {self.day} | {self.timely:.1%} | {self.turned:.1%} | {self.vain} "
            f"({self.vain / self.asked:.2%}) | {self.busiest:.2f} | {1e6 * self.cpu:.0f} us |"
        )


def settings(proxies: int, me: int) -> Settings:
    """What an instance of the first tier is told."""
    row = RequestClass("book", latency_target=AIM, deadline=DEADLINE, retry_safety=RetrySafety.UNSAFE)
    return Settings(
        classes=(row,), instance_count=proxies, instance_index=me, limits=Limits(allows_cancel=True, max_attempts=5)
    )


def play(proxies: int, day: str, seed: int) -> Found:
    """One day; the same seed gives the same, but for the CPU."""
    clock, rng = Clock(), Random(f"{seed} {proxies}")
    boxes = [Box(clock, KIND, Random(rng.random())) for _ in range(round(BOXES_EACH * proxies))]
    worlds = [World(clock, settings(proxies, me), 0, KIND, rng.randrange(1 << 32), boxes) for me in range(proxies)]
    ends: Counter[str] = Counter()
    late = 0

    def ask() -> None:
        asked = clock.now

        def done(how: str) -> None:
            nonlocal late
            if asked >= WARM:
                ends[how] += 1
                late += how == SERVED and clock.now > asked + AIM

        rng.choice(worlds).call(0, 0, asked + DEADLINE, done)

    def vanish() -> None:
        for box in boxes[: max(1, len(boxes) // 10)]:
            box.dead = day == DEAD

    when = 0.0
    while when < LAST:
        clock.call_at(when, ask)
        when += rng.expovariate(LOAD * len(boxes) * KIND.rate())
    clock.call_at(WARM, vanish)
    began = time.process_time()
    clock.run()
    cpu = time.process_time() - began
    asked, ran = sum(ends.values()), [box.ran for box in boxes]
    return Found(
        proxies,
        day,
        asked,
        (ends[SERVED] - late) / asked,
        ends[TURNED] / asked,
        sum(b.vain for b in boxes),
        max(ran) * len(ran) / sum(ran),
        cpu / asked,
    )
