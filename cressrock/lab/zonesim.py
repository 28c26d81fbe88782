"""A fleet's reads over zones in simulated time: the very same evidence, verdicts and choices.

Discrete events; one seed gives one run.  What is modelled, not run: the spread (a write reaches a process
after a number of gossip rounds, drawn from what was measured at 230 members), the council (a log with one
leader at a time, a decision costs a few ms, leaders die and are elected anew), and zones (so many units a
second, less while cold, refusing beyond).
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect
from collections import deque
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import accumulate, pairwise
from typing import Any, Protocol

from cressrock.consensus.decisions import Decision, Expired
from cressrock.failover import decision
from cressrock.failover.decision import FailoverDecision, ZoneState
from cressrock.failover.evaluation import EvaluationMemory, evaluate
from cressrock.failover.fleet_evidence import FleetEvidence
from cressrock.failover.reports import Origin
from cressrock.failover.routing import Route, Shed, ZoneRouter
from cressrock.failover.settings import FailoverSettings, ZoneSettings
from cressrock.failover.witnesses import ReportView, ZoneMember
from cressrock.interface import Outcome

PLACES = {"a1": "north", "a2": "north", "b1": "south"}
LOOK_MS = 250.0  # how often the leader looks
ROUND_MS = 200.0  # of gossip
# Of 77 writes made at once among 230 members, the part that one reader has, and after how many rounds:
# measured with `lab/spreadsim.py`, seeds 1 to 3, 5 % loss.
ROUNDS = ((0.0, 1.0), (0.04, 2.7), (0.1, 4.3), (0.2, 6.0), (0.5, 8.0), (1.0, 17.0))
HOLD_MS, RENEW_MS = 10000.0, 1000.0
DEADLINE_MS = 3000.0
FAR, FAR_ZONES = 0.1, ["a1", "a2"]  # part of the reads whose copies are in these zones only
HUNG_MS = 250.0  # until a connection is given up


@dataclass(slots=True)
class Site:
    """One zone's nodes as they are now."""

    capacity: float
    up: bool = True
    hung: bool = False  # away without a word, so that connections time out
    dead: float = 0.0  # part of the shards whose nodes are away
    lag_ms: float = 5.0
    cold_at: float = -1e18  # when they came up cold
    held: float = 0.0
    at: float = 0.0
    recent: deque[float] = field(default_factory=deque)
    over: float = 0.0  # most in any second over what cold nodes bear
    full: int = 0

    def bears(self, now: float, of: FailoverSettings) -> float:
        """Return units a second that the nodes bear."""
        grown = of.safe_start + (1 - of.safe_start) * min(1.0, (now - self.cold_at) / of.warm_ms)
        return self.capacity * (1 - self.dead) * grown

    def take(self, now: float, of: FailoverSettings) -> bool:
        """Take one unit; False: more than they bear."""
        bears = self.bears(now, of)
        if self.cold_at > 0 and now - self.cold_at < of.warm_ms:
            self.recent.append(now)
            while self.recent[0] <= now - 1000:
                self.recent.popleft()
            self.over = max(self.over, len(self.recent) / bears)
        self.held = min(bears * 0.2, self.held + bears * (now - self.at) / 1000)
        self.at = now
        if self.held < 1:
            self.full += 1
            return False
        self.held -= 1
        return True


class Chooser(Protocol):
    """What an edge asks where a read goes."""

    def route(
        self, zones: Sequence[str], units: float, reserved: bool, now_ms: float, home: str = ""
    ) -> Route | Shed:
        """Say where a read goes."""

    def record_attempt(
        self, zone: str, units: float, outcome: Outcome, now_ms: float, lag_ms: float = 0.0
    ) -> None:
        """Hear what came of it."""


