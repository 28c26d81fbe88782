"""Derives from the membership what decides where a process reports."""

from __future__ import annotations

from collections.abc import Callable

from cressrock.aggregation.messages import CAPABILITY
from cressrock.aggregation.ranking import CollectorId
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member

PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)
MembersView = tuple[Member, ...]


class MemberWatch:
    """Tracks the number of senders, the collectors, and the replicas without the capability."""

    def __init__(self, replicas: tuple[str, ...], refresh_ms: float, now_ms: float) -> None:
        """`replicas`: names of the consensus replicas; an unchanged view is reused for `refresh_ms`."""
        self.replicas, self.refresh_ms = replicas, refresh_ms
        self.collectors: tuple[CollectorId, ...] = ()
        self.incapable_replicas: tuple[str, ...] = ()  # present, but without the capability
        self.sender_count = 0
        self._stale = True
        self._view: MembersView | None = None
        self._viewed_at_ms = now_ms

    def invalidate(self) -> None:
        """Read the members again at the next refresh."""
        self._stale = True

    def refresh(self, now_ms: float, members: Callable[[], MembersView]) -> list[Member] | None:
        """Return the members that are alive or suspect, or None if there is nothing new to read."""
        if not self._stale:
            return None
        view = members()
        if view is self._view and now_ms < self._viewed_at_ms + self.refresh_ms:
            return None  # avoids rescanning thousands of members at each change
        self._view, self._viewed_at_ms, self._stale = view, now_ms, False
        present = [member for member in view if member.state in PRESENT_STATES]
        capable = [member for member in present if member.extra == CAPABILITY]
        self.collectors = tuple(sorted((member.name, member.process_incarnation) for member in capable))
        self.incapable_replicas = tuple(
            member.name for member in present if member.name in self.replicas and member.extra != CAPABILITY
        )
        self.sender_count = sum(member.role == "edge" for member in present)
        return present
