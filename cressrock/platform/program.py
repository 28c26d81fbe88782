"""The dispatcher as the platform starts it: reads the configuration, assembles the parts, handles signals.

It listens on the configured address only, and on SIGTERM it exits once every request is answered.
"""

from __future__ import annotations

import asyncio
import gc
import os
import random
import select
import signal
import sys
import time
from collections import Counter
from collections.abc import Callable

import anyio

from cressrock import net
from cressrock.dispatch.driver import Driver
from cressrock.dispatch.idempotency import IdempotencyKeys, shortest_safe_keep_ms
from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger, Verdict
from cressrock.dispatch.reasons import Reason
from cressrock.interface import NodeList, Outcome
from cressrock.platform import process_memory, watch_schedule
from cressrock.platform.config import Config, ConfigError, find_foreign_setting, parse
from cressrock.platform.loop_batches import LoopBatches
from cressrock.platform.server_list import ListError, ServerList
from cressrock.platform.stopping import StopSchedule
from cressrock.platform.watch import Watch
from cressrock.resp.codec import MAX_VALUE_BYTES
from cressrock.resp.connection_pool import PoolBounds, RespTransport
from cressrock.resp.eviction import max_accepts_per_iteration
from cressrock.resp.front import Front, FrontBounds
from cressrock.resp.lingering import LingerBounds
from cressrock.resp.listener import Listener
from cressrock.resp.memory_account import MIB, MemoryBounds
from cressrock.resp.request import CommandReader
from cressrock.scheduler.endpoint_estimates import endpoint_estimates
from cressrock.scheduler.scheduler import Scheduler

# Descriptors that are not available for established connections to clients and servers: RESERVED_DESCRIPTORS
# in all, of which PROCESS_DESCRIPTORS are the process's (the listener, two for discovery, three each for the
# event loop and the standard streams, one for a file, two more); the rest is for client connections that are
# being accepted or closed.
RESERVED_DESCRIPTORS, PROCESS_DESCRIPTORS = 32, 12
# Storage servers get a quarter of the others, but at least this many: D stays at a few tens in all.  Clients
# get the rest: a third of all descriptors holds requests, and idle connections and silent peers come on top.
NODE_SOCKETS_FRACTION, MIN_NODE_SOCKETS = 0.25, 64
# Of all descriptors.  Clients hold at most a third for requests, and must be able to reconnect.
MAX_ASKING_FRACTION = 0.25
# Storage servers may serve whole values of 400 KB, although the platform documents 64 KiB and clients keep
# to that.  An answer is therefore limited by this dispatcher's memory: one may take 1/64 of it, and all data
# that clients have not read yet an eighth.
MAX_ANSWER_MEMORY_FRACTION = 1 / 64
MAX_UNREAD_MEMORY_FRACTION = 1 / 8
# Idempotency keys may take up to 1/16 of the memory; one takes about KEY_BYTES, its attempt included.
MAX_KEY_MEMORY_FRACTION = 1 / 16
KEY_BYTES = 512
# Of the shortest latency objective: a stalled answer is abandoned while another attempt can still meet it.
STALL_OBJECTIVE_FRACTION = 0.1
LINGER_MS = 2000.0  # after it, the platform allows a connection without an open request to be closed
LINGER_BYTES = 16 * MAX_VALUE_BYTES  # per peer: far more than a client has in flight when its connection ends
LINGERING_FRACTION = 1 / 8  # of the client connections
SOCKET_SLACK_MS = 50.0  # every time limit is longer by this on real sockets
STOP_POLL_S = 0.01  # interval of the checks while stopping
REPORT_INTERVAL_MS = 5000.0  # between two reports of the state in the log
MAX_LOG_LINES_PER_KIND = 400  # in the lifetime of a process


def clock() -> float:
    """Return the standard library's monotonic clock in milliseconds."""
    return time.monotonic() * 1000


def wall_ms() -> float:
    """Return Unix time in milliseconds."""
    return time.time() * 1000


