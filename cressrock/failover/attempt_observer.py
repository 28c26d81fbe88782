"""A transport that lets somebody observe how each attempt ended."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cressrock.dispatch.ledger import Attempt
from cressrock.dispatch.transport import AttemptHandle, AttemptResult, Call, Transport

Observer = Callable[[Call, AttemptResult], None]


class _ObservedCall:
    """One attempt whose ending the observer gets before the driver does."""

    __slots__ = ("call", "observer")

    def __init__(self, call: Call, observer: Observer) -> None:
        self.call, self.observer = call, observer

    @property
    def op(self) -> Any:
        """Return the request."""
        return self.call.op

    @property
    def label(self) -> str:
        """Return the label for logs."""
        return self.call.label

    @property
    def attempt(self) -> Attempt:
        """Return the ledger's entry."""
        return self.call.attempt

    @property
    def deadline(self) -> float:
        """Return when the transport stops waiting."""
        return self.call.deadline

    @property
    def leave_by(self) -> float:
        """Return when the last byte has to have left."""
        return self.call.leave_by

    def may_leave(self) -> bool:
        """Whether it may still go."""
        return self.call.may_leave()

    def begin(self, reply: Any) -> bool:
        """Hand on an answer."""
        return self.call.begin(reply)

    def end(self, result: AttemptResult) -> None:
        """Tell the observer, then the driver."""
        self.observer(self.call, result)
        self.call.end(result)


class ObservedTransport:
    """The transport that it wraps, with an observer of each attempt's result."""

    def __init__(self, inner: Transport, observer: Observer) -> None:
        """`observer` gets each attempt and its result."""
        self.inner, self.observer = inner, observer

    def start(self, call: Call) -> AttemptHandle:
        """Begin an attempt."""
        return self.inner.start(_ObservedCall(call, self.observer))
