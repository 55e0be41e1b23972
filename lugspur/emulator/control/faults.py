"""Faults of a random history: machines are lost as fast as the tolerance allows, and come back.

A machine counts as lost while it is down, frozen or cut off, and for `catch_up_s` afterwards. A replaced machine counts
as lost until its successor has run for that time. `Tolerance` limits how many machines and disks are lost at once. All
machines may lose power at once, together with their unsynced writes. Some settings ignore these limits, or let machines
that keep their disks be lost beyond them.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lugspur.emulator.control.checks import Violation
from lugspur.emulator.control.mesh_node import CATCH_UP_S, MeshNode
from lugspur.emulator.control.mesh_world import MeshWorld
from lugspur.emulator.control.settings import Setting
from lugspur.mesh.control.quorum import majority

# Seconds before the end of the fault period in which no new fault starts.
QUIET_END_S = 1.0
# Seconds within which a leaving process has to stop.
LEAVE_GRACE_S = 4.8
# Fraction of the machines with an empty disk, or back after a long absence, that are killed while they catch up.
KILLED_AGAIN_FRACTION = 0.3
# Fraction of the machines killed for a long absence that come back without their disk.
WIPED_FRACTION = 0.3
# Range of the duration of a long absence, in seconds.
ABSENCE_S = (20.0, 40.0)
# Faults that cause a long absence.
ABSENCE_FAULTS = ("kill", "freeze", "cut")
# Seconds within which a node that was away learns the changes that were decided before it came back.
MAX_CATCH_UP_S = 4.0
# Faults that may lose a machine's disk for good.
DISK_FAULTS = ("wipe", "replace", "leave")
# Faults; each one is listed as often as its relative frequency.
FAULTS = [
    *("kill", "kill", "wipe", "wipe", "replace", "replace", "leave", "leave", "freeze", "cut", "cut", "partial"),
    *("hang up", "hang up", "disk", "slow", "power", "zone"),
]


class FaultInjector:
    """Injects the faults of one history; `ends` is the time at which the last of them is over."""

    def __init__(self, world: MeshWorld, setting: Setting, rng: Random) -> None:
        self._world, self._setting, self._rng = world, setting, rng
        self._lost_until: dict[str, float] = {}
        self.ends = setting.fault_period_s
        for number in range(setting.absence_count):
            absence_period = setting.fault_period_s / setting.absence_count
            world.schedule(rng.uniform(1.0, absence_period / 3.0) + number * absence_period, self._start_random_absence)

    # ---- tolerated losses ------------------------------------------------------------------

    def _schedule(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a step of a fault, and extend `ends` beyond it."""
        self.ends = max(self.ends, self._world.now + delay + 0.01)
        self._world.schedule(delay, call)

    def _lost_machines(self) -> set[str]:
        return {ip for ip, until in self._lost_until.items() if until > self._world.now}

    def _may_inject(self, fault: str, ip: str) -> bool:
        """Whether a fault of one machine may be injected now."""
        if not self._setting.overlaps_losses:
            return self._may_lose(ip)
        return fault not in DISK_FAULTS or self._is_settled()

    def _is_settled(self) -> bool:
        """Whether no machine counts as lost, and all voters hold what was granted before: the next disk may be lost."""
        nodes = self._world.running_nodes()
        if self._lost_machines() or len(nodes) < len(self._world.nodes):
            return False
        membership = max(nodes, key=lambda node: node.replica.epoch).replica.membership
        complete = sum(node.replica.is_complete and not node.unsynced for node in nodes)
        return membership is not None and complete == len(membership.voters)

    def _may_lose(self, ip: str) -> bool:
        if self._lost_until.get(ip, 0.0) > self._world.now:
            return self._setting.ignores_tolerance and self._register_tolerates_loss(ip)
        if len(self._lost_machines()) < self._setting.max_lost_machines:
            return True
        return self._setting.ignores_tolerance and self._register_tolerates_loss(ip)

    def _register_tolerates_loss(self, ip: str) -> bool:
        """Whether all machines run, and the other voters that have the latest state on disk are a majority."""
        world = self._world
        nodes = list(world.nodes.values())
        if world.blocked_directions or not all(
            node.is_running and not node.frozen and not node.disk_fails for node in nodes
        ):
            return False
        if any(node.leaving for node in nodes):  # a leaving node may be replaced or lose its power at any moment
            return False
        latest = [node for node in nodes if node.replica.index == world.decided_states.last_index and not node.unsynced]
        membership = next((node.replica.membership for node in latest), None)
        if membership is None:
            return False
        holders = {(node.ip, node.replica.voter.uid) for node in latest if node.ip != ip}
        voters = [(voter.ip, voter.uid) for voter in membership.voters]
        return len(holders.intersection(voters)) >= majority(len(voters))

    def _mark_lost(self, ip: str, back_in: float) -> None:
        """Count a machine that is back in `back_in` seconds as lost until `catch_up_s` later."""
        self._lost_until[ip] = max(self._lost_until.get(ip, 0.0), self._world.now + back_in + CATCH_UP_S)

    # ---- selection of faults ---------------------------------------------------------------

    def inject_random_fault(self) -> None:
        """Inject a random fault if the tolerance allows it."""
        rng, world = self._rng, self._world
        if world.now > self._setting.fault_period_s - QUIET_END_S:
            return
        nodes = [node.ip for node in world.running_nodes()]
        if not nodes:
            return
        fault = rng.choice(FAULTS)
        if self._inject(fault, rng.choice(nodes), nodes):
            world.counters.faults[fault] = world.counters.faults.get(fault, 0) + 1

    def _inject(self, fault: str, ip: str, nodes: list[str]) -> bool:
        """Inject a fault unless the tolerance forbids it; return whether it was injected."""
        if fault == "hang up":
            return self._disconnect()
        if fault == "slow":
            return self._slow_disk(ip)
        if fault == "power":
            return self._lose_power(nodes)
        if fault == "zone":
            return self._lose_zone(self._world.nodes[ip].zone)
        if not self._may_inject(fault, ip):
            return False
        handlers: dict[str, Callable[[str], None]] = {
            "kill": self._kill,
            "wipe": self._wipe,
            "replace": self._replace,
            "leave": self._leave,
            "freeze": self._freeze,
            "cut": self._isolate,
            "partial": self._isolate_partially,
            "disk": self._fail_disk,
        }
        handlers[fault](ip)
        return True

    def end_faults(self) -> None:
        """End all faults: all machines run and reach each other."""
        world = self._world
        world.unblock(set(world.blocked_directions))
        world.slow_disks.clear()
        for ip, node in list(world.nodes.items()):
            self._recover_disk(ip)
            if node.is_running and node.frozen:
                world.resume(ip)
            elif not node.is_running:
                world.start(ip)

    # ---- connections, slow disks, power ------------------------------------------------------

    def _disconnect(self) -> bool:
        world, rng = self._world, self._rng
        pairs = [pair for pair, connection in world.connections.items() if connection.is_up and pair[0] in world.nodes]
        for pair in rng.sample(pairs, min(len(pairs), rng.randint(1, 4))):
            world.disconnect(*pair)
        return True

    def _slow_disk(self, ip: str) -> bool:
        self._world.slow_disks.add(ip)
        self._schedule(self._rng.uniform(0.5, 3.0), lambda: self._world.slow_disks.discard(ip))
        return True

    def _lose_power(self, nodes: list[str]) -> bool:
        """Take the power from several machines at once, together with their unsynced writes."""
        if self._rng.random() < 0.5:
            return False
        for ip in self._rng.sample(nodes, self._rng.randint(1, len(nodes))):
            self._kill(ip, 2.0)
        return True

    # ---- machines that stop and come back ----------------------------------------------------

    def _kill(self, ip: str, max_duration: float = 6.0) -> None:
        self._stop_for(ip, self._rng.uniform(0.1, max_duration))

    def _stop_for(self, ip: str, duration: float) -> None:
        self._mark_lost(ip, duration)
        self._world.stop(ip)
        self._schedule(duration, lambda: self._world.start(ip))

    def _wipe(self, ip: str) -> None:
        duration = self._rng.uniform(0.1, 3.0)
        self._stop_for(ip, duration)
        self._world.nodes[ip].wipe()
        if self._rng.random() < KILLED_AGAIN_FRACTION:
            self._kill_again(ip, duration)

    def _kill_again(self, ip: str, back_in: float) -> None:
        """Stop a machine for a moment once more while it catches up; `back_in` is the seconds until it is back."""
        second_stop_in = back_in + self._rng.uniform(0.05, 1.5)
        self._mark_lost(ip, second_stop_in + 0.3)
        self._schedule(second_stop_in, lambda: self._restart(ip))

    def _restart(self, ip: str) -> None:
        if ip in self._world.nodes:
            self._world.stop(ip)
            self._schedule(0.3, lambda: self._world.start(ip))

    def _replace(self, ip: str) -> None:
        """Replace a machine by one with another address and an empty disk."""
        world = self._world
        back_in = self._rng.uniform(0.2, 3.0)
        world.stop(ip)
        old_node = world.nodes.pop(ip)
        new_node = world.add_node(old_node.zone)
        world.seeds = [new_node.ip if seed == ip else seed for seed in world.seeds]
        self._lost_until.pop(ip, None)
        self._mark_lost(new_node.ip, back_in)
        self._schedule(back_in, lambda: world.start(new_node.ip))
        world.schedule(back_in, world.ticker(new_node.ip))
        if self._rng.random() < KILLED_AGAIN_FRACTION:
            self._kill_again(new_node.ip, back_in)

    def _leave(self, ip: str) -> None:
        """Have a process leave: it hands on its vote or is killed meanwhile, then it restarts or is replaced."""
        world, node = self._world, self._world.nodes[ip]
        node.leaving = True
        incarnation_number, until = node.incarnation_number, world.now + LEAVE_GRACE_S
        killed = world.now + self._rng.uniform(0.05, 2.0) if self._rng.random() < 0.4 else until
        self._lost_until[ip] = float("inf")

        def check_progress() -> None:
            if world.nodes.get(ip) is not node or not node.is_running or node.incarnation_number != incarnation_number:
                self._lost_until[ip] = world.now + CATCH_UP_S  # the node lost its power in the meantime
                return
            if world.now < min(until, killed) and not node.may_stop():
                self._schedule(0.1, check_progress)
                return
            self._lost_until.pop(ip)
            if self._rng.random() < 0.5:
                self._replace(ip)
            else:
                self._stop_for(ip, 0.5)

        self._schedule(0.1, check_progress)

    def _freeze(self, ip: str) -> None:
        self._freeze_for(ip, self._rng.uniform(0.2, 8.0))

    def _freeze_for(self, ip: str, duration: float) -> None:
        self._mark_lost(ip, duration)
        self._world.freeze(ip)
        self._schedule(duration, lambda: self._world.resume(ip))

    def _fail_disk(self, ip: str) -> None:
        duration = self._rng.uniform(0.3, 4.0)
        self._mark_lost(ip, duration)
        self._world.nodes[ip].disk_fails = True
        self._schedule(duration, lambda: self._recover_disk(ip))

    def _recover_disk(self, ip: str) -> None:
        node = self._world.nodes.get(ip)
        if node is not None:
            node.disk_fails = False
            if node.is_running and not node.frozen:
                node.sync()

    def _lose_zone(self, zone: str) -> bool:
        """Lose all machines of a zone, each with its disk or without it."""
        if not self._setting.max_lost_zones or self._lost_machines():
            return False
        if self._setting.overlaps_losses and not self._is_settled():
            return False
        for ip in [ip for ip, node in self._world.nodes.items() if node.zone == zone]:
            if self._rng.random() < 0.5:
                self._wipe(ip)
            else:
                self._kill(ip)
        return True

    # ---- isolated machines -------------------------------------------------------------------

    def _others(self, ip: str) -> list[str]:
        return [other for other in (*self._world.nodes, *self._world.proxies) if other != ip]

    def _isolate(self, ip: str) -> None:
        self._block(ip, self._others(ip), self._rng.uniform(0.3, 7.0))

    def _isolate_partially(self, ip: str) -> None:
        others = self._others(ip)
        peers = self._rng.sample(others, self._rng.randint(1, len(others)))
        self._block(ip, peers, self._rng.uniform(0.3, 7.0))

    def _block(self, ip: str, others: list[str], duration: float) -> None:
        world = self._world
        direction = self._rng.choice(("both", "in", "out"))
        blocked_directions = {(ip, other) for other in others if direction != "in"} | {
            (other, ip) for other in others if direction != "out"
        }
        self._mark_lost(ip, duration)
        world.blocked_directions |= blocked_directions
        if self._rng.random() < 0.5:
            world.disconnect_all(ip)
        self._schedule(duration, lambda: world.unblock(blocked_directions))

    # ---- long absences -----------------------------------------------------------------------

    def _start_random_absence(self) -> None:
        """Make a random machine absent while hundreds of changes are made."""
        world, rng = self._world, self._rng
        candidates = [node.ip for node in world.running_nodes() if self._may_lose(node.ip)]
        if not candidates:
            if world.now < self._setting.fault_period_s:
                self._schedule(0.2, self._start_random_absence)
            return
        ip = rng.choice(candidates)
        duration = rng.uniform(*ABSENCE_S)
        kind = rng.choice(ABSENCE_FAULTS)
        if kind == "kill":
            self._stop_for(ip, duration)
            if rng.random() < WIPED_FRACTION:
                world.nodes[ip].wipe()
        elif kind == "freeze":
            self._freeze_for(ip, duration)
        else:
            self._block(ip, self._others(ip), duration)
        node = world.nodes[ip]
        if rng.random() < KILLED_AGAIN_FRACTION:
            self._kill_again(ip, duration)
        else:
            self._schedule(duration, lambda: self._check_catch_up(node))
        name = f"away, {kind}"
        world.counters.faults[name] = world.counters.faults.get(name, 0) + 1

    def _check_catch_up(self, node: MeshNode) -> None:
        """Check that a node which is back learns within a bounded time what was decided while it was away."""
        world = self._world
        if world.nodes.get(node.ip) is not node or not node.is_running:
            return
        incarnation_number, target_index, returned_at = (
            node.incarnation_number,
            world.decided_states.last_index,
            world.now,
        )
        missed = target_index - node.replica.index

        def check_progress() -> None:
            if (
                world.nodes.get(node.ip) is not node
                or not node.is_running
                or node.incarnation_number != incarnation_number
                or node.frozen
            ):
                return
            elapsed = world.now - returned_at
            if node.replica.index < target_index:
                if elapsed > MAX_CATCH_UP_S and world.has_recent_quorum(MAX_CATCH_UP_S):
                    raise Violation(
                        f"{node.ip} missed {missed} changes while it was away and lacks some after {elapsed:.1f} s"
                    )
                self._schedule(0.05, check_progress)
                return
            world.counters.missed_changes = max(world.counters.missed_changes, missed)
            world.counters.caught_up_after_s = max(world.counters.caught_up_after_s, elapsed)

        check_progress()
