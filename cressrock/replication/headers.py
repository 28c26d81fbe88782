"""HTTP header fields exchanged with storage nodes that hold replicas; `docs/copies.md` lists them."""

from __future__ import annotations

from enum import StrEnum

EPOCH_HEADER = b"x-cressrock-epoch"
REPLICA_HEADER = b"x-cressrock-copy"
VERSION_HEADER = b"x-cressrock-version"
COMMITTED_HEADER = b"x-cressrock-sure"
CLEARED_HEADER = b"x-cressrock-cleared"
PATH_HEADER = b"x-cressrock-path"
KIND_HEADER = b"x-cressrock-kind"
TIMES_HEADER = b"x-cressrock-times"
STORE_HEADER = b"x-cressrock-life"
REJECTED_HEADER = b"x-cressrock-refused"
MISSING_SINCE_HEADER = b"x-cressrock-owed"
AFTER_HEADER = b"x-cressrock-after"

PRIMARY_ROLE = "first"  # in REPLICA_HEADER; the role of any other replica is its ReplicaState value


class Rejection(StrEnum):
    """Why a node rejected an operation without executing it; the value of REJECTED_HEADER."""

    OLDER_EPOCH = "older-epoch"  # the node has seen a newer set
    OTHER_STORE = "other-store"  # the node's store is not the one named in the set: it may lack data
    NOT_IN_SYNC = "not-in-sync"  # a read at a replica that is not in sync
