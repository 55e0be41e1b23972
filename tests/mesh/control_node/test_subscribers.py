"""Which processes get updates of a control node, and until when."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from lugspur.mesh.control.messages import Delta, Entry, Message, Pong
from lugspur.mesh.control.store import Store
from lugspur.mesh.control_node.leases import LEASE_SECONDS
from lugspur.mesh.control_node.subscribers import Subscribers
from lugspur.mesh.transport.link import Link

HEARTBEAT_SECONDS = 0.25


class Wire:
    """A connection, as far as it is used here."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.last_received_at = asyncio.get_running_loop().time()
        self.closed = False

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def close(self) -> None:
        self.closed = True


def play(what: Any) -> None:
    async def run() -> None:
        store = Store()

        def make_update(now: float, sequence: int) -> Delta:
            return Delta(
                "incarnation",
                store.latest_sequence,
                now,
                0.0,
                0,
                False,
                True,
                1,
                sequence == 0,
                store.changed_after(sequence),
            )

        await what(store, Subscribers(asyncio.get_running_loop(), store, HEARTBEAT_SECONDS, make_update), Wire())

    asyncio.run(run())


def test_a_subscriber_gets_changes_until_it_ends_its_subscription() -> None:
    async def what(store: Store, subscribers: Subscribers, wire: Wire) -> None:
        link = cast(Link, wire)
        subscribers.add(link, 0)
        store.merge([Entry("notes", "a", 1, b"x")])
        subscribers.update_soon()
        await asyncio.sleep(0)
        assert [len(cast(Delta, message).entries) for message in wire.sent] == [0, 1]
        subscribers.remove(link)
        store.merge([Entry("notes", "a", 2, b"y")])
        subscribers.update_soon()
        await asyncio.sleep(0)
        subscribers.tick(wire.last_received_at + 10.0 * HEARTBEAT_SECONDS)
        assert len(wire.sent) == 2 and not len(subscribers) and not wire.closed

    play(what)


def test_a_subscriber_gets_heartbeats_with_its_own_echo_and_a_silent_one_is_closed() -> None:
    async def what(store: Store, subscribers: Subscribers, wire: Wire) -> None:
        link = cast(Link, wire)
        subscribers.add(link, 0)
        subscribers.record_acknowledgement(link, Pong(42.0))
        subscribers.tick(wire.last_received_at + 2.0 * HEARTBEAT_SECONDS)
        assert [cast(Delta, message).echoed_at for message in wire.sent] == [0.0, 42.0]
        subscribers.tick(wire.last_received_at + LEASE_SECONDS + 0.1)
        assert wire.closed

    play(what)
