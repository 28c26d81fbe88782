"""Group formation: a replica forms a group with all others, or joins an existing one."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from cressrock.consensus.connection_protocol import Opened
from cressrock.consensus.identity import replica_name
from cressrock.consensus.settings import ReplicaSettings
from cressrock.errors.consensus import InvalidReplicaSetError, StoreMissingError


def find_initial_replicas(
    identity: str,
    settings: ReplicaSettings,
    peers: Mapping[str, Opened],
    other_replicas: Collection[str],
) -> tuple[str, ...]:
    """Return the identities that form this replica's group, or () while they are unknown.

    `peers` are the other replicas with an open connection.  A replica uses the existing group that a peer
    reports if it helped to form it or is configured to join.  Otherwise the group is formed once all
    replicas are connected.  Raises StoreMissingError if a group exists without this replica: its store was
    lost, and it must not participate.  Raises InvalidReplicaSetError if the connected replicas are not the
    configured ones.
    """
    initial_replicas: tuple[str, ...] = ()
    in_group = [peer for peer in peers.values() if peer.group]
    for peer in in_group:
        if identity not in peer.initial_replicas and settings.start != "join":
            raise StoreMissingError(
                f"council {peer.group} already exists (reported by seat {peer.peer}), and the store of "
                f"{settings.name} at {settings.store} is not part of it"
            )
        initial_replicas = tuple(peer.initial_replicas)
    if in_group or settings.start == "join" or len(peers) != len(other_replicas):
        return initial_replicas
    initial_replicas = tuple(sorted((identity, *(peer.peer for peer in peers.values()))))
    if sorted(map(replica_name, initial_replicas)) != sorted(settings.replicas):
        raise InvalidReplicaSetError(
            f"the configured addresses belong to other seats: {', '.join(initial_replicas)}"
        )
    return initial_replicas
