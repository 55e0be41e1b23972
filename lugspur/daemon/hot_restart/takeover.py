"""Takes over the listening socket and the state of the serving process."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from lugspur.daemon.hot_restart.descriptors import close_all
from lugspur.daemon.hot_restart.packets import Packet, PacketError
from lugspur.daemon.hot_restart.process_state import ProcessState, StateAssembler


@dataclass(slots=True, frozen=True)
class Takeover:
    """The listening socket and the state that a starting process has received from its predecessor."""

    listener: socket.socket  # of the clients
    state: ProcessState


class PendingTakeover:
    """A takeover that was requested, and whose reply may be incomplete."""

    def __init__(self) -> None:
        """Start to wait for the reply; needs a running event loop."""
        self._result: asyncio.Future[Takeover] = asyncio.get_running_loop().create_future()
        self._state_parts = StateAssembler()

    async def result(self, timeout_seconds: float) -> Takeover:
        """Wait for the complete reply; raises TimeoutError, or PacketError if the takeover is rejected or fails."""
        return await asyncio.wait_for(self._result, timeout_seconds)

    def receive_part(self, packet: Packet, descriptors: list[int]) -> None:
        """Add a part of the state; the last one has to come with the listening socket and no other descriptor."""
        try:
            state = self._state_parts.add(packet)
            if state is None or self._result.done():
                return
            if len(descriptors) != 1:
                raise PacketError("the state came without the listening socket")
            self._result.set_result(Takeover(socket.socket(fileno=descriptors.pop()), state))
        except PacketError as error:
            self._set_error(error)
        finally:
            close_all(descriptors)

    @property
    def is_pending(self) -> bool:
        """Whether the reply is still incomplete."""
        return not self._result.done()

    def fail(self, reason: str) -> None:
        """End the wait without a reply; does nothing if it has ended already."""
        self._set_error(PacketError(reason))

    def _set_error(self, error: PacketError) -> None:
        if not self._result.done():
            self._result.set_exception(error)