class NoSpill:
    """For comparison: always near."""

    def __init__(self, here: str) -> None:
        """Stand in a zone."""
        self.here = here

    def route(
        self, zones: Sequence[str], units: float, reserved: bool, now_ms: float, home: str = ""
    ) -> Route | Shed:
        """Go near, or nowhere."""
        return Route(home, 0) if home in zones else Shed(1000.0, "no-copy")

    def record_attempt(
        self, zone: str, units: float, outcome: Outcome, now_ms: float, lag_ms: float = 0.0
    ) -> None:
        """Learn nothing."""


class AtOnce:
    """For comparison: each for itself; a zone that failed three times in a row is left for a second."""

    def __init__(self, here: str, source: random.Random, places: Mapping[str, str] = PLACES) -> None:
        """Stand in a zone."""
        self.here, self.source, self.places = here, source, places
        self.failed: dict[str, int] = {}
        self.until: dict[str, float] = {}

    def route(
        self, zones: Sequence[str], units: float, reserved: bool, now_ms: float, home: str = ""
    ) -> Route | Shed:
        """Go to the nearest zone that is not left, whatever it bears."""
        near = sorted(zones, key=lambda z: (z != home, self.places[z] != self.places[self.here], z))
        for zone in near:
            if now_ms >= self.until.get(zone, 0.0):
                return Route(zone, int(zone != home))
        return Route(near[0], int(near[0] != home))

    def record_attempt(
        self, zone: str, units: float, outcome: Outcome, now_ms: float, lag_ms: float = 0.0
    ) -> None:
        """Leave a zone that fails; come back in full after a second."""
        if outcome in (Outcome.NO_CONNECTION, Outcome.TIMEOUT, Outcome.RESET):
            self.failed[zone] = self.failed.get(zone, 0) + 1
            if self.failed[zone] >= 3:
                self.until[zone] = now_ms + 1000
                self.failed[zone] = 0
        else:
            self.failed[zone] = 0


@dataclass(slots=True)
class Edge:
    """One edge, its chooser, and what it can reach."""

    origin: Origin
    place: str
    choice: Any
    weight: float
    alive: bool = True
    seen: bool = True  # alive in the leader's view
    blind: set[str] = field(default_factory=set)  # zones that it cannot reach
    bad: float = 0.0  # of its attempts that fail, wherever they go
    cut: bool = False  # from council and spread
    heard: Decision | None = None
    heard_at: float = 0.0
    expired: bool = False


@dataclass(frozen=True, slots=True)
class Scene:
    """What happens: (ms, what to do with the simulation), and how long it lasts."""

    name: str
    events: tuple[tuple[float, Callable[[ZoneSim], None]], ...]
    length_ms: float
    losses: int  # zones that were lost in all
    window: tuple[float, float] = (0.0, 0.0)  # in which service is compared with the bound


