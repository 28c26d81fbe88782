"""Evidence by collectors at the size that is coming: hollow edges and collectors in simulated time.

`CollectSim` is `ZoneSim` (the same edges, clients, zones, council and verdicts) with what was drawn replaced
by what runs: every edge has a `Teller`, six machines have a `Collect` each, and between them go the very
bytes of the fleet's datagrams, with delay and loss.  One seed gives one run.

Modelled, not run: the members (a dead process is alive for others for 3 to 5 s; one table for all), the
council (as in `ZoneSim`), and a decree's way down by the spread, drawn from what `Descent` measures at this
size: as many spreads in rounds of gossip, with the seats' entries in them and nobody else's.
"""

from __future__ import annotations

import math
import random
import statistics
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from cressrock.aggregation import messages as w
from cressrock.aggregation.collector import ReportCollector
from cressrock.aggregation.members import MemberInfo
from cressrock.aggregation.messages import OutgoingMessage
from cressrock.aggregation.ranking import CollectorId
from cressrock.aggregation.sender import ReportSender
from cressrock.aggregation.timings import AggregationTimings
from cressrock.consensus import decision_gossip
from cressrock.consensus import decisions as d
from cressrock.errors.aggregation import AggregationError
from cressrock.errors.failover import FailoverError
from cressrock.failover import decision
from cressrock.failover.decision import FailoverDecision
from cressrock.failover.evaluation import evaluate
from cressrock.failover.summarizer import ReportSummarizer
from cressrock.failover.summary import SummaryView, decode_zone_loads
from cressrock.failover.witnesses import ZoneMember
from cressrock.gossip.settings import GossipStoreSettings
from cressrock.gossip.store import GossipStore
from cressrock.lab.zonesim import PLACES, ROUND_MS, Edge, ZoneSim
from cressrock.membership import packets as m

CLUSTER = "cressrock"
SIX = {"a1": "north", "a2": "north", "a3": "north", "b1": "south", "b2": "south", "b3": "south"}
MACHINES, SEATS = 6, 5  # set aside for control; a council has five seats at most
NEAR_MS, FAR_MS = (0.2, 3.0), (10.0, 25.0)  # one way, within a region and between two
GONE_MS = (3000.0, 5000.0)  # after its death a process is gone for others


@dataclass(slots=True)
class Machine:
    """One machine of the control: a collector, and a seat of the council if it is one of the first five."""

    name: str
    region: str
    life: int
    collect: ReportCollector
    sums: ReportSummarizer
    up: bool = True
    stopped_until: float = 0.0
    waiting: list[tuple[str, int, bytes]] = field(default_factory=list)
    accepted: dict[str, list[float]] = field(default_factory=dict)  # by zone: when words were put, not summed
    summed: dict[str, list[tuple[int, list[float]]]] = field(default_factory=dict)  # by zone: summary, words
    cpu_ms: dict[str, float] = field(default_factory=dict)  # by zone of the teller; "" the ticks
    sent: int = 0
    received: int = 0
    datagrams: int = 0


@dataclass(slots=True)
class Meter:
    """What one edge's control cost."""

    sent: int = 0
    received: int = 0
    datagrams: int = 0


