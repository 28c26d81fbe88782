"""A replica's status for the admin port; its keys are a published interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cressrock.consensus.identity import replica_name

if TYPE_CHECKING:
    from cressrock.consensus.replica import ConsensusReplica


def _role_of(replica: ConsensusReplica) -> str:
    if replica.failed:
        return "failed"
    return replica.raft.role.value if replica.raft else "waiting"


def replica_status(replica: ConsensusReplica) -> dict[str, object]:
    """Return JSON-compatible values: identity, role in the group, log, connections and counters."""
    raft, now_ms, decisions = replica.raft, replica.environment.clock(), replica.decisions
    last_received = {name: connection.last_received_ms() for name, connection in replica.connections.items()}
    return {
        "name": replica.settings.name,
        "identity": replica.identity,
        "council": replica.local_endpoint().group,
        "role": _role_of(replica),
        "failed": replica.failed.fields() if replica.failed else None,
        "term": raft.term if raft else 0,
        "generation": raft.generation if raft else 0,
        "leader": replica_name(raft.leader) if raft else "",
        "seats": list(raft.voters) if raft else [],
        "commit": raft.commit if raft else 0,
        "applied": decisions.applied,
        "number": decisions.version,
        "topics": len(decisions.all_decisions()),
        "log": len(raft.log.entries) if raft else 0,
        "beat": replica.requests.renewals.last_renewal,
        "heard_ms_ago": {
            name: None if received_ms is None else round(now_ms - received_ms)
            for name, received_ms in last_received.items()
        },
        "parted": {
            name: connection.last_closed.reason
            for name, connection in replica.connections.items()
            if connection.last_closed
        },
        "store_bytes": replica.store.size() if replica.store else 0,
        "counts": dict(replica.counts) | (dict(raft.drop_counts) if raft else {}),
    }