class ZoneSim:
    """The fleet; `run` plays a scene."""

    def __init__(
        self,
        seed: int,
        *,
        edges: int = 230,
        capacity: float = 600.0,
        load: float = 0.6,
        policy: str = "decided",
        hold_ms: float = HOLD_MS,
        places: Mapping[str, str] = PLACES,
    ) -> None:
        """`load` is of all zones' capacity; `policy`: decided, none, at once; `places`: zone -> region."""
        self.places, self._places = dict(places), sorted(places)
        self.random = random.Random(f"{seed} zones")
        self.clients = self.random  # draws what clients ask; one of its own where two runs are compared
        self.policy, self.hold_ms = policy, hold_ms
        self.settings = FailoverSettings(
            zones={name: ZoneSettings(region=region, capacity=capacity) for name, region in places.items()},
            edges=edges,
        )
        self.now = 0.0
        self.sites = {name: Site(capacity) for name in places}
        self.edges = [self._edge(number) for number in range(edges)]
        self.rate = load * capacity * len(places)  # reads a second
        self.all = FleetEvidence(self.settings)
        self.memory = EvaluationMemory()
        self.leader = True
        self.standing: Decision | None = None
        self.number = 0
        self.decrees: list[tuple[float, FailoverDecision]] = []
        self.switches = 0
        self.tells = 0
        self._heap: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0
        # What any process would reckon from what it heard; once for all, as the leader holds it.
        self._sums_at, self._accused = 0.0, False
        self._loads: dict[str, float] = {}
        self.asked: list[int] = []  # by second
        self.served: list[int] = []
        self.near: list[int] = []
        self.bound: list[float] = []
        self._weigh()

    def _edge(self, number: int) -> Edge:
        place = self._places[number % len(self._places)]
        source = random.Random(self.random.getrandbits(60))
        choice: Any
        if self.policy == "decided":
            choice = ZoneRouter(place, self.places, self.settings, self.random.uniform(-500, 0), source)
        elif self.policy == "none":
            choice = NoSpill(place)
        else:
            choice = AtOnce(place, source, self.places)
        return Edge((f"e{number:03d}", 1), place, choice, self.random.uniform(1 / 1.6, 1.6))

    # --- what a scene does

    def lose(self, zone: str, *, hung: bool = False, edges: bool = False) -> None:
        """Take a zone's nodes away, and its edges too if asked."""
        site = self.sites[zone]
        site.up, site.hung = False, hung
        if edges:
            for edge in self.edges:
                if edge.place == zone:
                    edge.alive = False
                    self.after(3000.0 + self.random.uniform(0, 2000), self._unseen, edge)
            self.after(1000.0, self._weigh)  # their clients come by others

    def back(self, zone: str, *, cold: bool = True) -> None:
        """Bring a zone's nodes up again."""
        site = self.sites[zone]
        site.up = True
        if cold:
            site.cold_at = self.now
            site.recent.clear()
        site.held, site.at = 0.0, self.now

    def lead(self, on: bool) -> None:
        """Let the leader die, or another be elected, who remembers nothing."""
        self.leader = on
        self.memory = EvaluationMemory()

    def cut(self, one: str, other: str, on: bool = True) -> None:
        """Cut the edges of two zones from the nodes of the other."""
        for edge in self.edges:
            for here, there in ((one, other), (other, one)):
                if edge.place == here:
                    (edge.blind.add if on else edge.blind.discard)(there)

    def _unseen(self, edge: Edge) -> None:
        edge.seen = edge.alive

    def _weigh(self) -> None:
        self._living = [e for e in self.edges if e.alive]
        self._cum = list(accumulate(e.weight for e in self._living))

    # --- the run

    def after(self, wait_ms: float, call: Callable[..., None], *given: Any) -> None:
        """Plan a call."""
        self._count += 1
        heapq.heappush(self._heap, (self.now + wait_ms, self._count, call, given))

    def run(self, scene: Scene) -> None:
        """Play a scene to its end."""
        seconds = int(scene.length_ms // 1000) + 1
        self.asked, self.served, self.near = [0] * seconds, [0] * seconds, [0] * seconds
        self.bound = [0.0] * seconds
        for at, what in scene.events:
            self.after(at, what, self)
        self.after(0.0, self._arrive)
        self.after(0.0, self._second)
        if self.policy == "decided":
            self.after(0.0, self._look)
            self.after(0.0, self._renew)
            for edge in self.edges:
                self.after(self.random.uniform(0, 500), self._tell, edge)
        while self._heap and self._heap[0][0] <= scene.length_ms:
            self.now, _, call, given = heapq.heappop(self._heap)
            call(*given)

    def _second(self) -> None:
        index = int(self.now // 1000)
        up = sum(s.bears(self.now, self.settings) for s in self.sites.values() if s.up)
        if index < len(self.bound):
            self.bound[index] = up
        self.after(1000.0, self._second)

    def _arrive(self) -> None:
        draw = self.clients
        self.after(draw.expovariate(self.rate) * 1000, self._arrive)
        edge = self._living[bisect(self._cum, draw.random() * self._cum[-1])]
        self.asked[int(self.now // 1000)] += 1
        # Some volumes have copies in one region only; for edges elsewhere its first zone is their nearest.
        far = draw.random() < FAR
        zones = FAR_ZONES if far else self._places
        home = FAR_ZONES[0] if far and edge.place not in FAR_ZONES else edge.place
        self._ask(edge, zones, home, self.now, draw.random() < 0.1, draw.random(), False)

    def _ask(
        self, edge: Edge, zones: list[str], home: str, begun: float, reserved: bool, shard: float, again: bool
    ) -> None:
        if not edge.alive:
            return
        found = edge.choice.route(zones, 1.0, reserved, self.now, home)
        if isinstance(found, Shed):
            return
        site = self.sites[found.zone]
        outcome, lag = Outcome.OK, site.lag_ms * self.random.uniform(0.5, 1.5)
        if found.zone in edge.blind or self.random.random() < edge.bad or (not site.up and site.hung):
            outcome, lag = Outcome.NO_CONNECTION, HUNG_MS
        elif not site.up or shard < site.dead:
            outcome, lag = Outcome.NO_CONNECTION, 1.0
        elif not site.take(self.now, self.settings):
            outcome, lag = Outcome.FULL, 2.0
        self.after(lag, self._ended, edge, found, outcome, lag, zones, home, begun, reserved, shard, again)

    def _ended(
        self,
        edge: Edge,
        found: Route,
        outcome: Outcome,
        lag: float,
        zones: list[str],
        home: str,
        begun: float,
        reserved: bool,
        shard: float,
        again: bool,
    ) -> None:
        edge.choice.record_attempt(found.zone, 1.0, outcome, self.now, lag)
        if outcome is Outcome.OK and self.now - begun <= DEADLINE_MS:
            index = int(begun // 1000)
            self.served[index] += 1
            self.near[index] += found.zone == home
        elif outcome is Outcome.NO_CONNECTION and not again:
            # Nothing was sent: it may be offered once more, at another copy.
            self._ask(edge, [z for z in zones if z != found.zone], home, begun, reserved, shard, True)

    # --- spread and council

    def _delay(self) -> float:
        at = self.random.random()
        for (low, first), (high, last) in pairwise(ROUNDS):
            if at <= high:
                return ROUND_MS * (first + (last - first) * (at - low) / (high - low))
        return ROUND_MS * ROUNDS[-1][1]

    def _tell(self, edge: Edge) -> None:
        self.after(self.settings.beat_ms / 2, self._tell, edge)
        if not edge.alive:
            return
        self._lapse(edge)
        if not edge.cut and self.now >= self._sums_at:
            self._sums_at, self._loads = self.now + 1000, self.all.zone_loads(self.now)
            self._accused = self.all.is_any_zone_accused(self.now)
        edge.choice.update_zone_loads(self._loads)
        stir = edge.choice.wants_evidence() or (self._accused and not edge.cut)
        for change in edge.choice.evidence.due_updates(self.now, stir):
            self.tells += 1
            if not edge.cut:
                self.after(self._delay(), self._heard, edge.origin, change.key, change.value)

    def _lapse(self, edge: Edge) -> None:
        if edge.heard is not None and not edge.expired and self.now >= edge.heard_at + self.hold_ms:
            edge.expired = True
            edge.choice.apply_decision(decision.TOPIC, Expired(edge.heard, self.now), self.now)

    def _heard(self, origin: Origin, key: str, value: bytes | None) -> None:
        self.all.receive(origin, key, value, self.now)

    def _look(self) -> None:
        self.after(LOOK_MS, self._look)
        if not self.leader:
            return
        members = [ZoneMember(e.origin, e.place, e.seen, True) for e in self.edges]
        self.all.retain({e.origin for e in self.edges if e.seen})
        standing = decision.decode(self.standing.value) if self.standing is not None else None
        wanted = self._judge(members, standing)
        if wanted is not None:
            self.memory.record_decision(self.now)
            self.after(self.random.uniform(5, 50), self._decree, wanted, standing or FailoverDecision())

    def _judge(self, members: list[ZoneMember], standing: FailoverDecision | None) -> FailoverDecision | None:
        view = ReportView(self.settings, members, self.all, self.now)
        return evaluate(self.settings, members, view, standing, self.now, self.memory)

    def _decree(self, verdict: FailoverDecision, before: FailoverDecision) -> None:
        if not self.leader:
            return
        self.number += 1
        self.standing = Decision(decision.TOPIC, self.number, decision.encode(verdict), self.hold_ms)
        self.decrees.append((self.now, verdict))
        for entry in verdict.zones:
            was = before.for_zone(entry.zone).state
            lost = (ZoneState.EVACUATED, ZoneState.PARTITIONED)
            if entry.state in lost and was not in lost:
                self.switches += 1
        self._publish(self.standing)

    def _renew(self) -> None:
        self.after(RENEW_MS, self._renew)
        if self.leader and self.standing is not None:
            self._publish(self.standing)

    def _publish(self, decree: Decision) -> None:
        for edge in self.edges:
            if edge.alive and not edge.cut:
                self.after(self._delay(), self._reach, edge, decree)

    def _reach(self, edge: Edge, decree: Decision) -> None:
        if edge.cut or edge.heard is not None and decree.version < edge.heard.version:
            return
        news = edge.heard is None or decree.version > edge.heard.version or edge.expired
        edge.heard, edge.heard_at, edge.expired = decree, self.now, False
        if news:
            edge.choice.apply_decision(decision.TOPIC, decree, self.now)

    # --- what came of it

    def service(self, begin_ms: float, end_ms: float) -> float:
        """Return answers over the bound (what was asked, or all that is up bears if that is less)."""
        first, last = int(begin_ms // 1000), int(end_ms // 1000)
        bound = sum(min(self.asked[i], self.bound[i]) for i in range(first, last))
        return sum(self.served[first:last]) / max(1.0, bound)

    def nearness(self, begin_ms: float, end_ms: float) -> float:
        """Return the part of answers that came from the nearest zone that holds a copy."""
        first, last = int(begin_ms // 1000), int(end_ms // 1000)
        return sum(self.near[first:last]) / max(1, sum(self.served[first:last]))


def _do(name: str, *given: Any, **more: Any) -> Callable[[ZoneSim], None]:
    return lambda sim: getattr(sim, name)(*given, **more)


def _each(change: Callable[[ZoneSim], None]) -> Callable[[ZoneSim], None]:
    return change


def _set(zone: str, **values: float) -> Callable[[ZoneSim], None]:
    def change(sim: ZoneSim) -> None:
        for name, value in values.items():
            setattr(sim.sites[zone], name, value)

    return change


def _sick(bad: float) -> Callable[[ZoneSim], None]:
    def change(sim: ZoneSim) -> None:
        sim.edges[0].bad = bad

    return change


def _unlinked(on: bool) -> Callable[[ZoneSim], None]:
    def change(sim: ZoneSim) -> None:
        for edge in sim.edges:
            edge.cut = on and edge.place == "a1"

    return change


def scenes() -> dict[str, Scene]:
    """Return the scenes by name.  Zone a1 is the one in trouble; times in ms."""
    s = 1000.0
    found = [
        Scene("calm", (), 40 * s, 0, (5 * s, 40 * s)),
        Scene(
            "lost", ((10 * s, _do("lose", "a1")), (35 * s, _do("back", "a1"))), 70 * s, 1, (15 * s, 35 * s)
        ),
        Scene(
            "lost, hung",
            ((10 * s, _do("lose", "a1", hung=True)), (35 * s, _do("back", "a1"))),
            70 * s,
            1,
            (15 * s, 35 * s),
        ),
        Scene("lost with its edges", ((10 * s, _do("lose", "a1", edges=True)),), 40 * s, 1, (15 * s, 40 * s)),
        Scene(
            "lost, back, lost, back",
            (
                (10 * s, _do("lose", "a1")),
                (25 * s, _do("back", "a1")),
                (48 * s, _do("lose", "a1")),
                (60 * s, _do("back", "a1")),
            ),
            110 * s,
            2,
            (53 * s, 60 * s),
        ),
        Scene(
            "lost as the leader dies",
            (
                (10 * s, _do("lose", "a1")),
                (10.2 * s, _do("lead", False)),
                (12.2 * s, _do("lead", True)),
                (35 * s, _do("back", "a1")),
                (39 * s, _do("lead", False)),
                (41 * s, _do("lead", True)),
            ),
            75 * s,
            1,
            (15 * s, 35 * s),
        ),
        Scene(
            "half",
            ((10 * s, _set("a1", dead=0.5)), (35 * s, _set("a1", dead=0.0))),
            60 * s,
            0,
            (15 * s, 35 * s),
        ),
        Scene(
            "slow",
            ((10 * s, _set("a1", lag_ms=1500.0)), (35 * s, _set("a1", lag_ms=5.0))),
            70 * s,
            0,
            (15 * s, 35 * s),
        ),
        Scene(
            "cut between a1 and b1",
            ((10 * s, _do("cut", "a1", "b1")), (30 * s, _do("cut", "a1", "b1", False))),
            50 * s,
            0,
            (10 * s, 50 * s),
        ),
        Scene(
            "a1 seen only from inside",
            ((10 * s, _do("cut", "a1", "b1")), (10 * s, _do("cut", "a1", "a2"))),
            50 * s,
            0,
            (10 * s, 50 * s),
        ),
        Scene(
            "flapping",
            tuple(
                (t * s, _do("lose", "a1") if n % 2 == 0 else _do("back", "a1"))
                for n, t in enumerate((10, 16, 24, 32, 42, 49, 58, 66))
            ),
            100 * s,
            4,
            (10 * s, 100 * s),
        ),
        Scene("one bad network", ((10 * s, _sick(1.0)), (40 * s, _sick(0.6))), 70 * s, 0, (10 * s, 70 * s)),
        Scene(
            "no quorum",
            ((5 * s, _do("lead", False)), (10 * s, _do("lose", "a1")), (35 * s, _do("back", "a1"))),
            90 * s,
            1,
            (15 * s, 35 * s),
        ),
        Scene(
            "quorum lost after the zone",
            ((10 * s, _do("lose", "a1")), (20 * s, _do("lead", False)), (45 * s, _do("back", "a1"))),
            100 * s,
            1,
            (15 * s, 45 * s),
        ),
        Scene(
            "a day",
            (
                (10 * s, _do("lose", "a1")),
                (30 * s, _do("back", "a1")),
                (65 * s, _set("a2", dead=0.5)),
                (85 * s, _set("a2", dead=0.0)),
                (110 * s, _set("b1", lag_ms=1500.0)),
                (130 * s, _set("b1", lag_ms=5.0)),
                (165 * s, _do("cut", "a1", "b1")),
                (185 * s, _do("cut", "a1", "b1", False)),
                (200 * s, _sick(1.0)),
                (215 * s, _sick(0.0)),
                (230 * s, _do("lose", "b1")),
                (230.2 * s, _do("lead", False)),
                (232.2 * s, _do("lead", True)),
                (250 * s, _do("back", "b1")),
            ),
            300 * s,
            2,
            (15 * s, 300 * s),
        ),
        Scene(
            "its edges cut from the council",
            (
                (9 * s, _unlinked(True)),
                (10 * s, _do("lose", "a1")),
                (30 * s, _unlinked(False)),
                (40 * s, _do("back", "a1")),
            ),
            80 * s,
            1,
            (15 * s, 40 * s),
        ),
    ]
    return {scene.name: scene for scene in found}
