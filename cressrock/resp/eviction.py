"""Chooses which client connections to close when a limit is reached.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar


class IdleConnection(Protocol):
    """What the choice needs to know of a connection without pending answers."""

    has_sent_command: bool  # it has sent a complete command
    active_at: float  # its last command or answer, or else its connecting; milliseconds


S = TypeVar("S", bound=IdleConnection)

# Iterations of the event loop from accepting a connection until a descriptor is freed for it: it is accepted
# in the first, its transport is created in the second, the front learns of it in the third and may evict
# another, whose descriptor is closed in the fourth.
LOOP_ITERATIONS = 4


def max_accepts_per_iteration(spare: int) -> int:
    """Return how many connections to accept per iteration of the event loop, at least one.

    `spare` descriptors are reserved for connections that no limit counts yet, or that are being closed.
    """
    return max(1, spare // LOOP_ITERATIONS)


def choose_eviction(idle: Iterable[S], new_since: float) -> S | None:
    """Choose the connection to close for a new one: one that never sent a command, else the longest idle.

    A connection opened after `new_since` is about to send its first command and is chosen last.  If the
    newest of a burst were closed first, its client would lose the request, reconnect and be closed again; a
    client that has already been answered loses only the connection.
    """

    def rank(connection: S) -> tuple[int, float]:
        new_rank = 2 if connection.active_at > new_since else 0
        return (1 if connection.has_sent_command else new_rank, connection.active_at)

    return min(idle, key=rank, default=None)


def choose_unread(unread_bytes: dict[S, int], max_bytes: int) -> list[S]:
    """Choose the connections to close, most unread bytes first, until the rest is within the limit."""
    total, chosen = sum(unread_bytes.values()), []
    for connection in sorted(unread_bytes, key=lambda c: (-unread_bytes[c], c.active_at)):
        if total <= max_bytes:
            break
        total -= unread_bytes[connection]
        chosen.append(connection)
    return chosen
