"""Derives a finding about one zone from the witnesses' counts.  Pure and stateless.

- Network fault of one process.  An edge that reaches no zone well, or accuses more than half of the zones it
  tried, is itself suspect and is not counted (`witnesses.is_suspect`).  One witness is never enough.
- Partition.  Witnesses are grouped by their own zone: if the edges of some zones reach the assessed zone and
  those of others do not, it is partitioned from the latter.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cressrock.failover.settings import FailoverSettings
from cressrock.failover.witnesses import WitnessCounts, ZoneMember

# Minimum fraction of failed attempts, over a zone's edges, at a zone that they cannot reach.  At a zone of
# which half is unreachable, half of the attempts fail.
UNREACHABLE_FRACTION = 0.7


class Finding(Enum):
    """The state of a zone according to the evidence."""

    NONE = "none"
    UNREACHABLE = "unreachable"
    PARTITIONED = "partitioned"
    DEGRADED = "degraded"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Assessment:
    """A finding; `blind_zones` are the zones whose edges cannot reach a partitioned zone."""

    finding: Finding
    blind_zones: tuple[str, ...] = ()


class AliveEdges:
    """The number of edges per zone that are alive in the leader's view."""

    def __init__(self, members: Iterable[ZoneMember]) -> None:
        """Count the alive edges among `members`."""
        self._by_zone = Counter(member.zone for member in members if member.is_edge and member.alive)

    @property
    def total(self) -> int:
        """Return the number of alive edges in all zones."""
        return self._by_zone.total()

    def count_in_zones(self, *zones: str) -> int:
        """Return the number of alive edges in these zones; a repeated zone counts once."""
        return sum(self._by_zone[zone] for zone in set(zones))


def required_witnesses(settings: FailoverSettings, edges: int) -> int:
    """Return the number of witnesses needed: `witnesses`, or half of the edges if less, but at least two."""
    return max(2, min(settings.witnesses, math.ceil(edges / 2)))


def assess(
    settings: FailoverSettings, zone: str, counts: WitnessCounts, edges: AliveEdges, all_processes_dead: bool
) -> Assessment:
    """Return the finding about a zone.

    `all_processes_dead`: none of the zone's own processes is alive in the leader's view; this counts as one
    witness.
    """
    required = required_witnesses(settings, edges.total)
    unreachable, reachable = counts.total_unreachable, counts.total_reachable
    degraded = sum(counts.degraded.values())
    blind = _find_blind_zones(counts)
    any_can_reach = any(edge_zone not in blind for edge_zone in counts.reachable)
    if unreachable and blind and not any_can_reach and unreachable >= degraded:
        enough = unreachable + all_processes_dead >= required and len(blind) + all_processes_dead >= 2
        if enough or _own_edges_suffice(settings, zone, counts, blind, edges):
            return Assessment(Finding.UNREACHABLE)
    if any_can_reach and blind:
        # With a single witness in a blind zone, a partition is indistinguishable from a network fault of that
        # edge, which routes around the fault by its own evidence.
        confirmed = [edge_zone for edge_zone in blind if counts.unreachable[edge_zone] >= 2]
        if confirmed and sum(counts.unreachable[edge_zone] for edge_zone in confirmed) >= required:
            return Assessment(Finding.PARTITIONED, tuple(confirmed))
    witnesses = unreachable + reachable + degraded
    if degraded and degraded + unreachable >= required and 2 * (degraded + unreachable) > witnesses:
        return Assessment(Finding.DEGRADED)
    if counts.slow >= required and 2 * counts.slow > witnesses:
        return Assessment(Finding.SLOW)
    return Assessment(Finding.NONE)


def _find_blind_zones(counts: WitnessCounts) -> list[str]:
    """Return the zones whose edges cannot reach the assessed zone.

    At least two thirds of the edges that reach or do not reach it must report it unreachable; otherwise
    network faults of single edges are more likely.  Health passes through DEGRADED between HEALTHY and
    UNREACHABLE, so at most as many edges may report DEGRADED.  At a zone that is half unreachable, all of a
    few attempts of one edge may fail, while half of all attempts from that edge's zone do; hence the limit on
    the failed fraction.
    """
    return sorted(
        edge_zone
        for edge_zone, count in counts.unreachable.items()
        if count > 0
        and count >= 2 * counts.reachable.get(edge_zone, 0)
        and count >= counts.degraded.get(edge_zone, 0)
        and counts.failed_attempts[edge_zone] >= UNREACHABLE_FRACTION * counts.attempts[edge_zone]
    )


def _own_edges_suffice(
    settings: FailoverSettings, zone: str, counts: WitnessCounts, blind: list[str], edges: AliveEdges
) -> bool:
    """Whether the accusations of a zone's own edges are sufficient without other witnesses.

    In steady state only a zone's own edges send it traffic, so a loss may have no other witnesses.  Each of
    them reaches other zones (otherwise it is suspect), and edges of the same zone that still reach it would
    have contradicted.
    """
    unreachable = counts.total_unreachable
    required = required_witnesses(settings, edges.total)
    return (
        blind == [zone]
        and unreachable >= max(required, settings.own_share * edges.count_in_zones(zone))
        and unreachable >= 2 * counts.total_reachable
    )
