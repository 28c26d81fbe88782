"""Errors of zone failover: evidence, decisions and moves of writes."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class FailoverError(CressrockError):
    """An operation of zone failover failed; the subtypes say why."""

    code: ClassVar[str] = "zones"
    remedy: ClassVar[str] = "look at `zones` in the process's status; traffic goes on by its own evidence"


class MalformedFailoverDataError(FailoverError):
    """Evidence or a decision about zones could not be decoded; it was ignored."""

    code: ClassVar[str] = "zones-malformed"
    remedy: ClassVar[str] = "find the process named as their origin: another program, or a damaged path"


class UnsupportedFailoverVersionError(FailoverError):
    """Evidence or a decision about zones has a version that this program cannot read; it was ignored."""

    code: ClassVar[str] = "zones-version"
    remedy: ClassVar[str] = "bring the processes to neighbouring versions, planners with seats last"


class WriteMoveRejectedError(FailoverError):
    """Writes were not moved to another region: it is undefined, or the move could lose more than allowed."""

    code: ClassVar[str] = "zones-move-refused"
    remedy: ClassVar[str] = (
        "correct the regions; or wait until the copies there have everything; or say in `may_lose_ms` how "
        "much of what was acknowledged may be lost"
    )
