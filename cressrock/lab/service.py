"""What a day served, and what it refused though a node stood idle.  Pure; from a trace alone.

The rules can be kept by refusing.  So each verdict on rules stands beside this one: the worth that was
answered in time, the used part of each node's capacity, and for each denied request what stood in its way.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from cressrock.lab.trace import Row, Trace
from cressrock.webdav.paths import InvalidPathError, parse
from cressrock.webdav.placement import home

Span = tuple[float, float]

IDLE_PART = 0.1  # of the aim: a node with nothing out for that long could have taken what waits


class Hindrance(Enum):
    """What stood in a denied request's way, the first that explains it."""

    RAN = "an attempt had left"  # it was sent; what became of that decided
    COMPOSED = "composed"  # of several operations, which are not looked at one by one
    NODE = "node gone, cold, draining or in trouble"
    ORDER = "order"
    LIMIT = "limit"
    BUSY = "node busy"
    IDLE = "refused while its node was idle"


@dataclass(frozen=True, slots=True)
class Denied:
    """A request that was refused, or failed for want of time."""

    t_ms: float
    request: str
    method: str
    volume: str
    shard: int
    why: Hindrance
    idle_ms: float  # longest time in which its node could have taken it


@dataclass(slots=True)
class Worth:
    """Wishes of a class or a plan: how many, what was due, what was earned in time and late."""

    wishes: int = 0
    in_time: int = 0
    late: int = 0
    due: float = 0.0
    earned: float = 0.0


@dataclass(frozen=True, slots=True)
class Wish:
    """What a user wanted: a first try and its repeats count as one, as users see it."""

    name: str
    sent: Row
    cls: dict[str, Any]
    plan: str
    price: float
    answered_ms: float | None  # the first answer that served it
    given_up_ms: float  # when the last of its tries would have ended

    @property
    def due_ms(self) -> float:
        """Return when it has to be answered to count as in time."""
        return self.sent.t_ms + float(self.cls["aim_ms"])

    @property
    def worth(self) -> float:
        """Return what it earns in time."""
        return float(self.cls["worth"]) * self.price

    @property
    def earned(self) -> float:
        """Return what it earned."""
        if self.answered_ms is None:
            return 0.0
        return self.worth if self.answered_ms <= self.due_ms else self.worth * float(self.cls["late_worth"])


@dataclass(slots=True)
class Service:
    """What became of the wishes, the nodes' use, and the denied requests."""

    total: Worth = field(default_factory=Worth)
    classes: dict[str, Worth] = field(default_factory=dict)
    plans: dict[str, Worth] = field(default_factory=dict)
    used: dict[int, float] = field(default_factory=dict)  # part of each shard's capacity over the day
    useful: dict[int, float] = field(default_factory=dict)  # the same, spent on answers in time
    denied: list[Denied] = field(default_factory=list)

    @property
    def idle(self) -> list[Denied]:
        """Return the denials beside an idle node."""
        return [d for d in self.denied if d.why is Hindrance.IDLE]

    def why(self) -> dict[Hindrance, int]:
        """Count the denials by what stood in their way."""
        return {h: n for h in Hindrance if (n := sum(d.why is h for d in self.denied))}


def wishes(trace: Trace) -> list[Wish]:
    """Gather the tries of each user into wishes, in the order of their first tries."""
    facts = trace.facts
    sent: dict[str, list[Row]] = defaultdict(list)
    served: dict[str, float] = {}
    for row in trace:
        if row.side != "client":
            continue
        name = row.request.rsplit(".", 1)[0]
        if row.what == "sent":
            sent[name].append(row)
        elif row.what == "answered" and row.status < 500 and name not in served:
            served[name] = row.t_ms
    found = []
    for name, tries in sent.items():
        first = tries[0]
        cls = facts["classes"][facts["methods"][first.method]["class"]]
        plan = facts["volumes"].get(first.path.split("/", 2)[1], "")
        price = float(facts["plans"].get(plan, {}).get("price", 1.0))
        end = max(row.t_ms + row.patience_ms for row in tries)
        found.append(Wish(name, first, cls, plan, price, served.get(name), end))
    return found


def serve(trace: Trace) -> Service:
    """Reckon a day's service."""
    return _Reckoning(trace).run()