def _readable(descriptor: int) -> bool:
    """Return whether data or a connection waits at a descriptor."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class Log:
    """Writes lines for the on-call staff to standard error, up to a limit for each kind."""

    def __init__(self, name: str) -> None:
        """`name` is the dispatcher's; it is part of every line."""
        self.name = name
        self.lines: Counter[str] = Counter()

    def __call__(self, text: str, kind: str = "event") -> None:
        """Write a line of a kind; discard it once the limit of the kind is reached."""
        self.lines[kind] += 1
        if self.lines[kind] <= MAX_LOG_LINES_PER_KIND:
            print(f"{wall_ms():.0f} {self.name} {kind}: {text}", file=sys.stderr, flush=True)


class Observer:
    """Counts the driver's attempts, answers and batches for the log's reports."""

    def __init__(self, log: Log) -> None:
        """Set all counters to zero; `log` takes the lines."""
        self.log = log
        self.outcomes: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()  # of refusals and failures
        self.events = 0
        self.act_ms = 0.0
        self.longest_act_ms = 0.0
        self.max_queued_ms = 0.0

    def fence_tripped(self, trip: FenceTrip) -> None:
        """Log a tripped fence; each is a defect in the component that made the decision."""
        self.log(f"{trip.fence.value} {trip.operation}: {trip.detail}", "fence")

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, latency_ms: float, text: str) -> None:
        """Count an outcome, and log its text if it is not an answer."""
        self.outcomes[outcome.value] += 1
        if text:
            self.log(f"{attempt.node.name} {outcome.value} after {latency_ms:.0f} ms: {text}", "attempt")

    def answered(self, request_class: int, verdict: Verdict, reason: Reason | None, ms: float) -> None:
        """Count a final answer."""
        self.answers[f"{request_class}:{verdict.value}"] += 1
        if reason is not None:
            self.reasons[reason.value] += 1

    def batch_processed(self, events: int, queued_ms: float, act_ms: float) -> None:
        """Add up a batch's events and times."""
        self.events += events
        self.act_ms += act_ms
        self.longest_act_ms = max(self.longest_act_ms, act_ms)
        self.max_queued_ms = max(self.max_queued_ms, queued_ms)

    def log_line(self, text: str) -> None:
        """Log a line of the scheduler."""
        self.log(text, "scheduler")


