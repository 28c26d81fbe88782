"""Drills: several processes of the program on loopback, with faults between them, judged from the sockets.

Edges and planners (and what is named beside them) are processes of their own; each pair talks through relays.
Stand-in nodes, node list and clients live in the drill's process, so that the judge has both sides of every
socket.  A seeded script of steps says what goes wrong.

What a verdict rests on.  Steps wait for conditions, so a slow machine makes a drill longer.  Some rules speak
of times, though: an answer in its time, nothing sent after it, drains, order, windows.  On sockets a late
stamp may be the machine's.  So the drill measures while it runs

- its own loop: how late a heartbeat came (stamps of nodes and clients are late by as much),
- how long each process was ready to run and had no core (Linux: schedstat),
- what relays held back between edge and planner (moves decisions, excuses no answer),
- when the drill itself held a process still (SIGSTOP),

and the judge allows just that, at just those times (`lab.judge`).  Nothing is allowed for a second effect,
a second answer, unsafe work sent again, or an answer that never came from a process that could run.  What is
not covered: one core so slow that an edge alone with it needs longer than `way_ms` for a single turn.
"""

from __future__ import annotations

import json
import sys
import tempfile
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from cressrock.errors import CressrockError
from cressrock.errors.lab import StepNotReachedError, UnknownProcessError
from cressrock.lab import steps as st
from cressrock.lab.day import Day, Result, Script, _Dispatcher, _Planner
from cressrock.lab.judge import Judgement, Measured, judge
from cressrock.lab.processes import Life, Processes
from cressrock.lab.relays import Relays
from cressrock.lab.trace import Row
from cressrock.observe.event_loop import EventLoopMonitor, TurnCounts
from cressrock.settings.types import Pair

