"""Words that copies share: versions, the set of a shard's copies as a decree holds it, headers.  Pure.

The model is PacificA's (Lin, Yang, Zhang, Zhou, *PacificA: Replication in Log-Based Distributed Storage
Systems*, MSR-TR-2008-25): a set of copies under a number that grows with each change, decided apart from the
data's way; one copy, the first, orders writes.  What differs: edges carry the writes to the copies (nodes do
not speak with each other), and order is kept by version for each path instead of by a log.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec

from cressrock.errors.replication import InvalidSetError, UnknownSetVersionError

VERSION = 1
MAX_COPIES = 8  # of one shard; each one more is one more write for every write

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

Whole = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Zone = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Life = Annotated[str, msgspec.Meta(max_length=64)]


class Version(NamedTuple):
    """Where a write stands in its shard's order: the epoch of the first copy that took it, and its number."""

    epoch: int
    number: int

    def __str__(self) -> str:
        """Return the form of the headers, "epoch.number"."""
        return f"{self.epoch}.{self.number}"


NO_VERSION = Version(0, 0)


def parse_version(text: str) -> Version:
    """Read a version from a header.  Raises BadSet."""
    one, _, other = text.strip().partition(".")
    if not (one.isdecimal() and other.isdecimal() and len(text) <= 40):
        raise InvalidSetError(f"{text[:40]!r} is no version")
    return Version(int(one), int(other))


class Rejection(StrEnum):
    """Why a node refused what it was asked under a set; header `X-Cressrock-Refused`.  Nothing ran."""

    OLDER_EPOCH = "older-epoch"  # the node knows a newer set
    OTHER_STORE = "other-store"  # its disk is not the one that the set names: it may have lost something
    NOT_IN_SYNC = "not-in-sync"  # it knows itself as out of the set, and was asked to read


class ReplicaState(StrEnum):
    """What a copy is in its set."""

    IN_SYNC = "in"  # has every acknowledged write; may be read
    JOINING = "joining"  # has part in every write, still lacks older ones; is not read
    OUT_OF_SYNC = "owed"  # out: lacks what was written since


class Replica(msgspec.Struct, frozen=True, array_like=True):
    """One copy.  `since` is the last epoch of which it had all (0: none); `life` names its store."""

    zone: Zone
    state: ReplicaState
    store_id: Life = ""
    complete_epoch: Whole = 0
    evictions: Whole = 0  # how often it was put out, for the pace of coming back


class AcceptedLoss(msgspec.Struct, frozen=True, array_like=True):
    """An operator's word: what was acknowledged after epoch `since` only at `zone` may be lost."""

    zone: Zone
    complete_epoch: Whole
    epoch: Whole


class InSyncSet(msgspec.Struct, frozen=True, array_like=True):
    """The set of one shard's copies: the decree `sync/VOLUME/SHARD`.  `epoch` grows with each change.

    `reign` is the epoch in which the present first copy became the first one.
    """

    epoch: Annotated[int, msgspec.Meta(ge=1, le=2**62)]
    primary: Zone
    replicas: Annotated[tuple[Replica, ...], msgspec.Meta(min_length=1, max_length=MAX_COPIES)]
    accepted_losses: Annotated[tuple[AcceptedLoss, ...], msgspec.Meta(max_length=8)] = ()
    primary_since_epoch: Whole = 1

    def replica(self, zone: str) -> Replica | None:
        """Return a zone's copy."""
        return next((c for c in self.replicas if c.zone == zone), None)

    def zones_in(self, *states: ReplicaState) -> tuple[str, ...]:
        """Return the zones whose copies are in one of these states, in the set's order."""
        return tuple(c.zone for c in self.replicas if c.state in states)

    @property
    def write_zones(self) -> tuple[str, ...]:
        """The zones that must have a write before it is acknowledged, the first one first."""
        others = [z for z in self.zones_in(ReplicaState.IN_SYNC, ReplicaState.JOINING) if z != self.primary]
        return (self.primary, *others)

    @property
    def read_zones(self) -> tuple[str, ...]:
        """The zones that may be read."""
        return self.zones_in(ReplicaState.IN_SYNC)


def set_topic(volume: str, shard: int) -> str:
    """Return the topic under which the set of a shard (its index in the volume) is decided."""
    return f"sync/{volume}/{shard}"


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(InSyncSet)


def encode_set(sync: InSyncSet) -> bytes:
    """Return a set as a decree's value: the version, then MessagePack."""
    return bytes((VERSION,)) + _encoder.encode(sync)


def decode_set(data: bytes) -> InSyncSet:
    """Read a decree's value; fields that a newer program appended are ignored.

    Raises BadSet, SetNewer.
    """
    if data and data[0] > VERSION:
        raise UnknownSetVersionError(f"a set of copies of version {data[0]}")
    if not data or data[0] != VERSION:
        raise InvalidSetError("no set of copies")
    try:
        sync = _decoder.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as wrong:
        raise InvalidSetError(f"no set of copies: {wrong}") from None
    names = [c.zone for c in sync.replicas]
    if len(set(names)) != len(names) or sync.primary not in sync.read_zones:
        raise InvalidSetError(f"a set whose first copy {sync.primary!r} is not in it, or with a zone twice")
    return sync


class RecordEntry(msgspec.Struct, frozen=True, array_like=True):
    """A record of a node, as its list tells it: what stands at a path, under which version."""

    key: Annotated[str, msgspec.Meta(max_length=8192)]
    version: Annotated[str, msgspec.Meta(max_length=40)]
    kind: Annotated[str, msgspec.Meta(max_length=16)]  # file, collection, gone
    cleared_version: Annotated[str, msgspec.Meta(max_length=40)]
    committed: bool


class RecordPage(msgspec.Struct, frozen=True, array_like=True):
    """Some records in the order of their paths; `more`: others follow."""

    entries: Annotated[tuple[RecordEntry, ...], msgspec.Meta(max_length=1024)]
    more: bool = False


_pages = msgspec.msgpack.Decoder(RecordPage)


def encode_page(page: RecordPage) -> bytes:
    """Return a page as a node answers it."""
    return bytes((VERSION,)) + _encoder.encode(page)


def decode_page(data: bytes) -> RecordPage:
    """Read a node's page.  Raises BadSet."""
    if not data or data[0] != VERSION:
        raise InvalidSetError("no page of records")
    try:
        return _pages.decode(data[1:])
    except (msgspec.DecodeError, RecursionError) as wrong:
        raise InvalidSetError(f"no page of records: {wrong}") from None


def by_distance(zones: Iterable[str], own: str, regions: dict[str, str]) -> tuple[str, ...]:
    """Order zones from a place: its own, its region's, the others; among equals by name."""
    here = regions.get(own, "")
    return tuple(sorted(zones, key=lambda z: (z != own, regions.get(z, "") != here or not here, z)))
