"""The endpoints that the nodes of a registry describe. No I/O.

A backend may temporarily have several nodes: an old one, whose session has not expired, and its successor. It is listed
once, as described by the node that was created last. A node whose data becomes unreadable does not remove its backend:
the backend stays as it was.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from lugspur.discovery.endpoints import Endpoint, EndpointReader
from lugspur.discovery.node_formats import NodeDataError, RegistryNode, read_entry
from lugspur.load_balancing.model import ServerState


@dataclass(slots=True, kw_only=True)
class EndpointChanges:
    """Changes of the endpoint list that follow from a change of nodes."""

    endpoints: list[Endpoint] = field(default_factory=list)  # new, changed, and removed (GONE) endpoints
    problems: list[str] = field(default_factory=list)  # log lines about nodes that cannot be read


@dataclass(slots=True)
class _NodeEndpoint:
    created_zxid: int
    modified_zxid: int
    endpoint: Endpoint

    @property
    def server(self) -> int:
        return self.endpoint.row.server


class RegistryEndpoints:
    """Keeps the endpoint of each node, and the nodes of each backend.

    A node is passed as None if it exists in the registry but its data may not be read.
    """

    def __init__(self, node_format: str, protocol: str = "http") -> None:
        """Read nodes in this format; `protocol` applies to backends whose nodes name none."""
        self._node_format = node_format
        self._reader = EndpointReader(protocol=protocol)
        self._endpoints_by_node: dict[str, _NodeEndpoint] = {}
        self._nodes_by_backend: dict[int, set[str]] = {}  # names of the nodes of each backend
        self._problems: dict[str, str] = {}  # by node that cannot be read: the problem that was last reported

    def __len__(self) -> int:
        """Return the number of backends."""
        return len(self._nodes_by_backend)

    def replace_all(self, nodes: Mapping[str, RegistryNode | None]) -> EndpointChanges:
        """Replace all nodes; the returned endpoints are the complete list."""
        for name in self._endpoints_by_node.keys() - nodes.keys():
            self._forget(name)
        for name in self._problems.keys() - nodes.keys():
            del self._problems[name]
        changes = EndpointChanges()
        for name, node in nodes.items():
            changes.problems += self._read(name, node)
        changes.endpoints = [self._endpoint(server) for server in self._nodes_by_backend]
        return changes

    def update_node(self, name: str, node: RegistryNode | None) -> EndpointChanges:
        """Process one node that is new or has changed."""
        before = self._endpoints_by_node.get(name)
        changes = EndpointChanges(problems=self._read(name, node))
        after = self._endpoints_by_node.get(name)
        if before is not None and (after is None or after.server != before.server):
            changes.endpoints += self._endpoints_after_removal(before)
        if after is not None and (before is None or before.endpoint != after.endpoint):
            changes.endpoints.append(self._endpoint(after.server))
        return changes

    def remove_node(self, name: str) -> EndpointChanges:
        """Process the deletion of one node."""
        self._problems.pop(name, None)
        known = self._forget(name)
        return EndpointChanges(endpoints=[] if known is None else self._endpoints_after_removal(known))

    def _endpoints_after_removal(self, known: _NodeEndpoint) -> list[Endpoint]:
        """Return the endpoint of a deleted node's backend: as its other nodes describe it, or as removed."""
        if known.server in self._nodes_by_backend:
            return [self._endpoint(known.server)]
        return [replace(known.endpoint, row=replace(known.endpoint.row, state=ServerState.GONE))]

    def _endpoint(self, server: int) -> Endpoint:
        names = self._nodes_by_backend[server]
        if len(names) == 1:
            return self._endpoints_by_node[next(iter(names))].endpoint
        return max((self._endpoints_by_node[name] for name in names), key=lambda node: node.created_zxid).endpoint

    def _read(self, name: str, node: RegistryNode | None) -> list[str]:
        """Parse a node's data; returns the lines to be logged about it."""
        if node is not None and self._is_known(name, node):
            return []  # unchanged nodes are not parsed again when all are read after a gap, which would block the loop
        try:
            if node is None:
                raise NodeDataError("it may not be read")
            entry = read_entry(self._node_format, name, node)
        except NodeDataError as error:
            return self._report(name, str(error))
        self._problems.pop(name, None)
        if entry is None:
            return []
        self._forget(name)
        known = _NodeEndpoint(node.created_zxid, node.modified_zxid, self._reader.endpoint(entry))
        self._endpoints_by_node[name] = known
        self._nodes_by_backend.setdefault(known.server, set()).add(name)
        return []

    def _is_known(self, name: str, node: RegistryNode) -> bool:
        known = self._endpoints_by_node.get(name)
        if known is None:
            return False
        return known.created_zxid == node.created_zxid and known.modified_zxid == node.modified_zxid

    def _report(self, name: str, problem: str) -> list[str]:
        """Return a log line about a problem of a node, unless the same problem has just been reported."""
        if self._problems.get(name) == problem:
            return []
        self._problems[name] = problem
        effect = "its backend stays as it was" if name in self._endpoints_by_node else "it is left out"
        return [f"node {name!r}: {problem}; {effect}"]

    def _forget(self, name: str) -> _NodeEndpoint | None:
        known = self._endpoints_by_node.pop(name, None)
        if known is None:
            return None
        names = self._nodes_by_backend[known.server]
        names.discard(name)
        if not names:
            del self._nodes_by_backend[known.server]
        return known
