"""Requests of this machine's callers for this machine's own backend: they go to its gate without a connection."""

from __future__ import annotations

from lugspur.mesh.dataplane.gate import Gate, Ticket


class CarriedHere:
    """A request for the backend of this machine."""

    __slots__ = ("_gate", "_ticket")

    def __init__(self, gate: Gate, ticket: Ticket | None) -> None:
        self._gate, self._ticket = gate, ticket

    def cancel(self) -> None:
        """Nobody waits for it: it is ended."""
        if self._ticket is not None:
            self._gate.cancel(self._ticket)

    def withdraw(self) -> None:
        """Nobody waits for it: it is not begun any more."""
        if self._ticket is not None:
            self._gate.withdraw(self._ticket)
