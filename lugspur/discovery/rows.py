"""Entries of the platform's form, and what they become: rows of the decision module's list."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from lugspur.load_balancing.model import ServerRow, ServerState

Address = tuple[str, int]
PROTOCOLS = ("http", "grpc")  # what a box may speak: HTTP/1.1, or gRPC over HTTP/2
STATES = {"in_service": ServerState.UP, "terminating": ServerState.DRAINING, "terminated": ServerState.GONE}


def read_address(text: str) -> Address:
    """`host:port` as a pair; raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the list: what the module sees of a backend, and where it listens."""

    row: ServerRow
    address: Address
    grpc: bool = False  # whether it speaks gRPC over HTTP/2; else HTTP/1.1


def server_id(name: str) -> int:
    """The same whole number for a name at every proxy and after every restart."""
    return int.from_bytes(name.encode(), "big")


def server_name(server: int) -> str:
    """The name behind such a number."""
    return server.to_bytes((server.bit_length() + 7) // 8, "big").decode()


class Reader:
    """Turns entries of discovery's form into endpoints; names become places in the settings' lists."""

    def __init__(
        self, zones: Mapping[str, int] | None = None, types: Mapping[str, int] | None = None, protocol: str = "http"
    ) -> None:
        self._zones, self._types, self._protocol = zones, types, protocol

    def name(self, zones: Mapping[str, int], types: Mapping[str, int]) -> None:
        """Other settings name zones and types from here on."""
        self._zones, self._types = zones, types

    @staticmethod
    def _place(name: str, known: Mapping[str, int] | None) -> int:
        """A name's place; without a list of known names the name itself as a number, so that two differ."""
        if known is None:
            return server_id(name)
        return known.get(name, -1)

    def endpoint(self, entry: Mapping[str, Any]) -> Endpoint:
        """One entry; a zone or type that the settings don't name is none of theirs (-1)."""
        row = ServerRow(
            server_id(entry["name"]),
            STATES[entry["status"]],
            self._place(entry.get("zone", ""), self._zones),
            entry.get("group", 0),
            entry.get("weight", 1.0),
            entry.get("since_ms", 0) / 1000.0,
            self._place(entry.get("type", ""), self._types),
        )
        return Endpoint(row, read_address(entry["address"]), entry.get("protocol", self._protocol) == "grpc")

    def endpoints(self, message: Mapping[str, Any]) -> list[Endpoint]:
        """All entries of a message."""
        return [self.endpoint(entry) for entry in message["endpoints"]]

    def check(self, known: Mapping[str, Any]) -> None:
        """Raise ValueError where the list known at the start can't be read."""
        try:
            int(known["index"])
            self.endpoints(known)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ValueError(f"the known list can't be read: {fault!r}") from fault
