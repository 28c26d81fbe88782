"""The driver for task-based front ends: `run` is its event loop, `perform` waits for one answer."""

from __future__ import annotations

from collections.abc import Callable

import anyio
from anyio.lowlevel import checkpoint

from cressrock.dispatch.driver import INFINITE_MS, DecisionModule, Driver, Observer
from cressrock.dispatch.http_transport import HttpTransport
from cressrock.dispatch.ledger import Ledger
from cressrock.dispatch.node_client import NodeClient
from cressrock.dispatch.operation import Operation, Reply, Result
from cressrock.interface import RequestClass

ROUNDING_MARGIN_S = 1e-6


class TaskDriver(Driver):
    """One dispatcher's driver over HTTP; `run` must be started in a task group and runs until cancelled."""

    def __init__(
        self,
        decisions: DecisionModule,
        ledger: Ledger,
        nodes: NodeClient,
        classes: tuple[RequestClass, ...],
        observer: Observer,
        *,
        retry_after_ms: float,
        reader_patience_ms: float = INFINITE_MS,
        subscribe: Callable[[], None] = lambda: None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        """`clock` returns monotonic milliseconds, by default anyio's clock."""
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
            subscribe=subscribe,
            request_wakeup=lambda: self._batch_wanted.set(),
        )
        self._batch_wanted = anyio.Event()
        self._timer_rescheduled = anyio.Event()
        self._timer_at_ms = INFINITE_MS

    async def perform(
        self,
        exchange: str,
        number: int,
        op: Operation,
        deadline: float,
        label: str = "",
        since: float | None = None,
    ) -> Result:
        """Submit an operation and return its one final answer.

        Cancelling the call means that the client has disconnected.
        """
        name = f"{exchange}.{number}"
        answered = anyio.Event()
        results: list[Result] = []

        def answer(result: Result) -> None:
            results.append(result)
            answered.set()

        denial = self.submit(name, exchange, op, deadline, answer, f"{label or exchange};{number}", since)
        if denial is not None:
            return denial
        try:
            await answered.wait()
        except anyio.get_cancelled_exc_class():
            if not self.client_left(name) and results:
                result = results[0]
                if isinstance(result, Reply) and result.stream is not None:
                    result.stream.abandon()
            raise
        return results[0]

    async def run(self) -> None:
        """Process batches until cancelled; owns the tasks of all attempts."""
        async with anyio.create_task_group() as tasks:
            self.http.tasks = tasks
            tasks.start_soon(self._run_timer)
            while True:
                await self._batch_wanted.wait()
                await checkpoint()  # events of the same instant join the batch
                self._batch_wanted = anyio.Event()
                self.process_batch()
                next_batch_ms = self.next_batch_ms()
                if next_batch_ms < self._timer_at_ms:
                    self._timer_at_ms = next_batch_ms
                    self._timer_rescheduled.set()

    async def _run_timer(self) -> None:
        """Wake the loop when the next timer expires; rescheduled only for an earlier one."""
        while True:
            self._timer_rescheduled = anyio.Event()
            # A timer expires in the first batch at or after its time.  Without the margin, rounding between
            # milliseconds and seconds could wake the loop too early again and again.
            with anyio.move_on_at(self._timer_at_ms / 1000 + ROUNDING_MARGIN_S):
                await self._timer_rescheduled.wait()
                continue
            self._timer_at_ms = INFINITE_MS
            self._batch_wanted.set()
