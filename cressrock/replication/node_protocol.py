"""Encodes replica operations as HTTP headers and decodes nodes' responses (`docs/copies.md`).  No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from cressrock.errors.replication import InvalidSetError
from cressrock.http.channel import Headers, header
from cressrock.replication.headers import (
    CLEARED_HEADER,
    COMMITTED_HEADER,
    EPOCH_HEADER,
    KIND_HEADER,
    PATH_HEADER,
    REJECTED_HEADER,
    REPLICA_HEADER,
    STORE_HEADER,
    TIMES_HEADER,
    VERSION_HEADER,
    Rejection,
)
from cressrock.replication.operations import OperationKind, ReplicaOperation, ReplicaResult
from cressrock.replication.records import Record, Version, parse_version

MAX_COMMITTED_VERSIONS = 16  # sent with one operation
_METHODS = {"file": b"PUT", "collection": b"MKCOL"}  # by record kind; any other kind: DELETE


@dataclass(frozen=True, slots=True)
class Payload:
    """A record's body (`dispatch.operation.Body`) and media type."""

    body: Any
    media: bytes = b""


def set_headers(operation: ReplicaOperation) -> Headers:
    """Return the header fields by which a node checks the epoch, role and store of an operation."""
    replica = f"{operation.role};{operation.store_id}"
    return [(EPOCH_HEADER, str(operation.epoch).encode()), (REPLICA_HEADER, replica.encode())]


def operation_headers(operation: ReplicaOperation, committed: Iterable[Version] = ()) -> Headers:
    """Return an operation's header fields; `committed` lists versions stored on every replica."""
    headers = set_headers(operation)
    committed = list(committed)
    record = operation.record
    if operation.kind is OperationKind.APPLY and record is not None:
        headers.append((VERSION_HEADER, str(record.version).encode()))
        headers.append((CLEARED_HEADER, str(record.cleared_version).encode()))
        if record.timestamps:
            headers.append((TIMES_HEADER, record.timestamps.encode()))
        if record.committed:
            committed.append(record.version)
        if isinstance(operation.payload, Payload) and operation.payload.media:
            headers.append((b"content-type", operation.payload.media))
    if committed:
        headers.append((COMMITTED_HEADER, " ".join(str(version) for version in committed).encode()))
    return headers


def operation_method(operation: ReplicaOperation) -> bytes:
    """Return the HTTP method that inspects a path, applies a record, or reads one."""
    if operation.kind is OperationKind.INSPECT:
        return b"HEAD"
    return _METHODS.get(operation.record.kind, b"DELETE") if operation.record is not None else b"GET"


def parse_record(headers: Headers, key: str) -> Record | None:
    """Return the record that a response is based on, None if it names none.  Raises InvalidSetError.

    `key` is the record's path if the response does not give one.
    """
    version = header(headers, VERSION_HEADER)
    if version is None:
        return None
    path = header(headers, PATH_HEADER)
    try:
        record_path = bytes.fromhex(path.decode()).decode() if path is not None else key
    except ValueError:
        raise InvalidSetError("the path header of a node's response cannot be decoded") from None
    return Record(
        record_path,
        parse_version(version.decode("latin-1")),
        (header(headers, KIND_HEADER) or b"gone").decode("latin-1"),
        parse_version((header(headers, CLEARED_HEADER) or b"0.0").decode("latin-1")),
        header(headers, COMMITTED_HEADER) == b"yes",
        (header(headers, TIMES_HEADER) or b"").decode("latin-1"),
    )


def parse_result(reply: Any, status: int, headers: Headers, key: str) -> ReplicaResult:
    """Decode a node's response.  One that cannot be decoded counts as a failure of that replica."""
    rejected = header(headers, REJECTED_HEADER)
    epoch_field = header(headers, EPOCH_HEADER)
    try:
        rejection = Rejection(rejected.decode("latin-1")) if rejected is not None else None
        record = parse_record(headers, key)
        epoch = int(epoch_field or b"0")
    except (InvalidSetError, ValueError):
        return ReplicaResult(reply, may_have_run=True, failed=True)
    # A node that sends no epoch does not support replicas: its success must not count as stored.
    failed = status >= 500 or (epoch_field is None and status < 400)
    return ReplicaResult(reply, failed=failed, rejection=rejection, epoch=epoch, record=record)


def parse_store_id(headers: Headers) -> str | None:
    """Return the store id from a response's headers, None if there is none."""
    store_id = header(headers, STORE_HEADER)
    return store_id.decode("latin-1") if store_id is not None else None
