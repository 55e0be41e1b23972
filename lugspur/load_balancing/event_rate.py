"""Smoothed rate of events."""

SMOOTHING_SECONDS = 2.0  # without events, after which the rate is 0


class EventRate:
    """Events a second, smoothed over SMOOTHING_SECONDS."""

    __slots__ = ("_updated_at", "_value")

    def __init__(self) -> None:
        self._value = self._updated_at = 0.0

    def count(self, now: float) -> None:
        """Count one event."""
        self._value = self.per_second(now) + 1.0 / SMOOTHING_SECONDS
        self._updated_at = now

    def per_second(self, now: float) -> float:
        """Return events a second as of `now`."""
        return self._value * max(0.0, 1.0 - (now - self._updated_at) / SMOOTHING_SECONDS)

    def export_learned(self) -> tuple[float, float]:
        """Return the rate and the time of its latest event."""
        return self._value, self._updated_at

    def import_learned(self, learned: tuple[float, float]) -> None:
        """Continue from the rate of another instance."""
        self._value, self._updated_at = learned
