"""What the best possible schedule of a day could have earned: an upper bound, from a trace and its site.

A linear program over the wishes of the day's users, relaxed so that every real schedule satisfies it:

- a wish is served in part, and in time or late; it earns that part of its worth;
- a shard is a fluid: in any span of time, the work of the wishes whose whole life lies inside (from when
  they were sent until they had to be answered) is at most what the shard's node could do in it, with its
  faults and its cold start.  Spans are taken on a grid, which leaves some out;
- all a volume's wishes sent within a span take no more units than its limit allows in it;
- a wish for data that another one asks for in the same time costs what a repeat costs; a span may leave as
  much work put off as a flush's time can;
- a node's chance is on the schedule's side: its work is drawn around a mean, and each span may do three
  standard deviations more.

So the bound is never below a real schedule's worth but by chance of the model (under 1 in 700 for each span).
Refused users' own repeats cost nothing here, though on a real day they do.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field
from typing import Any

from cressrock.lab.service import Wish, wishes
from cressrock.lab.trace import Row, Trace
from cressrock.webdav.paths import InvalidPathError, parse
from cressrock.webdav.placement import home

SHORTEST_MS = 50.0  # of the grid's spans
STEP = 4  # spans of one length begin this often within it; short ones as often again
GROWTH = 1.2  # of one short length to the next; long ones double
SIGMAS = 3.0


@dataclass(slots=True)
class Bound:
    """The bound and what was earned, in worth; by class and plan, where the best schedule has its worth."""

    due: float = 0.0
    best: float = 0.0
    earned: float = 0.0
    classes: dict[str, tuple[float, float]] = field(default_factory=dict)  # (earned, best)
    plans: dict[str, tuple[float, float]] = field(default_factory=dict)
    wishes: int = 0
    rows: int = 0

    @property
    def share(self) -> float:
        """Return the reached part of the best possible; 1 where nothing could be earned."""
        return self.earned / self.best if self.best > 1e-9 else 1.0


@dataclass(slots=True)
class Demand:
    """A wish as the program sees it.  `work` maps shards to ms of work at speed 1, in time and late."""

    wish: Wish
    volume: str
    units: float
    work: dict[int, tuple[float, float]]
    sent: float
    in_time: float  # its last moment to be done in time
    late: float


def bound(trace: Trace) -> Bound:
    """Reckon the bound of a day.  Raises ValueError where the trace's facts do not describe its site."""
    if "machines" not in trace.facts:
        raise ValueError("the trace does not say what its machines are like")
    demands = _demands(trace)
    return solve(demands, _Capacity(trace), trace.facts)


def _demands(trace: Trace) -> list[Demand]:
    facts = trace.facts
    machines: dict[str, dict[str, Any]] = facts["machines"]
    way = 2 * min(facts["network"]["least_ms"], facts["network"]["nodes_least_ms"])
    wanted = wishes(trace)
    repeated, repeated_late = _repeats(wanted)
    found = []
    for wish in wanted:
        row = wish.sent
        volume = row.path.split("/", 2)[1]
        shards = tuple(facts["lies"].get(volume, ()))
        try:
            shard = home(parse(row.path).key, shards) if shards else -1
        except InvalidPathError:
            shard = -1
        work: dict[int, tuple[float, float]] = {}
        units = row.units or 1.0
        if shard >= 0:
            machine = machines[str(shard)]
            # A request of several operations counts as its first alone: no schedule does it with less.
            cost = machine["base_ms"] + units * machine["unit_ms"]
            less = cost * (1 - machine["repeat_saves"]) if machine["remembers"] else cost
            work[shard] = (
                less if wish.name in repeated else cost,
                less if wish.name in repeated_late else cost,
            )
        found.append(Demand(wish, volume, units, work, row.t_ms, wish.due_ms - way, wish.given_up_ms))
    return found


