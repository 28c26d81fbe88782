"""The local process as a member of the cluster."""

from __future__ import annotations

from cressrock.membership.packets import MemberInfo, MemberState, MemberUpdate
from cressrock.membership.types import Identity, Member

NOT_FENCED = -1


class LocalMember:
    """This process's identity, SWIM incarnation, and whether it is leaving or has been fenced."""

    def __init__(self, identity: Identity, started_at_ms: float) -> None:
        """Start alive, at incarnation 0."""
        self.identity = identity
        self.info = MemberInfo(
            identity.address, identity.role, identity.zone, identity.region, identity.extra
        )
        self.started_at_ms = started_at_ms
        self.incarnation = 0
        self.leaving = False
        self.fenced_by = NOT_FENCED

    @property
    def name(self) -> str:
        """The configured name of this process."""
        return self.identity.name

    @property
    def fenced(self) -> bool:
        """Whether this process was fenced because a newer process has its name."""
        return self.fenced_by != NOT_FENCED

    @property
    def state(self) -> MemberState:
        """The state that this process announces."""
        return MemberState.LEFT if self.leaving else MemberState.ALIVE

    def as_update(self, *, full: bool = False) -> MemberUpdate:
        """Return an update about this process, with its description at incarnation 0 or if `full`."""
        info = self.info if full or self.incarnation == 0 else None
        identity = self.identity
        return MemberUpdate(
            identity.name, identity.process_incarnation, self.incarnation, self.state, "", info
        )

    def as_member(self) -> Member:
        """Return this process as a Member of its own view."""
        identity = self.identity
        return Member.of(
            identity.name, identity.process_incarnation, self.info, self.state, self.started_at_ms
        )
