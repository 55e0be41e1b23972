"""Random histories: operators, readers and proxies during faults (see `faults`), until the mesh has recovered."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.faults import FaultInjector
from lugspur.emulator.control.mesh_world import HistoryCounters, MeshWorld
from lugspur.emulator.control.operators import CALLER_TIMEOUT_S, MAX_ATTEMPTS, Operators
from lugspur.emulator.control.register_world import SERVICE
from lugspur.emulator.control.settings import Setting
from lugspur.mesh.control.change_requests import Confirmed
from lugspur.mesh.control.messages import Entry
from lugspur.mesh.control.quorum import majority

# Seconds after the last fault within which the mesh has to recover.
MAX_RECOVERY_S = 20.0
# The same after losses that overlap: `recovery_s` of the deployments.
MAX_RECOVERY_AFTER_OVERLAP_S = 15.0
# Mean seconds between two faults.
FAULT_INTERVAL_S = 0.35
# Mean seconds between two reads.
READ_INTERVAL_S = 0.3
# Mean seconds between two reservations.
RESERVATION_INTERVAL_S = 0.15
# Maximum number of open reservations of one proxy; with more it starts no other.
MAX_OPEN_RESERVATIONS = 6
# Number of reservations after which a new key is introduced.
RESERVATIONS_PER_KEY = 8
# Fraction of the reservations that are for a key whose operation has run.
REPEATED_FRACTION = 0.4


class History:
    """One random history, which the seed determines."""

    def __init__(self, seed: int, setting: Setting) -> None:
        self.rng = Random(seed * 7919 + 1)
        self.setting = setting
        self.world = MeshWorld(seed, setting)
        self.counters: HistoryCounters = self.world.counters
        self.operators = Operators(self.world, setting, self.rng)
        self.faults = FaultInjector(self.world, setting, self.rng)
        self.reservation_count = 0
        self.is_running = True

    # ---- course of a history ---------------------------------------------------------------

    def play(self) -> HistoryCounters:
        """Play the history until the mesh has recovered; raises Violation."""
        world = self.world
        self._run(1.0)
        world.schedule(0.0, lambda: self.operators.submit(SERVICE))
        for interval, action in (
            (self.setting.mean_request_interval_s, self.operators.send_random_request),
            (READ_INTERVAL_S, self._send_random_read),
            (RESERVATION_INTERVAL_S, self._send_random_reservation),
            (FAULT_INTERVAL_S, self.faults.inject_random_fault),
        ):
            self._repeat(interval, action)
        while world.now < self.faults.ends:
            self._run(self.faults.ends)
        self.is_running = False
        self.faults.end_faults()
        self._recover()
        self._check_every_node()
        world.request_checker.check_history()
        self.counters.changes = world.decided_states.last_index
        self.counters.epochs = max(node.replica.epoch for node in world.running_nodes())
        return self.counters

    def _recover(self) -> None:
        world, recovery_started_at = self.world, self.world.now
        recovery_s = MAX_RECOVERY_AFTER_OVERLAP_S if self.setting.overlaps_losses else MAX_RECOVERY_S
        limit_s = recovery_s + self.setting.complete_by_time
        while not self._has_recovered():
            if world.now > recovery_started_at + limit_s:
                raise Violation(f"not recovered {limit_s:g} s after the last fault: {self._describe_nodes()}")
            self._run(world.now + 0.25)
        self.counters.recovered_after_s = world.now - recovery_started_at

    def _run(self, until: float) -> None:
        self.world.clock.run_until(until)

    def _repeat(self, interval: float, action: Callable[[], None]) -> None:
        def run() -> None:
            if self.is_running:
                action()
                self.world.schedule(self.rng.expovariate(1.0 / interval), run)

        self.world.schedule(self.rng.expovariate(1.0 / interval), run)

    # ---- readers and proxies -----------------------------------------------------------------

    def _send_random_read(self) -> None:
        nodes = self.world.running_nodes()
        if nodes:
            self.world.read(self.rng.choice(nodes).ip, lambda latest: None)

    def _send_random_reservation(self) -> None:
        world, rng = self.world, self.rng
        proxy = rng.choice(list(world.proxies.values()))
        world.update_membership(proxy)
        proxy.reservations.tick(world.now)
        if len(proxy.reservations) > MAX_OPEN_RESERVATIONS:
            return
        self.reservation_count += 1
        key = b"k%d" % (self.reservation_count // RESERVATIONS_PER_KEY + rng.randrange(3))
        # A repeated key is often so old that all voters may have been replaced since its operation ran.
        if world.key_checker.runs and rng.random() < REPEATED_FRACTION:
            key = rng.choice(list(world.key_checker.runs))
        world.reserve_and_run(proxy, key, b"a%d" % self.reservation_count)

    # ---- checks after the faults -----------------------------------------------------------

    def _has_recovered(self) -> bool:
        """Whether enough voters run, a majority of them has all reservations, and all nodes have the latest state."""
        nodes = list(self.world.nodes.values())
        if not all(node.is_running and not node.frozen for node in nodes):
            return False
        membership = nodes[0].replica.membership
        if membership is None or {node.replica.index for node in nodes} != {self.world.decided_states.last_index}:
            return False
        peers_to_connect = min(self.setting.tolerance.voter_count, len(nodes))
        complete = [node for node in nodes if node.replica.is_complete]
        if len(membership.voters) < peers_to_connect or len(complete) < majority(len(membership.voters)):
            return False
        return all(node.age(self.world.now) < 1.0 for node in nodes)

    def _check_every_node(self) -> None:
        """Check that every node confirms a change request and a read."""
        world = self.world
        for number, ip in enumerate(world.nodes):
            outcomes: list[object] = []
            for _ in range(MAX_ATTEMPTS):
                world.submit_change(ip, [Entry("notes", "last", number + 1, b"x")], outcomes.append)
                self._run(world.now + CALLER_TIMEOUT_S)
                if any(isinstance(outcome, Confirmed) for outcome in outcomes):
                    break
            else:
                raise Violation(f"{ip} confirms no request after recovery: {outcomes}")
            read: list[bool] = []
            world.read(ip, read.append)
            self._run(world.now + CALLER_TIMEOUT_S)
            if read != [True]:
                raise Violation(f"{ip} confirms no read after recovery")

    def _describe_nodes(self) -> str:
        descriptions = []
        for ip, node in self.world.nodes.items():
            replica = node.replica
            voters = [voter.ip for voter in replica.membership.voters] if replica.membership is not None else []
            descriptions.append(
                f"{ip} index {replica.index} epoch {replica.epoch} complete {replica.complete_epoch} {voters}"
            )
        return "; ".join(descriptions)


def play(seed: int, setting: Setting) -> HistoryCounters:
    """Play one history and return its counters; raises Violation."""
    return History(seed, setting).play()
