"""Identities of replicas and of the group that they form."""

from __future__ import annotations

import xxhash


def replica_name(identity: str) -> str:
    """Return the name in a replica identity `name#id`."""
    return identity.partition("#")[0]


def consensus_group_id(cluster: str, initial_replicas: tuple[str, ...]) -> str:
    """Return a group's id: a hash of the cluster and the identities that formed the group."""
    text = "\0".join((cluster, *sorted(initial_replicas)))
    return xxhash.xxh3_64_hexdigest(text.encode())
