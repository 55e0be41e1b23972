"""Reloads the settings file when it changes; an invalid file changes nothing."""

from __future__ import annotations

import os
from collections.abc import Callable

from lugspur.mesh import events
from lugspur.mesh.control.errors import MeshError
from lugspur.mesh.settings import Settings, load_settings

Version = tuple[int, int]  # modification time of the file in nanoseconds, and its size in bytes


class SettingsWatcher:
    """The settings in force, and the file that they were read from.

    `on_change` is called after each successful reload.
    """

    def __init__(self, path: str, settings: Settings, on_change: Callable[[], None]) -> None:
        self.settings = settings
        self._path = path
        self._on_change = on_change
        self._version = self._current_version()

    def check(self) -> None:
        """Reload the file if it has changed since the last read."""
        if self._current_version() != self._version:
            self.reload()

    def reload(self) -> None:
        """Read the file again; if it can't be used, the fault is logged and the former settings stay in force."""
        self._version = self._current_version()
        try:
            new_settings = load_settings(self._path)
        except MeshError as fault:
            events.warn("settings", fault=fault.detail)
            return
        self.settings = new_settings
        events.info("settings", seeds=",".join(new_settings.seeds), service=new_settings.own.service)
        self._on_change()

    def _current_version(self) -> Version:
        try:
            stat = os.stat(self._path)
        except OSError:
            return 0, 0
        return stat.st_mtime_ns, stat.st_size
