"""Hollow fleets do what real ones do."""

from __future__ import annotations

import asyncio
from pathlib import Path

from lugspur.emulator.hollow.fleet import HollowFleet
from lugspur.emulator.hollow.layout import INNER
from lugspur.emulator.hollow.usage import of_address


def test_a_hollow_fleet_takes_changes_and_keys_and_a_real_proxy_has_a_real_ones_connections(tmp_path: Path) -> None:
    async def play() -> None:
        fleet = HollowFleet(tmp_path, 3, 5)
        try:
            await fleet.start()
            edition, _, _ = await fleet.change()
            await fleet.claim_at(200.0)
            arrived, won, begun = 0, 0, 0
            async with asyncio.timeout(30.0):
                while arrived < 4 or not won:
                    await asyncio.sleep(0.05)
                    found = await fleet.collect()
                    arrived += sum(len(a.at) for one in found for a in one.arrivals if a.edition == edition)
                    won += sum(one.claims.won for one in found)
                    begun += sum(one.claims.begun for one in found)
            assert arrived == 4 and 0 < won <= begun
            kinds = {kind for one in found for kind in (*one.received, *one.sent)}
            assert {"Delta", "Pong", "Report", "Sync", "Claim", "Verdict", "Done"} <= kinds
            # Two to each of four hollow proxies, one to each control machine that has a voter.
            assert of_address(fleet.layout.proxy_ip(0), INNER).connections == 2 * 4 + 3
        finally:
            await fleet.close()

    asyncio.run(play())
