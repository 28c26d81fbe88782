"""Names of replicas and of the group that they form."""

from __future__ import annotations

import xxhash


def replica_name(identity: str) -> str:
    """Return the replica's name in an identity `name#id`."""
    return identity.partition("#")[0]


def consensus_group_id(cluster: str, initial_replicas: tuple[str, ...]) -> str:
    """Return a group's own id, made from the identities that formed it."""
    text = "\0".join((cluster, *sorted(initial_replicas)))
    return xxhash.xxh3_64_hexdigest(text.encode())
