"""Errors of replication: sets that cannot be read, and changes of a set that would lose something."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class ReplicationError(CressrockError):
    """Something about a shard's replicas could not be done; its set is as it was before."""

    code: ClassVar[str] = "copies"
    remedy: ClassVar[str] = "see the text; the set of copies is as it was before"


class InvalidSetError(ReplicationError):
    """A decision's value is no in-sync set, or a node's list of records cannot be read."""

    code: ClassVar[str] = "copies-bad-set"
    remedy: ClassVar[str] = "find what wrote the topic `sync/...`: only planners and edges of this program do"


class UnknownSetVersionError(ReplicationError):
    """An in-sync set was written by a newer program; it is not guessed at."""

    code: ClassVar[str] = "copies-set-newer"
    remedy: ClassVar[str] = "update this process to the version that the others run"


class TransitionNotAllowedError(ReplicationError):
    """A change of a set whose precondition does not hold, such as readmitting a replica that lacks writes."""

    code: ClassVar[str] = "copies-not-allowed"
    remedy: ClassVar[str] = "nothing: the change is tried again from the set as it stands"


class OnlyReplicaError(ReplicationError):
    """The only replica that has every acknowledged write is the one that is lost."""

    code: ClassVar[str] = "copies-only-copy"
    remedy: ClassVar[str] = (
        "bring that zone's node back with its present disk; or let another copy count, which loses what was "
        "acknowledged since it was put out (docs/copies.md, the operator's way out)"
    )
