"""SWIM's failure detector: direct pings in turn, then indirect pings through other members, then suspicion.

SWIM (Das, Gupta, Motivala, 2002), sections 3.1 and 4; Lifeguard (2018), section IV-A, for longer probes and nacks.
In addition to both papers, a direct ping is repeated before other members are asked for indirect pings.
"""

from __future__ import annotations

from dataclasses import dataclass

from lugspur.daemon.gossip.context import ProtocolContext
from lugspur.daemon.gossip.dissemination import Dissemination
from lugspur.daemon.gossip.events import Address
from lugspur.daemon.gossip.membership import Membership
from lugspur.daemon.gossip.messages import Ack, MemberRecord, Nack, PingRequest
from lugspur.daemon.gossip.probe_order import ProbeOrder

# When a direct ping is repeated, as fractions of the probe's duration: the loss of one datagram in twenty is no reason
# to suspect a member.
PING_REPEAT_FRACTIONS = (0.2, 0.4)
INDIRECT_PING_FRACTION = 0.4  # when indirect pings are requested, as a fraction of the probe's duration
INDIRECT_PING_HELPERS = 4  # members that are asked to ping the target
NACK_PERIODS = 0.4  # protocol periods after which a helper sends a nack if the target has not sent it an ack
MAX_INDIRECT_PINGS = 256  # indirect pings in flight on behalf of other members


@dataclass(slots=True)
class _Probe:
    """The probe of the current period's target; times are in seconds of the local clock."""

    target_name: str
    sequence_number: int
    started_at: float
    repeat_times: list[float]  # when the direct ping is still to be repeated, the earliest time first
    indirect_at: float
    deadline: float
    helper_count: int = 0  # 0 while indirect pings have not been requested


@dataclass(slots=True)
class _IndirectPing:
    """A ping on behalf of another member, the requester, which is sent the ack or a nack."""

    requester_address: Address
    requester_name: str
    requester_sequence_number: int
    nack_at: float


