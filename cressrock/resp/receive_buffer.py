"""Receives data into one buffer that all connections of the process share.

asyncio allocates 256 KiB for each read of a plain `asyncio.Protocol` and then shrinks the allocation to what
arrived.  Between answers that are kept, the heap cannot reuse the gaps that this leaves, and grows to twice
what the process holds.  With a shared buffer, the only allocation is a copy of just the bytes that arrived.
"""

from __future__ import annotations

import asyncio

from cressrock.resp.codec import MAX_VALUE_BYTES

RECEIVE_BYTES = MAX_VALUE_BYTES + 1024  # a whole answer or command, with its other words

# The event loop fills the buffer and passes it on in one call, so connections can share it.
shared_buffer = memoryview(bytearray(RECEIVE_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A stream protocol whose subclasses implement `data_received`, as for `asyncio.Protocol`."""

    __slots__ = ()

    def data_received(self, data: bytes) -> None:
        """Process bytes that arrived."""
        raise NotImplementedError

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Return the buffer for the next read; a part of it limits the read."""
        return shared_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass on the bytes of a read."""
        self.data_received(bytes(shared_buffer[:nbytes]))
