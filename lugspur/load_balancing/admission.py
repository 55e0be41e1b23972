"""Whether a request is taken at all, and until when an answer of it earns something."""

from __future__ import annotations

from math import exp, log, sqrt
from random import Random

from lugspur.load_balancing.model import Settings
from lugspur.load_balancing.servers import Pool, Request

AIM_PART = 0.98  # attempts end this early in the wanted time: the answer still has to reach the client
LATE_KEPT = 0.5  # classes whose late answers keep more of their worth are waited for
ROOM = 0.7  # the dearest class is taken while the tier's expected latency is under this part of its aim...
ROOM_LEAST = 0.35  # ...one worth nothing under this part
ROOM_LOST = 0.57  # ...each shrinks to this part of itself, at servers that lose what they are sent...
ROOM_SLOPE = 8.0  # ...which it reaches where one request in so many fails
ROOM_TRIED = 0.1  # part of the offered rate that counts as served: stuck requests must not hold all room
ROOM_ALWAYS = 3.0  # requests that are taken whatever was served lately: a start, a proxy with few calls...
ROOM_CHANCE = 2.0  # ...and so many for each server of its part, beyond one by the root: what comes by chance
SHARE_SPAN = 5.0  # seconds of its share that a tenant may use at once: a burst, not a surplus
POOL_PROTECTION = 1.0  # requests that never count against a pool: all of a proxy's calls fill its window...
POOL_KEEPS = 0.85  # ...worthless requests are refused beyond 1 / this times those served...
POOL_WORTH = 0.45  # ...the dearest beyond 1 / (this less)
PACED = 16  # answers before the baseline by cost refuses anything: the first may have stood in a queue
HOPELESS = 0.6  # a request needs this part of that baseline at least: costs are hints, servers differ
LENGTHS_MOST = 256  # lengths of tries that are told apart; rarer ones are forgotten first


class Admission:
    """The part of a balancer that says no; what it goes by is the balancer's."""

    settings: Settings
    rng: Random
    pool_of: list[Pool]
    shares: list[float]
    due: list[float]
    due_at: list[float]
    room: list[float]
    accept_worth: list[float]
    pace: float
    paced: int
    lengths: list[dict[int, int]]
    usual: list[int]

    def _least(self, request: Request) -> float:
        return HOPELESS * self.pace * request.cost if self.paced >= PACED else 0.0

    def _over_share(self, now: float, tenant: int) -> bool:
        """Whether a request is beyond its tenant's share, by a token bucket filled at this instance's part.

        Guards the others against one tenant's burst: what is over the share is worth little and goes first.
        Acts where requests fail, in the measure that they do. Could harm where one instance has most of a
        tenant's traffic: its part of the share is soon used up.
        """
        share = self.shares[tenant] if self.shares else 0.0
        if share <= 0.0:
            return False
        due = self.due[tenant] + share * (now - self.due_at[tenant])
        self.due[tenant] = due = min(due, 1.0 + SHARE_SPAN * share)
        self.due_at[tenant] = now
        if due < 1.0:
            return True
        self.due[tenant] -= 1.0
        return False

    def _always(self, pool: Pool) -> float:
        """How many requests may be owed here whatever was served lately.

        Guards thin traffic: what one of many proxies has in hand by chance is no queue while servers could
        take it. Chance goes with the root of the part of the tier that is this proxy's; never more than two a
        server, one in work and one that waits, so that all proxies together stay under that sum.
        """
        part = len(pool.ready) / self.settings.instance_count
        return ROOM_ALWAYS + ROOM_CHANCE * min(part, sqrt(part))

    def _admits(self, now: float, kind: int, over: bool) -> bool:
        """Whether the tiers below can be expected to serve one more request of this class in time.

        Guards against overload: what would end late is refused at once, before it costs work, and the
        cheapest class first. Acts at the first tier alone (a refusal further down wastes the work above), by
        pool, so that a jam of a bound class holds no room of the others: once the requests owed, over those
        served a second, make a wait too long for the class, or by the design's throttle over whole requests.
        The wait shrinks with the part that fails: queues that lose requests must drain before they serve.
        The throttle guards against sparse windows: at many proxies each breaker of one server stays under its
        protection while all of them fail. Could harm: a short burst at a proxy with few calls is refused.
        """
        if self.settings.tier:
            return True
        pool = self.pool_of[kind]
        shrink = min(1.0, ROOM_SLOPE * pool.breaker.failure_ratio(now))
        room = (1.0 - (1.0 - ROOM_LOST) * shrink) * self.room[kind]
        if over:
            room *= 1.0 - (1.0 - self.settings.over_quota_value) * shrink
        age = now - pool.born
        # Guards the start: nothing can have been served yet, and smoothed rates still count from zero.
        served = pool.rate.per_second(now) * (1.0 if age < room else ROOM_TRIED)
        served = max(served, pool.served.per_second(now))
        served /= 1.0 - exp(-max(age, 0.2) / 2.0)
        if pool.owed > room * served + self._always(pool):
            return False
        if self.rng.random() < pool.breaker.error_probability(now, self.accept_worth[kind], POOL_PROTECTION):
            pool.breaker.count_rejected(now)
            return False
        return True

    def _worth_until(self, now: float, kind: int, deadline: float, retry: bool) -> float:
        """Until when an answer earns something.

        Guards against work for answers that are worth little: servers full of it keep timely ones waiting.
        Acts where late answers lose half or more. First tries of a class all last alike and are the
        commonest; another length is a client's last try, begun a class deadline before its end. Where clients
        mark their repeats an unmarked try is the first, however short: that client has little patience.
        """
        row = self.settings.classes[kind]
        if row.late_value > LATE_KEPT or row.streaming:
            return deadline
        begun = now
        if self.settings.tier == 0:
            seen, length = self.lengths[kind], round(50.0 * log(max(deadline - now, 1e-6)))
            seen[length] = seen.get(length, 0) + 1
            if len(seen) > LENGTHS_MOST:  # Guards memory against callers that never ask for the same time.
                self.lengths[kind] = seen = {k: n // 2 for k, n in seen.items() if n > 1}
            if seen[length] > seen.get(self.usual[kind], 0):
                self.usual[kind] = length
            may_repeat = retry or not self.settings.clients_mark_retries
            if may_repeat and abs(length - self.usual[kind]) > 1 and seen[self.usual[kind]] >= 4:
                begun = min(now, deadline - row.deadline)
        elif self.settings.callers_pass_deadline:
            return deadline
        return min(deadline, begun + AIM_PART * row.latency_target)