def _repeats(found: list[Wish]) -> tuple[set[str], set[str]]:
    """Name the wishes that may follow one for the same data at once: in time, and late.

    In time: while the other one is in time too, or where it costs so much less that serving it late would
    pay.  Serving a request late only to make another one cheaper loses as much as it saves.
    """
    by_path: dict[str, list[Wish]] = defaultdict(list)
    for wish in found:
        by_path[wish.sent.path].append(wish)
    in_time: set[str] = set()
    late: set[str] = set()
    for group in by_path.values():
        for wish in group:
            for other in group:
                if other is wish or other.sent.t_ms > wish.given_up_ms or other.given_up_ms < wish.sent.t_ms:
                    continue
                late.add(wish.name)
                both = other.sent.t_ms <= wish.due_ms and other.due_ms >= wish.sent.t_ms
                if both or (other.sent.units or 1.0) * 2 < (wish.sent.units or 1.0):
                    in_time.add(wish.name)
                    break
    return in_time, late


class _Capacity:
    """What each shard's nodes can do, in ms of work at speed 1, up to any moment."""

    def __init__(self, trace: Trace) -> None:
        facts = trace.facts
        self.steps: dict[int, list[tuple[float, float]]] = {}
        rows = list(trace)
        self.begin = min((r.t_ms for r in rows), default=0.0)
        self.end = max((r.t_ms for r in rows), default=0.0)
        for name, machine in facts["machines"].items():
            shard = int(name)
            kinds = ("up", "down", "fault")
            own = [r for r in rows if r.side == "node" and r.shard == shard and r.what in kinds]
            self.steps[shard] = _steps(own, machine, self.begin, self.end)

    def until(self, shard: int, t_ms: float) -> float:
        """Return the work that a shard could have done up to a moment."""
        total = 0.0
        steps = self.steps[shard]
        for index, (at, rate) in enumerate(steps):
            end = steps[index + 1][0] if index + 1 < len(steps) else math.inf
            if t_ms <= at:
                break
            total += rate * (min(end, t_ms) - at)
        return total

    def between(self, shard: int, begin: float, end: float) -> float:
        """Return the work that a shard could have done in a span."""
        return self.until(shard, end) - self.until(shard, begin)


def _steps(rows: list[Row], machine: dict[str, Any], begin: float, end: float) -> list[tuple[float, float]]:
    """Return when a shard's rate of work changes, and to what.

    Two processes may hold a shard while one drains: both count.  A cold start counts by its rate at the end
    of each step, the higher one.
    """
    full = machine["cores"] * machine["speed"]
    cuts = {begin} | {r.t_ms for r in rows}
    for row in rows:
        if row.what == "up" and row.detail == "cold":
            cuts |= {row.t_ms + machine["warm_up_ms"] * i / 16 for i in range(17)}
    edges = sorted(c for c in cuts if begin <= c <= end) or [begin]
    found = []
    for index, at in enumerate(edges):
        until = edges[index + 1] if index + 1 < len(edges) else end
        found.append((at, sum(_rates(rows, machine, at, until)) * full))
    return found


def _rates(rows: list[Row], machine: dict[str, Any], at: float, until: float) -> list[float]:
    up: dict[str, float] = {}
    slow: dict[str, float] = {}
    for row in rows:
        if row.t_ms > at:
            break
        if row.what == "up":
            share = 1.0
            if row.detail == "cold":
                age = min(1.0, max(0.0, until - row.t_ms) / machine["warm_up_ms"])
                share = row.units + (1 - row.units) * age
            up[row.node], slow[row.node] = share, 1.0
        elif row.what == "down":
            up.pop(row.node, None)
        elif row.what == "fault":
            name, _, value = row.detail.partition("=")
            if name == "slow":
                slow[row.node] = float(value)
            elif name in ("hung", "refusing"):
                slow[row.node] = math.inf if value == "True" else 1.0
    return [share / slow.get(node, 1.0) for node, share in up.items()]


