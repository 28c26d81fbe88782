"""Tracks how long to keep connections whose write side is shut while the peer has not closed yet.  Pure.

Closing a socket with unread input resets the connection, and the reset discards whatever the peer has not
read yet, such as its last answer.  So the write side is shut after the last answer (a half-close), and input
is read and discarded until the peer closes too: a lingering close (RFC 9112, 9.6).  Input read after the
shutdown is not served; its sender sees the connection end without an answer and retries elsewhere.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

C = TypeVar("C", bound=Hashable)


@dataclass(frozen=True, slots=True)
class LingerBounds:
    """Limits on lingering connections."""

    timeout_ms: float
    max_bytes: int  # discarded from one peer
    max_connections: int


class Lingering(Generic[C]):
    """The lingering connections, in the order in which they were shut."""

    def __init__(self, bounds: LingerBounds) -> None:
        """Start without connections."""
        self.bounds = bounds
        self._shut_at_ms: dict[C, float] = {}
        self._discarded_bytes: dict[C, int] = {}

    def __len__(self) -> int:
        """Return the number of lingering connections."""
        return len(self._shut_at_ms)

    def __contains__(self, connection: C) -> bool:
        """Return whether the connection lingers."""
        return connection in self._shut_at_ms

    def __iter__(self) -> Iterator[C]:
        """Iterate over a snapshot of the connections, the one shut longest ago first."""
        return iter(list(self._shut_at_ms))

    def add(self, connection: C, now: float) -> int:
        """Add a connection that was shut now; return by how many the limit on connections is exceeded."""
        self._shut_at_ms[connection] = now
        self._discarded_bytes[connection] = 0
        return max(0, len(self._shut_at_ms) - self.bounds.max_connections)

    def record_discarded(self, connection: C, size: int) -> bool:
        """Count `size` discarded bytes; return whether the peer has exceeded the limit on bytes."""
        self._discarded_bytes[connection] = self._discarded_bytes.get(connection, 0) + size
        return self._discarded_bytes[connection] > self.bounds.max_bytes

    def expired(self, now: float) -> list[C]:
        """Return the connections that have lingered for longer than the time limit."""
        expired = []
        for connection, shut_at_ms in self._shut_at_ms.items():
            if now - shut_at_ms <= self.bounds.timeout_ms:
                break  # entries are in order of time
            expired.append(connection)
        return expired

    def remove(self, connection: C) -> None:
        """Remove a connection that ended or was closed; does nothing if it does not linger."""
        self._shut_at_ms.pop(connection, None)
        self._discarded_bytes.pop(connection, None)
