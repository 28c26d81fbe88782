"""What of the membership decides to whom a process reports."""

from __future__ import annotations

from collections.abc import Callable

from cressrock.aggregation.messages import CAPABILITY
from cressrock.aggregation.ranking import CollectorId
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member

PRESENT = (MemberState.ALIVE, MemberState.SUSPECT)
MembersView = tuple[Member, ...]


class MemberWatch:
    """The members that report, those that collect, and the replicas that cannot."""

    def __init__(self, replicas: tuple[str, ...], refresh_ms: float, now_ms: float) -> None:
        """`replicas`: names of the consensus replicas; an unchanged view is good for `refresh_ms`."""
        self.replicas, self.refresh_ms = replicas, refresh_ms
        self.collectors: tuple[CollectorId, ...] = ()
        self.incapable_replicas: tuple[str, ...] = ()  # that do not announce collecting
        self.sender_count = 0
        self._stale = True
        self._view: MembersView | None = None
        self._viewed_at_ms = now_ms

    def invalidate(self) -> None:
        """Look at the members anew."""
        self._stale = True

    def refresh(self, now_ms: float, members: Callable[[], MembersView]) -> list[Member] | None:
        """Return the members that are present, if the view changed."""
        if not self._stale:
            return None
        view = members()
        if view is self._view and now_ms < self._viewed_at_ms + self.refresh_ms:
            return None  # the view of thousands is not made anew at each change
        self._view, self._viewed_at_ms, self._stale = view, now_ms, False
        present = [member for member in view if member.state in PRESENT]
        capable = [member for member in present if member.extra == CAPABILITY]
        self.collectors = tuple(sorted((member.name, member.process_incarnation) for member in capable))
        self.incapable_replicas = tuple(
            member.name for member in present if member.name in self.replicas and member.extra != CAPABILITY
        )
        self.sender_count = sum(member.role == "edge" for member in present)
        return present
