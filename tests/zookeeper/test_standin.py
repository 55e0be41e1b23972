"""The stand-in keeps what the protocol promises, whatever faults it is told to have."""

from __future__ import annotations

from wire import World, inside

from lugspur.zookeeper.view import Phase


def test_a_server_that_was_silent_and_behind_tells_events_in_their_order() -> None:
    async def run() -> None:
        world = World()
        world.cluster.write("/boxes/a", b"1")
        world.connect()
        world.settle()
        assert world.view.phase is Phase.FOLLOWING
        (server, *_) = world.servers
        server.stall()
        world.cluster.delete("/boxes/a")  # seen by this server, which can't say so now
        server.lag()
        world.cluster.write("/boxes/a", b"2")  # not seen by it before it is mended
        server.mend()
        world.settle()
        assert world.follower.nodes == world.tree()

    inside(run())
