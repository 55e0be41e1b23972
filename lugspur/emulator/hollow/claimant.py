"""Claims operation keys at a set rate, as requests of tracked routes would."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Sequence
from random import Random

from lugspur.control.claims import Settled, Won
from lugspur.control.messages import Answer, Done
from lugspur.emulator.hollow.commands import ClaimFigures
from lugspur.emulator.hollow.proxy import HollowProxy

TURN = 0.02  # seconds between turns, in each of which the claims that are due begin
REQUEST_S = 2.0  # seconds that the request of each claim has
SETTLED_WITHIN = 0.8  # seconds for a verdict
ANSWER = Answer(200, b"Content-Type: application/json\r\n", b"x" * 256)


class Claimant:
    """Claims for the proxies of one process; each key is claimed once."""

    def __init__(self, proxies: Sequence[HollowProxy], rng: Random) -> None:
        self._proxies, self._rng = proxies, rng
        self.per_second = 0.0
        self.figures = ClaimFigures()

    async def run(self) -> None:
        """Begin what is due, until cancelled."""
        owed, before = 0.0, time.monotonic()
        while True:
            await asyncio.sleep(TURN)
            now = time.monotonic()
            owed += self.per_second * (now - before)
            before = now
            while owed >= 1.0:
                owed -= 1.0
                self._begin(self._rng.choice(self._proxies))

    def _begin(self, proxy: HollowProxy) -> None:
        if proxy.membership is None:
            return
        key, by, begun = os.urandom(12), os.urandom(8), time.monotonic()
        self.figures.begun += 1

        def over(how: Settled) -> None:
            if isinstance(how, Won):
                self.figures.won += 1
                self.figures.milliseconds.append(round(1e3 * (time.monotonic() - begun), 2))
                self._finish(proxy, key, by)
            else:
                self.figures.lost += 1

        proxy.claim(key, by, REQUEST_S, SETTLED_WITHIN, over)

    def _finish(self, proxy: HollowProxy, key: bytes, by: bytes) -> None:
        assert proxy.membership is not None
        for voter in proxy.membership.voters:
            proxy.to(voter.ip, Done(key, by, ANSWER))
