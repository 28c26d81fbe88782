"""Placement of paths on a volume's shards by rendezvous hashing (Thaler and Ravishankar, 1998), without I/O.

Every dispatcher computes the same home shard from the settings alone, without coordination.  Adding a shard
moves only the paths for which the new shard has the highest score.
"""

from __future__ import annotations

import xxhash


def home(key: str, shards: tuple[int, ...]) -> int:
    """Return the home shard of a path's key: the one with the highest score."""
    if len(shards) == 1:
        return shards[0]
    data = key.encode()
    return max(shards, key=lambda shard: (xxhash.xxh3_64_intdigest(data, seed=shard), shard))
