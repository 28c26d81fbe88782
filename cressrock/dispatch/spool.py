"""Buffers for payloads that may be sent again: in memory while small, else in an unnamed temporary file.

A `PayloadStore` bounds the memory of all spools together; at the bound, a growing spool moves to a file at
once.
"""

from __future__ import annotations

import anyio

from cressrock.dispatch.operation import PayloadTruncatedError
from cressrock.dispatch.spill_file import BlockingCalls, InlineCalls, SpillFile

READ_CHUNK_BYTES = 262144


class PayloadStore:
    """Memory limits shared by all payloads, in bytes, and their current use."""

    def __init__(
        self,
        *,
        memory_bytes: int,
        spill_bytes: int,
        directory: str | None = None,
        blocking_calls: BlockingCalls | None = None,
    ) -> None:
        """`spill_bytes` bounds one payload's memory, `memory_bytes` that of all; `directory` is for files.

        `blocking_calls` makes the calls to files, which may take as long as the disk does; None: at once.
        """
        self.memory_bytes = memory_bytes
        self.spill_bytes = spill_bytes
        self.directory = directory
        self.blocking_calls = blocking_calls or InlineCalls()
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
        self.is_closed = False
        self._chunks: list[bytes] = []
        self._chunk_offsets: list[int] = []
        self._file: SpillFile | None = None
        self._changed = anyio.Event()

    @property
    def length(self) -> int | None:
        """Total bytes; None while unknown."""
        return self.size if self.is_complete else self.declared_length

    def fits_in_memory(self, size: int) -> bool:
        """Return whether so many more bytes can be appended without waiting for a disk."""
        return (
            self._file is None
            and self.size + size <= self.store.spill_bytes
            and self.store.memory_used_bytes + size <= self.store.memory_bytes
        )

    async def append(self, data: bytes) -> None:
        """Append bytes; waits for the disk if they do not fit in memory.

        Raises OSError if the temporary file cannot be created or grow, or if the payload is closed meanwhile.
        """
        if self.fits_in_memory(len(data)):
            self.append_in_memory(data)
            return
        if self._file is None:
            await self._spill()
        assert self._file is not None
        await self._file.write([data], self.size)
        self._check_open()
        self.size += len(data)
        self._notify_readers()

    def append_in_memory(self, data: bytes) -> None:
        """Append bytes to a payload that is in memory, whatever the limits are."""
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
            return await self._read_file(self._file, offset)
        low, high = 0, len(self._chunk_offsets)
        while high - low > 1:
            middle = (low + high) // 2
            low, high = (middle, high) if self._chunk_offsets[middle] <= offset else (low, middle)
        data = self._chunks[low]
        start = offset - self._chunk_offsets[low]
        return data[start:] if start else data

    async def _read_file(self, file: SpillFile, offset: int) -> bytes:
        try:
            return await file.read(min(READ_CHUNK_BYTES, self.size - offset), offset)
        except OSError:
            if self.is_closed:
                raise PayloadTruncatedError("the payload was closed while its file was read") from None
            raise

    def close(self) -> None:
        """Release the memory or the file.  Readers that still wait raise PayloadTruncatedError."""
        self.is_closed = True
        if self._file is not None:
            self._file.close()
            self._file = None
        self.store.memory_used_bytes -= sum(map(len, self._chunks))
        self._chunks.clear()
        self._chunk_offsets.clear()
        self.size, self.is_complete = 0, False
        self.fail()

    async def _spill(self) -> None:
        """Move what is in memory to a file; it is read from memory until then."""
        self.store.spilled_payloads += 1
        file = SpillFile(self.store.directory, self.store.blocking_calls)
        try:
            await file.write(self._chunks.copy(), 0)
            self._check_open()
        except BaseException:
            file.close()
            raise
        self._file = file
        self.store.memory_used_bytes -= self.size
        self._chunks.clear()
        self._chunk_offsets.clear()

    def _check_open(self) -> None:
        if self.is_closed:
            raise OSError("the payload was closed while its file was written")

    def _notify_readers(self) -> None:
        previous_event, self._changed = self._changed, anyio.Event()
        previous_event.set()


def complete_spool(store: PayloadStore, data: bytes) -> Spool:
    """Return a complete spool with these bytes."""
    spool = Spool(store, len(data))
    if data:
        spool.append_in_memory(data)
    spool.finish()
    return spool
