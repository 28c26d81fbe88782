"""Connections whose write side is shut and whose peer has not ended yet: how long each is kept.  Pure.

A connection that is closed while bytes of its peer are unread is reset, and the reset takes along what the
peer has not read yet: its last answer.  So the write side is shut behind the last answer (a half-close), and
what still comes is read and thrown away until the peer ends too: a lingering close (RFC 9112, 9.6).  Nothing
read after the shutdown is served: its sender sees an end without an answer and asks anew elsewhere.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from dataclasses import dataclass
from typing import Generic, TypeVar

C = TypeVar("C", bound=Hashable)


@dataclass(frozen=True, slots=True)
class LingerBounds:
    """What lingering may cost: a time in milliseconds, bytes of one peer, and connections."""

    ms: float
    bytes: int
    connections: int


class Lingering(Generic[C]):
    """The connections that linger, in the order in which they were shut."""

    def __init__(self, bounds: LingerBounds) -> None:
        """Start with none."""
        self.bounds = bounds
        self._since: dict[C, float] = {}
        self._read: dict[C, int] = {}

    def __len__(self) -> int:
        """Count the connections that linger."""
        return len(self._since)

    def __contains__(self, connection: C) -> bool:
        """Tell whether a connection lingers."""
        return connection in self._since

    def __iter__(self) -> Iterator[C]:
        """Go through them, shut longest first."""
        return iter(list(self._since))

    def begin(self, connection: C, now: float) -> int:
        """Keep a connection that was shut now; return how many are over the bound."""
        self._since[connection] = now
        self._read[connection] = 0
        return max(0, len(self._since) - self.bounds.connections)

    def heard(self, connection: C, size: int) -> bool:
        """Count bytes that were thrown away; True where the peer has sent more than is read of one."""
        self._read[connection] = self._read.get(connection, 0) + size
        return self._read[connection] > self.bounds.bytes

    def over(self, now: float) -> list[C]:
        """Return the connections whose peers have had their time."""
        found = []
        for connection, since in self._since.items():
            if now - since <= self.bounds.ms:
                break  # in order of time
            found.append(connection)
        return found

    def ended(self, connection: C) -> None:
        """Forget a connection: its peer ended, or it was closed."""
        self._since.pop(connection, None)
        self._read.pop(connection, None)
