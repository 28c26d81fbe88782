"""Buffers for payloads that may be sent again: in memory while small, else in an unnamed temporary file.

A `PayloadStore` bounds the memory of all spools together; at the bound, a growing spool moves to a file at
once.
"""

from __future__ import annotations

import tempfile
from typing import IO

import anyio

from cressrock.dispatch.operation import PayloadTruncatedError

READ_CHUNK_BYTES = 262144


class PayloadStore:
    """Memory limits shared by all payloads, in bytes, and their current use."""

    def __init__(self, *, memory_bytes: int, spill_bytes: int, directory: str | None = None) -> None:
        """`spill_bytes` bounds one payload's memory, `memory_bytes` that of all; `directory` is for files."""
        self.memory_bytes = memory_bytes
        self.spill_bytes = spill_bytes
        self.directory = directory
        self.memory_used_bytes = 0
        self.spilled_payloads = 0  # total number of payloads moved to a file


class Spool:
    """One payload, with one writer and any number of readers that may start before it is complete."""

    def __init__(self, store: PayloadStore, declared_length: int | None) -> None:
        """`declared_length` is the announced size in bytes, None if chunked."""
        self.store = store
        self.declared_length = declared_length
        self.size = 0
        self.is_complete = False
        self.is_truncated = False
        self._chunks: list[bytes] = []
        self._chunk_offsets: list[int] = []
        self._file: IO[bytes] | None = None
        self._changed = anyio.Event()

    @property
    def length(self) -> int | None:
        """Total bytes; None while unknown."""
        return self.size if self.is_complete else self.declared_length

    def append(self, data: bytes) -> None:
        """Append bytes.  Raises OSError if the temporary file cannot be created or grow."""
        if self._file is None and (
            self.size + len(data) > self.store.spill_bytes
            or self.store.memory_used_bytes + len(data) > self.store.memory_bytes
        ):
            self._spill()
        if self._file is not None:
            self._file.seek(self.size)
            self._file.write(data)
        else:
            self._chunk_offsets.append(self.size)
            self._chunks.append(data)
            self.store.memory_used_bytes += len(data)
        self.size += len(data)
        self._notify_readers()

    def finish(self) -> None:
        """Mark the payload as complete and wake waiting readers."""
        self.is_complete = True
        self._notify_readers()

    def fail(self) -> None:
        """Mark the payload as truncated; readers that wait for more raise PayloadTruncatedError."""
        self.is_truncated = True
        self._notify_readers()

    async def read_chunk(self, offset: int) -> bytes:
        """Return some bytes from an offset on, waiting until there are any; b"" at the end.

        Raises PayloadTruncatedError if the payload was truncated before the offset or the spool was closed.
        """
        while offset >= self.size:
            if self.is_complete:
                return b""
            if self.is_truncated:
                raise PayloadTruncatedError("the client's payload ended early")
            await self._changed.wait()
        if self._file is not None:
            self._file.seek(offset)
            return self._file.read(READ_CHUNK_BYTES)
        low, high = 0, len(self._chunk_offsets)
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if self._chunk_offsets[middle] <= offset else (low, middle)
        data = self._chunks[low]
        start = offset - self._chunk_offsets[low]
        return data[start:] if start else data

    def close(self) -> None:
        """Release the memory or the file.  Readers that still wait raise PayloadTruncatedError."""
        if self._file is not None:
            self._file.close()
            self._file = None
        self.store.memory_used_bytes -= sum(map(len, self._chunks))
        self._chunks.clear()
        self._chunk_offsets.clear()
        self.size, self.is_complete = 0, False
        self.fail()

    def _spill(self) -> None:
        self.store.spilled_payloads += 1
        self._file = tempfile.TemporaryFile(dir=self.store.directory, buffering=0)
        for data in self._chunks:
            self._file.write(data)
        self.store.memory_used_bytes -= self.size
        self._chunks.clear()
        self._chunk_offsets.clear()

    def _notify_readers(self) -> None:
        previous_event, self._changed = self._changed, anyio.Event()
        previous_event.set()


def complete_spool(store: PayloadStore, data: bytes) -> Spool:
    """Return a complete spool with these bytes."""
    spool = Spool(store, len(data))
    if data:
        spool.append(data)
    spool.finish()
    return spool
