"""Caches the view of the members for a time that depends on what it cost.

A view of thousands costs many milliseconds, and several packages ask for one a few times a second.  So it is
kept for a multiple of what it took to compute, which bounds its part of a core at any cluster size; a view of
few members, which costs next to nothing, also expires at each change.
"""

from __future__ import annotations

from cressrock.membership.types import Member

COST_MULTIPLE = 50.0  # times the view's cost: at most a fiftieth of a core
MAX_AGE_MS = 1000.0  # a view is never older: members are declared dead after several times that
SMALL_CLUSTER_SIZE = 512  # members up to which each change expires the view


class ViewCache:
    """The latest view and until when it may be used.  Times in milliseconds of a monotonic clock."""

    def __init__(self) -> None:
        """Begin with a stale, empty view."""
        self.view: tuple[Member, ...] = ()
        self.expires_at_ms = -float("inf")

    def is_stale(self, now_ms: float) -> bool:
        """Whether the view has to be computed again."""
        return now_ms >= self.expires_at_ms

    def store(self, view: tuple[Member, ...], started_at_ms: float, finished_at_ms: float) -> None:
        """Keep a view that was computed between two times."""
        self.view = view
        self.expires_at_ms = started_at_ms + min(COST_MULTIPLE * (finished_at_ms - started_at_ms), MAX_AGE_MS)

    def invalidate(self) -> None:
        """Expire the view of a small cluster, as its members changed."""
        if len(self.view) <= SMALL_CLUSTER_SIZE:
            self.expires_at_ms = -float("inf")
