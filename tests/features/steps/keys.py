"""Steps over control nodes and claimants in virtual time."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from lugspur.emulator.control.mesh_world import MeshWorld
from lugspur.emulator.control.settings import Setting
from lugspur.mesh.control.reservation_client import Acquired, ReservationOutcome, TakenByAnother

WELL_WITHIN = 10.0  # seconds


@given("{replicas:d} replicas that bear the loss of {machines:d}")
def begin(context: Any, replicas: int, machines: int) -> None:
    context.world = MeshWorld(1, Setting(replicas, machines, 0), proxies=6)
    settle(context.world)


@when("{proxies:d} proxies claim one key at the same moment")
def claim(context: Any, proxies: int) -> None:
    world = context.world
    context.how = []
    for name in list(world.proxies)[:proxies]:
        ask(world, name, context.how)
    world.clock.run_until(world.now + 3.0)
    assert len(context.how) == proxies


@when("the disk of one voter is lost and it comes back")
def lose(context: Any) -> None:
    world = context.world
    ip = world.seeds[0]
    world.stop(ip)
    world.nodes[ip].wipe()
    world.schedule(0.5, lambda: world.start(ip))
    world.clock.run_until(world.now + 1.0)
    settle(world)


@then("at most one of them may run it")
def once(context: Any) -> None:
    assert sum(isinstance(how, Acquired) for how in context.how) <= 1


@then("a later claim is told who has it")
def later(context: Any) -> None:
    assert any(isinstance(how, Acquired) for how in context.how)
    world = context.world
    how: list[ReservationOutcome] = []
    ask(world, "p5", how)
    world.clock.run_until(world.now + 3.0)
    assert isinstance(how[0], TakenByAnother)


def ask(world: MeshWorld, name: str, how: list[ReservationOutcome]) -> None:
    proxy = world.proxies[name]
    proxy.membership = None
    world.update_membership(proxy)
    assert proxy.membership is not None
    by = b"by %s %f" % (name.encode(), world.now)
    proxy.reservations.reserve(
        world.now, proxy.membership, b"key", by, seconds_left=1.0, timeout=2.0, on_outcome=how.append
    )
    world.schedule(2.0, lambda: proxy.reservations.tick(world.now))


def settle(world: MeshWorld) -> None:
    """Until all voters that are wanted are there and hold all claims."""
    until = world.now + WELL_WITHIN
    while world.now < until:
        world.clock.run_until(world.now + 0.5)
        replicas = [node.replica for node in world.running_nodes()]
        membership = replicas[0].membership
        complete = [replica for replica in replicas if replica.is_complete]
        if membership is not None and len(complete) == len(membership.voters) == world.setting.tolerance.voter_count:
            return
    raise AssertionError("not all voters are complete")