class _Reckoning:
    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.facts = trace.facts
        self.rows = list(trace)
        self.way = float(self.facts["way_ms"])
        self.end = self.rows[-1].t_ms if self.rows else 0.0
        self.found = Service()
        self.came: dict[str, list[Row]] = defaultdict(list)
        self.seen: set[tuple[str, int, int]] = set()  # attempts that a node did not turn away

    def run(self) -> Service:
        for row in self.rows:
            if row.side == "node" and row.what == "came":
                self.came[row.request].append(row)
                self.seen.add((row.request, row.operation, row.attempt))
            elif row.side == "node" and row.what == "answered" and row.detail == "unseen":
                self.seen.discard((row.request, row.operation, row.attempt))
        self._worth()
        self._use()
        self._denials()
        return self.found

    # --- worth and use

    def _worth(self) -> None:
        found = self.found
        for wish in wishes(self.trace):
            groups = (
                found.total,
                found.classes.setdefault(str(wish.cls["name"]), Worth()),
                found.plans.setdefault(wish.plan, Worth()),
            )
            for worth in groups:
                worth.wishes += 1
                worth.due += wish.worth
                worth.earned += wish.earned
                if wish.answered_ms is not None:
                    in_time = wish.answered_ms <= wish.due_ms
                    worth.in_time += in_time
                    worth.late += not in_time

    def _use(self) -> None:
        """Reckon work at its mean, over the time in which clients were active.

        Useful is work for a request, a repeated one too, that was answered within its aim from its sending.
        """
        machines: dict[str, dict[str, Any]] = self.facts["machines"]
        classes, methods = self.facts["classes"], self.facts["methods"]
        sent = {r.request: r for r in self.rows if r.side == "client" and r.what == "sent"}
        in_time = {
            r.request
            for r in self.rows
            if r.side == "client"
            and r.what == "answered"
            and r.status < 500
            and r.t_ms - sent[r.request].t_ms <= classes[methods[r.method]["class"]]["aim_ms"]
        }
        begin = min((r.t_ms for r in self.rows if r.side == "client"), default=0.0)
        over = max((r.t_ms for r in self.rows if r.side == "client"), default=begin)
        work: dict[int, float] = defaultdict(float)
        useful: dict[int, float] = defaultdict(float)
        for row in self.rows:
            if row.side == "node" and row.what == "ran":
                machine = machines[str(row.shard)]
                cost = machine["base_ms"] + row.units * machine["unit_ms"]
                work[row.shard] += cost
                if row.request in in_time:
                    useful[row.shard] += cost
        for shard, machine in machines.items():
            capacity = machine["cores"] * machine["speed"] * max(1.0, over - begin)
            self.found.used[int(shard)] = work[int(shard)] / capacity
            self.found.useful[int(shard)] = useful[int(shard)] / capacity

    # --- denials

    def _denials(self) -> None:
        sent = {r.request: r for r in self.rows if r.side == "client" and r.what == "sent"}
        self.free = {int(shard): self._free_spans(int(shard)) for shard in self.facts["machines"]}
        self.ready = self._ready_spans()
        self.parts = _Parts(self.facts, self.rows)
        self.turns = self._turn_spans()
        for row in self.rows:
            if row.side == "client" and row.what == "answered" and row.status in (503, 504):
                asked = sent[row.request]
                self.found.denied.append(self._judge(asked, row))

    def _judge(self, asked: Row, over: Row) -> Denied:
        volume = asked.path.split("/", 2)[1]
        shards = tuple(self.facts["lies"].get(volume, ()))
        why, idle, shard = Hindrance.COMPOSED, 0.0, -1
        try:
            shard = home(parse(asked.path).key, shards) if shards else -1
        except InvalidPathError:
            pass
        if any((c.request, c.operation, c.attempt) in self.seen for c in self.came[asked.request]):
            why = Hindrance.RAN
        elif shard >= 0 and asked.method in SIMPLE and (asked.method != "PROPFIND" or len(shards) == 1):
            why, idle = self._weigh(asked, over, volume, shard)
        return Denied(over.t_ms, asked.request, asked.method, volume, shard, why, idle)

    def _weigh(self, asked: Row, over: Row, volume: str, shard: int) -> tuple[Hindrance, float]:
        """Take from the time it waited, one after the other, what forbade sending it."""
        cls = self.facts["classes"][self.facts["methods"][asked.method]["class"]]
        machine = self.facts["machines"][str(shard)]
        units = asked.units or 1.0
        needed = IDLE_PART * float(cls["aim_ms"])
        # What came too near the end of its time could not have been done any more.
        alone = (machine["base_ms"] + units * machine["unit_ms"]) / machine["speed"]
        latest = min(over.t_ms, asked.t_ms + asked.patience_ms - alone - 2 * self.way)
        spans = [(asked.t_ms + self.way, latest - self.way)]
        steps: tuple[tuple[Hindrance, list[Span]], ...] = (
            (Hindrance.NODE, self.ready.get((asked.dispatcher, shard), [])),
            (Hindrance.ORDER, self.turns.get((asked.dispatcher, asked.path), [(-1e18, 1e18)])),
            (Hindrance.LIMIT, self.parts.spans(asked.dispatcher, volume, units)),
            (Hindrance.BUSY, self.free[shard]),
        )
        for why, allowed in steps:
            spans = intersect(spans, allowed)
            if longest(spans) < needed:
                return why, longest(spans)
        return Hindrance.IDLE, longest(spans)

    def _free_spans(self, shard: int) -> list[Span]:
        """Return when nothing was out at a shard's nodes, as a dispatcher could know: the way included."""
        busy: list[Span] = []
        open_now: dict[tuple[str, str, int, int], float] = {}
        for row in self.rows:
            if row.side != "node" or row.shard != shard:
                continue
            key = (row.node, row.request, row.operation, row.attempt)
            if row.what == "came":
                open_now[key] = row.t_ms
            elif row.what in ("answered", "closed") and key in open_now:
                busy.append((open_now.pop(key) - self.way, row.t_ms + self.way))
            elif row.what == "ran":
                # The work may outlive its connection.
                busy.append((row.t_ms - self.way, row.t_ms + self.way))
            elif row.what == "down":
                for gone in [k for k in open_now if k[0] == row.node]:
                    busy.append((open_now.pop(gone) - self.way, row.t_ms))
        busy += [(at - self.way, self.end) for at in open_now.values()]
        return complement(busy)

    def _ready_spans(self) -> dict[tuple[str, int], list[Span]]:
        """Return when a dispatcher knew a shard's node as ready, and it was: up, warm and without trouble."""
        well: dict[str, list[Span]] = {}
        shard_of: dict[str, int] = {}
        trouble: dict[str, list[Span]] = defaultdict(list)
        since: dict[tuple[str, str], float] = {}
        up: dict[str, float] = {}
        for row in self.rows:
            if row.side != "node":
                continue
            if row.what == "up":
                machine = self.facts["machines"][str(row.shard)]
                warm = machine["warm_up_ms"] + machine["tip_after_ms"] if row.detail == "cold" else 0.0
                up[row.node], shard_of[row.node] = row.t_ms + warm, row.shard
            elif row.what == "down" and row.node in up:
                well.setdefault(row.node, []).append((up.pop(row.node), row.t_ms))
            elif row.what == "fault":
                name, _, value = row.detail.partition("=")
                if name == "paused":
                    trouble[row.node].append((row.t_ms, row.t_ms + float(value)))
                elif value in ("False", "0.0", "1.0"):
                    begun = since.pop((row.node, name), row.t_ms)
                    # What a trouble left behind, a queue or a bad figure, is over a little later.
                    trouble[row.node].append((begun, row.t_ms + AFTERMATH_MS))
                else:
                    since[row.node, name] = row.t_ms
        for node, begin in up.items():
            well.setdefault(node, []).append((begin, self.end))
        for (node, _), begin in since.items():
            trouble[node].append((begin, self.end))
        told = self._told_spans()
        found: dict[tuple[str, int], list[Span]] = defaultdict(list)
        for (dispatcher, node), spans in told.items():
            if node in well:
                good = intersect(intersect(spans, sorted(well[node])), complement(trouble[node]))
                found[dispatcher, shard_of[node]] += good
        return {key: merged(spans) for key, spans in found.items()}

    def _told_spans(self) -> dict[tuple[str, str], list[Span]]:
        """Return when each dispatcher's list named each node as ready."""
        grace = float(self.facts["drain_grace_ms"])
        since: dict[tuple[str, str], float] = {}
        found: dict[tuple[str, str], list[Span]] = defaultdict(list)
        for row in self.rows:
            if row.side != "list":
                continue
            states = dict(item.split("=", 1) for item in row.detail.split(",") if item)
            ready = {name for name, state in states.items() if state.startswith("ready")}
            for name in ready:
                since.setdefault((row.dispatcher, name), row.t_ms + grace)
            for key in [k for k in since if k[0] == row.dispatcher and k[1] not in ready]:
                found[key].append((since.pop(key), row.t_ms))
        for key, begin in since.items():
            found[key].append((begin, self.end))
        return found

    def _turn_spans(self) -> dict[tuple[str, str], list[Span]]:
        """Return when nothing of a class that keeps order was out, or rested, for each key."""
        methods, settle = set(self.facts["in_turn"]), float(self.facts["order_settle_ms"])
        busy: dict[tuple[str, str], list[Span]] = defaultdict(list)
        begun: dict[tuple[str, str, str, int, int], Row] = {}
        for row in self.rows:
            if row.side != "node" or row.method not in methods:
                continue
            key = (row.dispatcher, row.node, row.request, row.operation, row.attempt)
            if row.what == "came":
                begun[key] = row
            elif row.what in ("answered", "closed") and key in begun:
                rest = settle if row.what == "closed" else 0.0
                first = begun.pop(key)
                busy[row.dispatcher, first.path].append((first.t_ms - self.way, row.t_ms + rest + self.way))
        for row in begun.values():
            busy[row.dispatcher, row.path].append((row.t_ms - self.way, self.end))
        return {key: complement(spans) for key, spans in busy.items()}


