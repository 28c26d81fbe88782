"""The driver as fronts built on tasks use it: `run` is its loop, `perform` waits for one answer.

Attempts go to the nodes over HTTP, a task for each.
"""

from __future__ import annotations

from collections.abc import Callable

import anyio
import h11
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint

from cressrock.dispatch.driver import FOREVER, DecisionModule, Driver, Observer
from cressrock.dispatch.idempotency import IdempotencyKeys
from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.node_client import (
    AttemptProgress,
    NoConnectionError,
    NodeClient,
    NodePayload,
    SentTooLateError,
)
from cressrock.dispatch.node_response import outcome_of, reported_load
from cressrock.dispatch.operation import Operation, PayloadTruncatedError, Reply, Result
from cressrock.dispatch.transport import AttemptResult, Call
from cressrock.http.channel import ConnectionLostError, Headers, MessageTooLargeError
from cressrock.interface import Outcome, RequestClass


class _HttpAttempt:
    """An attempt's task."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.scope = anyio.CancelScope(deadline=call.deadline / 1000)
        self.is_cancelled_by_order = False
        self.is_reported = False

    def stop(self) -> None:
        self.is_cancelled_by_order = True
        self.scope.cancel()

    def abandon(self) -> None:
        pass  # how much of it the kernel has is not known here

    def report(self, ending: AttemptResult) -> None:
        self.is_reported = True
        self.call.end(ending)


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
        http_attempt = _HttpAttempt(call)
        self.tasks.start_soon(self._run_attempt, http_attempt)
        return http_attempt

    async def _run_attempt(self, http_attempt: _HttpAttempt) -> None:
        """Carry one attempt to its outcome; whatever happens, exactly one outcome is reported."""
        call, scope = http_attempt.call, http_attempt.scope
        op: Operation = call.op
        attempt = call.attempt
        node = attempt.node.name
        progress = AttemptProgress(may_leave=call.may_leave)
        outcome, text = Outcome.CANCELLED, ""
        reply: Reply | None = None
        latency_ms: float | None = None
        payload: NodePayload | None = None
        try:
            with scope:
                trace: Headers = [
                    (b"x-request-id", f"{call.label};{attempt.number}".encode()),
                    (b"cressrock-units", f"{op.units:g}".encode()),
                ]
                if op.idempotency_key:
                    trace.append((b"idempotency-key", op.idempotency_key.encode()))
                reply, payload = await self.nodes.exchange(node, op, trace, progress, may_stream=op.stream)
                latency_ms = self.clock() - attempt.sent_at_ms
                outcome = outcome_of(reply.status, reply.headers)
                if payload is not None and call.begin(reply):
                    scope.deadline = FOREVER  # a started stream has no deadline of its class
                    if await self._read_out(payload):
                        if payload.is_truncated:
                            outcome, text = Outcome.RESET, "cut in mid-answer"
                        elif not payload.finished:
                            outcome, text = Outcome.CANCELLED, "the client stopped reading"
                    else:
                        # Danger: a few clients that read slowly would hold every slot of a node.  The
                        # node did its part; the rest of the way is between this client and us.
                        http_attempt.report(
                            _attempt_result(outcome, latency_ms, progress, reply, "slow reader")
                        )
                        await payload.done.wait()
        except SentTooLateError as failed:
            outcome, text = Outcome.ABANDONED, str(failed)
        except NoConnectionError as failed:
            outcome, text = Outcome.NO_CONNECTION, str(failed)
        except ConnectionLostError as failed:
            outcome, text = Outcome.RESET, str(failed)
        except (h11.RemoteProtocolError, MessageTooLargeError) as failed:
            outcome, text = Outcome.ERROR, str(failed)
        except PayloadTruncatedError as failed:
            outcome, text = Outcome.CANCELLED, str(failed)
        finally:
            # Also under cancellation from outside: the ledger must never keep an attempt without outcome.
            if scope.cancelled_caught:
                outcome, text = _outcome_of_stopped(http_attempt.is_cancelled_by_order, progress)
            if payload is not None:
                with anyio.CancelScope(shield=True):
                    await self.nodes.finish(node, payload)
            if not http_attempt.is_reported:
                if latency_ms is None:
                    latency_ms = self.clock() - attempt.sent_at_ms
                http_attempt.report(_attempt_result(outcome, latency_ms, progress, reply, text))

    async def _read_out(self, payload: NodePayload) -> bool:
        """Wait until a payload is read out or given up; False once its reader holds it up."""
        while not payload.done.is_set():
            with anyio.move_on_after(self.reader_patience_ms / 1000):
                await payload.done.wait()
                return True
            since = payload.idle_since
            if since is not None and (anyio.current_time() - since) * 1000 >= self.reader_patience_ms:
                return False
        return True


def _attempt_result(
    outcome: Outcome, latency_ms: float, progress: AttemptProgress, reply: Reply | None, text: str
) -> AttemptResult:
    used, elsewhere = reported_load(progress.headers) if progress.headers else (0, 0.0)
    return AttemptResult(outcome, latency_ms, reply, used, elsewhere, text)


def _outcome_of_stopped(by_order: bool, progress: AttemptProgress) -> tuple[Outcome, str]:
    """Name what a stopped attempt was: without a byte handed over it provably never ran."""
    if not progress.is_sent:
        return (
            (Outcome.ABANDONED, "cancelled unsent") if by_order else (Outcome.NO_CONNECTION, "no connection")
        )
    return (Outcome.CANCELLED, "cancelled") if by_order else (Outcome.TIMEOUT, "no answer in time")


class TaskDriver(Driver):
    """One dispatcher's driver over HTTP; `run` has to be started in a task group, ends by cancellation."""

    def __init__(
        self,
        decisions: DecisionModule,
        ledger: Ledger,
        nodes: NodeClient,
        classes: tuple[RequestClass, ...],
        observer: Observer,
        *,
        retry_after_ms: float,
        keys: IdempotencyKeys | None = None,
        reader_patience_ms: float = FOREVER,
        subscribe: Callable[[], None] = lambda: None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """`clock` gives monotonic milliseconds; anyio's own clock if absent."""
        clock = clock or (lambda: anyio.current_time() * 1000)
        self.http = HttpTransport(nodes, reader_patience_ms, clock)
        super().__init__(
            decisions,
            ledger,
            self.http,
            classes,
            observer,
            clock=clock,
            retry_after_ms=retry_after_ms,
            keys=keys or IdempotencyKeys(keep_ms=60000.0, max_keys=100000),
            subscribe=subscribe,
            request_wakeup=lambda: self._batch_wanted.set(),
        )
        self._batch_wanted = anyio.Event()
        self._timer_moved = anyio.Event()
        self._timer_at_ms = FOREVER

    async def perform(
        self,
        exchange: str,
        number: int,
        op: Operation,
        deadline: float,
        label: str = "",
        since: float | None = None,
    ) -> Result:
        """Take an operation and return its one final answer.

        Cancelling this call says that the client has left.
        """
        name = f"{exchange}.{number}"
        ready = anyio.Event()
        results: list[Result] = []

        def answer(result: Result) -> None:
            results.append(result)
            ready.set()

        denied = self.submit(name, exchange, op, deadline, answer, f"{label or exchange};{number}", since)
        if denied is not None:
            return denied
        try:
            await ready.wait()
        except anyio.get_cancelled_exc_class():
            if not self.client_left(name) and results:
                result = results[0]
                if isinstance(result, Reply) and result.stream is not None:
                    result.stream.abandon()
            raise
        return results[0]

    async def run(self) -> None:
        """Serve until cancelled; owns a task for each attempt."""
        async with anyio.create_task_group() as tasks:
            self.http.tasks = tasks
            tasks.start_soon(self._run_timer)
            while True:
                await self._batch_wanted.wait()
                await checkpoint()  # what else comes in the same instant joins the batch
                self._batch_wanted = anyio.Event()
                self.process_batch()
                due = self.next_batch_ms()
                if due < self._timer_at_ms:
                    self._timer_at_ms = due
                    self._timer_moved.set()

    async def _run_timer(self) -> None:
        """Wake the loop when the next timer falls due; set anew only for an earlier one."""
        while True:
            self._timer_moved = anyio.Event()
            # A timer falls due in the first batch at or after its time, never before it: a microsecond more
            # keeps the rounding of two units of time from waking the loop too early, for ever.
            with anyio.move_on_at(self._timer_at_ms / 1000 + 1e-6):
                await self._timer_moved.wait()
                continue
            self._timer_at_ms = FOREVER
            self._batch_wanted.set()