class CollectSim(ZoneSim):
    """The fleet with collectors; `run` plays a scene of `zonesim`."""

    def __init__(
        self,
        seed: int,
        *,
        edges: int = 230,
        capacity: float = 600.0,
        load: float = 0.6,
        places: Mapping[str, str] = PLACES,
        loss: float = 0.01,
        rounds: list[float] | None = None,
        cpu: Callable[[], float] | None = None,
        machines: int = MACHINES,
    ) -> None:
        """`rounds`: sorted gossip rounds of a decree's way down, to be drawn from (without: as `ZoneSim`).

        `cpu`: a clock in ms of processor time.
        """
        super().__init__(seed, edges=edges, capacity=capacity, load=load, places=places)
        self.times = AggregationTimings(
            min_update_interval_ms=self.settings.beat_ms, renewal_interval_ms=self.settings.calm_ms
        )
        self.loss, self.rounds = loss, rounds
        self.cpu = cpu or (lambda: 0.0)
        self.net = random.Random(f"{seed} network")
        regions = sorted(set(places.values()))
        self.machines: dict[str, Machine] = {}
        for number in range(machines):
            self._machine(f"m{number}", regions[number % len(regions)], 1)
        self.seats = [f"m{n}" for n in range(min(machines, SEATS))]
        self.lead_by = "m0"
        self.apart = False  # the regions cannot reach each other
        self.tellers: dict[str, ReportSender] = {}
        self.meters: dict[str, Meter] = {}
        self.by_name: dict[str, Edge] = {}
        for edge in self.edges:
            name = edge.origin[0]
            source = random.Random(self.net.getrandbits(60))
            self.tellers[name] = ReportSender(edge.place, self.times, source, self.net.uniform(0, 500))
            self.meters[name] = Meter()
            self.by_name[name] = edge
        self.put_at: dict[tuple[str, str, int], float] = {}
        self.at_verdict: list[tuple[float, float]] = []  # when a word was put; until a verdict had it
        self.reached: dict[int, list[float]] = {}  # by decree: when each edge had it
        self.decided_at: dict[int, float] = {}
        self.teller_cpu_ms = 0.0
        self.collectors: tuple[CollectorId, ...] = ()
        self._dirty = True
        self._down: dict[bytes, dict[str, float]] = {}
        self._roster()

    # --- what a scene does

    def kill(self, name: str) -> None:
        """End a collector's machine; its seat goes with it, and the lead to another."""
        machine = self.machines[name]
        machine.up = False
        self.after(self.net.uniform(*GONE_MS), self._gone, name, machine.life)
        if name == self.lead_by:
            self.lead(False)
            self.after(2000.0, self._elect)

    def start(self, name: str) -> None:
        """Start a machine again, in a new life."""
        old = self.machines[name]
        self._machine(name, old.region, old.life + 1)
        self.after(self.net.uniform(500, 1500), self._mark)

    def stop(self, name: str, ms: float) -> None:
        """Let a machine neither receive nor tick for a time; what comes waits."""
        self.machines[name].stopped_until = self.now + ms
        self.after(ms, self._resume, name)
        if name == self.lead_by:
            self.lead(False)
            self.after(2000.0, self._elect)

    def _resume(self, name: str) -> None:
        machine = self.machines[name]
        waiting, machine.waiting = machine.waiting, []
        for sender, life, data in waiting:
            self._hand(name, sender, life, data)

    def _elect(self) -> None:
        up = [n for n in self.seats if self.machines[n].up and self.now >= self.machines[n].stopped_until]
        if 2 * len(up) > len(self.seats):
            self.lead_by = up[0]
            self.lead(True)

    def _gone(self, name: str, life: int) -> None:
        machine = self.machines[name]
        if not machine.up and machine.life == life:
            machine.cpu_ms.setdefault("gone", 0.0)
            self._mark()

    def _mark(self) -> None:
        self._dirty = True

    def _unseen(self, edge: Edge) -> None:
        super()._unseen(edge)
        self._dirty = True

    # --- members

    def _machine(self, name: str, region: str, life: int) -> None:
        sums = ReportSummarizer(self.settings)
        self.machines[name] = Machine(
            name, region, life, ReportCollector((name, life), self.times, sums, self.now), sums
        )
        self.after(self.net.uniform(0, self.times.summary_interval_ms), self._collect, name, life)

    def _roster(self) -> None:
        """Take the members anew, at most once in a look: everybody's view, in one table."""
        if not self._dirty:
            return
        self._dirty = False
        up = [mc for mc in self.machines.values() if mc.up or "gone" not in mc.cpu_ms]
        self.collectors = tuple(sorted((mc.name, mc.life) for mc in up))
        peers = [MemberInfo(*e.origin, e.place, True, True, True, False) for e in self.edges if e.seen]
        peers += [MemberInfo(mc.name, mc.life, mc.region, True, True, False, True) for mc in up]
        for machine in self.machines.values():
            if machine.up:
                machine.collect.update_members(peers, self.seats)
        for edge in self.edges:
            if edge.alive:
                self.tellers[edge.origin[0]].update_collectors(self.collectors)

    # --- the network

    def _region(self, name: str) -> str:
        machine = self.machines.get(name)
        return machine.region if machine is not None else self.places[self.by_name[name].place]

    def _send(self, name: str, life: int, sends: list[OutgoingMessage]) -> int:
        """Send datagrams; returns their bytes."""
        size = 0
        here = self._region(name)
        for out in sends:
            data = m.encode(CLUSTER, name, life, m.CollectorMessage(w.encode(out.message)))
            size += len(data)
            there = self._region(out.recipient)
            far = here != there
            if self.net.random() < self.loss or far and self.apart:
                continue
            low, high = FAR_MS if far else NEAR_MS
            self.after(self.net.uniform(low, high), self._hand, out.recipient, name, life, data)
        return size

    def _hand(self, to: str, sender: str, life: int, data: bytes) -> None:
        machine = self.machines.get(to)
        if machine is None:
            self._answered(to, sender, life, data)
            return
        if not machine.up:
            return
        if self.now < machine.stopped_until:
            machine.waiting.append((sender, life, data))
            return
        machine.received += len(data)
        began = self.cpu()
        body = m.decode(data, CLUSTER).body
        assert isinstance(body, m.CollectorMessage)
        message = w.decode(body.data)
        answers = machine.collect.receive(self.now, sender, life, message)
        size = self._send(to, machine.life, answers)
        spent = self.cpu() - began
        edge = self.by_name.get(sender)
        zone = edge.place if edge is not None else ""
        machine.cpu_ms[zone] = machine.cpu_ms.get(zone, 0.0) + spent
        if spent:
            machine.collect.record_cost(1, spent)
        machine.sent += size
        machine.datagrams += len(answers)
        if isinstance(message, w.Report) and answers:
            for entry in message.entries:
                at = self.put_at.pop((sender, entry.key, entry.version), None)
                if at is not None:
                    machine.accepted.setdefault(zone, []).append(at)

    def _answered(self, name: str, sender: str, life: int, data: bytes) -> None:
        edge, meter = self.by_name[name], self.meters[name]
        if not edge.alive or edge.cut:
            return
        meter.received += len(data)
        began = self.cpu()
        body = m.decode(data, CLUSTER).body
        assert isinstance(body, m.CollectorMessage)
        message = w.decode(body.data)
        if isinstance(message, w.ReportAck) and self.tellers[name].receive(self.now, sender, life, message):
            self._tick(edge)
        self.teller_cpu_ms += self.cpu() - began

    # --- edges

    def _tell(self, edge: Edge) -> None:
        self.after(self.settings.beat_ms / 2, self._tell, edge)
        if not edge.alive:
            return
        self._lapse(edge)
        name = edge.origin[0]
        teller = self.tellers[name]
        began = self.cpu()
        edge.choice.update_zone_loads(self._loads_of(teller.broadcast))
        stir = edge.choice.wants_evidence() or teller.is_evidence_requested(self.now)
        for change in edge.choice.evidence.due_updates(self.now, stir, teller.update_interval_ms()):
            try:
                teller.put(change.key, change.value, self.now)
            except AggregationError:
                continue
            self.tells += 1
            self.put_at[name, change.key, teller.version_of(change.key)] = self.now
        self._tick(edge)
        self.teller_cpu_ms += self.cpu() - began

    def _loads_of(self, down: bytes) -> dict[str, float]:
        if not down:
            return {}
        found = self._down.get(down)
        if found is None:
            try:
                found = decode_zone_loads(down)
            except FailoverError:
                found = {}
            if len(self._down) > 1000:
                self._down.clear()
            self._down[down] = found
        return found

    def _tick(self, edge: Edge) -> None:
        if not edge.alive:
            return
        name = edge.origin[0]
        teller, meter = self.tellers[name], self.meters[name]
        sends = teller.tick(self.now)
        if sends and not edge.cut:
            meter.datagrams += len(sends)
            meter.sent += self._send(name, edge.origin[1], sends)
        due = teller.next_due_ms()
        if self.now < due < self.now + self.settings.beat_ms / 2:
            self.after(due - self.now + 0.01, self._tick, edge)

    # --- collectors

    def _collect(self, name: str, life: int) -> None:
        machine = self.machines[name]
        if machine.life != life or not machine.up:
            return
        self.after(self.times.summary_interval_ms, self._collect, name, life)
        if self.now < machine.stopped_until:
            return
        self._roster()
        began = self.cpu()
        standing = decision.decode(self.standing.value) if self.standing is not None else None
        machine.sums.apply_decision(standing, self.now)
        sends = machine.collect.tick(self.now)
        size = self._send(name, life, sends)
        machine.cpu_ms[""] = machine.cpu_ms.get("", 0.0) + self.cpu() - began
        machine.sent += size
        machine.datagrams += len(sends)
        for zone, words in machine.accepted.items():
            newest = machine.collect.summaries.newest(zone, (name, life))
            if words and newest is not None:
                machine.summed.setdefault(zone, []).append((newest.number, words))
        machine.accepted = {}

    def _judge(self, members: list[ZoneMember], standing: FailoverDecision | None) -> FailoverDecision | None:
        machine = self.machines[self.lead_by]
        if not machine.up or self.now < machine.stopped_until:
            return None
        chosen = machine.collect.summaries.current(self.now)
        for zone, taken in chosen.items():
            by = self.machines[taken.collector[0]]
            waiting = by.summed.get(zone, [])
            while waiting and waiting[0][0] <= taken.summary.number:
                for at in waiting.pop(0)[1]:
                    self.at_verdict.append((at, self.now - at))
        parts = {zone: taken.summary.sums for zone, taken in chosen.items()}
        tellers = {zone: taken.summary.senders for zone, taken in chosen.items()}
        began = self.cpu()
        view = SummaryView(self.settings, members, parts, tellers)
        found = evaluate(self.settings, members, view, standing, self.now, self.memory)
        machine.cpu_ms["verdict"] = machine.cpu_ms.get("verdict", 0.0) + self.cpu() - began
        return found

    # --- a decree's way down

    def _delay(self) -> float:
        if self.rounds is None:
            return super()._delay()
        return ROUND_MS * self.rounds[self.random.randrange(len(self.rounds))] * self.random.uniform(0.9, 1)

    def _decree(self, verdict: FailoverDecision, before: FailoverDecision) -> None:
        if self.leader:
            self.decided_at[self.number + 1] = self.now
        super()._decree(verdict, before)

    def _reach(self, edge: Edge, decree: d.Decision) -> None:
        had = edge.heard.version if edge.heard is not None else 0
        super()._reach(edge, decree)
        if edge.heard is not None and edge.heard.version > had and edge.alive:
            for number in range(had + 1, edge.heard.version + 1):
                self.reached.setdefault(number, []).append(self.now)

    def in_force_ms(self) -> list[float]:
        """Return, over all decrees and edges, how long after the decision one had it."""
        return [
            at - self.decided_at[number]
            for number, times in sorted(self.reached.items())
            if number in self.decided_at
            for at in times
        ]


