"""What this process believes of every other member, and which of them are live or dead."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from cressrock.membership.packets import MemberInfo, MemberState, MemberUpdate
from cressrock.membership.selection import ProbeOrder, RandomPool
from cressrock.membership.types import Member

NO_INFO = MemberInfo("", "")  # of a member that is known by its name alone
ENDED = (MemberState.DEAD, MemberState.LEFT)


@dataclass(slots=True)
class MemberRecord:
    """What is believed of one member.  Changed only after `MemberTable.writable`."""

    name: str
    process_incarnation: int
    incarnation: int  # SWIM's: the member raises it to refute a suspicion
    state: MemberState
    info: MemberInfo | None
    state_since_ms: float
    suspected_at_ms: float = 0.0  # later by each time in which this process did not run
    next_last_ping_ms: float = 0.0
    accuser: str = ""
    accusers: set[str] = field(default_factory=set)
    confirmed: bool = False  # as many accusers as count

    def as_update(self, *, full: bool = False) -> MemberUpdate:
        """Return the record for the wire.

        A known process needs its description only with its first update, so a refutation is short; `full`
        gives the description always.
        """
        described = full or (self.state is MemberState.ALIVE and self.incarnation == 0)
        info = self.info if described else None
        return MemberUpdate(
            self.name, self.process_incarnation, self.incarnation, self.state, self.accuser, info
        )

    def as_member(self) -> Member:
        """Return the record for the view."""
        info = self.info or NO_INFO
        return Member.of(self.name, self.process_incarnation, info, self.state, self.state_since_ms)


class MemberTable:
    """Records by name, the live and the dead for drawing, and the order of probes."""

    def __init__(self, rng: random.Random) -> None:
        """Begin empty."""
        self.records: dict[str, MemberRecord] = {}
        self.live = RandomPool()  # alive and suspected
        self.dead = RandomPool()
        self.probe_order = ProbeOrder(rng)
        self.beliefs_version = 0  # grows when a live member or its state changes
        self.process_ids_version = 0  # grows when a process is added, replaced or forgotten

    @property
    def cluster_size(self) -> int:
        """How many members are believed to live, this process among them."""
        return len(self.live) + 1

    def writable(self, record: MemberRecord) -> MemberRecord:
        """Return the record to change; simulations share records among processes and copy here."""
        return record

    def address_of(self, name: str) -> str:
        """Return a known member's address, empty while it has not announced one."""
        info = self.records[name].info
        return info.address if info is not None else ""

    def add(self, record: MemberRecord) -> None:
        """Add a process that is not known yet; `mark_live` or `mark_dead` follows."""
        self.records[record.name] = record
        self.process_ids_version += 1

    def mark_live(self, name: str) -> None:
        """Count a member among the live; a new one is probed within the current round."""
        self.beliefs_version += 1
        self.dead.remove(name)
        if name not in self.live:
            self.live.add(name)
            self.probe_order.insert(name)

    def mark_dead(self, name: str) -> None:
        """Count a member among the dead."""
        self.live.remove(name)
        self.dead.add(name)

    def mark_left(self, name: str) -> None:
        """Count a member neither among the live nor the dead."""
        self.live.remove(name)
        self.dead.remove(name)

    def ended_for(self, retention_ms: float, now_ms: float) -> list[str]:
        """Return the names that have been dead or left for longer than a time."""
        return [
            record.name
            for record in self.records.values()
            if record.state in ENDED and now_ms - record.state_since_ms > retention_ms
        ]

    def oldest_ended(self) -> str | None:
        """Return the name that has been dead or left for longest."""
        ended = [record for record in self.records.values() if record.state in ENDED]
        return min(ended, key=lambda record: (record.state_since_ms, record.name)).name if ended else None

    def forget(self, name: str) -> None:
        """Remove a member that is dead or left."""
        del self.records[name]
        self.process_ids_version += 1
        self.dead.remove(name)
