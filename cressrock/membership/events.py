"""What the membership reports: changes in the state of members, and conflicts over this process's name."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """A process that was not known before."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberSuspected:
    """A process is suspected, since a time on this process's clock."""

    name: str
    process_incarnation: int
    since_ms: float


@dataclass(frozen=True, slots=True)
class MemberRecovered:
    """A process that was suspected or dead is heard of again, in the same process incarnation."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """A process said that it leaves."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberDead:
    """A process was not heard of for the whole time of suspicion."""

    name: str
    process_incarnation: int


@dataclass(frozen=True, slots=True)
class MemberRestarted:
    """A name is back in a newer process incarnation; the previous is over, whatever was believed of it."""

    name: str
    previous: int
    current: int


@dataclass(frozen=True, slots=True)
class Fenced:
    """A newer process has this process's name: this one has to stop, and sends nothing more."""

    name: str
    newer: int


@dataclass(frozen=True, slots=True)
class DuplicateIdentity:
    """An older process with this process's name still sends; it is told to stop."""

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