class Program:
    """One dispatcher process on the platform: assembles the parts, runs and stops them."""

    def __init__(
        self,
        config: Config,
        path: str,
        *,
        measure_memory: Callable[[], int] = process_memory.private_bytes,
    ) -> None:
        """`path` is the configuration file's, which is reloaded on SIGHUP.

        `measure_memory` returns the bytes that the process has of its own as it begins to serve.
        """
        self.config = config
        self.path = path
        self.measure_memory = measure_memory
        self.log = Log(config.name)
        self.observer = Observer(self.log)
        settings = config.settings
        rng = random.Random(config.seed)
        sockets = config.sockets - RESERVED_DESCRIPTORS
        max_clients = max(
            1, sockets - max(int(sockets * NODE_SOCKETS_FRACTION), min(MIN_NODE_SOCKETS, sockets // 2))
        )
        self.servers = ServerList(config.zones)
        self.transport = RespTransport(
            PoolBounds(
                max_connections=sockets - max_clients,
                connect_timeout_ms=settings.connect_timeout_ms,
                idle_close_ms=config.idle_close_ms,
                max_answer=int(config.memory_mb * MAX_ANSWER_MEMORY_FRACTION * (1 << 20)),
                stall_ms=STALL_OBJECTIVE_FRACTION * min(cls.latency_objective_ms for cls in settings.classes),
            ),
            clock,
            self.servers.dial_addresses.get,
        )
        self.scheduler = Scheduler(settings, rng.getrandbits(62), clock())
        self.driver = Driver(
            self.scheduler,
            Ledger(
                drain_grace_ms=settings.drain_grace_ms,
                answer_slack_ms=settings.answer_slack_ms,
                max_open=4096,
                keys=IdempotencyKeys(
                    keep_ms=shortest_safe_keep_ms(settings.classes),
                    max_keys=int(config.memory_mb * MAX_KEY_MEMORY_FRACTION * (1 << 20) / KEY_BYTES),
                ),
            ),
            self.transport,
            settings.classes,
            self.observer,
            clock=clock,
        )
        self.front = Front(
            CommandReader(settings, list(config.classes), list(config.plans), config.shards),
            self.driver,
            FrontBounds(
                max_connections=max_clients,
                max_active_connections=int(config.sockets * MAX_ASKING_FRACTION),
                max_unread_bytes=int(config.memory_mb * MAX_UNREAD_MEMORY_FRACTION * (1 << 20)),
                linger_bounds=LingerBounds(
                    LINGER_MS, LINGER_BYTES, max(1, int(max_clients * LINGERING_FRACTION))
                ),
            ),
            clock,
            log=lambda text: self.log(text, "memory"),
        )
        self.transport.on_held = self.front.admission.change_held
        self.front.admission.limit_reading = self._limit_reading
        pushed_grace_ms = 0.0 if settings.must_ask else settings.drain_grace_ms + SOCKET_SLACK_MS
        self.watch = Watch(
            self.servers,
            config.discovery,
            watch_schedule.WatchSchedule(
                clock(),
                random.Random(rng.getrandbits(62)).random,
                ask_every_ms=settings.ask_every_ms,
                pushed_grace_ms=pushed_grace_ms,
            ),
            on_report=self._apply_report,
            clock=clock,
            wall_ms=wall_ms,
            log=self.log,
            subscribed=not settings.must_ask,
        )
        self.driver.subscribe = self.watch.subscribe
        self.loop_batches: LoopBatches | None = None
        self.listener: Listener | None = None
        self.address: tuple[str, int] | None = None  # the listener's, None until clients are served

    def _apply_report(self, report: NodeList) -> None:
        self.driver.receive_node_list(report)
        for name in self.servers.replaced:
            self.transport.close_idle(name)
        self.servers.replaced = []

    async def run(self) -> None:
        """Serve until SIGTERM, then until every request is answered."""
        loop, settings = asyncio.get_running_loop(), self.config.settings
        self.loop_batches = LoopBatches(self.driver, loop)
        try:
            self._apply_report(self.servers.receive(self.config.known, clock(), wall_ms(), cached=True))
            if self.servers.rejected_entries:
                self.log(
                    f"known: {len(self.servers.rejected_entries)} entries of the configured list ignored; "
                    f"the first: {self.servers.rejected_entries[0]}"
                )
        except ListError as exc:
            self.log(f"known: the configured list cannot be used: {exc}")
        stop_requested = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
        loop.add_signal_handler(signal.SIGINT, stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if _early_sighups:
            self.reload()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch.run)
            tasks.start_soon(self._sweep)
            if not settings.must_ask:
                # Where lists are pushed, a new process counts as informed of drains from its first moment on,
                # but its configured list may be older: it waits for discovery's before it serves clients.
                with anyio.move_on_after(watch_schedule.first_list_timeout_ms() / 1000):
                    await self.watch.answered.wait()
            with net.report_bind_errors("listen", ":".join(map(str, self.config.listen))):
                self.listener = listener = Listener(
                    self.config.listen,
                    self.front.create_protocol,
                    max_accepts_per_iteration(RESERVED_DESCRIPTORS - PROCESS_DESCRIPTORS),
                )
            host, port = self.address = listener.address()
            # Objects created so far live until exit; frozen, they are not scanned in every collection.
            gc.collect()
            gc.freeze()
            self._bound_memory()
            self.log(f"serving at {host}:{port}")
            try:
                await stop_requested.wait()
                await self._stop(listener)
            finally:
                listener.close()
            tasks.cancel_scope.cancel()

    def _limit_reading(self, names: frozenset[str] | None) -> None:
        """Read answers for the requests with these names only; None for all."""
        self.transport.limit_reading(None if names is None else lambda call: call.name in names)

    def _bound_memory(self) -> None:
        """Bound what is held for clients by the memory that this process does not need itself."""
        limit_bytes = int(self.config.memory_mb * MIB)
        process_bytes = self.measure_memory()
        bounds = MemoryBounds.of_process(limit_bytes, process_bytes)
        self.front.admission.account.bounds = bounds
        self.log(
            f"at most {bounds.total_bytes} bytes are held for clients; "
            f"the process has {process_bytes} of {limit_bytes}",
            "memory",
        )

    async def _stop(self, listener: Listener) -> None:
        """Stop within the platform's time limit, with every request answered and every answer delivered.

        Clients go on using their open connections, and no other dispatcher can serve those: each is kept in
        use as long as its answers are certain to be sent before the process exits.
        """
        stop = StopSchedule(clock(), max(cls.deadline_ms for cls in self.config.settings.classes))
        self.log(f"stopping with {self.front.open_request_count()} open requests")
        self._report()
        self.front.set_answer_deadline(stop.answer_by_ms, stop.refuse_at_ms)
        await asyncio.sleep(max(0.0, stop.unlisten_at_ms - clock()) / 1000)
        await self._unlisten(listener, stop.answer_by_ms)
        while not self.front.all_closed() and clock() < stop.answer_by_ms:
            if clock() >= stop.refuse_at_ms:
                self.front.admission.refuse_all()
            if clock() >= stop.close_idle_at_ms:
                self.front.close_idle()
            await asyncio.sleep(STOP_POLL_S)
        # Requests from before SIGTERM whose deadline is later than the platform waits are answered here:
        # otherwise they would be lost.
        self.log(f"stopped, aborting {self.front.open_request_count()} open requests")
        self.driver.abort_pending()
        if self.loop_batches is not None:
            self.loop_batches.stop()
        await self._close_connections(stop)

    async def _close_connections(self, stop: StopSchedule) -> None:
        """Answer what clients have sent and was not read yet, then close their connections.

        What waits in the kernel was taken by this dispatcher too, and its client cannot know that it was not
        read.  An answer that the kernel has not delivered yet is lost if its connection is closed with unread
        bytes, and so if the process exits.
        """
        front = self.front
        front.refuse_further()
        while not front.all_closed() and clock() < stop.close_all_at_ms:
            front.close_idle()
            await asyncio.sleep(STOP_POLL_S)
        unread_count = sum(client.has_unread_input() for client in front.clients)
        if unread_count:
            self.log(f"{unread_count} connections are closed with unread input")
        front.close_all()
        while not front.all_closed() and clock() < stop.exit_at_ms:
            await asyncio.sleep(STOP_POLL_S)

    async def _unlisten(self, listener: Listener, answer_by_ms: float) -> None:
        """Close the listener once no connection is waiting, or at `answer_by_ms`.

        Closing it resets connections that the kernel has accepted and the loop has not.  It also resets one
        that the loop accepts in this iteration, since it is handled only in the next: hence two idle ones.
        """
        idle_iterations = 0
        while idle_iterations < 2 and clock() < answer_by_ms:
            idle_iterations = 0 if _readable(listener.fileno()) else idle_iterations + 1
            await asyncio.sleep(0)
        listener.close()
        self.front.is_accepting = False

    def reload(self) -> None:
        """Reload the configuration: discovery's address may change while the program runs.

        A file is accepted or rejected as a whole; for one that is rejected, the log names the setting.
        """
        try:
            with open(self.path, "rb") as file:
                found = parse(file.read())
        except (OSError, ConfigError) as exc:
            self.log(f"new configuration rejected, the old one stays in use: {exc}")
            return
        # Using parts of another dispatcher's file would connect this one to that one's servers.
        if (difference := find_foreign_setting(self.config, found)) is not None:
            self.log(f"new configuration rejected, it is for another dispatcher: {difference}")
            return
        if (found.memory_mb, found.sockets) != (self.config.memory_mb, self.config.sockets):
            self.log("changed limits apply from the next start of the process")
        self.log(f"discovery is at {found.discovery[0]}:{found.discovery[1]}")
        self.watch.change_address(found.discovery)

    async def _sweep(self) -> None:
        bounds = self.front.bounds
        report_at_ms = clock() + REPORT_INTERVAL_MS
        while True:
            await asyncio.sleep(bounds.sweep_interval_ms / 1000)
            self.front.sweep()
            self.transport.close_expired()
            if self.listener is not None:
                self.listener.resume()
            if clock() >= report_at_ms:
                report_at_ms += REPORT_INTERVAL_MS
                self._report()

    def _report(self) -> None:
        """Log the counters, and the scheduler's estimates for the servers in use."""
        observer, transport, front = self.observer, self.transport, self.front
        ledger, admission = self.driver.ledger, front.admission
        batches = self.loop_batches.count if self.loop_batches is not None else 0
        self.log(
            f"clients={len(front.clients)} lingering={len(front.lingering)} "
            f"asking={front.active_connection_count} "
            f"owed={front.open_request_count()} evicted={front.evicted_count} "
            f"yielded={front.closed_idle_count} left_unread={front.unread_disconnect_count} "
            f"exhausted={self.listener.failed_accept_count if self.listener is not None else 0} "
            f"malformed={front.invalid_input_count} refused={front.refused_command_count} "
            f"calls={self.watch.calls} failed={self.watch.failed_rounds} doubted={self.watch.parallel_calls} "
            f"nodes={len(transport.open_connections)} opened={transport.opened_count} "
            f"reused={transport.reused_count} spoilt={transport.invalid_answer_count} "
            f"surplus={transport.unrequested_input_count} duplicates={transport.duplicate_count} "
            f"doubtful={transport.doubtful_count} turns={batches} "
            f"events={observer.events} act={observer.act_ms:.0f} "
            f"longest={observer.longest_act_ms:.1f} late={observer.max_queued_ms:.1f} "
            f"cpu={time.process_time():.2f} "
            f"keys={len(ledger.keys)} key_retries={ledger.key_retry_count} "
            f"key_refusals={ledger.key_refusal_count} "
            f"unread_closed={front.unread_closed_count} "
            f"held={admission.account.held_bytes} held_max={admission.account.take_highest()} "
            f"held_limit={admission.account.bounds.total_bytes} waiting={admission.waiting_count} "
            f"delayed={admission.counts.delayed} paused={admission.counts.paused} "
            f"no_room={admission.counts.refused} shed={admission.counts.shed} "
            f"revoked={admission.counts.revoked} limited={admission.counts.limited} "
            f"outcomes={dict(observer.outcomes)} answers={dict(observer.answers)} "
            f"reasons={dict(observer.reasons)}",
            "state",
        )
        observer.longest_act_ms = observer.max_queued_ms = 0.0
        used = [
            f"{b.name}:{b.state.value} D={b.window:.1f} out={b.in_flight}+{b.presumed_lost} wait={b.waiting} "
            f"lag={b.latency_ms:.0f} base={b.unloaded_ms:.0f} ratio={b.wait_ratio:.2f} "
            f"rest={b.ejected_for_ms:.0f}"
            for b in endpoint_estimates(self.scheduler, clock())
        ]
        # A dispatcher of a large fleet uses a few of hundreds of servers, so the others are only counted.
        unused = len(self.scheduler.endpoints.by_name) - len(used)
        self.log("; ".join([*used, f"{unused} not used yet"]), "belief")


_early_sighups: list[int] = []  # signals received before the event loop handled them


def main() -> int:
    """Run with the configuration that LB_CONFIG names; return the exit code.

    1, after one line on standard error, if the configuration cannot be used or the system raises OSError.
    """
    # An unhandled SIGHUP ends the process, and an ignored one loses the request for a reload.
    signal.signal(signal.SIGHUP, lambda number, _: _early_sighups.append(number))
    path = os.environ.get("LB_CONFIG", "")
    try:
        with open(path, "rb") as file:
            config = parse(file.read())
    except (OSError, ConfigError) as exc:
        print(f"cressrock platform: LB_CONFIG {path!r}: {exc}", file=sys.stderr)
        return 1
    program = Program(config, path)
    failed: list[BaseException] = []
    try:
        anyio.run(program.run, backend="asyncio")
    except* OSError as group:
        failed.append(group)
    for error in failed:
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        print(f"cressrock platform: {error}", file=sys.stderr)
    return 1 if failed else 0
