"""What the explorer is run on: scenarios within stated bounds, and seats that are broken on purpose.

Each broken seat lacks one thing that Raft's argument needs; an explorer that misses it is worth nothing.
"""

from __future__ import annotations

from dataclasses import replace

from cressrock.consensus.raft.node import RaftNode
from cressrock.consensus.raft.persistent_state import HardState
from cressrock.consensus.raft.ready import Ready
from cressrock.consensus.raft.replication import Replication
from cressrock.consensus.raft.state import Role
from cressrock.lab.explorer import Action, Bounds, Scenario


class ForgetsVote(RaftNode):
    """Keeps its term and not its vote: after a restart it votes again in the same term."""

    __slots__ = ()

    def ready(self) -> Ready:
        """Hand out a batch whose vote is missing."""
        batch = super().ready()
        if batch.hard_state is None:
            return batch
        return replace(
            batch,
            hard_state=HardState(
                batch.hard_state.term, "", batch.hard_state.commit, batch.hard_state.generation
            ),
        )


class SpeaksFirst(RaftNode):
    """Hands out what it says at once and what is to be kept a batch later."""

    __slots__ = ("late",)
    late: Ready

    def ready(self) -> Ready:
        """Hand out this batch's messages and the former batch's entries."""
        batch = super().ready()
        late = getattr(self, "late", Ready())
        self.late = batch
        cut = late.truncate_from
        return replace(
            batch, hard_state=late.hard_state, entries=late.entries, truncate_from=cut, snapshot=None
        )

    def key(self) -> tuple[object, ...]:
        """Return what decides, with what is still to be kept."""
        late = getattr(self, "late", Ready())
        return (*super().key(), late.hard_state, late.entries, late.truncate_from)

    def clone(self) -> SpeaksFirst:
        """Return a seat of its own in the same state."""
        other = super().clone()
        other.late = getattr(self, "late", Ready())
        return other


class _CountingReplication(Replication):
    def may_commit(self, index: int) -> bool:
        return True


class CommitsByCount(RaftNode):
    """Commits an entry of a former term as soon as a majority has it (figure 3.7 of the dissertation)."""

    __slots__ = ()
    replication_type = _CountingReplication


class _HastyReplication(Replication):
    def has_committed_in_own_term(self) -> bool:
        return True


class ChangesEarly(RaftNode):
    """Changes voters before an entry of its own term is committed (Ongaro's correction of 2015)."""

    __slots__ = ()
    replication_type = _HastyReplication


class _UnconfirmedReplication(Replication):
    def is_read_confirmed(self) -> bool:
        replica = self.replica
        return (
            bool(self.pending_reads)
            and replica.role is Role.LEADER
            and self.pending_reads[0][1] <= replica.applied
        )


class ReadsAtOnce(RaftNode):
    """Confirms reads without asking whether it still leads."""

    __slots__ = ()
    replication_type = _UnconfirmedReplication


# a led term 2 and has an entry of it that nobody else has; c the same in term 3; a leads again in term 4.
FIGURE: tuple[Action, ...] = (
    ("stand", "a"),
    ("take", "a", "b"),
    ("take", "a", "c"),
    ("take", "b", "a"),
    ("clear",),
    ("stand", "c"),
    ("take", "c", "b"),
    ("take", "b", "c"),
    ("clear",),
    ("crash", "a"),
    ("stand", "a"),
    ("clear",),
    ("stand", "a"),
    ("take", "a", "b"),
    ("take", "a", "c"),
    ("take", "b", "a"),
)

# a puts e among four seats, which only a and e know; b leads the next term by c and d
# and, if it may, puts a out, which b and c commit.
EARLY: tuple[Action, ...] = (
    ("stand", "a"),
    ("all", "a", "b", "c", "d"),
    ("seats", "a", "e", ""),
    ("all", "a", "e"),
    ("clear",),
    ("seats", "a", "e", ""),
    ("take", "a", "e"),
    ("clear",),
    ("stand", "b"),
    ("take", "b", "a"),
    ("take", "b", "c"),
    ("take", "b", "d"),
    ("take", "c", "b"),
    ("take", "d", "b"),
    ("clear",),
    ("try", "seats", "b", "", "a"),
    ("beat", "b"),
    ("take", "b", "c"),
    ("take", "c", "b"),
    ("clear",),
)

