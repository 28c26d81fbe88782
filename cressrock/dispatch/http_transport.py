"""Sends attempts to the nodes over HTTP/1.1, one task per attempt."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

import anyio
import h11
from anyio.abc import TaskGroup

from cressrock.dispatch.driver import INFINITE_MS
from cressrock.dispatch.node_client import (
    AttemptProgress,
    NoConnectionError,
    NodeClient,
    NodePayload,
    SendNotPermittedError,
)
from cressrock.dispatch.node_response import ReportedLoad, outcome_of, reported_load
from cressrock.dispatch.operation import Operation, PayloadTruncatedError, Reply
from cressrock.dispatch.transport import AttemptResult, Call
from cressrock.http.channel import ConnectionLostError, Headers, MessageTooLargeError
from cressrock.interface import Outcome


class _EndState(NamedTuple):
    outcome: Outcome
    text: str = ""  # for the log


class _HttpAttempt:
    """The state of one attempt's task."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.scope = anyio.CancelScope(deadline=call.deadline / 1000)
        self.progress = AttemptProgress(may_leave=call.may_leave)
        self.end_state = _EndState(Outcome.CANCELLED)
        self.reply: Reply | None = None
        self.payload: NodePayload | None = None
        # From sending to the response head; None without a response head.
        self.latency_ms: float | None = None
        self.is_cancelled_by_scheduler = False
        self.is_reported = False

    def stop(self) -> None:
        self.is_cancelled_by_scheduler = True
        self.scope.cancel()

    def abandon(self) -> None:
        pass  # this transport cannot tell how much of the request the kernel has taken

    def report(self, end_state: _EndState, latency_ms: float) -> None:
        self.is_reported = True
        headers = self.progress.headers
        reported = reported_load(headers) if headers else ReportedLoad()
        self.call.end(
            AttemptResult(
                end_state.outcome,
                latency_ms,
                self.reply,
                reported.used,
                reported.units_elsewhere,
                end_state.text,
            )
        )

    def end_state_when_stopped(self) -> _EndState:
        """Return the outcome after a cancellation or timeout; without a byte sent, it provably never ran."""
        if self.progress.is_sent:
            if self.is_cancelled_by_scheduler:
                return _EndState(Outcome.CANCELLED, "cancelled")
            return _EndState(Outcome.TIMEOUT, "no response before the deadline")
        if self.is_cancelled_by_scheduler:
            return _EndState(Outcome.ABANDONED, "cancelled before it was sent")
        return _EndState(Outcome.NO_CONNECTION, "no connection to the node before the deadline")


class HttpTransport:
    """Sends attempts over HTTP/1.1; `tasks` must be set before the first call of `start`."""

    def __init__(self, nodes: NodeClient, reader_patience_ms: float, clock: Callable[[], float]) -> None:
        """`reader_patience_ms`: how long a client may stall a streamed response before its slot is freed."""
        self.nodes = nodes
        self.reader_patience_ms = reader_patience_ms
        self.clock = clock
        self.tasks: TaskGroup | None = None

    def start(self, call: Call) -> _HttpAttempt:
        """Start the task of an attempt; the outcome is reported through `call.end`."""
        assert self.tasks is not None
        attempt = _HttpAttempt(call)
        self.tasks.start_soon(self._run, attempt)
        return attempt

    async def _run(self, attempt: _HttpAttempt) -> None:
        """Run one attempt and report exactly one outcome, also on errors and cancellation."""
        scope = attempt.scope
        try:
            with scope:
                await self._exchange(attempt)
        except SendNotPermittedError as error:
            attempt.end_state = _EndState(Outcome.ABANDONED, str(error))
        except NoConnectionError as error:
            attempt.end_state = _EndState(Outcome.NO_CONNECTION, str(error))
        except ConnectionLostError as error:
            attempt.end_state = _EndState(Outcome.RESET, str(error))
        except (h11.RemoteProtocolError, MessageTooLargeError) as error:
            attempt.end_state = _EndState(Outcome.ERROR, str(error))
        except PayloadTruncatedError as error:
            attempt.end_state = _EndState(Outcome.CANCELLED, str(error))
        finally:
            # Also runs when the task is cancelled, since the ledger must not keep an attempt without outcome.
            if scope.cancelled_caught:
                attempt.end_state = attempt.end_state_when_stopped()
            if attempt.payload is not None:
                with anyio.CancelScope(shield=True):
                    await self.nodes.finish(attempt.call.attempt.node.name, attempt.payload)
            if not attempt.is_reported:
                latency_ms = attempt.latency_ms
                if latency_ms is None:
                    latency_ms = self.clock() - attempt.call.attempt.sent_at_ms
                attempt.report(attempt.end_state, latency_ms)

    async def _exchange(self, attempt: _HttpAttempt) -> None:
        call = attempt.call
        op: Operation = call.op
        ledger_attempt = call.attempt
        extra_headers: Headers = [
            (b"x-request-id", f"{call.label};{ledger_attempt.number}".encode()),
            (b"cressrock-units", f"{op.units:g}".encode()),
        ]
        if op.idempotency_key:
            extra_headers.append((b"idempotency-key", op.idempotency_key.encode()))
        reply, payload = attempt.reply, attempt.payload = await self.nodes.exchange(
            ledger_attempt.node.name, op, extra_headers, attempt.progress, may_stream=op.stream
        )
        attempt.latency_ms = self.clock() - ledger_attempt.sent_at_ms
        attempt.end_state = _EndState(outcome_of(reply.status, reply.headers))
        if payload is not None and call.begin(reply):
            attempt.scope.deadline = (
                INFINITE_MS  # the class's deadline does not apply once streaming has started
            )
            if not await self._wait_until_read(payload):
                # Without this, a few slow clients would occupy every slot of a node.  The node has done its
                # work; only the transfer from this process to the client remains.
                attempt.report(
                    _EndState(attempt.end_state.outcome, "the client reads the response too slowly"),
                    attempt.latency_ms,
                )
                await payload.done.wait()
            elif payload.is_truncated:
                attempt.end_state = _EndState(Outcome.RESET, "the node's response was truncated")
            elif not payload.finished:
                attempt.end_state = _EndState(Outcome.CANCELLED, "the client stopped reading the response")

    async def _wait_until_read(self, payload: NodePayload) -> bool:
        """Wait until a payload is read completely or abandoned; False if its reader stalls too long."""
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
