"""One attempt in flight on a connection to a storage server, or on its way to one."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from cressrock.dispatch.transport import AttemptResult, Call
from cressrock.interface import Outcome
from cressrock.resp.outcomes import Answer
from cressrock.resp.reply_progress import ReplyProgress

if TYPE_CHECKING:
    from cressrock.resp.connection_pool import RespTransport
    from cressrock.resp.server_connection import ServerConnection

NEVER_MS = float("inf")


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """An answer that may be a duplicate and is held back; times in milliseconds."""

    outcome: Outcome
    arrived_at: float
    answer_ms: float  # since the request was written
    until: float  # the request's own answer is waited for until then


class InFlightAttempt:
    """One attempt in flight."""

    __slots__ = (
        "pool",
        "call",
        "connection",
        "connecting",
        "done",
        "deadline",
        "leave_by",
        "queued_until",
        "progress",
        "awaited",
        "scheduled_at",
        "written_at",
        "held",
    )

    def __init__(self, pool: RespTransport, call: Call) -> None:
        """Start without a connection; `pool` finds one."""
        self.pool = pool
        self.call = call
        self.connection: ServerConnection | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.done = False
        self.deadline = call.deadline
        self.leave_by = call.leave_by  # infinity once the kernel has its last byte
        self.queued_until = NEVER_MS  # deadline of the wait for a descriptor
        self.progress: ReplyProgress | None = None  # of a partly received answer
        self.awaited: ServerConnection | None = None  # the connection whose reuse it waits for
        self.scheduled_at = NEVER_MS  # when the pool's timer checks it next
        self.written_at = 0.0  # when its request was handed to the kernel
        self.held: HeldAnswer | None = None  # the possible duplicate that arrived first
        pool.active_count += 1

    def stop(self) -> None:
        """Cancel the attempt."""
        self._give_up(Outcome.CANCELLED, Outcome.ABANDONED, "cancelled")

    def abandon(self) -> None:
        """Stop writing a partly written request, because its client has disconnected."""
        if self.connection is not None and self.connection.has_unsent:
            self.stop_sending()

    def give_up(self, text: str) -> None:
        """Give the attempt up after a timeout."""
        self._give_up(Outcome.TIMEOUT, Outcome.NO_CONNECTION, text)

    def next_check_at(self) -> float:
        """Return when `pool._check` must be called for it next."""
        is_paused = self.connection is not None and self.connection.is_paused
        progress_check_at = NEVER_MS
        if is_paused:
            pass  # how long an answer takes says nothing while this process does not read it
        elif self.progress is not None:
            progress_check_at = self.progress.next_check_at()
        elif self.held is not None:
            progress_check_at = self.held.until
        awaited = self.awaited
        ready_at = NEVER_MS if awaited is None else self.pool.reuse_delay.ready_at(awaited.idle_since)
        return min(self.deadline, self.leave_by, self.queued_until, progress_check_at, ready_at)

    def answered_at(self) -> float:
        """Return when the first bytes of the answer arrived that is now complete."""
        return self.pool.clock() if self.progress is None else self.progress.started_at

    def hold(self, answer: Answer) -> None:
        """Do not end with this answer, which may be a duplicate, but wait for another one."""
        pool, connection = self.pool, cast("ServerConnection", self.connection)
        if self.held is None:
            until = self.written_at + pool.answer_times.hold_ms(connection.node, answer.outcome)
            answer_ms = self.answered_at() - self.written_at
            self.held = HeldAnswer(answer.outcome, pool.clock(), answer_ms, until)
        self.progress = None
        pool.schedule_check(self)

    def fail_held(self, held: HeldAnswer, now: float) -> None:
        """Fail: only a possible duplicate has arrived, and the request's own answer is overdue."""
        pool, connection = self.pool, cast("ServerConnection", self.connection)
        pool.doubtful_count += 1
        # If it was no duplicate, the server has become faster.
        pool.answer_times.record(connection.node, held.outcome, held.answer_ms, now)
        pool.drop(connection)
        self.finish(Outcome.ERROR, "only an answer that may be a duplicate of an earlier one arrived")

    def stop_sending(self) -> None:
        """Stop sending; a request that was not written completely never ran."""
        self._give_up(
            Outcome.ABANDONED, Outcome.ABANDONED, "stopped before the request was completely written"
        )

    def _give_up(self, outcome_if_sent: Outcome, outcome_if_unsent: Outcome, text: str) -> None:
        if self.done:
            return
        connection = self.connection
        if self.connecting is not None:
            self.connecting.cancel()
        if connection is None:
            # An attempt that never connected is no evidence about its server.
            connecting = self.connecting is not None
            self.finish(outcome_if_unsent if connecting else Outcome.ABANDONED, f"{text} while connecting")
            return
        outcome = outcome_if_unsent if connection.has_unsent else outcome_if_sent
        self.pool.drop(connection)
        self.finish(outcome, text)

    def finish_with(self, answer: Answer) -> None:
        """Report an answer as the outcome."""
        self.finish(answer.outcome, answer.text, answer.value, answer.used, answer.units_elsewhere)

    def finish(
        self, outcome: Outcome, text: str = "", value: bytes | None = None, used: int = 0, cost: float = 0.0
    ) -> None:
        """Report the outcome; does nothing if one has been reported."""
        if self.done:
            return
        self.done = True
        if self.connection is not None:
            self.connection.attempt = None
            self.connection = None
        if self.awaited is not None:
            awaited, self.awaited = self.awaited, None
            awaited.waiting_attempt = None
            self.pool.return_idle(awaited)
        self.pool.active_count -= 1
        # Latency ends with the first bytes: waiting for the rest of a broken answer is not the server's load.
        answered_at = self.answered_at()
        call, self.call = self.call, cast(Call, None)  # the timer may hold this object long after its end
        call.end(AttemptResult(outcome, answered_at - call.attempt.sent_at_ms, value, used, cost, text))
