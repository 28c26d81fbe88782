"""Carries attempts to the nodes over HTTP/1.1, a task for each."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio
import h11
from anyio.abc import TaskGroup

from cressrock.dispatch.driver import FOREVER
from cressrock.dispatch.node_client import (
    AttemptProgress,
    NoConnectionError,
    NodeClient,
    NodePayload,
    SentTooLateError,
)
from cressrock.dispatch.node_response import ReportedLoad, outcome_of, reported_load
from cressrock.dispatch.operation import Operation, PayloadTruncatedError, Reply
from cressrock.dispatch.transport import AttemptResult, Call
from cressrock.http.channel import ConnectionLostError, Headers, MessageTooLargeError
from cressrock.interface import Outcome


class _Ending(NamedTuple):
    outcome: Outcome
    text: str = ""  # for the log


class _HttpAttempt:
    """An attempt's task, and how far it came."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.scope = anyio.CancelScope(deadline=call.deadline / 1000)
        self.progress = AttemptProgress(may_leave=call.may_leave)
        self.ending = _Ending(Outcome.CANCELLED)
        self.reply: Reply | None = None
        self.payload: NodePayload | None = None
        self.latency_ms: float | None = None  # until the answer's head; None: there was none
        self.is_cancelled_by_order = False
        self.is_reported = False

    def stop(self) -> None:
        self.is_cancelled_by_order = True
        self.scope.cancel()

    def abandon(self) -> None:
        pass  # how much of it the kernel has is not known here

    def report(self, ending: _Ending, latency_ms: float) -> None:
        self.is_reported = True
        headers = self.progress.headers
        load = reported_load(headers) if headers else ReportedLoad()
        self.call.end(
            AttemptResult(ending.outcome, latency_ms, self.reply, load.used, load.elsewhere, ending.text)
        )

    def ending_of_stopped(self) -> _Ending:
        """Return what a stopped attempt was: without a byte handed over it provably never ran."""
        if self.progress.is_sent:
            if self.is_cancelled_by_order:
                return _Ending(Outcome.CANCELLED, "cancelled")
            return _Ending(Outcome.TIMEOUT, "no answer in time")
        if self.is_cancelled_by_order:
            return _Ending(Outcome.ABANDONED, "cancelled unsent")
        return _Ending(Outcome.NO_CONNECTION, "no connection")


class HttpTransport:
    """Carries attempts over HTTP/1.1; `tasks` has to be set before the first."""

    def __init__(self, nodes: NodeClient, reader_patience_ms: float, clock: Callable[[], float]) -> None:
        """`reader_patience_ms` is how long a streamed answer waits for its reader before its slot goes."""
        self.nodes = nodes
        self.reader_patience_ms = reader_patience_ms
        self.clock = clock
        self.tasks: TaskGroup | None = None

    def start(self, call: Call) -> _HttpAttempt:
        """Begin an attempt."""
        assert self.tasks is not None
        attempt = _HttpAttempt(call)
        self.tasks.start_soon(self._run, attempt)
        return attempt

    async def _run(self, attempt: _HttpAttempt) -> None:
        """Carry one attempt to its outcome; whatever happens, exactly one outcome is reported."""
        scope = attempt.scope
        try:
            with scope:
                await self._exchange(attempt)
        except SentTooLateError as error:
            attempt.ending = _Ending(Outcome.ABANDONED, str(error))
        except NoConnectionError as error:
            attempt.ending = _Ending(Outcome.NO_CONNECTION, str(error))
        except ConnectionLostError as error:
            attempt.ending = _Ending(Outcome.RESET, str(error))
        except (h11.RemoteProtocolError, MessageTooLargeError) as error:
            attempt.ending = _Ending(Outcome.ERROR, str(error))
        except PayloadTruncatedError as error:
            attempt.ending = _Ending(Outcome.CANCELLED, str(error))
        finally:
            # Also under cancellation from outside: the ledger must never keep an attempt without outcome.
            if scope.cancelled_caught:
                attempt.ending = attempt.ending_of_stopped()
            if attempt.payload is not None:
                with anyio.CancelScope(shield=True):
                    await self.nodes.finish(attempt.call.attempt.node.name, attempt.payload)
            if not attempt.is_reported:
                latency_ms = attempt.latency_ms
                if latency_ms is None:
                    latency_ms = self.clock() - attempt.call.attempt.sent_at_ms
                attempt.report(attempt.ending, latency_ms)

    async def _exchange(self, attempt: _HttpAttempt) -> None:
        call = attempt.call
        op: Operation = call.op
        entry = call.attempt
        extra: Headers = [
            (b"x-request-id", f"{call.label};{entry.number}".encode()),
            (b"cressrock-units", f"{op.units:g}".encode()),
        ]
        if op.idempotency_key:
            extra.append((b"idempotency-key", op.idempotency_key.encode()))
        reply, payload = attempt.reply, attempt.payload = await self.nodes.exchange(
            entry.node.name, op, extra, attempt.progress, may_stream=op.stream
        )
        attempt.latency_ms = self.clock() - entry.sent_at_ms
        attempt.ending = _Ending(outcome_of(reply.status, reply.headers))
        if payload is not None and call.begin(reply):
            attempt.scope.deadline = FOREVER  # a started stream has no deadline of its class
            if not await self._is_read_out(payload):
                # Danger: a few clients that read slowly would hold every slot of a node.  The node did its
                # part; the rest of the way is between this client and us.
                attempt.report(_Ending(attempt.ending.outcome, "slow reader"), attempt.latency_ms)
                await payload.done.wait()
            elif payload.is_truncated:
                attempt.ending = _Ending(Outcome.RESET, "cut in mid-answer")
            elif not payload.finished:
                attempt.ending = _Ending(Outcome.CANCELLED, "the client stopped reading")

    async def _is_read_out(self, payload: NodePayload) -> bool:
        """Wait until a payload is read out or given up; False once its reader holds it up."""
        while not payload.done.is_set():
            with anyio.move_on_after(self.reader_patience_ms / 1000):
                await payload.done.wait()
                return True
            idle_since = payload.idle_since
            if idle_since is not None:
                idle_ms = (anyio.current_time() - idle_since) * 1000
                if idle_ms >= self.reader_patience_ms:
                    return False
        return True
