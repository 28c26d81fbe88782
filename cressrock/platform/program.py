"""The dispatcher as the platform starts it: configuration, parts, signals.

It listens on the address that it was given, on nothing else, and ends on SIGTERM once it owes nothing.
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

import anyio

from cressrock import net
from cressrock.dispatch.driver import Driver
from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger, Verdict
from cressrock.dispatch.reasons import Reason
from cressrock.interface import NodeList, Outcome
from cressrock.platform import watchclock
from cressrock.platform.config import Config, ConfigError, foreign, parse
from cressrock.platform.serverlist import ListError, ServerList
from cressrock.platform.stopping import Stop
from cressrock.platform.turns import Turns
from cressrock.platform.watch import Watch
from cressrock.resp.codec import MAX_VALUE
from cressrock.resp.front import Front, FrontBounds
from cressrock.resp.lingering import LingerBounds
from cressrock.resp.listener import Listener
from cressrock.resp.nodes import PoolBounds, RespTransport
from cressrock.resp.request import Reader
from cressrock.resp.room import accepted_at_once
from cressrock.scheduler.beliefs import endpoint_beliefs
from cressrock.scheduler.scheduler import Scheduler

# Descriptors beside those that are counted as connections to clients and servers: the process's own (the
# listener, two for discovery, three each for the event loop and the standard streams, one for a file, two
# more), and those of clients' connections that are just coming or going.
SPARE, OWN = 32, 12
# Of the others storage servers get a quarter and no fewer than this: D keeps to a few tens in all.  Clients
# get the rest: a third of all holds requests, and idle connections and silent peers come on top.
NODES, NODES_LEAST = 0.25, 64
ASKING = 0.25  # of all descriptors: clients hold at most a third for requests, and must be able to come back
# Storage servers were seen to serve whole values of 400 KB, past the 64 KiB that the platform names and its
# clients keep to.  What bounds an answer is the memory here: one takes so much of it at most, and all that
# clients have not read yet an eighth.
ANSWER = 1 / 64
UNREAD = 1 / 8
STALL = 0.1  # of the least aim: a broken answer is given up while another attempt can make the aim
LINGER_MS = 2000.0  # the platform lets a connection without an open request be closed after so long
LINGER_BYTES = 16 * MAX_VALUE  # of one peer: what a client that was ended has on its way is far less
LINGERING = 1 / 8  # of the clients' connections
SLACK_MS = 50.0  # by which every time limit is longer on sockets
STEP_S = 0.01  # between two looks at what the stop waits for
REPORT_MS = 5000.0  # between two lines on the state
LOG_LINES = 400  # of a kind, in a life


def clock() -> float:
    """Return monotonic milliseconds, by the standard library's clock."""
    return time.monotonic() * 1000


def wall_ms() -> float:
    """Return Unix milliseconds."""
    return time.time() * 1000


def _readable(descriptor: int) -> bool:
    """Tell whether something waits to be read, or accepted, at a descriptor."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))


class Log:
    """Lines for the on-call staff on standard error, bounded in number by their kind."""

    def __init__(self, name: str) -> None:
        """`name` is the dispatcher's."""
        self.name = name
        self.lines: Counter[str] = Counter()

    def __call__(self, text: str, kind: str = "event") -> None:
        """Write a line."""
        self.lines[kind] += 1
        if self.lines[kind] <= LOG_LINES:
            print(f"{wall_ms():.0f} {self.name} {kind}: {text}", file=sys.stderr, flush=True)


class Observer:
    """Counts what the driver did."""

    def __init__(self, log: Log) -> None:
        """Start with nothing counted."""
        self.log = log
        self.outcomes: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.events = 0
        self.act_ms = 0.0
        self.longest_act_ms = 0.0
        self.late_ms = 0.0

    def fence_tripped(self, trip: FenceTrip) -> None:
        """Log a fence; each is a defect of what gave the order."""
        self.log(f"{trip.fence.value} {trip.operation}: {trip.detail}", "fence")

    def attempt_ended(self, attempt: Attempt, outcome: Outcome, lag_ms: float, text: str) -> None:
        """Count an outcome; the text of one that is no answer is logged."""
        self.outcomes[outcome.value] += 1
        if text:
            self.log(f"{attempt.node.name} {outcome.value} after {lag_ms:.0f} ms: {text}", "attempt")

    def answered(self, request_class: int, verdict: Verdict, reason: Reason | None, ms: float) -> None:
        """Count a final answer."""
        self.answers[f"{request_class}:{verdict.value}"] += 1

    def batch_processed(self, events: int, late_ms: float, act_ms: float) -> None:
        """Measure a batch."""
        self.events += events
        self.act_ms += act_ms
        self.longest_act_ms = max(self.longest_act_ms, act_ms)
        self.late_ms = max(self.late_ms, late_ms)

    def line(self, text: str) -> None:
        """Pass on a line of the decision module."""
        self.log(text, "scheduler")


