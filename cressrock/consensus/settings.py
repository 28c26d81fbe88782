"""Settings of one replica, and the checks of a group's settings."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Literal

from cressrock.consensus.connection_protocol import ConnectionLimits
from cressrock.consensus.decisions import DecisionLimits
from cressrock.consensus.raft.settings import RaftSettings
from cressrock.consensus.transport import ReconnectBackoff
from cressrock.errors.consensus import InvalidReplicaSetError

MAX_REPLICA_NAME = 47  # characters: with "#" and the id of 16 it fits a name of raft's messages
GROUP_SIZES = (3, 5)

Start = Literal["found", "join", "expect"]


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """One replica; times in milliseconds.  `replicas` gives each one's address as this process reaches it."""

    name: str
    cluster: str
    replicas: Mapping[str, str]
    store: str | Path
    start: Start = "found"
    timing: RaftSettings = RaftSettings()
    connection_limits: ConnectionLimits = ConnectionLimits()
    reconnect: ReconnectBackoff = ReconnectBackoff()
    limits: DecisionLimits = DecisionLimits()
    renewal_interval_ms: float = 500.0  # of a leader; a few should fit the shortest lease
    join_interval_ms: float = 200.0  # how often a new replica asks to be added
    request_timeout_ms: float = 2000.0  # how long a replica works on one request
    max_inbox: int = 4096  # messages of other replicas that wait for the disk; more are lost, as on a wire
    max_pending_requests: int = 1024  # at work at once; more are told to retry later
    max_connections: int = 1024  # open at once, replicas' and clients'; more are closed at once
    # Entries: at half of it a snapshot is taken, at all of it the log is cut to that.
    max_log_entries: int = 4096
    max_log_bytes: int = 8 << 20  # bytes of entries, likewise


def check_replica_set(names: Iterable[str], local_name: str) -> None:
    """Check the replicas of a group.  Raises InvalidReplicaSetError."""
    listed = list(names)
    if len(set(listed)) != len(listed):
        raise InvalidReplicaSetError(f"a seat is named twice: {', '.join(sorted(listed))}")
    if len(listed) not in GROUP_SIZES:
        raise InvalidReplicaSetError(f"{len(listed)} seats: {', '.join(listed)}")
    for name in listed:
        if not 0 < len(name) <= MAX_REPLICA_NAME or "#" in name:
            raise InvalidReplicaSetError(
                f"the seat's name {name!r}: 1 to {MAX_REPLICA_NAME} characters, none of them '#'"
            )
    if local_name not in listed:
        raise InvalidReplicaSetError(f"{local_name!r} is not among the seats {', '.join(listed)}")


def check_lease(lease_ms: float, timing: RaftSettings, renewal_interval_ms: float) -> None:
    """Check that a lease outlives a leader's death.  Raises InvalidReplicaSetError.

    A death is noticed within two election times, a new leader is elected within two more, and renews at once;
    below that sum every change of leader lets decisions expire.
    """
    min_lease_ms = 4 * timing.election_ms + renewal_interval_ms
    if lease_ms < min_lease_ms:
        raise InvalidReplicaSetError(
            f"a hold of {lease_ms:g} ms; with these elections at least {min_lease_ms:g}"
        )
