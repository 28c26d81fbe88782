"""How a replica without a group gets one: by forming it with all others, or by joining one that stands."""

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
    """Return who formed the group that this replica is to be part of; () while that cannot be known.

    `peers` are the other replicas that have greeted.  A group that stands is joined by whoever formed it or
    is
    set to join; else it is formed when all have met.  Raises StoreMissingError where a group stands without
    this replica: its store was lost, and it must take no part.
    """
    initial_replicas: tuple[str, ...] = ()
    in_group = [peer for peer in peers.values() if peer.group]
    for peer in in_group:
        if identity not in peer.initial_replicas and settings.start != "join":
            raise StoreMissingError(
                f"the council {peer.group} stands (seat {peer.peer} says), and the store of "
                f"{settings.name} at {settings.store} is not of it"
            )
        initial_replicas = tuple(peer.initial_replicas)
    if in_group or settings.start == "join" or len(peers) != len(other_replicas):
        return initial_replicas
    initial_replicas = tuple(sorted((identity, *(peer.peer for peer in peers.values()))))
    if sorted(map(replica_name, initial_replicas)) != sorted(settings.replicas):
        raise InvalidReplicaSetError(f"at the seats' addresses sit {', '.join(initial_replicas)}")
    return initial_replicas
