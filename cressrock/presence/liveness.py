"""What may be said of gateways and members: never gone only because somebody is silent.  Pure.

All times are the asking gateway's own, in milliseconds; no clock of two machines is compared.  A verdict here
widens or narrows what is *told*; nothing that routes work looks at it.
"""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass


class Word(enum.Enum):
    """How sure this gateway is of what another one said last."""

    SURE = "sure"
    UNSURE = "unsure"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Said:
    """A verdict, and since when it stands (ms on the own clock)."""

    word: Word
    since_ms: float


def said(synced: bool, heard_ms: float, now_ms: float, silent_ms: float, gone_ms: float) -> Said:
    """Return what may be said of a gateway's members.

    `heard_ms` is when all that it said up to then was here; `synced`: all it says is here as it comes.
    Within `silent_ms` a lost connection is no news.  Past it the members are unsure, since they were last
    known. Only `gone_ms` later, the stated time, they are gone.
    """
    quiet = now_ms - heard_ms
    if quiet <= silent_ms:
        return Said(Word.SURE, heard_ms) if synced else Said(Word.UNSURE, heard_ms)
    if quiet <= gone_ms:
        return Said(Word.UNSURE, heard_ms)
    return Said(Word.GONE, heard_ms + gone_ms)


@dataclass(frozen=True, slots=True)
class Peer:
    """A gateway as the fleet's view shows it; `state` is alive, unsure, left or gone, since `since_ms`."""

    name: str
    life: int
    region: str
    state: str
    since_ms: float


def majority(region: str, peers: Iterable[Peer]) -> tuple[int, int]:
    """Return (how many have to have a join `near`, out of how many), this gateway counted.

    Counted are the region's gateways that are alive or unsure: an unsure one may be alive, so it raises what
    is needed.  Gateways known as gone are not counted, so that each side of a long cut goes on for itself:
    the answer tells both numbers, and who is not heard from.
    """
    of = 1 + sum(1 for p in peers if p.region == region and p.state in ("alive", "unsure"))
    return of // 2 + 1, of


def keepers(room: str, region: str, peers: Iterable[Peer]) -> list[str]:
    """Return the region's other live gateways in the order in which they are asked to keep a room.

    Highest random weight (Thaler and Ravishankar 1998): every gateway gets the same order, so a room's
    keepers are the same few whoever joins, and who looks for a lost gateway's session knows whom to ask.
    """

    def weight(name: str) -> bytes:
        return hashlib.blake2b(f"{room}\0{name}".encode(), digest_size=8).digest()

    alive = [p.name for p in peers if p.region == region and p.state == "alive"]
    return sorted(alive, key=weight, reverse=True)


@dataclass(frozen=True, slots=True)
class NotHeard:
    """A gateway that this one cannot speak for; `since_ms` is -1 where it was never heard."""

    name: str
    why: str
    since_ms: float


def not_heard(
    peers: Iterable[Peer], tells: Iterable[str], unsure: dict[str, float], waiting: Iterable[str]
) -> list[NotHeard]:
    """Return the gateways that an answer does not speak for, by name.

    `tells` are those whose list of rooms the spread has brought; `unsure` whose members of the room are
    unsure, since when; `waiting` those that were asked and have not told everything yet.
    """
    known, asked = set(tells), set(waiting)
    found: dict[str, NotHeard] = {}
    for peer in peers:
        if peer.name in unsure:
            found[peer.name] = NotHeard(peer.name, "silent", unsure[peer.name])
        elif peer.state != "alive":
            found[peer.name] = NotHeard(peer.name, peer.state, peer.since_ms)
        elif peer.name not in known:
            found[peer.name] = NotHeard(peer.name, "not yet heard", -1.0)
        elif peer.name in asked:
            found[peer.name] = NotHeard(peer.name, "asked", -1.0)
    for name, since in unsure.items():
        found.setdefault(name, NotHeard(name, "silent", since))
    return sorted(found.values(), key=lambda one: one.name)


def gone_for_good(name: str, life: int, peers: Iterable[Peer], now_ms: float, gone_ms: float) -> bool:
    """Whether a gateway's life is over for the stated time: gone or left so long, or replaced so long ago.

    Of a name that the view does not hold nothing is known: not gone.
    """
    for peer in peers:
        if peer.name == name:
            over = peer.life > life or peer.state in ("gone", "left")
            return over and now_ms - peer.since_ms > gone_ms
    return False


class Awake:
    """A clock that leaves out how long its own process stood still.

    A process that was stopped for a minute has not heard its own clients and peers for a minute, and none of
    them is to blame.  It is looked at again and again; between two looks what lies beyond
    `most_ms` is left out.
    """

    def __init__(self, now_ms: float, most_ms: float) -> None:
        """Begin at a time of the process's monotonic clock."""
        self.most_ms = most_ms
        self.slept_ms = 0.0
        self._last = now_ms

    def now(self, clock_ms: float) -> float:
        """Return the time without what was slept, ms."""
        gap = clock_ms - self._last
        if gap > self.most_ms:
            self.slept_ms += gap - self.most_ms
        self._last = max(self._last, clock_ms)
        return clock_ms - self.slept_ms
