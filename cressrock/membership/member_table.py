"""The table of all other members as this process sees them, with pools of live and dead members."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from cressrock.membership.packets import MemberInfo, MemberState, MemberUpdate
from cressrock.membership.selection import ProbeOrder, RandomPool
from cressrock.membership.types import Member

EMPTY_INFO = MemberInfo("", "")  # for a member of which only the name is known
DEAD_OR_LEFT = (MemberState.DEAD, MemberState.LEFT)


@dataclass(slots=True)
class MemberRecord:
    """The record of one member.  Call `MemberTable.writable` before changing it."""

    name: str
    process_incarnation: int
    incarnation: int  # SWIM's incarnation: the member raises it to refute a suspicion
    state: MemberState
    info: MemberInfo | None
    state_since_ms: float
    suspected_at_ms: float = 0.0  # moved forward by each pause of this process
    next_last_ping_ms: float = 0.0
    accuser: str = ""
    accusers: set[str] = field(default_factory=set)
    confirmed: bool = False  # has enough accusers for the minimum suspicion timeout

    def as_update(self, *, full: bool = False) -> MemberUpdate:
        """Return the record as an update for the wire.

        The description is included only in the first alive update, so that refutations stay short; `full`
        always includes it.
        """
        include_info = full or (self.state is MemberState.ALIVE and self.incarnation == 0)
        info = self.info if include_info else None
        return MemberUpdate(
            self.name, self.process_incarnation, self.incarnation, self.state, self.accuser, info
        )

    def as_member(self) -> Member:
        """Return the record as a Member of the view."""
        info = self.info or EMPTY_INFO
        return Member.of(self.name, self.process_incarnation, info, self.state, self.state_since_ms)


class MemberTable:
    """Member records by name, pools of live and dead names for sampling, and the probe order."""

    def __init__(self, rng: random.Random) -> None:
        """Start with no members."""
        self.records: dict[str, MemberRecord] = {}
        self.live = RandomPool()  # alive or suspected
        self.dead = RandomPool()
        self.probe_order = ProbeOrder(rng)
        self.beliefs_version = 0  # increases when a live member or its state changes
        self.process_ids_version = 0  # increases when a process is added, replaced or removed

    @property
    def cluster_size(self) -> int:
        """The number of alive and suspected members, this process included."""
        return len(self.live) + 1

    def writable(self, record: MemberRecord) -> MemberRecord:
        """Return a record that may be changed; simulations share records and copy them on write here."""
        return record

    def address_of(self, name: str) -> str:
        """Return a member's address, empty if it is not known; raises KeyError for an unknown member."""
        info = self.records[name].info
        return info.address if info is not None else ""

    def add(self, record: MemberRecord) -> None:
        """Add a new process; the caller then calls `mark_live` or `mark_dead` unless it has left."""
        self.records[record.name] = record
        self.process_ids_version += 1

    def mark_live(self, name: str) -> None:
        """Move a member to the live pool; a new one is probed within the current round."""
        self.beliefs_version += 1
        self.dead.remove(name)
        if name not in self.live:
            self.live.add(name)
            self.probe_order.insert(name)

    def mark_dead(self, name: str) -> None:
        """Move a member to the dead pool."""
        self.live.remove(name)
        self.dead.add(name)

    def mark_left(self, name: str) -> None:
        """Remove a member from both pools."""
        self.live.remove(name)
        self.dead.remove(name)

    def inactive_longer_than(self, retention_ms: float, now_ms: float) -> list[str]:
        """Return the names of members that have been dead or left for longer than `retention_ms`."""
        return [
            record.name
            for record in self.records.values()
            if record.state in DEAD_OR_LEFT and now_ms - record.state_since_ms > retention_ms
        ]

    def oldest_inactive(self) -> str | None:
        """Return the name of the member that has been dead or left for longest, or None."""
        inactive = [record for record in self.records.values() if record.state in DEAD_OR_LEFT]
        return (
            min(inactive, key=lambda record: (record.state_since_ms, record.name)).name if inactive else None
        )

    def remove_member(self, name: str) -> None:
        """Delete the record of a dead or left member."""
        del self.records[name]
        self.process_ids_version += 1
        self.dead.remove(name)
