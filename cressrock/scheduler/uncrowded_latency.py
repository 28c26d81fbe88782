"""What an answer of an endpoint takes where nothing waits, learnt from its answers ('docs/design.md').

A queue delays large and small requests alike, so the slope of latencies over units is free of it.  The level
at the mean units is the lowest smoothed one; it rises, slowly, only while the window is at one: a wider
window that could raise it would make the queue that it then takes for granted.
"""

from __future__ import annotations

NEWEST_WEIGHT = 0.02  # of the newest answer in the regression, once there were many
SMOOTHING = 0.3  # weight of the newest answer in smoothed times
RELEARN_MS = 30000.0  # in which the level nears what an endpoint shows at a window of one


class UncrowdedLatency:
    """A fading regression of latency over units, and the level of latencies without a queue."""

    __slots__ = (
        "base_ms",
        "covariance",
        "learnt_at_ms",
        "mean_ms",
        "mean_units",
        "samples",
        "slope",
        "smoothed_ms",
        "variance",
    )

    def __init__(self) -> None:
        """Nothing was learnt."""
        self.samples = 0.0  # answers that taught, at most 1 / NEWEST_WEIGHT of them
        self.mean_units = self.mean_ms = self.variance = self.covariance = 0.0
        self.slope = 0.0  # ms of a further unit
        self.smoothed_ms = 0.0  # latency of the mean units
        self.base_ms = 0.0  # the same where nothing waits
        self.learnt_at_ms = 0.0

    def estimate(self, units: float) -> float:
        """Return the latency of so many units where nothing waits."""
        return self.base_ms + self.slope * (units - self.mean_units)

    def learn_level(
        self,
        units: float,
        latency_ms: float,
        window: float,
        is_alone: bool,
        max_first_ms: float,
        now_ms: float,
    ) -> float:
        """Take in an answer; return its latency as that of the mean units.

        `is_alone`: no other host uses the endpoint and nothing else was out there, so the answer tells at
        once. `max_first_ms` bounds what a first answer may teach.
        """
        self.samples = min(self.samples + 1, 1 / NEWEST_WEIGHT)
        weight = 1 / self.samples
        units_above, ms_above = units - self.mean_units, latency_ms - self.mean_ms
        self.mean_units += weight * units_above
        self.mean_ms += weight * ms_above
        self.variance = (1 - weight) * (self.variance + weight * units_above * units_above)
        self.covariance = (1 - weight) * (self.covariance + weight * units_above * ms_above)
        level = latency_ms - self.slope * (units - self.mean_units)
        self.smoothed_ms += max(min(SMOOTHING, 1 / window), weight) * (level - self.smoothed_ms)
        elapsed_ms = now_ms - self.learnt_at_ms if self.samples > 1 else 0.0
        self.learnt_at_ms = now_ms
        # Danger: first answers may come out of a jam.  Believed as they are, they would keep all work away.
        # Of a large request the unsure slope takes too much.
        is_early = weight > SMOOTHING / 2 and units <= self.mean_units
        lowest = min(level, self.smoothed_ms) if is_early else self.smoothed_ms
        if self.samples == 1:
            self.base_ms = min(level, max_first_ms)
        elif lowest < self.base_ms:
            self.base_ms = lowest
        elif is_alone:
            self.base_ms += SMOOTHING * (self.smoothed_ms - self.base_ms)
        elif window <= 1:
            self.base_ms += min(1.0, elapsed_ms / RELEARN_MS) * (self.smoothed_ms - self.base_ms)
        return level

    def learn_slope(self) -> None:
        """Work out the slope anew after the newest answer.

        Few answers are read as a cost that is all by units; nothing costs less than nothing.
        """
        if not self.mean_units:
            return
        weight = 1 / self.samples
        share, doubt = self.base_ms / self.mean_units, (weight * self.mean_units) ** 2
        self.slope = min(share, max(0.0, (self.covariance + doubt * share) / (self.variance + doubt)))
