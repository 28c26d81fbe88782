"""Lifeguard's local health score: how much this process doubts itself."""

from __future__ import annotations


class HealthScore:
    """0 is healthy.  A higher score slows this process's probes and its verdicts on others."""

    def __init__(self, max_score: int) -> None:
        """Begin healthy."""
        self.max_score = max_score
        self.score = 0

    def adjust(self, change: int) -> None:
        """Raise (worse) or lower (better) the score within its bounds."""
        self.score = min(max(self.score + change, 0), self.max_score)

    @property
    def probe_multiplier(self) -> int:
        """How many times longer probes and their interval take (Lifeguard's LHA-Probe)."""
        return 1 + self.score

    @property
    def suspicion_multiplier(self) -> float:
        """How many times longer suspicion lasts, up to twice: what others find goes on meanwhile."""
        return 1 + self.score / self.max_score
