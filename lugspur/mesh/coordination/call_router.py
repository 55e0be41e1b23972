"""Routes the calls that this node accepts: to the leader, in one hop, or to a queue until there is a leader."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lugspur.mesh.control.effects import Effects
from lugspur.mesh.control.messages.coordination import CoordinationCall, CoordinationReply
from lugspur.mesh.control.messages.coordination_records import Command, CommandFailed, Result
from lugspur.mesh.coordination.pending import PendingCommand

CALL_TIMEOUT_SECONDS = 0.8  # maximum time until a call has a result, as callers retry at another node after a second
MAX_CALLS = 512  # calls that wait for a result at this node; further ones are rejected


@dataclass(slots=True)
class ForwardedCall:
    """A call that was forwarded to the leader."""

    pending: PendingCommand
    leader: str


class CallRouter:
    """The calls that one node has accepted and that have no result yet."""

    def __init__(
        self,
        own_ip: str,
        submit_here: Callable[[float, PendingCommand], Effects],
        clock_of: Callable[[str], float | None],
    ) -> None:
        """`submit_here` has this node decide a command; `clock_of` returns a voter's clock, or None if unknown."""
        self._own_ip, self._submit_here, self._clock_of = own_ip, submit_here, clock_of
        self._waiting: list[PendingCommand] = []  # calls that wait for a reachable leader
        self._forwarded: dict[int, ForwardedCall] = {}
        self._last_number = 0
        self._open_calls = 0

    def __len__(self) -> int:
        return self._open_calls

    def submit(self, now: float, leader: str | None, command: Command, on_result: Callable[[Result], None]) -> Effects:
        """Have the leader run a command."""
        self._open_calls += 1

        def on_finished(result: Result) -> None:
            self._open_calls -= 1
            on_result(result)

        pending = PendingCommand(command, now + CALL_TIMEOUT_SECONDS, on_finished)
        if self._open_calls > MAX_CALLS:  # Guards memory and the leader against a flood of calls.
            pending.reject("too many calls in hand")
            return Effects()
        return self._route(now, leader, pending)

    def _route(self, now: float, leader: str | None, pending: PendingCommand) -> Effects:
        if leader == self._own_ip:
            return self._submit_here(now, self._local_command(pending))
        clock = None if leader is None else self._clock_of(leader)
        if leader is None or clock is None:
            self._waiting.append(pending)
            return Effects()
        self._last_number += 1
        self._forwarded[self._last_number] = ForwardedCall(pending, leader)
        call = CoordinationCall(self._last_number, clock, pending.deadline - now, pending.command)
        return Effects(send=[(leader, call)])

    def _local_command(self, pending: PendingCommand) -> PendingCommand:
        """Return the command for this node's own proposer, which may fail without ending the call."""
        return PendingCommand(pending.command, pending.deadline, lambda result: self._take_result(pending, result))

    def _take_result(self, pending: PendingCommand, result: Result) -> None:
        if isinstance(result, CommandFailed) and result.may_retry:
            self._waiting.append(pending)  # the command had no effect, and another node may lead by now
        else:
            pending.finish(result)

    def handle_reply(self, message: CoordinationReply) -> None:
        """Handle the leader's reply to a call."""
        call = self._forwarded.pop(message.number, None)
        if call is not None:
            self._take_result(call.pending, message.result)

    def disconnected(self, ip: str) -> None:
        """Handle the end of the connection to a node: calls forwarded to it may have run, so only reads are retried."""
        for number, call in list(self._forwarded.items()):
            if call.leader != ip:
                continue
            del self._forwarded[number]
            if call.pending.is_read:
                self._waiting.append(call.pending)
            else:
                call.pending.fail_as_unclear()

    def tick(self, now: float, leader: str | None) -> Effects:
        """Fail expired calls, and route those that wait."""
        for number, call in list(self._forwarded.items()):
            if call.pending.deadline <= now:
                del self._forwarded[number]
                call.pending.fail_as_unclear()
        return self.route_waiting(now, leader)

    def route_waiting(self, now: float, leader: str | None) -> Effects:
        """Route the calls that wait for a leader, and reject expired ones."""
        effects = Effects()
        waiting, self._waiting = self._waiting, []
        for pending in waiting:
            if pending.is_done:
                continue
            if pending.deadline <= now:
                pending.reject("no leader could be reached")
            else:
                effects.add(self._route(now, leader, pending))
        return effects
