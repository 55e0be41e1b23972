"""The endpoints that the nodes of a registry describe. No I/O.

A backend may have several nodes for a while, an old one whose session has not expired and its next one. It counts once,
by the node that was created last. A node whose data becomes unreadable is no removal: its backend stays as it was.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from lugspur.discovery.endpoints import Endpoint, EndpointReader
from lugspur.discovery.node_formats import NodeDataError, RegistryNode, read_entry
from lugspur.load_balancing.model import ServerState


@dataclass(slots=True, kw_only=True)
class EndpointChanges:
    """What a change of nodes means for the list."""

    endpoints: list[Endpoint] = field(default_factory=list)  # those that are new or different; removed ones as GONE
    problems: list[str] = field(default_factory=list)  # lines for the log about nodes that cannot be read


@dataclass(slots=True)
class _NodeEndpoint:
    created_zxid: int
    modified_zxid: int
    endpoint: Endpoint

    @property
    def server(self) -> int:
        return self.endpoint.row.server


class RegistryEndpoints:
    """Keeps the endpoint of each node, and which nodes a backend has.

    A node is given as None where the registry has it but its data may not be read.
    """

    def __init__(self, form: str, protocol: str = "http") -> None:
        """Read nodes of this format; `protocol` is what backends speak whose nodes name none."""
        self._form = form
        self._reader = EndpointReader(protocol=protocol)
        self._by_node: dict[str, _NodeEndpoint] = {}
        self._nodes_of: dict[int, set[str]] = {}  # names of its nodes, by backend
        self._problems: dict[str, str] = {}  # what was last reported of a node that cannot be read

    def __len__(self) -> int:
        """Return the number of backends."""
        return len(self._nodes_of)

    def replace_all(self, nodes: Mapping[str, RegistryNode | None]) -> EndpointChanges:
        """Take these as all nodes that there are; the endpoints returned are the complete list."""
        for name in self._by_node.keys() - nodes.keys():
            self._forget(name)
        for name in self._problems.keys() - nodes.keys():
            del self._problems[name]
        changes = EndpointChanges()
        for name, node in nodes.items():
            changes.problems += self._read(name, node)
        changes.endpoints = [self._endpoint(server) for server in self._nodes_of]
        return changes

    def update_node(self, name: str, node: RegistryNode | None) -> EndpointChanges:
        """Take one node that is new or has changed."""
        before = self._by_node.get(name)
        changes = EndpointChanges(problems=self._read(name, node))
        after = self._by_node.get(name)
        if before is not None and (after is None or after.server != before.server):
            changes.endpoints += self._without(before)
        if after is not None and (before is None or before.endpoint != after.endpoint):
            changes.endpoints.append(self._endpoint(after.server))
        return changes

    def remove_node(self, name: str) -> EndpointChanges:
        """Take out one node that has been deleted."""
        self._problems.pop(name, None)
        known = self._forget(name)
        return EndpointChanges(endpoints=[] if known is None else self._without(known))

    def _without(self, known: _NodeEndpoint) -> list[Endpoint]:
        """Return the backend of a node that is gone: by its other nodes, or as removed."""
        if known.server in self._nodes_of:
            return [self._endpoint(known.server)]
        return [replace(known.endpoint, row=replace(known.endpoint.row, state=ServerState.GONE))]

    def _endpoint(self, server: int) -> Endpoint:
        names = self._nodes_of[server]
        if len(names) == 1:
            return self._by_node[next(iter(names))].endpoint
        return max((self._by_node[name] for name in names), key=lambda node: node.created_zxid).endpoint

    def _read(self, name: str, node: RegistryNode | None) -> list[str]:
        """Take over a node's data; returns what is to be logged of it."""
        if node is not None and self._is_known(name, node):
            return []  # Guards the loop after every gap: unchanged nodes are not parsed again.
        try:
            if node is None:
                raise NodeDataError("it may not be read")
            entry = read_entry(self._form, name, node)
        except NodeDataError as error:
            return self._report(name, str(error))
        self._problems.pop(name, None)
        if entry is None:
            return []
        self._forget(name)
        known = _NodeEndpoint(node.created_zxid, node.modified_zxid, self._reader.endpoint(entry))
        self._by_node[name] = known
        self._nodes_of.setdefault(known.server, set()).add(name)
        return []

    def _is_known(self, name: str, node: RegistryNode) -> bool:
        known = self._by_node.get(name)
        if known is None:
            return False
        return known.created_zxid == node.created_zxid and known.modified_zxid == node.modified_zxid

    def _report(self, name: str, problem: str) -> list[str]:
        """Guards the log: a node is named once for each thing that is wrong with it."""
        if self._problems.get(name) == problem:
            return []
        self._problems[name] = problem
        effect = "its box stays as it was" if name in self._by_node else "it is left out"
        return [f"node {name!r}: {problem}; {effect}"]

    def _forget(self, name: str) -> _NodeEndpoint | None:
        known = self._by_node.pop(name, None)
        if known is None:
            return None
        names = self._nodes_of[known.server]
        names.discard(name)
        if not names:
            del self._nodes_of[known.server]
        return known
