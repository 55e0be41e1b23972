"""Tests of which processes get updates of a control node, and until when."""

from __future__ import annotations

import asyncio
from typing import Any, cast

from lugspur.mesh.control.messages import Delta, Entry, Message, Pong
from lugspur.mesh.control.store import Store
from lugspur.mesh.control_node.leases import LEASE_SECONDS
from lugspur.mesh.control_node.subscribers import Subscribers
from lugspur.mesh.transport.link import Link

HEARTBEAT_SECONDS = 0.25


class FakeLink:
    """A connection that records the messages sent on it."""

    def __init__(self) -> None:
        self.sent: list[Message] = []
        self.last_received_at = asyncio.get_running_loop().time()
        self.closed = False

    def send(self, message: Message) -> None:
        self.sent.append(message)

    def close(self) -> None:
        self.closed = True


def run_scenario(scenario: Any) -> None:
    """Run a scenario in an event loop, with a store, its subscribers and a connection."""

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

        await scenario(
            store, Subscribers(asyncio.get_running_loop(), store, HEARTBEAT_SECONDS, make_update), FakeLink()
        )

    asyncio.run(run())


def test_a_subscriber_gets_changes_until_it_ends_its_subscription() -> None:
    async def scenario(store: Store, subscribers: Subscribers, fake_link: FakeLink) -> None:
        link = cast(Link, fake_link)
        subscribers.add(link, 0)
        store.merge([Entry("notes", "a", 1, b"x")])
        subscribers.update_soon()
        await asyncio.sleep(0)
        assert [len(cast(Delta, message).entries) for message in fake_link.sent] == [0, 1]
        subscribers.remove(link)
        store.merge([Entry("notes", "a", 2, b"y")])
        subscribers.update_soon()
        await asyncio.sleep(0)
        subscribers.tick(fake_link.last_received_at + 10.0 * HEARTBEAT_SECONDS)
        assert len(fake_link.sent) == 2 and not len(subscribers) and not fake_link.closed

    run_scenario(scenario)


def test_a_subscriber_gets_heartbeats_with_its_own_echo_and_a_silent_one_is_closed() -> None:
    async def scenario(store: Store, subscribers: Subscribers, fake_link: FakeLink) -> None:
        link = cast(Link, fake_link)
        subscribers.add(link, 0)
        subscribers.record_acknowledgement(link, Pong(42.0))
        subscribers.tick(fake_link.last_received_at + 2.0 * HEARTBEAT_SECONDS)
        assert [cast(Delta, message).echoed_at for message in fake_link.sent] == [0.0, 42.0]
        subscribers.tick(fake_link.last_received_at + LEASE_SECONDS + 0.1)
        assert fake_link.closed

    run_scenario(scenario)
