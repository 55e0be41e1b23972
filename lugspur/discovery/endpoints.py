"""Endpoints of a list, and the parser for entries in the platform's format. No I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from lugspur.load_balancing.model import ServerRow, ServerState

Address = tuple[str, int]
#: Protocols that a backend may speak: HTTP/1.1, or gRPC over HTTP/2.
PROTOCOLS = ("http", "grpc")
#: State of a backend by the status in the platform's entry.
STATES = {"in_service": ServerState.UP, "terminating": ServerState.DRAINING, "terminated": ServerState.GONE}
#: Index of a zone or type that the settings do not name; no zone or type in the settings has it.
UNKNOWN_INDEX = -1


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of an endpoint list: the row that load balancing uses, and the address at which the backend listens."""

    row: ServerRow
    address: Address
    speaks_grpc: bool = False  # gRPC over HTTP/2 if true, else HTTP/1.1


def read_address(text: str) -> Address:
    """Return host and port of `host:port`; raises ValueError for any other text."""
    host, colon, port = text.rpartition(":")
    if not (host and colon and port.isascii() and port.isdigit() and int(port) < 65536):
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def server_id(name: str) -> int:
    """Return the number by which load balancing identifies a backend.

    It consists of the bytes of the name, so that all proxies use the same number.
    """
    return int.from_bytes(name.encode(), "big")


def server_name(server: int) -> str:
    """Return the name from which `server_id` derives this number."""
    return server.to_bytes((server.bit_length() + 7) // 8, "big").decode()


class EndpointReader:
    """Parses entries in the platform's format; names of zones and types become their indexes in the settings."""

    def __init__(
        self, zones: Mapping[str, int] | None = None, types: Mapping[str, int] | None = None, protocol: str = "http"
    ) -> None:
        """Use these indexes of zones and types; `protocol` applies to entries that name none.

        Without indexes, a zone or type is numbered by its name as in `server_id`, so that two names differ.
        """
        self._zones, self._types, self._protocol = zones, types, protocol

    def set_names(self, zones: Mapping[str, int], types: Mapping[str, int]) -> None:
        """Use the indexes of new settings from now on."""
        self._zones, self._types = zones, types

    def endpoint(self, entry: Mapping[str, Any]) -> Endpoint:
        """Return the endpoint of one entry.

        Raises KeyError where name, address or status is missing or the status is unknown, and ValueError, TypeError or
        AttributeError for values of the wrong form.
        """
        row = ServerRow(
            server_id(entry["name"]),
            STATES[entry["status"]],
            _index(entry.get("zone", ""), self._zones),
            entry.get("group", 0),
            entry.get("weight", 1.0),
            entry.get("since_ms", 0) / 1000.0,
            _index(entry.get("type", ""), self._types),
        )
        return Endpoint(row, read_address(entry["address"]), entry.get("protocol", self._protocol) == "grpc")

    def endpoints(self, message: Mapping[str, Any]) -> list[Endpoint]:
        """Return the endpoints of all entries of a list; raises as `endpoint` does."""
        return [self.endpoint(entry) for entry in message["endpoints"]]

    def check_initial_list(self, known: Mapping[str, Any]) -> None:
        """Raise ValueError if the list that the platform passes at the start cannot be read."""
        try:
            int(known["index"])
            self.endpoints(known)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            raise ValueError(f"the known list can't be read: {error!r}") from error


def _index(name: str, indexes: Mapping[str, int] | None) -> int:
    return server_id(name) if indexes is None else indexes.get(name, UNKNOWN_INDEX)