SIMPLE = frozenset({"GET", "HEAD", "PUT", "PROPPATCH", "PROPFIND"})
AFTERMATH_MS = 5000.0


class _Parts:
    """The part of each limit that one host may count on, as any host can prove it from its own sendings."""

    def __init__(self, facts: dict[str, Any], rows: Iterable[Row]) -> None:
        self.facts = facts
        self.hosts: dict[str, str] = facts.get("prefers", {})
        self.births: dict[str, list[float]] = facts.get("born", {})
        self.spent: dict[tuple[str, str], list[tuple[float, float]]] = defaultdict(list)
        drawn: set[tuple[str, str, int]] = set()
        for row in rows:
            key = (row.dispatcher, row.request, row.operation)
            if row.side == "node" and row.what == "came" and key not in drawn:
                drawn.add(key)
                volume = row.path.split("/", 2)[1]
                self.spent[self._host(row.dispatcher), volume].append((row.t_ms, row.units))
        self.levels: dict[tuple[str, str], tuple[list[float], list[float]]] = {}

    def _host(self, dispatcher: str) -> str:
        return self.hosts.get(dispatcher, dispatcher)

    def spans(self, dispatcher: str, volume: str, units: float) -> list[Span]:
        """Return when a request of so many units fitted into the host's part of its volume's limit."""
        plan = self.facts["plans"][self.facts["volumes"][volume]]
        if not plan.get("limit_rate"):
            return [(-1e18, 1e18)]
        host = self._host(dispatcher)
        if (host, volume) not in self.levels:
            self.levels[host, volume] = self._walk(host, volume, plan)
        writers = max(1, self.facts["writers"][volume])
        rate = plan["limit_rate"] / writers / 1000
        most = (plan["limit_burst"] + plan["limit_slack"]) / writers
        if units > most:
            return []
        times, levels = self.levels[host, volume]
        found: list[Span] = []
        for index, (at, level) in enumerate(zip(times, levels, strict=True)):
            until = times[index + 1] if index + 1 < len(times) else 1e18
            begin = at + max(0.0, units - level) / rate
            if begin < until:
                found.append((begin, until))
        return merged(found)

    def _walk(self, host: str, volume: str, plan: dict[str, Any]) -> tuple[list[float], list[float]]:
        """Follow the store: empty at a birth."""
        writers = max(1, self.facts["writers"][volume])
        rate = plan["limit_rate"] / writers / 1000
        most = (plan["limit_burst"] + plan["limit_slack"]) / writers
        births = self.births.get(host) or [0.0]
        steps = sorted([(t, None) for t in births] + list(self.spent[host, volume]), key=lambda s: s[0])
        at, level = births[0], 0.0
        times, levels = [], []
        for t, units in steps:
            level = min(most, level + max(0.0, t - at) * rate)
            at = t
            level = 0.0 if units is None else level - units
            times.append(t)
            levels.append(level)
        return times, levels


# --- spans of time, sorted and apart


def merged(spans: Iterable[Span]) -> list[Span]:
    """Sort spans and join those that meet."""
    found: list[Span] = []
    for begin, end in sorted(spans):
        if found and begin <= found[-1][1]:
            found[-1] = (found[-1][0], max(found[-1][1], end))
        elif begin < end:
            found.append((begin, end))
    return found


def complement(spans: Iterable[Span]) -> list[Span]:
    """Return the time outside all spans."""
    found, at = [], -1e18
    for begin, end in merged(spans):
        if begin > at:
            found.append((at, begin))
        at = max(at, end)
    return [*found, (at, 1e18)]


def intersect(some: list[Span], others: list[Span]) -> list[Span]:
    """Return the time inside both; each is sorted and its spans lie apart."""
    found = []
    starts = [begin for begin, _ in others]
    ends = [end for _, end in others]
    for begin, end in some:
        for index in range(bisect_right(ends, begin), bisect_left(starts, end)):
            low, high = max(begin, starts[index]), min(end, ends[index])
            if low < high:
                found.append((low, high))
    return found


def longest(spans: list[Span]) -> float:
    """Return the length of the longest span."""
    return max((end - begin for begin, end in spans), default=0.0)
