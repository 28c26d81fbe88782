"""Estimate of an endpoint's latency without queueing, from its responses ('docs/design.md').

A queue delays large and small requests equally, so it does not affect the slope of latency over units.  The
base latency, at the mean units, is the lowest smoothed latency.  It rises, slowly, only at a window of one:
at a wider window it would rise with the queue that this host itself causes, and so treat it as normal.
"""

from __future__ import annotations

MIN_SAMPLE_WEIGHT = 0.02  # of the newest sample in the regression, once there are many
MAX_SMOOTHING_WEIGHT = 0.3  # maximum weight of the newest sample in smoothed values
BASE_RISE_MS = 30000.0  # time constant with which the base latency rises at a window of one


class UnloadedLatency:
    """An exponentially weighted regression of latency over units, and the base latency without a queue."""

    __slots__ = (
        "base_ms",
        "covariance",
        "last_sample_at_ms",
        "mean_ms",
        "mean_units",
        "samples",
        "slope",
        "smoothed_ms",
        "variance",
    )

    def __init__(self) -> None:
        """Start without samples."""
        self.samples = 0.0  # capped at 1 / MIN_SAMPLE_WEIGHT
        self.mean_units = self.mean_ms = self.variance = self.covariance = 0.0
        self.slope = 0.0  # ms per unit
        self.smoothed_ms = 0.0  # latency at the mean units
        self.base_ms = 0.0  # the same without queueing
        self.last_sample_at_ms = 0.0

    def estimate(self, units: float) -> float:
        """Return the latency in milliseconds of a request of `units` without queueing."""
        return self.base_ms + self.slope * (units - self.mean_units)

    def add_sample(
        self,
        units: float,
        latency_ms: float,
        window: float,
        is_alone: bool,
        max_first_base_ms: float,
        now_ms: float,
    ) -> float:
        """Add a sample; return its latency in milliseconds, adjusted to the mean units.

        `is_alone`: no other host uses the endpoint and no other attempt was outstanding, so the base latency
        may rise immediately.  `max_first_base_ms` bounds the base latency taken from the first sample.
        """
        self.samples = min(self.samples + 1, 1 / MIN_SAMPLE_WEIGHT)
        weight = 1 / self.samples
        units_deviation, latency_deviation_ms = units - self.mean_units, latency_ms - self.mean_ms
        self.mean_units += weight * units_deviation
        self.mean_ms += weight * latency_deviation_ms
        self.variance = (1 - weight) * (self.variance + weight * units_deviation * units_deviation)
        self.covariance = (1 - weight) * (self.covariance + weight * units_deviation * latency_deviation_ms)
        adjusted_ms = latency_ms - self.slope * (units - self.mean_units)
        self.smoothed_ms += max(min(MAX_SMOOTHING_WEIGHT, 1 / window), weight) * (
            adjusted_ms - self.smoothed_ms
        )
        elapsed_ms = now_ms - self.last_sample_at_ms if self.samples > 1 else 0.0
        self.last_sample_at_ms = now_ms
        # The first responses may come from an overloaded node: a base latency taken from them would keep all
        # requests away, so early samples may lower it at once.  For requests above the mean units the
        # uncertain slope would subtract too much.
        is_early_sample = weight > MAX_SMOOTHING_WEIGHT / 2 and units <= self.mean_units
        observed_base_ms = min(adjusted_ms, self.smoothed_ms) if is_early_sample else self.smoothed_ms
        if self.samples == 1:
            self.base_ms = min(adjusted_ms, max_first_base_ms)
        elif observed_base_ms < self.base_ms:
            self.base_ms = observed_base_ms
        elif is_alone:
            self.base_ms += MAX_SMOOTHING_WEIGHT * (self.smoothed_ms - self.base_ms)
        elif window <= 1:
            self.base_ms += min(1.0, elapsed_ms / BASE_RISE_MS) * (self.smoothed_ms - self.base_ms)
        return adjusted_ms

    def update_slope(self) -> None:
        """Recompute the slope after a new sample.

        With few samples it tends towards a latency proportional to the units.  It is never negative, nor
        above the base latency per mean unit.
        """
        if not self.mean_units:
            return
        weight = 1 / self.samples
        proportional_slope, prior_weight = self.base_ms / self.mean_units, (weight * self.mean_units) ** 2
        self.slope = min(
            proportional_slope,
            max(0.0, (self.covariance + prior_weight * proportional_slope) / (self.variance + prior_weight)),
        )
