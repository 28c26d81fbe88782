"""Errors between the senders of reports and their collectors."""

from __future__ import annotations

from typing import ClassVar

from cressrock.errors import CressrockError


class AggregationError(CressrockError):
    """Evidence could not be collected; the subtypes say why."""

    code: ClassVar[str] = "collect"
    remedy: ClassVar[str] = "look at `collect` in the process's status; it goes on by its own view meanwhile"


class MalformedAggregationMessageError(AggregationError):
    """A message to or from a collector could not be decoded; it was ignored."""

    code: ClassVar[str] = "collect-malformed"
    remedy: ClassVar[str] = "find the process named as their sender: another program, or a damaged path"


class UnsupportedAggregationVersionError(AggregationError):
    """A message to or from a collector has a version that this program cannot read; it was ignored."""

    code: ClassVar[str] = "collect-version"
    remedy: ClassVar[str] = (
        "bring the processes to neighbouring versions; until then evidence goes by the spread where a seat "
        "does not announce this version"
    )


class ReportTooLargeError(AggregationError):
    """An evidence entry does not fit into one datagram; it was not sent."""

    code: ClassVar[str] = "collect-too-large"
    remedy: ClassVar[str] = "tell it in smaller pieces, as the spread would want too; the text names the key"