def solve(demands: list[Demand], capacity: _Capacity, facts: dict[str, Any]) -> Bound:
    """Solve the relaxed program with HiGHS (Huangfu and Hall, 2018)."""
    import numpy as np
    from scipy.optimize import linprog
    from scipy.sparse import csr_matrix

    result = Bound(wishes=len(demands))
    if not demands:
        return result
    count = len(demands)
    gains = np.zeros(2 * count)
    for index, demand in enumerate(demands):
        gains[index] = demand.wish.worth
        gains[count + index] = demand.wish.worth * float(demand.wish.cls["late_worth"])
    highs = np.ones(2 * count)
    rows: list[int] = []
    columns: list[int] = []
    values: list[float] = []
    limits: list[float] = []

    def constrain(parts: list[tuple[int, float]], limit: float) -> None:
        row = len(limits)
        limits.append(max(0.0, limit))
        for column, value in parts:
            rows.append(row)
            columns.append(column)
            values.append(value)

    for index, demand in enumerate(demands):
        constrain([(index, 1.0), (count + index, 1.0)], 1.0)
        for shard, (work, _) in demand.work.items():
            # No request is worked on by two cores at once.
            machine = facts["machines"][str(shard)]
            if work * (1 - machine["noise"]) / machine["speed"] > demand.in_time - demand.sent:
                highs[index] = 0.0
    for shard in capacity.steps:
        own = [(i, d) for i, d in enumerate(demands) if shard in d.work]
        machine = facts["machines"][str(shard)]
        noise = machine["noise"] / math.sqrt(3)  # of an even draw
        later = machine["deferred"]
        for begin, end, inside in _spans(own, count, capacity.end):
            # What a span puts off beyond its end is at most what a flush's time can put off.
            long = end - begin >= 2 * machine["flush_ms"]
            parts = []
            square = 0.0
            for column, demand in inside:
                work = demand.work[shard][column >= count]
                if not long and demand.wish.sent.method not in READS:
                    work *= 1 - later
                parts.append((column, work))
                square += work * work
            allowed = capacity.between(shard, begin, end) + SIGMAS * noise * math.sqrt(square)
            if long:
                allowed += later / (1 - later) * machine["cores"] * machine["speed"] * machine["flush_ms"]
            if sum(value for _, value in parts) > allowed:
                constrain(parts, allowed)
    for volume, plan in facts["volumes"].items():
        figures = facts["plans"][plan]
        if not figures.get("limit_rate"):
            continue
        own = [(i, d) for i, d in enumerate(demands) if d.volume == volume]
        for begin, end, inside in _spans(own, count, capacity.end):
            allowed = (
                figures["limit_burst"] + figures["limit_slack"] + figures["limit_rate"] * (end - begin) / 1000
            )
            parts = [(column, demand.units) for column, demand in inside]
            if sum(value for _, value in parts) > allowed:
                constrain(parts, allowed)
    matrix = csr_matrix((values, (rows, columns)), shape=(len(limits), 2 * count))
    solved = linprog(-gains, A_ub=matrix, b_ub=limits, bounds=np.stack([np.zeros(2 * count), highs], 1))
    if not solved.success:
        raise ValueError(f"the bound's program was not solved: {solved.message}")
    for index, demand in enumerate(demands):
        best = float(solved.x[index] * gains[index] + solved.x[count + index] * gains[count + index])
        result.due += demand.wish.worth
        result.best += best
        result.earned += demand.wish.earned
        for table, key in ((result.classes, str(demand.wish.cls["name"])), (result.plans, demand.wish.plan)):
            earned, reached = table.get(key, (0.0, 0.0))
            table[key] = (earned + demand.wish.earned, reached + best)
    result.rows = len(limits)
    return result


READS = frozenset({"GET", "HEAD", "PROPFIND"})


def _spans(
    own: list[tuple[int, Demand]], count: int, end: float
) -> list[tuple[float, float, list[tuple[int, Demand]]]]:
    """Return spans of a grid with the columns whose whole life lies inside each, in time or late."""
    if not own:
        return []
    lives = [(d.sent, d.in_time, i, d) for i, d in own] + [(d.sent, d.late, count + i, d) for i, d in own]
    first = min(begin for begin, _, _, _ in lives)
    last = max(end, max(over for _, over, _, _ in lives))
    # As long as the shortest lives and a little more: that is where a burst shows.
    least = max(SHORTEST_MS, min(over - begin for begin, over, _, _ in lives))
    length = least
    found: dict[tuple[float, float], list[tuple[int, Demand]]] = defaultdict(list)
    while True:
        fine = max(SHORTEST_MS / STEP, least / STEP**2)
        step = fine if length < 2 * least else length / STEP
        for begin, over, column, demand in lives:
            if over - begin > length:
                continue
            low = max(0, math.ceil((over - length - first) / step - 1e-9))
            for index in range(low, math.floor((begin - first) / step + 1e-9) + 1):
                at = first + index * step
                found[at, at + length].append((column, demand))
        if length >= last - first:
            break
        length *= GROWTH if length < 4 * least else 2
    return [(begin, over, inside) for (begin, over), inside in sorted(found.items())]
