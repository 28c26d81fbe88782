"""Events reported by the membership: changes of member state, and conflicts over this process's name."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """A previously unknown process is alive or suspected."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberSuspected:
    """A process became suspected, at `since_ms` on this process's clock."""

    name: str
    process_incarnation: int
    since_ms: float


@dataclass(frozen=True, slots=True)
class MemberRecovered:
    """A suspected or dead process is alive again, in the same process incarnation."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """A process announced that it is leaving."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberDead:
    """A process was declared dead, as it did not refute the suspicion within the timeout."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberRestarted:
    """A newer process incarnation replaced the previous one of the same name, whatever its state was."""

    name: str
    previous: int
    current: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """A newer process has this process's name: this one sends nothing more and must stop."""

    name: str
    newer: int


@dataclass(frozen=True, slots=True)
class DuplicateIdentity:
    """An older process with this process's name is still sending; it is notified to fence itself."""

    name: str
    process_incarnation: int
    address: str


Event = (
    MemberJoined
    | MemberSuspected
    | MemberRecovered
    | MemberLeft
    | MemberDead
    | MemberRestarted
    | Fenced
    | DuplicateIdentity
)
