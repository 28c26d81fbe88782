"""Payloads that may have to be sent again: in memory while small, in an unnamed temporary file above.

A `PayloadStore` bounds the bytes that all spools together hold in memory; over it they spill at once.
"""

from __future__ import annotations

import tempfile
from typing import IO

import anyio

from cressrock.dispatch.operation import PayloadTruncatedError

READ = 262144


class PayloadStore:
    """The bounds that all payloads share, in bytes."""

    def __init__(self, *, memory_bytes: int, spill_bytes: int, directory: str | None = None) -> None:
        """`spill_bytes` is the most that one payload keeps in memory."""
        self.memory_bytes = memory_bytes
        self.spill_bytes = spill_bytes
        self.directory = directory
        self.memory_used_bytes = 0
        self.spilled_payloads = 0  # payloads that went to a file, in all


class Spool:
    """One payload.  One writer appends; any number of readers follow it from its start."""

    def __init__(self, store: PayloadStore, declared: int | None) -> None:
        """`declared` is the length that was announced, None if chunked."""
        self.store = store
        self.declared = declared
        self.size = 0
        self.complete = False
        self.broken = False
        self._chunks: list[bytes] = []
        self._starts: list[int] = []
        self._file: IO[bytes] | None = None
        self._changed = anyio.Event()

    @property
    def length(self) -> int | None:
        """Bytes in all; None while unknown."""
        return self.size if self.complete else self.declared

    def append(self, data: bytes) -> None:
        """Add bytes.  Raises OSError where the temporary file cannot grow."""
        if self._file is None and (
            self.size + len(data) > self.store.spill_bytes
            or self.store.memory_used_bytes + len(data) > self.store.memory_bytes
        ):
            self._spill()
        if self._file is not None:
            self._file.seek(self.size)
            self._file.write(data)
        else:
            self._starts.append(self.size)
            self._chunks.append(data)
            self.store.memory_used_bytes += len(data)
        self.size += len(data)
        self._wake()

    def finish(self) -> None:
        """Say that all is here."""
        self.complete = True
        self._wake()

    def fail(self) -> None:
        """Say that the rest will never come; waiting readers raise PayloadTruncatedError."""
        self.broken = True
        self._wake()

    async def chunk(self, offset: int) -> bytes:
        """Return the bytes that begin at an offset, waiting for them; b"" at the end.

        Raises PayloadTruncatedError.
        """
        while offset >= self.size:
            if self.complete:
                return b""
            if self.broken:
                raise PayloadTruncatedError("the client broke off its payload")
            await self._changed.wait()
        if self._file is not None:
            self._file.seek(offset)
            return self._file.read(READ)
        low, high = 0, len(self._starts)
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if self._starts[middle] <= offset else (low, middle)
        data = self._chunks[low]
        start = offset - self._starts[low]
        return data[start:] if start else data

    def close(self) -> None:
        """Give the memory or the file back.  Readers that still wait raise PayloadTruncatedError."""
        if self._file is not None:
            self._file.close()
            self._file = None
        self.store.memory_used_bytes -= sum(map(len, self._chunks))
        self._chunks.clear()
        self._starts.clear()
        self.size, self.complete = 0, False
        self.fail()

    def _spill(self) -> None:
        self.store.spilled_payloads += 1
        self._file = tempfile.TemporaryFile(dir=self.store.directory, buffering=0)
        for data in self._chunks:
            self._file.write(data)
        self.store.memory_used_bytes -= self.size
        self._chunks.clear()
        self._starts.clear()

    def _wake(self) -> None:
        waiting, self._changed = self._changed, anyio.Event()
        waiting.set()


def complete_spool(store: PayloadStore, data: bytes) -> Spool:
    """Return a spool that holds these bytes and no more."""
    spool = Spool(store, len(data))
    if data:
        spool.append(data)
    spool.finish()
    return spool
