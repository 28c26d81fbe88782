"""Accounts for the memory that is held for clients, and decides who may have more of it.  Pure.

What is held: input that is not parsed yet, open requests with their values, room for the answers that they
will get, answers that wait behind others of their connection, and answers that a client has not read.  Sizes
are bytes, times are milliseconds.

Shares follow the dynamic thresholds of Choudhury and Hahne (IEEE/ACM Transactions on Networking 6(2), 1998):
a connection may hold up to a multiple of what is free.  However many connections want more, some room stays
free for one that wants its first.
"""

from __future__ import annotations

from dataclasses import dataclass

from cressrock.resp.codec import MAX_VALUE_BYTES

MIB = 1 << 20

MAX_MEMORY_FRACTION = 0.85  # of the process's limit
STATE_GROWTH_BYTES = 3 * MIB  # of the process's own state, from its start to steady service
HEAP_OVERHEAD = 1.15  # memory that the heap takes for each byte that is held
MIN_HELD_BYTES = 2 * MIB  # however low the limit is: less could not carry a few values
WAITING_FRACTION = 0.4  # of the bound, for commands that wait
MAX_WAITING_BYTES = 4 * MIB  # the same, however high the limit is
OLDEST_REQUEST_FRACTION = 1 / 4  # of the rest, only for the oldest request of a connection
FREE_ROOM_MULTIPLE = 2.0  # of what is free, held by one connection
ARRIVING_FRACTION = 1 / 2  # of the bound, for commands whose clients have not sent all of them

WAITING_REQUEST_BYTES = 640  # a parsed command that waits, without its value
ANSWER_BYTES = 192  # an answer that waits in its connection's queue, without its text
REQUEST_BYTES = 4096  # an open request with all that is kept of it, without its value

ANSWER_DECAY = 1 / 64  # of the difference to a smaller answer
RATE_DECAY_PER_MS = 0.9996  # of the highest rate seen, which halves in 1.7 s
INITIAL_RATE_PER_MS = 1.0
NEEDED_TIME_MARGIN = 2.0
ANSWER_TIME_DECAY = 1 / 16  # of the difference to a shorter one
STUCK_ANSWER_TIMES = 3.0  # a request is stuck after so many times what answers take lately
MIN_STUCK_MS = 200.0


@dataclass(frozen=True, slots=True)
class MemoryBounds:
    """Limits on the bytes that are held for clients."""

    max_bytes: int  # of all but commands that wait
    oldest_request_bytes: int  # the part of `max_bytes` that only the oldest request of a connection may use
    max_waiting_bytes: int  # of commands that wait

    @classmethod
    def of_process(cls, limit_bytes: int, process_bytes: int) -> MemoryBounds:
        """Return the bounds of a process with a memory limit that needs `process_bytes` at its start."""
        usable_bytes = MAX_MEMORY_FRACTION * limit_bytes - process_bytes - STATE_GROWTH_BYTES
        return cls.of_total(max(MIN_HELD_BYTES, int(usable_bytes / HEAP_OVERHEAD)))

    @classmethod
    def of_total(cls, total_bytes: int) -> MemoryBounds:
        """Return the bounds for a total."""
        waiting_bytes = min(int(total_bytes * WAITING_FRACTION), MAX_WAITING_BYTES)
        max_bytes = total_bytes - waiting_bytes
        return cls(max_bytes, int(max_bytes * OLDEST_REQUEST_FRACTION), waiting_bytes)

    @property
    def total_bytes(self) -> int:
        """The limit on all that is held."""
        return self.max_bytes + self.max_waiting_bytes


