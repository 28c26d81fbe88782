"""The header fields between processes and storage nodes that keep replicas; `docs/copies.md` lists them."""

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

PRIMARY_ROLE = "first"  # in REPLICA_HEADER; other replicas have their state's value as their role


class Rejection(StrEnum):
    """Why a node rejected what it was asked under a set; the value of REJECTED_HEADER.  Nothing ran."""

    OLDER_EPOCH = "older-epoch"  # the node knows a newer set
    OTHER_STORE = "other-store"  # its disk is not the one that the set names: it may have lost something
    NOT_IN_SYNC = "not-in-sync"  # it knows itself as out of the set, and was asked to read
