"""How operations of copies look on the wire: headers out, answers in.  Pure; `docs/copies.md` lists them."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cressrock.errors.replication import InvalidSetError
from cressrock.http.channel import Headers, header
from cressrock.replication import in_sync_set as m
from cressrock.replication.write import PRIMARY_ROLE, OperationKind, Record, ReplicaOperation, ReplicaResult

MOST_SURE = 16  # versions told along with one operation
_METHODS = {"file": b"PUT", "collection": b"MKCOL"}


@dataclass(frozen=True, slots=True)
class Payload:
    """What a record holds: its body, and the media type."""

    body: Any
    media: bytes = b""


def fence(op: ReplicaOperation) -> Headers:
    """Return the fields by which a node judges under which set it is asked."""
    return [(m.EPOCH_HEADER, str(op.epoch).encode()), (m.REPLICA_HEADER, f"{op.role};{op.store_id}".encode())]


def fields(op: ReplicaOperation, sure: Iterable[m.Version] = ()) -> Headers:
    """Return an operation's fields; `sure` are versions known to be on every copy."""
    found = fence(op)
    marks = list(sure)
    record = op.record
    if op.kind is OperationKind.APPLY and record is not None:
        found.append((m.VERSION_HEADER, str(record.version).encode()))
        found.append((m.CLEARED_HEADER, str(record.cleared_version).encode()))
        if record.timestamps:
            found.append((m.TIMES_HEADER, record.timestamps.encode()))
        if record.committed:
            marks.append(record.version)
        if isinstance(op.payload, Payload) and op.payload.media:
            found.append((b"content-type", op.payload.media))
    if marks:
        found.append((m.COMMITTED_HEADER, " ".join(str(v) for v in marks).encode()))
    return found


def method(op: ReplicaOperation) -> bytes:
    """Return the method by which a copy takes a record over, or tells it."""
    if op.kind is OperationKind.INSPECT:
        return b"HEAD"
    return _METHODS.get(op.record.kind, b"DELETE") if op.record is not None else b"GET"


def read_record(headers: Headers, key: str) -> Record | None:
    """Return the record that an answer rests on; None where there is none.  Raises BadSet."""
    at = header(headers, m.VERSION_HEADER)
    if at is None:
        return None
    path = header(headers, m.PATH_HEADER)
    try:
        known = bytes.fromhex(path.decode()).decode() if path is not None else key
    except ValueError:
        raise InvalidSetError("a path that cannot be read") from None
    return Record(
        known,
        m.parse_version(at.decode("latin-1")),
        (header(headers, m.KIND_HEADER) or b"gone").decode("latin-1"),
        m.parse_version((header(headers, m.CLEARED_HEADER) or b"0.0").decode("latin-1")),
        header(headers, m.COMMITTED_HEADER) == b"yes",
        (header(headers, m.TIMES_HEADER) or b"").decode("latin-1"),
    )


def got(reply: Any, status: int, headers: Headers, key: str) -> ReplicaResult:
    """Read a node's answer.  One that cannot be read counts as a failure of that copy."""
    refused = header(headers, m.REJECTED_HEADER)
    epoch = header(headers, m.EPOCH_HEADER) or b"0"
    try:
        reason = m.Rejection(refused.decode("latin-1")) if refused is not None else None
        record = read_record(headers, key)
        known = int(epoch)
    except (InvalidSetError, ValueError):
        return ReplicaResult(reply, may_have_run=True, failed=True)
    # A node that heeds no epochs keeps no copies: nothing it says may count as held.
    failed = status >= 500 or (header(headers, m.EPOCH_HEADER) is None and status < 400)
    return ReplicaResult(reply, failed=failed, rejection=reason, epoch=known, record=record)


__all__ = ["PRIMARY_ROLE", "MOST_SURE", "Payload", "fence", "fields", "got", "method", "read_record"]
