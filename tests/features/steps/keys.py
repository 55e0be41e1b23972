"""Steps over replicas and claimants in virtual time."""

from __future__ import annotations

from typing import Any

from behave import given, then, when

from lugspur.control.claims import Settled, Taken, Won
from lugspur.emulator.control import World


@given("{replicas:d} replicas that bear the loss of {machines:d}")
def begin(context: Any, replicas: int, machines: int) -> None:
    context.world = World(1, replicas, machines, proxies=6)
    assert context.world.settle()
    for process in context.world.replicas.values():
        context.world.gossip(process)


@when("{proxies:d} proxies claim one key at the same moment")
def claim(context: Any, proxies: int) -> None:
    world = context.world
    context.how = []
    for name in list(world.proxies)[:proxies]:
        ask(world, name, context.how)
    run(world)
    assert len(context.how) == proxies


@when("the disk of one voter is lost and it comes back")
def lose(context: Any) -> None:
    world = context.world
    process = world.replicas[world.seeds[0]]
    process.stop(True)
    world.silent[process.ip] = world.now
    assert world.settle()


@then("at most one of them may run it")
def once(context: Any) -> None:
    assert sum(isinstance(how, Won) for how in context.how) <= 1


@then("a later claim is told who has it")
def later(context: Any) -> None:
    assert any(isinstance(how, Won) for how in context.how)
    how: list[Settled] = []
    ask(context.world, "p5", how)
    run(context.world)
    assert isinstance(how[0], Taken)


def ask(world: World, name: str, how: list[Settled]) -> None:
    proxy = world.proxies[name]
    assert proxy.membership is not None
    world.attempt += 1
    proxy.claims.begin(world.now, proxy.membership, b"key", b"by%d" % world.attempt, 1.0, 2.0, how.append)


def run(world: World) -> None:
    """Until nothing is on its way."""
    for _ in range(200):
        for pair, wire in list(world.wires.items()):
            while wire:
                world.deliver(pair, wire.popleft())
        for process in world.replicas.values():
            process.sync()
