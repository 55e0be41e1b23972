"""Reports of a backend's proxy: a copy is no lease, and a voter replies with what it knows, if that is wanted."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from lugspur.mesh.control.items import BACKEND
from lugspur.mesh.control.messages import Entry, Message, Report
from lugspur.mesh.control.store import Store
from lugspur.mesh.control_node.leases import LEASE_SECONDS, Leases
from lugspur.mesh.control_node.process import ControlNode

ENTRY = Entry(BACKEND, "10.0.0.1", 5, b"closing")


class Link:
    """A connection of a proxy, which records what was sent on it."""

    def __init__(self) -> None:
        self.is_open, self.last_received_at = True, 0.0
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)


class Rig:
    """The parts of a control node that handle reports."""

    def __init__(self) -> None:
        self.store = Store()
        self.leases = Leases(self.store)
        self.link = Link()
        self._node: Any = SimpleNamespace(store=self.store, leases=self.leases, loop=SimpleNamespace(time=lambda: 0.0))

    def report(self, report: Report) -> list[Entry]:
        """Handle a report; return the entries of the reply, if there is one."""
        link: Any = self.link
        ControlNode._handle_report(self._node, link, report)
        replies, self.link.sent = self.link.sent, []
        return [entry for reply in replies if isinstance(reply, Report) for entry in reply.entries]


def test_a_report_is_replied_to_only_if_that_is_wanted() -> None:
    rig = Rig()
    assert rig.report(Report([ENTRY])) == []  # as a proxy of a former build sends it
    assert rig.report(Report([ENTRY], True)) == [ENTRY]


def test_the_reply_has_what_is_known_now() -> None:
    """A later edition is no acknowledgement of the reported one."""
    rig = Rig()
    later = Entry(BACKEND, ENTRY.name, 9, None)
    rig.report(Report([later]))
    assert rig.report(Report([ENTRY], True)) == [later]


def test_a_copy_is_stored_and_outlives_the_connection_but_is_no_lease() -> None:
    """The lease is at the control node that the proxy follows: a connection to another one may break by itself."""
    rig = Rig()
    assert rig.report(Report([ENTRY], True, True)) == [ENTRY]
    rig.link.is_open = False
    rig.leases.tick(10.0 * LEASE_SECONDS)
    assert rig.store.get(BACKEND, ENTRY.name) == ENTRY
    rig.report(Report([ENTRY]))
    rig.leases.tick(10.0 * LEASE_SECONDS)
    withdrawn = rig.store.get(BACKEND, ENTRY.name)
    assert withdrawn is not None and withdrawn.value is None