class MemoryAccount:
    """The bytes that are held for all clients."""

    def __init__(self, bounds: MemoryBounds) -> None:
        """Start with nothing held."""
        self.bounds = bounds
        self.held_bytes = 0
        self.waiting_bytes = 0  # of commands that wait, in addition
        self.arriving_bytes = 0  # set aside for commands that are arriving; part of `held_bytes`
        self.highest_bytes = 0  # of both, since `take_highest`

    def change(self, delta_bytes: int) -> None:
        """Add to what is held; a negative number releases."""
        self.held_bytes += delta_bytes
        if delta_bytes > 0 and self.held_bytes + self.waiting_bytes > self.highest_bytes:
            self.highest_bytes = self.held_bytes + self.waiting_bytes

    def change_waiting(self, delta_bytes: int) -> None:
        """Add to the commands that wait; a negative number releases."""
        self.waiting_bytes += delta_bytes
        self.highest_bytes = max(self.highest_bytes, self.held_bytes + self.waiting_bytes)

    def take_highest(self) -> int:
        """Return the highest number of bytes held since the last call."""
        highest_bytes, self.highest_bytes = self.highest_bytes, self.held_bytes + self.waiting_bytes
        return highest_bytes

    def is_over(self) -> bool:
        """Return whether more is held than the bounds."""
        return self.held_bytes + self.waiting_bytes > self.bounds.total_bytes

    def is_short(self) -> bool:
        """Return whether over half of the bound is held."""
        return 2 * self.held_bytes > self.bounds.max_bytes

    def may_wait(self, command_bytes: int) -> bool:
        """Return whether one more command may wait."""
        return self.waiting_bytes + command_bytes <= self.bounds.max_waiting_bytes

    def has_room(self, wanted_bytes: int, held_by_connection: int, *, is_oldest: bool) -> bool:
        """Return whether a connection may hold more.

        `is_oldest` says that it is for the oldest request of the connection.  Nothing of the connection is
        ahead of that one, so its answer leaves at once: as long as such requests are admitted, memory is
        released again.
        """
        wanted_bytes = min(wanted_bytes, self.bounds.oldest_request_bytes)
        free_bytes = self.bounds.max_bytes - self.held_bytes
        if is_oldest:
            return wanted_bytes <= free_bytes
        free_bytes -= self.bounds.oldest_request_bytes
        if wanted_bytes > free_bytes:
            return False
        return held_by_connection + wanted_bytes <= FREE_ROOM_MULTIPLE * free_bytes

    def has_room_for_arriving(self, wanted_bytes: int, held_by_connection: int) -> bool:
        """Return whether a connection may hold a command whose client has not sent all of it.

        The client may never do so.  Part of the memory is therefore left for commands that have arrived.
        """
        arriving_bytes = self.arriving_bytes + min(wanted_bytes, self.bounds.oldest_request_bytes)
        if arriving_bytes > ARRIVING_FRACTION * self.bounds.max_bytes:
            return False
        return self.has_room(wanted_bytes, held_by_connection, is_oldest=False)


class AnswerSizes:
    """How large the answers of each request class are: the largest seen, decaying towards smaller ones."""

    def __init__(self, class_count: int) -> None:
        """Start with the largest value that the platform's pages allow."""
        self._sizes = [float(MAX_VALUE_BYTES)] * class_count

    def expected_bytes(self, request_class: int) -> int:
        """Return the room to set aside for an answer."""
        return int(self._sizes[request_class])

    def record(self, request_class: int, size: int) -> None:
        """Record an answer's size."""
        expected = self._sizes[request_class]
        self._sizes[request_class] = max(float(size), expected - (expected - size) * ANSWER_DECAY)


class ServiceRate:
    """How fast requests are answered, to tell whether those that wait for memory still can be in time."""

    def __init__(self) -> None:
        """Start with an assumed rate."""
        self.answers_per_ms = INITIAL_RATE_PER_MS
        self.answer_ms = 0.0  # the longest time from a request's admission to its answer, decaying
        self._answers = 0

    def record_answer(self, answer_ms: float) -> None:
        """Count a request that was served `answer_ms` after its admission."""
        self._answers += 1
        self.answer_ms = max(answer_ms, self.answer_ms - (self.answer_ms - answer_ms) * ANSWER_TIME_DECAY)

    def begin_interval(self) -> None:
        """Begin an interval of counting; what was counted before does not belong to it."""
        self._answers = 0

    def end_interval(self, interval_ms: float) -> None:
        """End an interval of counting.

        The highest rate counts, since an interval in which everything waits for one server says nothing of
        what is possible without it.
        """
        if interval_ms <= 0:
            return
        decayed = self.answers_per_ms * RATE_DECAY_PER_MS**interval_ms
        self.answers_per_ms = max(decayed, self._answers / interval_ms)
        self._answers = 0

    def is_behind(self, waiting_count: int, remaining_ms: float) -> bool:
        """Return whether that many requests need most of the time that is left, or more."""
        return waiting_count * NEEDED_TIME_MARGIN > remaining_ms * self.answers_per_ms

    def stuck_after_ms(self) -> float:
        """Return after which time without an answer a request counts as stuck."""
        return max(MIN_STUCK_MS, STUCK_ANSWER_TIMES * self.answer_ms)
