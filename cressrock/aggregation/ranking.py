"""Ranks the collectors of a zone.

Each process ranks the collectors it considers present by *rendezvous hashing* of the zone (highest random
weight: Thaler, Ravishankar, "Using name-based mappings to increase hit rates", 1998).  All senders of a zone
thus report to the same collector without agreeing on a table.  The module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

Origin = tuple[str, int]  # a process: its name and incarnation
CollectorId = Origin


def rank_collectors(zone: str, collectors: Iterable[CollectorId]) -> list[CollectorId]:
    """Return the collectors by preference for a zone: highest random weight first, then by name."""
    seed = xxhash.xxh3_64_intdigest(zone.encode())

    def weight(name: str) -> int:
        return xxhash.xxh3_64_intdigest(name.encode(), seed=seed)

    return sorted(collectors, key=lambda collector: (weight(collector[0]), collector[0]), reverse=True)
