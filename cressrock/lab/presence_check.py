"""Checks what watchers of rooms were told against what clients did.  Pure; it knows clients' histories only.

Times are one clock's: that of the process in which all clients run.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class Act:
    """What a client did with one member: when it began and when it was answered (None: never)."""

    what: str  # join, touch, resume, leave, lost (its client says nothing any more, on purpose)
    room: str
    member: str  # "" where no answer told
    begin: float
    end: float | None = None
    gateway: str = ""
    seen: frozenset[str] = frozenset()  # members that this client had been shown before it began


@dataclass(slots=True)
class Told:
    """One answer to a watcher: a snapshot, or events after a cursor."""

    at: float
    members: dict[str, str] | None  # id -> sure or unsure; None: events
    events: list[dict[str, Any]] = field(default_factory=list)
    not_heard: tuple[str, ...] = ()
    resync: bool = False
    asked: float = 0.0


@dataclass(slots=True)
class Watched:
    """Everything that one watcher of one room was told, in order."""

    name: str
    room: str
    told: list[Told] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Claimed:
    """An agreed name that a client was told it holds."""

    room: str
    name: str
    member: str
    number: int
    begin: float
    end: float


def state(told: Sequence[Told]) -> set[str]:
    """Return the members that a watcher knows after what it was told."""
    found: set[str] = set()
    for one in told:
        if one.members is not None:
            found = set(one.members)
        for event in one.events:
            if event["event"] == "join":
                found.add(event["member"])
            elif event["event"] == "leave":
                found.discard(event["member"])
    return found


def check(acts: Sequence[Act], watched: Iterable[Watched], *, grace_ms: float) -> list[str]:
    """Return what is wrong with the histories; empty: nothing.

    Checked: no event twice and none missing (numbers, and the members' own order: no second join, no leave of
    whom one does not know); nobody gone who was there (a leave by the client's word follows its act; one by
    silence follows the grace; one by time follows a word that the gateway is unsure); no effect before its
    cause (a join by a client that had been shown others comes after theirs, in one feed).
    """
    wrong: list[str] = []
    by_member: dict[str, list[Act]] = {}
    for act in acts:
        if act.member:
            by_member.setdefault(act.member, []).append(act)
    for watcher in watched:
        found = _one(watcher, by_member, grace_ms)
        wrong += [f"{watcher.name} in {watcher.room}: {text}" for text in found]
    return wrong


def _one(watcher: Watched, by_member: dict[str, list[Act]], grace_ms: float) -> list[str]:
    wrong: list[str] = []
    known: set[str] = set()
    last = 0
    doubted: set[str] = set()  # gateways and members of which this watcher was told that they are unsure
    joined: dict[str, int] = {}  # in this feed, as events
    for at, told in enumerate(watcher.told):
        doubted.update(told.not_heard)
        unheard = set(told.not_heard)
        if told.members is not None:
            if at and not told.resync:
                wrong.append("a snapshot in the middle, without resync")
            known, joined, last = set(told.members), {}, 0
            doubted.update(id for id, said in told.members.items() if said == "unsure")
            continue
        for event in told.events:
            kind, member, seq = event["event"], event.get("member", ""), event["seq"]
            if last and seq != last + 1:
                wrong.append(f"event {seq} after {last}")
            last = seq
            if kind == "unsure":
                doubted.add(event["gateway"])
            elif kind == "join":
                if member in known:
                    wrong.append(f"{member} joins twice")
                known.add(member)
                joined[member] = seq
                wrong += _caused(member, known, joined, by_member)
            elif kind in ("update", "moved") and member not in known:
                wrong.append(f"{kind} of {member}, who is not known")
            elif kind == "leave":
                if member not in known:
                    wrong.append(f"{member} leaves, who is not known")
                known.discard(member)
                wrong += _gone(event, told.at, by_member.get(member, []), doubted, unheard, grace_ms)
    return wrong


def _caused(
    member: str, known: set[str], joined: dict[str, int], by_member: dict[str, list[Act]]
) -> list[str]:
    """Whoever had been shown this member before joining may not stand in this feed before it."""
    found = []
    for other in joined:
        for act in by_member.get(other, []):
            if act.what == "join" and member in act.seen and other != member:
                found.append(f"{other} joined after being shown {member}, and is shown before")
    return found


def _gone(
    event: dict[str, Any], at: float, acts: list[Act], doubted: set[str], unheard: set[str], grace_ms: float
) -> list[str]:
    member, why = event["member"], event.get("why", "left")
    if why == "withdrawn":
        if any(act.what == "join" and act.end is not None for act in acts):
            return [f"{member} was withdrawn, and its client was told that it joined"]
    elif why == "left":
        if not any(act.what == "leave" and act.begin <= at for act in acts):
            return [f"{member} has left, says an event; its client did not"]
    elif why == "silent":
        # A contact was taken in between its begin and its end: counted from its begin, the grace is over.
        contacts = [act for act in acts if act.end is not None and act.end <= at and act.what != "leave"]
        for act in contacts:
            if at - act.begin < grace_ms and act.gateway in ("", event.get("gateway", "")):
                return [f"{member} is gone by silence {at - act.begin:.0f} ms after its client was there"]
            if at - act.begin < grace_ms and act.gateway not in unheard:
                return [f"{member} is gone by silence, and was at {act.gateway}, which was heard"]
    elif why == "time":
        if event.get("gateway") not in doubted and member not in doubted:
            return [f"{member} is gone by time, and nobody said that its gateway is unsure"]
    elif why not in ("closed", "moved"):
        return [f"{member} is gone by {why!r}"]
    return []


def converged(watched: Iterable[Watched], present: dict[str, set[str]]) -> list[str]:
    """Return which watchers do not end with exactly the members that are there, by room."""
    wrong = []
    for watcher in watched:
        found, there = state(watcher.told), present.get(watcher.room, set())
        if found != there:
            wrong.append(
                f"{watcher.name} in {watcher.room}: ghosts {sorted(found - there)[:3]},"
                f" missing {sorted(there - found)[:3]}"
            )
    return wrong


def check_names(claims: Iterable[Claimed]) -> list[str]:
    """Return what is wrong with agreed names: two holders of one token, or a later one that is not
    greater.
    """
    wrong: list[str] = []
    by_number: dict[int, Claimed] = {}
    by_name: dict[tuple[str, str], list[Claimed]] = {}
    for claim in claims:
        other = by_number.setdefault(claim.number, claim)
        if (other.member, other.room, other.name) != (claim.member, claim.room, claim.name):
            wrong.append(f"token {claim.number} has two holders: {other.member} and {claim.member}")
        by_name.setdefault((claim.room, claim.name), []).append(claim)
    for found in by_name.values():
        for one in found:
            for two in found:
                if one.end < two.begin and two.number < one.number:
                    wrong.append(f"{two.name}: token {two.number} was given after {one.number}")
    return wrong
