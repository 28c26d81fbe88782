"""Errors of replication: in-sync sets that cannot be read, and changes that would lose writes."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class ReplicationError(CressrockError):
    """An operation on a shard's replicas failed; its in-sync set is unchanged."""

    code: ClassVar[str] = "copies"
    remedy: ClassVar[str] = "see the text; the set of copies is as it was before"


class InvalidSetError(ReplicationError):
    """A decision's value is not a valid in-sync set, or a node's list of records could not be decoded."""

    code: ClassVar[str] = "copies-bad-set"
    remedy: ClassVar[str] = "find what wrote the topic `sync/...`: only planners and edges of this program do"


class UnknownSetVersionError(ReplicationError):
    """An in-sync set was written by a newer version of the program; it was not interpreted."""

    code: ClassVar[str] = "copies-set-newer"
    remedy: ClassVar[str] = "update this process to the version that the others run"


class TransitionNotAllowedError(ReplicationError):
    """The precondition of a set change does not hold; for example, a replica to readmit lacks writes."""

    code: ClassVar[str] = "copies-not-allowed"
    remedy: ClassVar[str] = "nothing: the change is tried again from the set as it stands"


class OnlyReplicaError(ReplicationError):
    """The only replica that has every acknowledged write is lost."""

    code: ClassVar[str] = "copies-only-copy"
    remedy: ClassVar[str] = (
        "bring that zone's node back with its present disk; or let another copy count, which loses what was "
        "acknowledged since it was put out (docs/copies.md, the operator's way out)"
    )
