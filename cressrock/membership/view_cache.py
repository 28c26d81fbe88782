"""Caches the membership view for a time proportional to the cost of computing it.

A view of thousands of members takes many milliseconds to compute, and several packages request one a few
times a second.  Caching it for a multiple of its computation time bounds the CPU share at any cluster size.
A view of a small cluster is cheap, so it also expires at each change.
"""

from __future__ import annotations

from cressrock.membership.types import Member

COST_MULTIPLE = 50.0  # lifetime as a multiple of the computation time: uses at most 1/50 of a core
MAX_AGE_MS = 1000.0  # limit on staleness; declaring a member dead takes several times as long
SMALL_CLUSTER_SIZE = 512  # in members; up to this size each change expires the view


class ViewCache:
    """The latest view and its expiry.  Times are in milliseconds of a monotonic clock."""

    def __init__(self) -> None:
        """Start with an empty, expired view."""
        self.view: tuple[Member, ...] = ()
        self.expires_at_ms = -float("inf")

    def is_stale(self, now_ms: float) -> bool:
        """Whether the view has expired and must be recomputed."""
        return now_ms >= self.expires_at_ms

    def store(self, view: tuple[Member, ...], started_at_ms: float, finished_at_ms: float) -> None:
        """Cache a view whose computation started and finished at the given times."""
        self.view = view
        self.expires_at_ms = started_at_ms + min(COST_MULTIPLE * (finished_at_ms - started_at_ms), MAX_AGE_MS)

    def invalidate(self) -> None:
        """Expire the view after a membership change, if the cluster is small."""
        if len(self.view) <= SMALL_CLUSTER_SIZE:
            self.expires_at_ms = -float("inf")
