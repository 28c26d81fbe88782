"""How long a view of the members counts before it is made anew.  Pure.

Of thousands a view costs many milliseconds, and several rooms ask for one a few times a second.  So it rests
for a multiple of what it took to make, which bounds its part of a core at any size; of few members, where
that is next to nothing, it is made anew at each change besides.
"""

from __future__ import annotations

from cressrock.membership.membership import Member

REST = 50.0  # times what a view took: a fiftieth of a core
MOST_MS = 1000.0  # a view is never older: members are called gone after several times that
FEW = 512  # members up to which each change counts at once


class ViewCache:
    """The view that counts now.  Times in milliseconds on one clock that never goes back."""

    def __init__(self) -> None:
        """Begin with none."""
        self.view: tuple[Member, ...] = ()
        self.until_ms = -float("inf")

    def is_stale(self, now_ms: float) -> bool:
        """Whether a view has to be made anew."""
        return now_ms >= self.until_ms

    def store(self, view: tuple[Member, ...], began_ms: float, ended_ms: float) -> None:
        """Take a view, and how long it took to make."""
        self.view = view
        self.until_ms = began_ms + min(REST * (ended_ms - began_ms), MOST_MS)

    def invalidate(self) -> None:
        """Hear that the members changed."""
        if len(self.view) <= FEW:
            self.until_ms = -float("inf")