class FailureDetector:
    """Probes one member in each protocol period, and pings members on behalf of others."""

    def __init__(
        self,
        context: ProtocolContext,
        membership: Membership,
        dissemination: Dissemination,
        probe_order: ProbeOrder,
    ) -> None:
        self._table, self._outbox, self._local_health = context.table, context.outbox, context.local_health
        self._sequence_numbers = context.sequence_numbers
        self._rng, self._period = context.rng, context.period_seconds
        self._membership, self._dissemination, self._probe_order = membership, dissemination, probe_order
        self._probe: _Probe | None = None
        self._indirect_pings: dict[int, _IndirectPing] = {}  # by the sequence numbers of this process's pings
        self._next_period_at = context.started_at

    # ---- time ------------------------------------------------------------------------------------

    def due(self) -> float:
        """Return when `tick` is due next, in seconds of the local clock."""
        times = [self._next_period_at]
        probe = self._probe
        if probe is not None:
            times += probe.repeat_times[:1]
            times.append(probe.deadline if probe.helper_count else probe.indirect_at)
            times.append(probe.deadline)
        times += [ping.nack_at for ping in self._indirect_pings.values()]
        return min(times)

    def tick(self, now: float, last_received_at: float) -> None:
        """Continue the probe of the current period, or begin the next one.

        Args:
            now: Seconds of the local clock.
            last_received_at: When the latest datagram of any member was received.
        """
        self._continue_probe(now, last_received_at)
        if now >= self._next_period_at and self._probe is None:
            self._begin_period(now)
        self._send_nacks(now)

    def resume_after_pause(self, now: float, paused_seconds: float) -> None:
        """Drop the probe that a pause of this process interrupted, since its ack may be waiting unread."""
        if self._probe is not None:
            self._probe = None
            self._next_period_at = now
        for ping in self._indirect_pings.values():
            ping.nack_at += paused_seconds

    def pause_until(self, time: float) -> float:
        """Drop the probe and begin none before this time; return when the next one begins."""
        self._probe = None
        self._next_period_at = max(self._next_period_at, time)
        return self._next_period_at

    def abandon_probe(self) -> None:
        """Drop the probe in progress, if any."""
        self._probe = None

    # ---- probes ----------------------------------------------------------------------------------

    def _begin_period(self, now: float) -> None:
        probe_periods = 1 + self._local_health.score
        started_at = self._next_period_at + self._period * probe_periods - self._period
        self._next_period_at = max(now, started_at) + self._period
        name = self._probe_order.next_target()
        if name is None:
            return
        probe_seconds = self._period * probe_periods
        self._probe = _Probe(
            target_name=name,
            sequence_number=self._sequence_numbers.next(),
            started_at=now,
            repeat_times=[now + fraction * probe_seconds for fraction in PING_REPEAT_FRACTIONS],
            indirect_at=now + INDIRECT_PING_FRACTION * probe_seconds,
            deadline=now + probe_seconds,
        )
        self._ping_target(now, self._probe)

    def _continue_probe(self, now: float, last_received_at: float) -> None:
        probe = self._probe
        if probe is None:
            return
        if not self._table.is_present(probe.target_name):
            self._probe = None
            return
        while probe.repeat_times and now >= probe.repeat_times[0]:
            probe.repeat_times.pop(0)
            self._ping_target(now, probe)
        if now >= probe.indirect_at and not probe.helper_count:
            self._request_indirect_pings(now, probe)
        if now >= probe.deadline:
            self._probe = None
            self._handle_probe_failure(now, probe, last_received_at)

    def _ping_target(self, now: float, probe: _Probe) -> None:
        name = probe.target_name
        address = self._table.members[name].record.address
        self._outbox.send(now, address, self._dissemination.ping(name, probe.sequence_number), name)

    def _request_indirect_pings(self, now: float, probe: _Probe) -> None:
        target = self._table.members[probe.target_name].record
        helpers = self._sample_helpers(target)
        probe.helper_count = max(1, len(helpers))
        request = PingRequest(probe.sequence_number, target.name, target.host, target.port)
        for name in helpers:
            self._outbox.send(now, self._table.members[name].record.address, request, name)

    def _sample_helpers(self, target: MemberRecord) -> list[str]:
        """Return a random sample of present members that are neither the target nor suspected themselves."""
        suspected = self._table.suspicions
        sampled = self._table.sample_present(self._rng, INDIRECT_PING_HELPERS + 1 + len(suspected))
        return [name for name in sampled if name != target.name and name not in suspected][:INDIRECT_PING_HELPERS]

    def _handle_probe_failure(self, now: float, probe: _Probe, last_received_at: float) -> None:
        # Protects other members from a process that receives nothing, neither from helpers nor from members that ping
        # it: the fault may be its own.
        if last_received_at < probe.started_at and self._table.present_count > 2:
            self._local_health.degrade()
        self._membership.suspect(now, probe.target_name)

    # ---- acks and indirect pings -----------------------------------------------------------------

    def receive_ack(self, now: float, ack: Ack) -> None:
        """End the probe that is acked, or forward the ack to the member that requested an indirect ping."""
        if self._probe is not None and ack.sequence_number == self._probe.sequence_number:
            self._probe = None
            self._local_health.improve()
        indirect = self._indirect_pings.pop(ack.sequence_number, None)
        if indirect is not None:
            forwarded_ack = self._dissemination.plain_ack(indirect.requester_sequence_number)
            self._outbox.send(now, indirect.requester_address, forwarded_ack, indirect.requester_name)

    def receive_ping_request(self, now: float, requester: str, request: PingRequest, source: Address) -> None:
        """Ping a member on behalf of the requester, unless too many such pings are in flight."""
        if len(self._indirect_pings) >= MAX_INDIRECT_PINGS:
            return
        sequence_number = self._sequence_numbers.next()
        self._indirect_pings[sequence_number] = _IndirectPing(
            requester_address=source,
            requester_name=requester,
            requester_sequence_number=request.sequence_number,
            nack_at=now + NACK_PERIODS * self._period,
        )
        ping = self._dissemination.ping(request.target_name, sequence_number)
        self._outbox.send(now, (request.target_host, request.target_port), ping, request.target_name)

    def _send_nacks(self, now: float) -> None:
        for sequence_number, indirect in tuple(self._indirect_pings.items()):
            if now >= indirect.nack_at:
                del self._indirect_pings[sequence_number]
                nack = Nack(indirect.requester_sequence_number)
                self._outbox.send(now, indirect.requester_address, nack, indirect.requester_name)
