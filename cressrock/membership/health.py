"""Lifeguard's local health score: how likely it is that this process itself is slow or disconnected."""

from __future__ import annotations


class HealthScore:
    """The score; 0 is healthy.  A higher score slows this process's probes and lengthens its suspicions."""

    def __init__(self, max_score: int) -> None:
        """Start at 0, healthy; `max_score` must be positive."""
        self.max_score = max_score
        self.score = 0

    def adjust(self, change: int) -> None:
        """Add `change` to the score, limited to 0..`max_score`; a positive change is for the worse."""
        self.score = min(max(self.score + change, 0), self.max_score)

    @property
    def probe_multiplier(self) -> int:
        """Factor for probe timeouts and intervals (Lifeguard's LHA-Probe)."""
        return 1 + self.score

    @property
    def suspicion_multiplier(self) -> float:
        """Factor for suspicion timeouts, at most 2, as other members go on detecting failures meanwhile."""
        return 1 + self.score / self.max_score
