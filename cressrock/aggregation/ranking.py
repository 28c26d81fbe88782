"""Which collector a zone's senders report to.  Pure.

Every process ranks the collectors it holds alive by *rendezvous hashing* (highest random weight: Thaler,
Ravishankar, "Using name-based mappings to increase hit rates", 1998) of the zone.  So no table is agreed, and
all senders of one zone go to one collector.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

Origin = tuple[str, int]  # a process: its name and incarnation
CollectorId = Origin


def rank_collectors(zone: str, collectors: Iterable[CollectorId]) -> list[CollectorId]:
    """Return the collectors of a zone, the first choice first: highest random weight, then name."""
    seed = xxhash.xxh3_64_intdigest(zone.encode())

    def weight(name: str) -> int:
        return xxhash.xxh3_64_intdigest(name.encode(), seed=seed)

    return sorted(collectors, key=lambda collector: (weight(collector[0]), collector[0]), reverse=True)