class Descent:
    """Decrees' way down: as many spreads as there are members, in rounds as of `gossip.anti_entropy`.

    Only the seats write: each tells each decree, the leader a new beat each second, as `council.news` tells
    them.  Rounds are as in `lab.spreadsim`: messages of a round are made before any of them is taken in.
    """

    def __init__(self, members: int, seed: int, *, fan: int = 3, loss: float = 0.01, topics: int = 6) -> None:
        """`topics`: decrees that stand; one is changed by `play`."""
        self.source = random.Random(f"{seed} descent")
        self.fan, self.loss = fan, loss
        settings = GossipStoreSettings(max_origins=1 << 16)
        self.spreads = [
            GossipStore(f"p{n:04d}", 1_790_000_000_000 + n, settings, random.Random(seed * 1_000_000 + n))
            for n in range(members)
        ]
        self.seats = self.spreads[:SEATS]
        self.tellings = max(1, math.ceil(settings.retransmit_factor * math.log2(members + 1)))
        for spread in self.spreads:
            # Who writes nothing needs no place in anybody's table; the count of members sets the tellings.
            spread.retain_origins([s.local for s in self.seats])
            spread.broadcasts.max_transmissions = lambda: self.tellings  # type: ignore[method-assign]
        self.tellers = [decision_gossip.DecisionPublisher(settings.max_value_bytes - 32) for _ in self.seats]
        self.standing = {
            f"t{n}": d.Decision(f"t{n}", n + 1, b"v" * 200, 10000.0, "", 1 << 32) for n in range(topics)
        }
        self.beat = 1 << 32
        self.bytes = 0
        self.rounds = 0
        self.sent_bytes_s = 0.0  # in calm, by each

    def renew(self) -> None:
        """Let the seats tell what stands, and the leader a new beat."""
        self.beat += 1
        for number, (spread, teller) in enumerate(zip(self.seats, self.tellers, strict=True)):
            for change in teller.publish(self.standing.values(), 0 if number else self.beat):
                if change.value is None:
                    spread.remove(change.key)
                else:
                    spread.put(change.key, change.value)

    def round(self) -> None:
        """Carry one round of everybody."""
        if self.rounds % 5 == 0:
            self.renew()
        self.rounds += 1
        count = len(self.spreads)
        rumours: list[tuple[int, bytes]] = []
        asked: list[tuple[int, int, bytes]] = []
        for number, spread in enumerate(self.spreads):
            for _ in range(self.fan):
                data = spread.recent_changes(1100)
                if not data:
                    break
                self.bytes += len(data)
                if self.source.random() >= self.loss:
                    rumours.append((self._peer(number, count), data))
            data = spread.digest(1100)
            self.bytes += len(data)
            if data and self.source.random() >= self.loss:
                asked.append((number, self._peer(number, count), data))
        for to, data in rumours:
            self.spreads[to].merge(data)
        answers: list[tuple[int, bytes]] = []
        for number, peer, data in asked:
            for delta in self.spreads[peer].deltas(data, 1100, 4):
                self.bytes += len(delta)
                if self.source.random() >= self.loss:
                    answers.append((number, delta))
        for to, data in answers:
            self.spreads[to].merge(data)

    def _peer(self, number: int, count: int) -> int:
        peer = self.source.randrange(count - 1)
        return peer + (peer >= number)

    def play(self, warm: int = 100, calm: int = 20, most: int = 60) -> list[float]:
        """Return, sorted, after how many rounds each member has a decree that is changed in calm."""
        for _ in range(warm):
            self.round()
        self.bytes = 0
        for _ in range(calm):
            self.round()
        self.sent_bytes_s = self.bytes / len(self.spreads) / (calm * ROUND_MS / 1000)
        begun = self.rounds
        old = self.standing["t0"]
        self.standing["t0"] = d.Decision("t0", 1000, b"w" * 200, old.lease_ms, "", self.beat)
        key = f"{decision_gossip.DECISION_PREFIX}t0"
        # Told at once when decided, not with the next beat.
        for spread, teller in zip(self.seats, self.tellers, strict=True):
            for change in teller.publish(self.standing.values(), 0):
                spread.put(change.key, change.value or b"")
        left, found = set(range(len(self.spreads))), []
        while left and self.rounds - begun < most:
            self.round()
            had = {n for n in left if self._has(self.spreads[n], key)}
            found += [float(self.rounds - begun)] * len(had)
            left -= had
        found += [math.inf] * len(left)
        return found

    @staticmethod
    def _has(spread: GossipStore, key: str) -> bool:
        for value in spread.values(key).values():
            if value and d.decode_decision(value).version == 1000:
                return True
        return False