BEAT_MS = 5.0
SAMPLE_MS = 100.0
LEAST_MS = 2.0  # shorter delays are within any bound of the way
POLL_S = 0.02
GRANT_MS = Pair().grant_ms  # an order that is older is void
OVERTIME_MS = 3000.0  # how long clients wait beyond their patience, so that a late answer is seen as one


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of process: its command, the event by which it says that it is ready, and its ports.

    `ports` names, for each kind of port, the field of that log line which holds its address.
    """

    command: str
    ready: str
    ports: dict[str, str]


@dataclass(frozen=True, slots=True)
class LongDelay:
    """One delay that was longer than the bound of the way: who was delayed, and between which times (ms)."""

    who: str
    begin_ms: float
    end_ms: float
    ms: float

    def __str__(self) -> str:
        """Describe it in a line."""
        return f"{self.who} was delayed for {self.ms:.0f} ms in {self.begin_ms:.0f} to {self.end_ms:.0f} ms"


class LoopLog:
    """Takes the lines of an `EventLoopMonitor`, as text with the drill's time."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` gives the drill's milliseconds."""
        self.clock = clock
        self.lines: list[str] = []

    def warning(self, event: str, **fields: Any) -> None:
        """Add a line."""
        self.lines.append(f"{self.clock():.0f} ms, the drill: {event} {json.dumps(fields)}")


EDGE = Kind("edge", "serving", {"front": "address", "admin": "admin", "fleet": "fleet"})
PLANNER = Kind(
    "plan", "planning", {"link": "address", "admin": "admin", "fleet": "fleet", "council": "council"}
)

# Adds to a process's settings (plain JSON) what a drill is about; addresses come from `drill.address`.
Extend = Callable[["Drill", str, dict[str, Any]], None]


@dataclass(slots=True)
class Report:
    """What came of a drill."""

    result: Result
    found: Judgement
    findings: list[str]  # defects, processes that ended by themselves, conditions that never came
    exits: dict[str, list[int | None]]  # each name's lives, in order
    counts: dict[str, dict[str, int]]  # each name's log lines by event, all lives together
    marks: list[tuple[float, str]]  # when each step was done, ms
    absent: list[tuple[float, float]]  # when no planner was ready and moving, ms
    length_ms: float
    figures: dict[str, float] = field(default_factory=dict)
    delays: list[str] = field(default_factory=list)  # slow turns and slow disks, by the processes' logs
    long_delays: list[LongDelay] = field(default_factory=list)  # of the drill's loop and of each process

    @property
    def well(self) -> bool:
        """Whether no rule was broken and nothing was found."""
        return not self.found.breaches and not self.findings

    def evidence(self) -> str:
        """Return what tells why a rule was broken: the rows of the requests, and what was delayed then."""
        requests = {breach.request for breach in self.found.breaches}
        rows = [row for row in self.result.trace if row.request in requests]
        times = [row.t_ms for row in rows]
        long_delays = [
            delay
            for delay in self.long_delays
            if times and delay.begin_ms <= max(times) and delay.end_ms >= min(times) - Measured.REACH_MS
        ]
        return "\n".join(map(str, [*rows, *long_delays, *self.delays]))


class Gauge:
    """Delays as they were measured: [from, to, delay] of each, for `judge.Measured`.  Pure."""

    def __init__(self, least_ms: float, merge_ms: float = 0.0) -> None:
        """Shorter delays than `least_ms` are let go; of those within `merge_ms` only the longest is kept."""
        self.least_ms = least_ms
        self.merge_ms = merge_ms
        self.found: list[list[float]] = []
        self.worst = 0.0

    def add(self, begin_ms: float, end_ms: float, ms: float) -> None:
        """Enter a delay that lay somewhere between two times."""
        self.worst = max(self.worst, ms)
        if ms < self.least_ms:
            return
        if self.found and end_ms - self.found[-1][1] < self.merge_ms:
            last = self.found[-1]
            last[:] = [min(last[0], begin_ms), end_ms, max(last[2], ms)]
        else:
            self.found.append([begin_ms, end_ms, ms])


class Drill(Day):
    """A day whose edges and planners are processes.  `script.real` has to be set; see `rehearse`."""

    def __init__(
        self,
        script: Script,
        steps: Sequence[st.Step],
        *,
        logs: str | None = None,
        extend: Extend | None = None,
        programs: dict[str, list[str]] | None = None,
    ) -> None:
        """`logs` is a folder to keep logs and settings in; without one they are gone at the end.

        `programs` gives, by name, the command line that stands before `edge FILE` or `plan FILE`; without it
        that is this interpreter's `-m cressrock`.
        """
        super().__init__(script)
        self.steps = tuple(steps)
        self.logs = logs
        self.extend = extend
        self.programs = programs or {}
        self.load_ms = float("inf")  # clients come until the last step is done
        self.arrivals: anyio.CancelScope | None = None
        self.done = False
        self.findings: list[str] = []
        self.marks: list[tuple[float, str]] = []
        self.over = 0
        self.pauses, self.links = Gauge(LEAST_MS), Gauge(LEAST_MS, merge_ms=50.0)
        self.loop_pauses = Gauge(LEAST_MS)
        self.paused_ms = 0.0  # of the drill's loop, in total
        self.beat_due_ms = float("inf")  # a pause lasts since then if the loop's heartbeat is late
        self.long_delays: list[LongDelay] = []
        self.loop_log = LoopLog(self.clock)
        self.length_ms = 0.0

    def address(self, source: str, destination: str, kind: str) -> str:
        """Return the address at which one process reaches a port of another, over all of its lives.

        It is a relay's, made on demand; kinds of ports are those of the process's `Kind`.
        """
        return self.relays.address(source, destination, kind)

    def run_ms(self) -> float:
        """Return for how long the drill's loop has run, without its pauses, in milliseconds.

        A condition's bound is judged by it: while the loop is paused, no process of the drill gets on either.
        """
        return min(self.clock(), self.beat_due_ms) - self.paused_ms

    # --- the run

    async def play(self) -> Result:
        """Play the drill to its end; whatever happens, no process of it is left."""
        with ExitStack() as stack:
            folder = self.logs or stack.enter_context(tempfile.TemporaryDirectory())
            self.kept = Path(folder)
            self.kept.mkdir(parents=True, exist_ok=True)
            self.processes = stack.enter_context(Processes(folder, self.clock))
            return await super().play()

    async def _open_hall(self, tasks: TaskGroup) -> None:
        self.relays = Relays(tasks, self.script.seed, self.clock)
        self.relays.when_passed = self._passed
        tasks.start_soon(self._beat)
        tasks.start_soon(self._measure)
        tasks.start_soon(EventLoopMonitor(TurnCounts(), self.loop_log).run)
        tasks.start_soon(self._close_relays)
        await super()._open_hall(tasks)

    async def _close_relays(self) -> None:
        try:
            await anyio.sleep_forever()
        finally:
            self.relays.close()

    async def _start_all(self) -> None:
        # All at once: their relays' addresses are known before any of them listens.
        async with anyio.create_task_group() as tasks:
            for planner in self.planners:
                tasks.start_soon(self._start_planner, planner)
            for dispatcher in self.dispatchers:
                tasks.start_soon(self._start, dispatcher)

    async def _end(self) -> None:
        """End the processes in order, planners last, as operators do."""
        self.length_ms = self.clock()
        for life in reversed(self.processes.living()):
            await self.processes.end(life.name)

    async def _load(self, tasks: TaskGroup) -> None:
        with anyio.CancelScope() as self.arrivals:
            if self.done:
                return
            await super()._load(tasks)

    async def _troubles(self) -> None:
        """Do the script's steps, beside the troubles of nodes that the day's script names."""
        async with anyio.create_task_group() as tasks:
            if self.script.troubles:
                tasks.start_soon(super()._troubles)
            await self._steps()
        self.done = True
        if self.arrivals is not None:
            self.arrivals.cancel()

    def _record(self, row: Row) -> None:
        self.over += row.side == "client" and row.what == "answered"
        super()._record(row)

    # --- lives

    def _write_settings(self, name: str) -> Path:
        planners = [p.name for p in self.planners]
        index = next((i for i, d in enumerate(self.dispatchers) if d.name == name), None)
        order: list[str] = []
        if index is not None:
            first = self._planner_of(index)
            order = [self.address(name, p, "link") for p in planners[first:] + planners[:first]]
        value = msgspec.to_builtins(self.settings(name, order))
        value["pair"]["listen"] = value["front"]["listen"] = "127.0.0.1:0"
        if self.extend is not None:
            self.extend(self, name, value)
        path = self.kept / f"{name}.jsonnet"
        path.write_text(json.dumps(value, indent=1))
        return path

    async def _spawn(self, name: str, kind: Kind) -> dict[str, Any]:
        command = self.programs.get(name) or [sys.executable, "-m", "cressrock"]
        path = self._write_settings(name)
        life = await self.processes.start(name, [*command, kind.command, str(path)], kind.ready)
        line = life.last[kind.ready][1]
        for port, entry in kind.ports.items():
            if line.get(entry):
                self.relays.target(name, port, str(line[entry]))
        return line

    async def _start(self, dispatcher: _Dispatcher) -> None:
        dispatcher.lives += 1
        dispatcher.born.append(self.clock())
        line = await self._spawn(dispatcher.name, EDGE)
        dispatcher.address = str(line["address"])
        self._meet(dispatcher)

    async def _start_planner(self, planner: _Planner) -> None:
        planner.lives += 1
        planner.born.append(self.clock())
        await self._spawn(planner.name, PLANNER)

    async def _kill(self, dispatcher: _Dispatcher) -> None:
        dispatcher.killed.append(self.clock())
        self.processes.kill(dispatcher.name)
        self.relays.gone(dispatcher.name)
        if dispatcher.client is not None:
            dispatcher.client.drop()

    async def _kill_planner(self, planner: _Planner) -> None:
        planner.killed.append(self.clock())
        self.planner_kills += 1
        self.processes.kill(planner.name)
        self.relays.gone(planner.name)

    # --- steps

    async def _steps(self) -> None:
        for step in self.steps:
            await anyio.sleep(step.after_ms / 1000)
            try:
                await self._do(step.action)
            except CressrockError as wrong:
                self.findings.append(f"{self.clock() / 1000:.2f} s: {step.action}: {wrong}")
                return
            self.marks.append((self.clock(), str(step.action)))

    async def _do(self, action: st.Action) -> None:
        match action:
            case st.Kill(name):
                one = self._named(name)
                await (self._kill(one) if isinstance(one, _Dispatcher) else self._kill_planner(one))
            case st.Restart(name):
                one = self._named(name)
                await (self._start(one) if isinstance(one, _Dispatcher) else self._start_planner(one))
            case st.Stop(name):
                self.processes.stop(name)
            case st.Go(name):
                self.processes.go(name)
            case st.Disk(name, most):
                self.processes.disk(name, most)
            case st.Cut(one, other):
                self.relays.cut(one, other)
            case st.OneWay(source, destination):
                self.relays.one_way(source, destination)
            case st.Partition(groups):
                self.relays.partition(groups)
            case st.Ring(a, b, c):
                self.relays.ring(a, b, c)
            case st.Worsen(source, destination, faults):
                self.relays.set((source, destination), faults)
            case st.Reset(one, other):
                self.relays.reset(one, other)
            case st.Heal():
                self.relays.heal()
            case st.Until():
                await self._until(action)

    def _named(self, name: str) -> _Dispatcher | _Planner:
        everybody: list[_Dispatcher | _Planner] = [*self.dispatchers, *self.planners]
        for one in everybody:
            if one.name == name:
                return one
        raise UnknownProcessError(f"{name} is not part of this drill")

    async def _until(self, wanted: st.Until) -> None:
        """Wait for a condition.  Raises StepNotReached."""
        begin, over = self.run_ms(), self.over
        while not self._reached(wanted, over):
            if self.run_ms() - begin > wanted.most_ms:
                raise StepNotReachedError(f"{wanted.what} did not come in {wanted.most_ms / 1000:g} s")
            await anyio.sleep(POLL_S)

    def _reached(self, wanted: st.Until, over: int) -> bool:
        match wanted.what:
            case "answered":
                return self.over - over >= wanted.count
            case "logged":
                return self.processes.get(wanted.name).counts[wanted.event] >= wanted.count
        lives = [self.processes.lives[d.name][-1] for d in self.dispatchers]
        return all(self._joined(life) for life in lives if life.code is None and not life.stopped)

    @staticmethod
    def _joined(life: Life) -> bool:
        return life.last_of("edge.planner_joined", "edge.planner_lost") == "edge.planner_joined"

    # --- what is measured

    async def _beat(self) -> None:
        """Measure how late the drill's own loop runs."""
        while True:
            due = self.beat_due_ms = self.clock() + BEAT_MS
            await anyio.sleep(BEAT_MS / 1000)
            late = self.clock() - due
            self.paused_ms += late if late >= LEAST_MS else 0.0
            self.pauses.add(due, due + late, late)
            self.loop_pauses.add(due, due + late, late)
            self._note_delay("the drill", due, due + late, late)

    async def _measure(self) -> None:
        """Measure how long processes had no core; the worst one counts, as it may be the one that is late."""
        before, at = self.processes.waited_ms(), self.clock()
        while True:
            await anyio.sleep(SAMPLE_MS / 1000)
            self.processes.watch()
            waited, now = self.processes.waited_ms(), self.clock()
            grown = {pid: value - before.get(pid, 0.0) for pid, value in waited.items()}
            self.pauses.add(at, now, max(grown.values(), default=0.0))
            for life in self.processes.living():
                self._note_delay(life.name, at, now, grown.get(life.pid, 0.0))
            before, at = waited, now

    def _note_delay(self, who: str, begin_ms: float, end_ms: float, ms: float) -> None:
        if ms > self.script.way_ms:
            self.long_delays.append(LongDelay(who, begin_ms, end_ms, ms))

    def _passed(self, kind: str, held_ms: float) -> None:
        # An order that was held for longer than a grant's time is void: it moves no sending.
        if kind == "link":
            now = self.clock()
            self.links.add(now - held_ms, now, min(held_ms, GRANT_MS))

    def _facts(self) -> dict[str, Any]:
        end = self.clock()
        stopped = {
            name: [[at, min(to, end)] for at, to in stops] for name, stops in self.processes.stops.items()
        }
        return super()._facts() | {
            "pauses": [[round(v, 1) for v in one] for one in self.pauses.found],
            "loop_pauses": [[round(v, 1) for v in one[:2]] for one in self.loop_pauses.found],
            "links": [[round(v, 1) for v in one] for one in self.links.found],
            "stopped": stopped,
            "overtime_ms": OVERTIME_MS,
            "steps": [[round(at, 1), what] for at, what in self.marks],
        }

    def report(self, result: Result) -> Report:
        """Judge what was played."""
        processes = self.processes
        counts: dict[str, dict[str, int]] = {}
        for life in processes.all():
            mine = counts.setdefault(life.name, {})
            for event, number in life.counts.items():
                mine[event] = mine.get(event, 0) + number
        fences = sum(c.get("fence", 0) for c in counts.values())
        findings = [*self.findings, *processes.findings()]
        if fences:
            findings.append(f"fences tripped: {fences}")
        # From 0 on lasts the drill's own start: nobody was there to miss a planner.
        absent = [
            (at, to) for at, to in processes.absent([p.name for p in self.planners], self.length_ms) if at > 0
        ]
        figures = {
            "worst_pause_ms": self.pauses.worst,
            "paused_ms": sum(one[2] for one in self.pauses.found),
            "worst_relay_ms": self.relays.slowest_ms,
            "fences": float(fences),
            "absent_ms": sum(end - begin for begin, end in absent),
        }
        exits = {name: [life.code for life in lives] for name, lives in processes.lives.items()}
        return Report(
            result,
            judge(result.trace),
            findings,
            exits,
            counts,
            self.marks,
            absent,
            self.length_ms,
            figures,
            [*self.loop_log.lines, *processes.delays()],
            self.long_delays,
        )


def rehearse(drill: Drill) -> Report:
    """Play a drill on loopback and judge it."""
    result: Result = anyio.run(drill.play, backend="asyncio", backend_options={"use_uvloop": True})
    return drill.report(result)
