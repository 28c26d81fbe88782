"""A transport wrapper that passes each attempt's result to an observer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from cressrock.dispatch.ledger import Attempt
from cressrock.dispatch.transport import AttemptHandle, AttemptResult, Call, Transport

Observer = Callable[[Call, AttemptResult], None]


class _ObservedCall:
    """One attempt whose result goes to the observer before the driver; all else is delegated."""

    __slots__ = ("call", "observer")

    def __init__(self, call: Call, observer: Observer) -> None:
        self.call, self.observer = call, observer

    @property
    def name(self) -> str:
        return self.call.name

    @property
    def op(self) -> Any:
        """Return the operation of the wrapped call."""
        return self.call.op

    @property
    def label(self) -> str:
        """Return the label used in logs."""
        return self.call.label

    @property
    def attempt(self) -> Attempt:
        """Return the attempt's entry in the ledger."""
        return self.call.attempt

    @property
    def deadline(self) -> float:
        """Return the time at which the transport stops waiting for an answer."""
        return self.call.deadline

    @property
    def leave_by(self) -> float:
        """Return the time by which the last byte must have been sent."""
        return self.call.leave_by

    def may_leave(self) -> bool:
        """Whether the attempt may still be sent."""
        return self.call.may_leave()

    def begin(self, reply: Any) -> bool:
        """Pass on an answer whose payload is still arriving; False: the request has already ended."""
        return self.call.begin(reply)

    def end(self, result: AttemptResult) -> None:
        """Pass the result to the observer, then to the driver."""
        self.observer(self.call, result)
        self.call.end(result)


class ObservedTransport:
    """Wraps a transport and calls an observer with each attempt and its result."""

    def __init__(self, inner: Transport, observer: Observer) -> None:
        """`inner` is the wrapped transport; `observer` is called before the driver gets the result."""
        self.inner, self.observer = inner, observer

    def start(self, call: Call) -> AttemptHandle:
        """Start an attempt on the wrapped transport."""
        return self.inner.start(_ObservedCall(call, self.observer))