LED: tuple[Action, ...] = (("stand", "a"), ("all", "a", "b", "c"))

TERM3 = Bounds(max_term=3, wire=4, stands=2, proposals=0, crashes=0)
FIGURE_BOUNDS = Bounds(max_term=5, wire=4, stands=1, proposals=0, crashes=0)
EARLY_BOUNDS = Bounds(max_term=4, wire=5, stands=1, proposals=0, crashes=0)
FOUR = ("a", "b", "c", "d")

# Bounds in which all states are seen within a test's time.
QUICK: tuple[Scenario, ...] = (
    Scenario("two elections", TERM3),
    Scenario("a crash", Bounds(max_term=2, wire=3, stands=2, proposals=1, crashes=1)),
    Scenario("pre-vote", replace(TERM3, max_term=2), pre_vote=True),
    Scenario("figure 3.7", FIGURE_BOUNDS, max_entries=1, prefix=FIGURE),
    Scenario("seats early", EARLY_BOUNDS, FOUR, ("e",), prefix=EARLY),
    Scenario("reads", replace(TERM3, wire=5, stands=1, reads=1), prefix=LED),
    Scenario("snapshot", replace(TERM3, wire=2, stands=1, proposals=1, compactions=1, beats=1), prefix=LED),
)

# Larger bounds, for a benchmark that says how far it came.
LARGE: tuple[Scenario, ...] = (
    Scenario("two elections, a proposal", replace(TERM3, proposals=1)),
    Scenario(
        "a lead, an election, a proposal, a crash",
        replace(TERM3, stands=1, proposals=1, crashes=1),
        prefix=LED,
    ),
    Scenario("two crashes", Bounds(max_term=2, wire=3, stands=2, proposals=1, crashes=2)),
    Scenario("two elections, a crash", replace(TERM3, wire=3, crashes=1)),
    Scenario("three elections", replace(TERM3, max_term=4, wire=3, stands=3)),
    Scenario(
        "losses, repeats, heartbeats",
        Bounds(max_term=2, wire=4, stands=2, proposals=1, crashes=0, losses=1, repeats=1, beats=1),
    ),
    Scenario("pre-vote, two elections", replace(TERM3, wire=3), pre_vote=True),
    Scenario(
        "figure 3.7, two elections", replace(FIGURE_BOUNDS, wire=4, stands=2), max_entries=1, prefix=FIGURE
    ),
    Scenario("figure 3.7, a crash", replace(FIGURE_BOUNDS, wire=3, crashes=1), max_entries=1, prefix=FIGURE),
    Scenario(
        "seats early, wide", replace(EARLY_BOUNDS, wire=7, stands=2, beats=1), FOUR, ("e",), prefix=EARLY
    ),
    Scenario(
        "a seat in, a seat out",
        replace(TERM3, stands=1, changes=(("d", ""), ("d", ""), ("", "a"))),
        others=("d",),
        prefix=LED,
    ),
    Scenario("transfer, a read", replace(TERM3, stands=1, proposals=1, transfers=1, reads=1), prefix=LED),
    Scenario(
        "snapshot, a crash",
        replace(TERM3, wire=3, stands=1, proposals=1, compactions=1, beats=1, crashes=1),
        prefix=LED,
    ),
    Scenario(
        "five seats", Bounds(max_term=2, wire=5, stands=2, proposals=0, crashes=0), ("a", "b", "c", "d", "e")
    ),
)

VOTES = Scenario("votes", Bounds(max_term=2, wire=4, stands=2, proposals=0, crashes=1))

# Each with the invariant and the scenario that shows it.
BROKEN: tuple[tuple[type[RaftNode], str, Scenario], ...] = (
    (ForgetsVote, "said, not kept", VOTES),
    (ForgetsVote, "election safety", replace(VOTES, check_kept=False)),
    (SpeaksFirst, "said, not kept", VOTES),
    (SpeaksFirst, "election safety", replace(VOTES, check_kept=False)),
    (CommitsByCount, "leader completeness", QUICK[3]),
    (ChangesEarly, "leader completeness", QUICK[4]),
    (ReadsAtOnce, "read", QUICK[5]),
)
