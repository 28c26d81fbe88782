"""What the witnesses' counts of one zone amount to.  Pure; nothing here remembers or decides.

- One process's bad network.  An edge that reaches no zone well, or accuses more than half of those it tried,
  is itself suspect and not counted (`witnesses.is_suspect`); and one witness is never enough.
- A zone that only some can see.  Witnesses are weighed by their own zone: where some zones' edges reach it
  and others' do not, it is partitioned from the latter.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cressrock.failover.settings import FailoverSettings
from cressrock.failover.witnesses import WitnessCounts, ZoneMember

# The share of a zone's edges' attempts that fail where they cannot reach another zone; of one that is half
# unreachable, half fail.
UNREACHABLE_SHARE = 0.7


class Finding(Enum):
    """What the evidence says of a zone."""

    NONE = "none"
    UNREACHABLE = "unreachable"
    PARTITIONED = "partitioned"
    DEGRADED = "degraded"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Assessment:
    """A finding; `blind_zones` are those whose edges cannot reach a partitioned zone."""

    finding: Finding
    blind_zones: tuple[str, ...] = ()


class LivingEdges:
    """How many edges are alive in the leader's view, and where."""

    def __init__(self, members: Iterable[ZoneMember]) -> None:
        """Count the edges among `members`."""
        self._by_zone = Counter(member.zone for member in members if member.is_edge and member.alive)

    @property
    def total(self) -> int:
        """Return how many there are."""
        return self._by_zone.total()

    def in_zones(self, *zones: str) -> int:
        """Return how many there are in these zones."""
        return sum(self._by_zone[zone] for zone in set(zones))


def required_witnesses(settings: FailoverSettings, edges: int) -> int:
    """Return how many witnesses a finding takes: `witnesses`, of very few edges at least two."""
    return max(2, min(settings.witnesses, math.ceil(edges / 2)))


def assess(
    settings: FailoverSettings, zone: str, counts: WitnessCounts, edges: LivingEdges, all_dead: bool
) -> Assessment:
    """Return what the counts about a zone amount to.

    `all_dead`: none of the zone's own processes is alive in the leader's view, which counts as one witness.
    """
    required = required_witnesses(settings, edges.total)
    unreachable, reachable = counts.total_unreachable, counts.total_reachable
    degraded = sum(counts.degraded.values())
    blind = _blind_zones(counts)
    any_sees = any(edge_zone not in blind for edge_zone in counts.reachable)
    if unreachable and blind and not any_sees and unreachable >= degraded:
        enough = unreachable + all_dead >= required and len(blind) + all_dead >= 2
        if enough or _own_edges_suffice(settings, zone, counts, blind, edges):
            return Assessment(Finding.UNREACHABLE)
    if any_sees and blind:
        # A zone with one edge cannot be told from that edge's bad network; it helps itself.
        confirmed = [edge_zone for edge_zone in blind if counts.unreachable[edge_zone] >= 2]
        if confirmed and sum(counts.unreachable[edge_zone] for edge_zone in confirmed) >= required:
            return Assessment(Finding.PARTITIONED, tuple(confirmed))
    witnesses = unreachable + reachable + degraded
    if degraded and degraded + unreachable >= required and 2 * (degraded + unreachable) > witnesses:
        return Assessment(Finding.DEGRADED)
    if counts.slow >= required and 2 * counts.slow > witnesses:
        return Assessment(Finding.SLOW)
    return Assessment(Finding.NONE)


def _blind_zones(counts: WitnessCounts) -> list[str]:
    """Return the zones whose edges cannot reach the zone in question.

    Two thirds of a zone's edges have to agree; else somebody's own network is more likely.  A zone's health
    is also degraded on its way from healthy to unreachable: there must not be more of these.  And of few
    attempts at a zone that is half unreachable, some edges' all fail; of their zone's all together, half do.
    """
    return sorted(
        edge_zone
        for edge_zone, count in counts.unreachable.items()
        if count > 0
        and count >= 2 * counts.reachable.get(edge_zone, 0)
        and count >= counts.degraded.get(edge_zone, 0)
        and counts.failed_attempts[edge_zone] >= UNREACHABLE_SHARE * counts.attempts[edge_zone]
    )


def _own_edges_suffice(
    settings: FailoverSettings, zone: str, counts: WitnessCounts, blind: list[str], edges: LivingEdges
) -> bool:
    """Whether a zone's own edges may testify alone.

    In steady state only they go there, so a loss may have no other witnesses.  Each of them reaches other
    zones (else it is suspect), and their fellows were asked and would have contradicted.
    """
    unreachable = counts.total_unreachable
    required = required_witnesses(settings, edges.total)
    return (
        blind == [zone]
        and unreachable >= max(required, settings.own_share * edges.in_zones(zone))
        and unreachable >= 2 * counts.total_reachable
    )
