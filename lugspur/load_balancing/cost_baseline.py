"""Estimates the least time that a request takes, from the cost that its caller states."""

MIN_SAMPLES = 16  # responses before the baseline rejects requests: the first ones may have waited in a queue
REQUIRED_FRACTION = 0.6  # part of the baseline that a request surely takes: costs are hints, servers differ
DECAY_FACTOR, RISE_FACTOR = 4.0, 100.0  # the baseline follows a lower latency fast and a higher one slowly
REJECTION_DECAY = 0.94  # lowers the baseline at each rejection, so that one that is too high does not last


class CostBaseline:
    """Baseline of the latency, in seconds for each unit of cost."""

    def __init__(self) -> None:
        self.seconds_per_cost = 0.0
        self.samples = 0

    def observe(self, latency: float, cost: float) -> None:
        """Update the baseline with the latency of a success."""
        gap = latency / cost - self.seconds_per_cost
        if self.samples:
            gap /= DECAY_FACTOR if gap < 0.0 else RISE_FACTOR
        self.seconds_per_cost += gap
        self.samples += 1

    def min_seconds(self, cost: float) -> float:
        """Return the least seconds that a request of this cost takes; 0 while there are too few samples."""
        return REQUIRED_FRACTION * self.seconds_per_cost * cost if self.samples >= MIN_SAMPLES else 0.0

    def count_rejected(self) -> None:
        """Lower the baseline after it rejected a request."""
        self.seconds_per_cost *= REJECTION_DECAY
