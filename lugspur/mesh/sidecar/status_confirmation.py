"""Whether a majority of the voters knows what a machine announced about its backend. No I/O.

A sign-off that is acknowledged to a backend binds the whole mesh, also after the process that acknowledged it has ended
together with the control node that it followed. It is therefore acknowledged only once a majority of the voters knows
it. A process that starts later reads a state that is as recent as its start, and so includes it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lugspur.mesh.control.quorum import majority

CONFIRMATION_TIMEOUT_SECONDS = 0.8  # a backend takes a call without an answer within 1 s as not acknowledged


@dataclass(slots=True, eq=False)
class _Waiting:
    """A call whose answer waits for the confirmation."""

    deadline: float
    on_result: Callable[[bool], None]


class StatusConfirmation:
    """The voters that know the latest announced edition of a machine's entry, and the calls that wait for them."""

    def __init__(self) -> None:
        self._edition = -1
        self._known_by: set[str] = set()
        self._waiting: list[_Waiting] = []
        self.replies = 0  # replies of voters so far; voters of a former build send none

    def announced(self, edition: int) -> None:
        """Record that another edition was announced, which no voter is known to have."""
        self._edition = edition
        self._known_by.clear()

    def is_waited_for(self) -> bool:
        """Whether a call waits for the confirmation."""
        return bool(self._waiting)

    def missing(self, voters: Iterable[str]) -> list[str]:
        """Return the voters that are not known to have the announced edition."""
        return [ip for ip in voters if ip not in self._known_by]

    def is_confirmed(self, voters: list[str]) -> bool:
        """Whether a majority of these voters has the announced edition."""
        return bool(voters) and len(voters) - len(self.missing(voters)) >= majority(len(voters))

    def wait(self, now: float, on_result: Callable[[bool], None]) -> Callable[[], None]:
        """Wait for the confirmation; `on_result` is called once. Returns a function that ends the wait."""
        waiting = _Waiting(now + CONFIRMATION_TIMEOUT_SECONDS, on_result)
        self._waiting.append(waiting)

        def cancel() -> None:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

        return cancel

    def reply_received(self, ip: str, edition: int, voters: list[str]) -> None:
        """Process a voter's reply, which names the edition that it has."""
        self.replies += 1
        if edition == self._edition:
            self._known_by.add(ip)
            self.check(voters)

    def check(self, voters: list[str]) -> None:
        """Answer all calls if the announced edition is confirmed."""
        if self._waiting and self.is_confirmed(voters):
            waiting, self._waiting = self._waiting, []
            for call in waiting:
                call.on_result(True)

    def tick(self, now: float) -> None:
        """Answer the calls that have waited for too long."""
        for call in [call for call in self._waiting if call.deadline <= now]:
            self._waiting.remove(call)
            call.on_result(False)
