"""The stand-in keeps the guarantees of the protocol, whatever faults are injected."""

from __future__ import annotations

from session_harness import SessionHarness, run_in_loop

from lugspur.zookeeper.view import Phase


def test_a_server_that_stalled_and_lagged_sends_events_in_order() -> None:
    async def run() -> None:
        harness = SessionHarness()
        harness.cluster.write("/boxes/a", b"1")
        harness.connect()
        harness.settle()
        assert harness.view.phase is Phase.FOLLOWING
        (server, *_) = harness.servers
        server.stall()
        harness.cluster.delete("/boxes/a")  # applied by this server, which cannot send the event now
        server.lag()
        harness.cluster.write("/boxes/a", b"2")  # not applied by this server until its faults end
        server.mend()
        harness.settle()
        assert harness.follower.nodes == harness.tree()

    run_in_loop(run())
