"""The stand-in keeps what the protocol promises, whatever faults it is told to have."""

from __future__ import annotations

from session_harness import SessionHarness, run_in_loop

from lugspur.zookeeper.view import Phase


def test_a_server_that_was_silent_and_behind_tells_events_in_their_order() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        harness.connect()
        harness.settle()
        assert harness.view.phase is Phase.FOLLOWING
        (server, *_) = harness.servers
        server.stall()
        harness.cluster.delete("/boxes/a")  # seen by this server, which can't say so now
        server.lag()
        harness.cluster.write("/boxes/a", b"2")  # not seen by it before it is mended
        server.mend()
        harness.settle()
        assert harness.follower.nodes == harness.tree()

    run_in_loop(run())