class Program:
    """One dispatcher on the platform."""

    def __init__(self, config: Config, path: str) -> None:
        """`path` is the configuration file's, which SIGHUP reads again."""
        self.config = config
        self.path = path
        self.log = Log(config.name)
        self.observer = Observer(self.log)
        settings = config.settings
        source = random.Random(config.seed)
        room = config.sockets - SPARE
        most_clients = max(1, room - max(int(room * NODES), min(NODES_LEAST, room // 2)))
        self.servers = ServerList(config.zones)
        self.transport = RespTransport(
            PoolBounds(
                max_connections=room - most_clients,
                connect_timeout_ms=settings.connect_timeout_ms,
                idle_close_ms=config.idle_close_ms,
                max_answer=int(config.memory_mb * ANSWER * (1 << 20)),
                stall_ms=STALL * min(cls.latency_objective_ms for cls in settings.classes),
            ),
            clock,
            self.servers.dials.get,
        )
        self.brain = Scheduler(settings, source.getrandbits(62), clock())
        self.driver = Driver(
            self.brain,
            Ledger(
                drain_grace_ms=settings.drain_grace_ms,
                answer_slack_ms=settings.answer_slack_ms,
                max_open=4096,
            ),
            self.transport,
            settings.classes,
            self.observer,
            clock=clock,
        )
        self.front = Front(
            Reader(settings, list(config.classes), list(config.plans), config.shards),
            self.driver,
            FrontBounds(
                max_connections=most_clients,
                max_asking=int(config.sockets * ASKING),
                max_unread=int(config.memory_mb * UNREAD * (1 << 20)),
                linger=LingerBounds(LINGER_MS, LINGER_BYTES, max(1, int(most_clients * LINGERING))),
            ),
            clock,
        )
        pushed_grace_ms = 0.0 if settings.must_ask else settings.drain_grace_ms + SLACK_MS
        self.watch = Watch(
            self.servers,
            config.discovery,
            watchclock.WatchClock(
                clock(),
                random.Random(source.getrandbits(62)).random,
                ask_every_ms=settings.ask_every_ms,
                pushed_grace_ms=pushed_grace_ms,
            ),
            listed=self._listed,
            clock=clock,
            wall_ms=wall_ms,
            log=self.log,
            stands=not settings.must_ask,
        )
        self.driver.subscribe = self.watch.subscribe
        self.turns: Turns | None = None
        self.listener: Listener | None = None
        self.address: tuple[str, int] | None = None  # where clients are served, once they are

    def _listed(self, report: NodeList) -> None:
        self.driver.receive_node_list(report)
        for name in self.servers.moved:
            self.transport.forget(name)
        self.servers.moved = []

    async def run(self) -> None:
        """Serve until SIGTERM, then until nothing is owed."""
        loop, settings = asyncio.get_running_loop(), self.config.settings
        self.turns = Turns(self.driver, loop)
        try:
            self._listed(self.servers.receive(self.config.known, clock(), wall_ms(), cached=True))
            if self.servers.left_out:
                self.log(f"known: {len(self.servers.left_out)} left out; {self.servers.left_out[0]}")
        except ListError as wrong:
            self.log(f"known: {wrong}")
        stopped = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopped.set)
        loop.add_signal_handler(signal.SIGINT, stopped.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        if _early:
            self.reload()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.watch.run)
            tasks.start_soon(self._sweep)
            if not settings.must_ask:
                # Danger: where lists are pushed, a drain counts as told from a new process's first moment on,
                # and the list that it is started with may be older.
                with anyio.move_on_after(watchclock.start_ms() / 1000):
                    await self.watch.heard.wait()
            with net.binding("listen", ":".join(map(str, self.config.listen))):
                self.listener = listener = Listener(
                    self.config.listen, self.front.protocol, accepted_at_once(SPARE - OWN)
                )
            host, port = self.address = listener.address()
            # What stands now stays: the collector need not go through it again and again.
            gc.collect()
            gc.freeze()
            self.log(f"serving at {host}:{port}")
            try:
                await stopped.wait()
                await self._stop(listener)
            finally:
                listener.close()
            tasks.cancel_scope.cancel()

    async def _stop(self, listener: Listener) -> None:
        """End in the platform's time: nothing is owed then, and no answer is on its way.

        Clients go on using what they have open, and nobody else can serve them here: each connection is
        used as long as its answers are sure to be out before the end.
        """
        stop = Stop(clock(), max(cls.deadline_ms for cls in self.config.settings.classes))
        self.log(f"stopping, {self.front.owes()} owed")
        self._report()
        self.front.end_by(stop.last)
        await asyncio.sleep(max(0.0, stop.unlisten_at - clock()) / 1000)
        await self._unlisten(listener, stop.last)
        while not self.front.ended() and clock() < stop.last:
            if clock() >= stop.leave_at:
                self.front.leave()
            await asyncio.sleep(STEP_S)
        # Danger: what came before SIGTERM with more patience than the platform has is lost unanswered.
        self.log(f"stopped, {self.front.owes()} owed")
        self.driver.abort_pending()
        if self.turns is not None:
            self.turns.end()
        self.front.finish()
        # Danger: an answer that the kernel has not delivered yet goes with a connection that is closed over
        # unread bytes, and so with the process.
        while not self.front.ended() and clock() < stop.exit_at:
            await asyncio.sleep(STEP_S)

    async def _unlisten(self, listener: Listener, last: float) -> None:
        """Close the listener.

        Danger: a connection that the kernel has accepted and the loop has not is reset with it, and so is
        one that the loop accepts in this round: it is only taken up in the next.
        """
        still = 0
        while still < 2 and clock() < last:
            still = 0 if _readable(listener.fileno()) else still + 1
            await asyncio.sleep(0)
        listener.close()
        self.front.welcome = False

    def reload(self) -> None:
        """Read the configuration again: discovery's address can change while the program runs.

        A file is taken whole or refused whole, and the log names the place.
        """
        try:
            with open(self.path, "rb") as file:
                found = parse(file.read())
        except (OSError, ConfigError) as wrong:
            self.log(f"configuration not taken over: {wrong}")
            return
        # Danger: half of a file that was meant for another dispatcher would lead this one to its servers.
        if (place := foreign(self.config, found)) is not None:
            self.log(f"configuration not taken over, it is not this dispatcher's: {place}")
            return
        if (found.memory_mb, found.sockets) != (self.config.memory_mb, self.config.sockets):
            self.log("limits count from the next start on")
        self.log(f"discovery is {found.discovery[0]}:{found.discovery[1]}")
        self.watch.move(found.discovery)

    async def _sweep(self) -> None:
        bounds = self.front.bounds
        report_at = clock() + REPORT_MS
        while True:
            await asyncio.sleep(bounds.sweep_ms / 1000)
            self.front.sweep()
            self.transport.sweep()
            if self.listener is not None:
                self.listener.resume()
            if clock() >= report_at:
                report_at += REPORT_MS
                self._report()

    def _report(self) -> None:
        """Write what the dispatcher believes and holds."""
        o, t, f = self.observer, self.transport, self.front
        turns = self.turns.turns if self.turns is not None else 0
        self.log(
            f"clients={len(f.clients)} lingering={len(f.lingering)} asking={f.asking} "
            f"owed={f.owes()} evicted={f.evicted} yielded={f.yielded} left_unread={f.left_unread} "
            f"exhausted={self.listener.exhausted if self.listener is not None else 0} "
            f"malformed={f.malformed} refused={f.refused_commands} "
            f"calls={self.watch.calls} failed={self.watch.failed} doubted={self.watch.doubted} "
            f"nodes={len(t.open)} opened={t.opened} reused={t.reused} "
            f"spoilt={t.spoilt} surplus={t.surplus} turns={turns} events={o.events} act={o.act_ms:.0f} "
            f"longest={o.longest_act_ms:.1f} late={o.late_ms:.1f} cpu={time.process_time():.2f} "
            f"outcomes={dict(o.outcomes)} answers={dict(o.answers)}",
            "state",
        )
        o.longest_act_ms = o.late_ms = 0.0
        used = [
            f"{b.name}:{b.state.value} D={b.window:.1f} out={b.in_flight}+{b.presumed_lost} wait={b.waiting} "
            f"lag={b.latency_ms:.0f} base={b.uncrowded_ms:.0f} ratio={b.wait_ratio:.2f} rest={b.rest_ms:.0f}"
            for b in endpoint_beliefs(self.brain, clock())
        ]
        # Of hundreds of servers a dispatcher of a large fleet uses a few.
        unused = len(self.brain.endpoints.by_name) - len(used)
        self.log("; ".join([*used, f"{unused} not used yet"]), "belief")


_early: list[int] = []  # SIGHUPs that came before the loop could take them


def main() -> int:
    """Run by the platform's environment; 1 and one line where its configuration cannot be used."""
    # Danger: a SIGHUP that nothing handles ends the process, and one that is ignored loses what it tells.
    signal.signal(signal.SIGHUP, lambda number, _: _early.append(number))
    path = os.environ.get("LB_CONFIG", "")
    try:
        with open(path, "rb") as file:
            config = parse(file.read())
    except (OSError, ConfigError) as wrong:
        print(f"cressrock platform: LB_CONFIG {path!r}: {wrong}", file=sys.stderr)
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
