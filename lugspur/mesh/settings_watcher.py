"""Notices that the settings file has changed and takes it up; a bad file changes nothing."""

from __future__ import annotations

import os
from collections.abc import Callable

from lugspur.mesh import events
from lugspur.mesh.control.errors import MeshError
from lugspur.mesh.settings import Settings, load_settings

Version = tuple[int, int]  # the time of the file's latest change in nanoseconds, and its size in bytes


class SettingsWatcher:
    """The settings that are in force, and the file that they came from.

    `on_change` is called after each reload that succeeded.
    """

    def __init__(self, path: str, settings: Settings, on_change: Callable[[], None]) -> None:
        self.settings = settings
        self._path = path
        self._on_change = on_change
        self._version = self._current_version()

    def check(self) -> None:
        """Reload the file if it has changed since it was last read."""
        if self._current_version() != self._version:
            self.reload()

    def reload(self) -> None:
        """Read the file again; where it can't be used the fault is logged, and the former settings stay in force."""
        self._version = self._current_version()
        try:
            fresh = load_settings(self._path)
        except MeshError as fault:
            events.warn("settings", fault=fault.detail)
            return
        self.settings = fresh
        events.info("settings", seeds=",".join(fresh.seeds), service=fresh.own.service)
        self._on_change()

    def _current_version(self) -> Version:
        try:
            stat = os.stat(self._path)
        except OSError:
            return 0, 0
        return stat.st_mtime_ns, stat.st_size
