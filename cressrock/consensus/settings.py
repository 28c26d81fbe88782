"""Settings of one replica, and validation of a group's settings."""

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

MAX_REPLICA_NAME_CHARACTERS = 47  # with "#" and an id of 16 it fits the 64 of a name in raft messages
GROUP_SIZES = (3, 5)

Start = Literal["found", "join", "expect"]


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of one replica; `replicas` maps names to addresses as seen from this process."""

    name: str
    cluster: str
    replicas: Mapping[str, str]
    store: str | Path
    start: Start = "found"
    timing: RaftSettings = RaftSettings()
    connection_limits: ConnectionLimits = ConnectionLimits()
    reconnect: ReconnectBackoff = ReconnectBackoff()
    limits: DecisionLimits = DecisionLimits()
    renewal_interval_ms: float = 500.0  # of a leader; the shortest lease should span several
    join_interval_ms: float = 200.0  # how often a new replica asks to be added
    request_timeout_ms: float = 2000.0  # after which a replica gives up on a request
    max_inbox: int = 4096  # messages that wait for the disk; further ones are dropped
    max_pending_requests: int = 1024  # further requests get RetryLater
    max_connections: int = 1024  # of replicas and clients; further ones are closed at once
    # A snapshot is taken at half of this many entries, and the log truncated to it at the full number.
    max_log_entries: int = 4096
    max_log_bytes: int = 8 << 20  # likewise, in bytes of entries


def check_replica_set(names: Iterable[str], local_name: str) -> None:
    """Check the names and the number of a group's replicas.  Raises InvalidReplicaSetError."""
    listed = list(names)
    if len(set(listed)) != len(listed):
        raise InvalidReplicaSetError(f"duplicate seat name in the settings: {', '.join(sorted(listed))}")
    if len(listed) not in GROUP_SIZES:
        raise InvalidReplicaSetError(f"a council cannot have {len(listed)} seats: {', '.join(listed)}")
    for name in listed:
        if not 0 < len(name) <= MAX_REPLICA_NAME_CHARACTERS or "#" in name:
            raise InvalidReplicaSetError(
                f"invalid seat name {name!r}: use 1 to {MAX_REPLICA_NAME_CHARACTERS} characters without '#'"
            )
    if local_name not in listed:
        raise InvalidReplicaSetError(
            f"this seat {local_name!r} is missing from the seats {', '.join(listed)}"
        )


def check_lease(lease_ms: float, timing: RaftSettings, renewal_interval_ms: float) -> None:
    """Check that a lease outlasts a leader failure.  Raises InvalidReplicaSetError.

    A failure is detected within two election timeouts, and a new leader is elected within two more and renews
    at once.  With a shorter lease, decisions expire at every change of leader.
    """
    min_lease_ms = 4 * timing.election_ms + renewal_interval_ms
    if lease_ms < min_lease_ms:
        raise InvalidReplicaSetError(
            f"lease of {lease_ms:g} ms is too short: these election timeouts need at least {min_lease_ms:g}"
        )