def part(values: list[float], share: float) -> float:
    """Return the value that this share of all does not pass."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, max(0, math.ceil(share * len(ordered)) - 1))] if ordered else 0.0


def figures(sim: CollectSim, seconds: float, lost_at: float | None = None, lost: str = "") -> dict[str, Any]:
    """Return what a run came to; `lost_at`: when a zone (`lost`) was lost, in ms."""
    living = [e.origin[0] for e in sim.edges if e.alive]
    sent = [sim.meters[n].sent / seconds for n in living]
    both = [(sim.meters[n].sent + sim.meters[n].received) / seconds for n in living]
    machines = list(sim.machines.values())
    zones: dict[str, float] = {}
    for machine in machines:
        words = {z: ms for z, ms in machine.cpu_ms.items() if z in sim.places}
        total = sum(words.values())
        ticks = machine.cpu_ms.get("", 0.0)
        for zone, ms in words.items():
            zones[zone] = zones.get(zone, 0.0) + ms + ticks * ms / max(total, 1e-9)
    gone = [
        (at, entry.zone)
        for at, verdict in sim.decrees
        for entry in verdict.zones
        if entry.state == decision.ZoneState.EVACUATED
    ]
    away = [at for at, zone in gone if zone == lost]
    lead = sim.machines[sim.lead_by]
    found: dict[str, Any] = {
        "sent_bytes_s": statistics.mean(sent),
        "sent_bytes_s_p99": part(sent, 0.99),
        "both_bytes_s": statistics.mean(both),
        "datagrams_s": statistics.mean(sim.meters[n].datagrams / seconds for n in living),
        "collector_sent_bytes_s": max(mc.sent / seconds for mc in machines),
        "collector_received_bytes_s": max(mc.received / seconds for mc in machines),
        "collector_datagrams_s": max(mc.datagrams / seconds for mc in machines),
        "leader_received_bytes_s": lead.received / seconds,
        "zone_core": max(zones.values(), default=0.0) / 1000 / seconds,
        "verdict_core": max(mc.cpu_ms.get("verdict", 0.0) for mc in machines) / 1000 / seconds,
        "process_core": sim.teller_cpu_ms / 1000 / seconds / len(sim.edges),
        "at_verdict_ms_p99": part([ms for _, ms in sim.at_verdict], 0.99),
        "in_force_ms_p99": part(sim.in_force_ms(), 0.99) if sim.reached else None,
        "given_up_ms": (min(away) - lost_at) if away and lost_at is not None else None,
        "sound_given_up": len({zone for _, zone in gone if zone != lost}),
        "decrees": len(sim.decrees),
    }
    return found


def turns(sim: ZoneSim) -> list[tuple[float, tuple[tuple[str, int, int, tuple[str, ...]], ...]]]:
    """Return what stood of the zones, each time it changed, and when; room and losses aside."""
    found: list[tuple[float, tuple[tuple[str, int, int, tuple[str, ...]], ...]]] = []
    for at, verdict in sim.decrees:
        entries = tuple(
            (e.zone, e.state, e.share, tuple(e.blind_zones))
            for e in verdict.zones
            if e.state != decision.ZoneState.LOCAL
        )
        if not found or found[-1][1] != entries:
            found.append((at, entries))
    return found
