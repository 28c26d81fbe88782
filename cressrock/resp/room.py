"""Which of a front's connections have to go when there is no room for all.  Pure."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar


class Standing(Protocol):
    """What is to be known of a connection that is owed nothing."""

    asked: bool  # it has sent a whole command
    since: float  # when it last asked or was answered, or came; milliseconds


S = TypeVar("S", bound=Standing)

# A connection is accepted in one round of the loop, its transport is made in the next, its front hears of it
# in the third and may give another one up for it, whose descriptor is closed in the fourth.
ROUNDS = 4


def accepted_at_once(spare: int) -> int:
    """Return how many connections a round of the loop may accept, at least one.

    `spare` descriptors are kept for those that no bound counts yet, or that are being closed for them.
    """
    return max(1, spare // ROUNDS)


def leaves_first(quiet: Iterable[S], newcomers_since: float) -> S | None:
    """Choose the connection to close for a new one: one that never asked, else the one idle longest.

    Danger: a client that has just connected (after `newcomers_since`) asks in a moment.  Closed first, as the
    newest of a crowd, it loses its request and comes back at once, to be closed again; one that has asked
    before loses nothing but a connection.
    """

    def rank(connection: S) -> tuple[int, float]:
        newcomer = 2 if connection.since > newcomers_since else 0
        return (1 if connection.asked else newcomer, connection.since)

    return min(quiet, key=rank, default=None)


def give_up_unread(held: dict[S, int], most: int) -> list[S]:
    """Choose whose unread answers to give up, the largest first, until the others' bytes fit the bound."""
    total, chosen = sum(held.values()), []
    for connection in sorted(held, key=lambda c: (-held[c], c.since)):
        if total <= most:
            break
        total -= held[connection]
        chosen.append(connection)
    return chosen
