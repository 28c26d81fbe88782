"""A replica's status for the admin port and for operators; its keys are a published interface."""

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
    """Return plain values: who this is, its part in the group, its log, its connections."""
    raft, now_ms, decisions = replica.raft, replica.environment.clock(), replica.decisions
    heard = {name: connection.heard_at_ms() for name, connection in replica.connections.items()}
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
            name: None if heard_ms is None else round(now_ms - heard_ms) for name, heard_ms in heard.items()
        },
        "parted": {
            name: connection.last_closed.reason
            for name, connection in replica.connections.items()
            if connection.last_closed
        },
        "store_bytes": replica.store.size() if replica.store else 0,
        "counts": dict(replica.counts) | (dict(raft.drop_counts) if raft else {}),
    }
