"""How long an answer takes at least, by the work that a request is expected to be."""

MIN_SAMPLES = 16  # answers before the baseline rejects anything: the first may have stood in a queue
REQUIRED_FRACTION = 0.6  # of the baseline that a request needs at least: costs are hints, servers differ
DECAY_FACTOR, RISE_FACTOR = 4.0, 100.0  # it follows a lower latency fast and a higher one slowly
REJECTION_DECAY = 0.94  # a rejection teaches nothing: no unfair baseline stays for good


class CostBaseline:
    """Baseline of latency, in seconds for each unit of cost."""

    def __init__(self) -> None:
        self.seconds_per_cost = 0.0
        self.samples = 0

    def observe(self, latency: float, cost: float) -> None:
        """Move the baseline by the latency of a success."""
        gap = latency / cost - self.seconds_per_cost
        if self.samples:
            gap /= DECAY_FACTOR if gap < 0.0 else RISE_FACTOR
        self.seconds_per_cost += gap
        self.samples += 1

    def min_seconds(self, cost: float) -> float:
        """The time that a request of this cost needs at least; 0 while too little is known."""
        return REQUIRED_FRACTION * self.seconds_per_cost * cost if self.samples >= MIN_SAMPLES else 0.0

    def count_rejected(self) -> None:
        """Lower the baseline: a request was rejected by it."""
        self.seconds_per_cost *= REJECTION_DECAY
