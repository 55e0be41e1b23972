"""Decides when to request the server list from a discovery service that does not push it."""

from random import Random

from lugspur.load_balancing.model import Action, DiscoveryMode, Settings, StartTimer, Subscribe

SUBSCRIBE_TOKEN = 1  # token of the timer
FIRST_RETRY_DELAY_SECONDS = 1.0  # after a failure; doubles with each further one
START_FRACTION = 0.4  # part of the discovery interval over which the first calls of all instances are spread


class DiscoverySubscription:
    """Subscribes at the start, and again after failures with exponential backoff and jitter."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._is_timer_running = False
        self._retry_delay = FIRST_RETRY_DELAY_SECONDS

    def start(self, now: float, settings: Settings) -> list[Action]:
        """Schedule the first call, at random: all instances start together, and their calls are spread."""
        if settings.discovery is not DiscoveryMode.ON_REQUEST:
            return []
        spread = START_FRACTION * settings.rules.discovery_interval
        return self._subscribe_in(now, spread * self._rng.random())

    def list_failed(self, now: float, settings: Settings) -> list[Action]:
        """Schedule a retry; the delay doubles and has jitter, as all instances fail at the same time."""
        delay = self._retry_delay * (0.5 + self._rng.random())
        self._retry_delay = min(
            2.0 * self._retry_delay, max(FIRST_RETRY_DELAY_SECONDS, settings.rules.discovery_interval)
        )
        return self._subscribe_in(now, delay)

    def list_received(self) -> None:
        """Reset the retry delay: discovery works."""
        self._retry_delay = FIRST_RETRY_DELAY_SECONDS

    def fire_timer(self, token: int) -> list[Action]:
        """Subscribe now; stale timers are ignored."""
        if token == SUBSCRIBE_TOKEN and self._is_timer_running:
            self._is_timer_running = False
            return [Subscribe()]
        return []

    def _subscribe_in(self, now: float, delay: float) -> list[Action]:
        if self._is_timer_running:
            return []
        self._is_timer_running = True
        return [StartTimer(now + delay, SUBSCRIBE_TOKEN)]
