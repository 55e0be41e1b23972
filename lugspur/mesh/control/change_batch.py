"""Batches of change requests, which are checked against the decided state and against each other."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lugspur.mesh.control.capacity import item_bytes, max_configuration_bytes
from lugspur.mesh.control.change_requests import ChangeRequest
from lugspur.mesh.control.errors import ErrorKind, MeshError
from lugspur.mesh.control.items import EntryOverlay, check_changes
from lugspur.mesh.control.messages import Change, Entry
from lugspur.mesh.control.register import Register

# Limits of a change that combines several requests: a change is sent and written as a whole.
MAX_BATCHED_ITEMS = 64
MAX_BATCHED_BYTES = 1 << 20  # sum of the sizes of the values


class RegisterView:
    """The decided items as `items.check_changes` reads them."""

    def __init__(self, register: Register) -> None:
        self._register = register

    def get(self, kind: str, name: str) -> Entry | None:
        """Return the entry of a name, which may be a withdrawal."""
        item = self._register.items.get((kind, name))
        return None if item is None else item.entry

    def values_of(self, kind: str) -> dict[str, bytes]:
        """Return the values of a kind by name, without withdrawn ones."""
        values = {}
        for (item_kind, name), item in self._register.items.items():
            if item_kind == kind and item.entry.value is not None:
                values[name] = item.entry.value
        return values


class ChangeBatch:
    """The requests of one change. `disk_sizes`: the capacity of each control node's disk in bytes, 0 where unknown."""

    def __init__(self, change_id: str, register: Register, disk_sizes: Callable[[], Iterable[int]]) -> None:
        self.change_id = change_id
        self._register = register
        self._disk_sizes = disk_sizes
        self._view = RegisterView(register)
        self._overlay = EntryOverlay(self._view)

    @property
    def is_empty(self) -> bool:
        """Whether no request has been added yet."""
        return not self._overlay.entries

    def effective_entries(self, request: ChangeRequest) -> list[Entry]:
        """Return the entries of a request that take effect; raises MeshError if it conflicts with the decided state."""
        effective = check_changes(request.entries, self._view)
        self._check_size(effective)
        return effective

    def _check_size(self, effective: list[Entry]) -> None:
        """Guard all disks: a change that one of them can't store would fail there each time that it is proposed."""
        register = self._register
        added = 0
        for entry in effective:
            current = register.items.get((entry.kind, entry.name))
            added += item_bytes(entry) - (0 if current is None else item_bytes(current.entry))
        limit = max_configuration_bytes(register.size_bytes, self._disk_sizes())
        size = register.size_bytes + added
        if added > 0 and limit and size > limit:
            raise MeshError(ErrorKind.TOO_LARGE, f"all items would have {size} bytes, the smallest disk takes {limit}")

    def may_add(self, request: ChangeRequest, effective: list[Entry]) -> bool:
        """Whether a request may be added; otherwise it waits for the next change."""
        return self._is_independent(request, effective) and self._has_room(effective)

    def _is_independent(self, request: ChangeRequest, effective: list[Entry]) -> bool:
        """Whether a request has the same effect together with the requests that were added before."""
        if any((entry.kind, entry.name) in self._overlay.entries for entry in effective):
            return False
        try:
            return check_changes(request.entries, self._overlay) == effective
        except MeshError:
            return False

    def _has_room(self, effective: list[Entry]) -> bool:
        """Whether these entries fit into the batch; the first request always does."""
        if self.is_empty:
            return True
        size = sum(len(entry.value or b"") for entry in (*self._overlay.entries.values(), *effective))
        return len(self._overlay.entries) < MAX_BATCHED_ITEMS and size <= MAX_BATCHED_BYTES

    def add(self, effective: list[Entry]) -> None:
        """Add the entries of a request."""
        self._overlay.add(effective)

    def change(self) -> Change | None:
        """Return the change of all requests that were added, or None if there are none."""
        return None if self.is_empty else Change(self.change_id, list(self._overlay.entries.values()))
