"""Attempt deadlines: the time until which a response to a request is useful to its client."""

from __future__ import annotations

from math import log

from lugspur.load_balancing.model import Settings

TARGET_FRACTION = 0.98  # of the latency target, at which attempts end: responses have to reach the client
MAX_LATE_VALUE = 0.5  # where late responses keep more of their value, attempts run beyond the target
MAX_LENGTHS = 256  # lengths of clients' attempts that are counted; the rarest are forgotten first
MIN_USUAL_ATTEMPTS = 4  # attempts of the usual length before another length is taken for a retry's


class AttemptDeadlines:
    """Infers from the time that clients leave for a request whether it is the client's first attempt."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        # Counts by length in steps of 2%.
        self._lengths: list[dict[int, int]] = [{} for _ in settings.classes]
        self._usual_length = [0] * len(settings.classes)

    def with_settings(self, settings: Settings) -> AttemptDeadlines:
        """Return attempt deadlines for other settings; the counts of classes that are unchanged are kept."""
        new = AttemptDeadlines(settings)
        for i, (before, after) in enumerate(zip(self._settings.classes, settings.classes, strict=False)):
            if before == after:
                new._lengths[i], new._usual_length[i] = self._lengths[i], self._usual_length[i]
        return new

    def useful_until(self, now: float, class_index: int, deadline: float, is_retry: bool) -> float:
        """Return the time until which a response has enough value to be waited for.

        Guards against work for responses of little value: servers full of it delay timely ones. Acts in
        classes whose late responses lose half of their value or more. The first attempts of clients in a
        class have the same length, which is the most common one; another length is that of a client's last
        attempt, whose request began a class deadline before its end. Where clients mark their retries, an
        unmarked attempt is the first, however short: that client waits less long.
        """
        row = self._settings.classes[class_index]
        if row.late_value > MAX_LATE_VALUE or row.streaming:
            return deadline
        begun = now
        if self._settings.tier == 0:
            is_unusual = self._is_unusual_length(class_index, deadline - now)
            if (is_retry or not self._settings.clients_mark_retries) and is_unusual:
                begun = min(now, deadline - row.deadline)
        elif self._settings.callers_pass_deadline:
            return deadline
        return min(deadline, begun + TARGET_FRACTION * row.latency_target)

    def _is_unusual_length(self, class_index: int, seconds: float) -> bool:
        seen, length = self._lengths[class_index], round(50.0 * log(max(seconds, 1e-6)))
        seen[length] = seen.get(length, 0) + 1
        if len(seen) > MAX_LENGTHS:  # Guards memory against callers whose lengths never repeat.
            seen = {k: n // 2 for k, n in seen.items() if n > 1} | {length: max(1, seen[length] // 2)}
            self._lengths[class_index] = seen
        if seen[length] > seen.get(self._usual_length[class_index], 0):
            self._usual_length[class_index] = length
        usual = self._usual_length[class_index]
        return abs(length - usual) > 1 and seen[usual] >= MIN_USUAL_ATTEMPTS
