"""Commands that wait for their result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.mesh.control.errors import ErrorKind
from lugspur.mesh.control.messages.coordination_records import Command, CommandFailed, ReadCell, ReadGroup, Result


@dataclass(slots=True, eq=False)
class PendingCommand:
    """A command that waits for its result until `deadline`; `on_result` is called once."""

    command: Command
    deadline: float
    on_result: Callable[[Result], None]
    is_done: bool = False

    @property
    def is_read(self) -> bool:
        """Whether the command can't change anything, so that it may be run any number of times."""
        return isinstance(self.command, ReadCell | ReadGroup)

    def finish(self, result: Result) -> None:
        """Pass the result to the caller, unless the command already has one."""
        if not self.is_done:
            self.is_done = True
            self.on_result(result)

    def reject(self, detail: str, *, may_retry: bool = False) -> None:
        """Fail a command that had no effect; `may_retry`: another node may be able to run it."""
        self.finish(CommandFailed(ErrorKind.NO_QUORUM.value, detail, may_retry))

    def fail_as_unclear(self) -> None:
        """Fail a command that was proposed or forwarded, and whose outcome is unknown."""
        if self.is_read:
            self.reject("too few voters answered")
        else:
            self.finish(CommandFailed(ErrorKind.UNCLEAR.value, "it may take effect"))
