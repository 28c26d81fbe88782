"""Example messages and seeded streams of the collectors, shared by the recording program and the test.

Results are written as their wire bytes where they have any, and as plain lists elsewhere, so that a digest
holds no name of a class or a field.
"""

from __future__ import annotations

import json
import math
import random
from collections.abc import Collection, Mapping
from typing import Any

import anyio

from cressrock.aggregation import messages
from cressrock.aggregation.channel import ChannelSettings, EvidenceChannel
from cressrock.aggregation.collector import ReportCollector
from cressrock.aggregation.delivery import DeliveryMode, derive_max_gossip_senders, gossip_interval_ms
from cressrock.aggregation.members import MemberInfo
from cressrock.aggregation.messages import (
    Handover,
    HandoverAck,
    HeldEntry,
    OutgoingMessage,
    Report,
    ReportAck,
    ReportEntry,
    ZoneSummary,
)
from cressrock.aggregation.ranking import rank_collectors
from cressrock.aggregation.sender import ReportSender
from cressrock.aggregation.summaries import MergedSummaries
from cressrock.aggregation.summarizer import SummarizerRegistry
from cressrock.aggregation.timings import AggregationTimings
from cressrock.errors.aggregation import AggregationError
from cressrock.errors.gossip import OriginFullError
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member
from tests.compatibility import collect_virtual as virtual
from tests.compatibility.canonical import Digest
from tests.compatibility.collect_virtual import now_ms

Origin = tuple[str, int]

# --- wire


def examples() -> dict[str, messages.AnyMessage]:
    """Return messages by name."""
    entries = [
        ReportEntry("zones/0", 3, b"v"),
        ReportEntry("zones/1", 4, None, 12.5),
        ReportEntry("k" * 64, 2**53, b"\xff" * 640, 1e12),
    ]
    return {
        "report": Report(7, entries),
        "report, empty": Report(2**53),
        "answer": ReportAck([7, 8], 9, True, 1.5, 500.0, True, b"down"),
        "answer, defaults": ReportAck([], 0, False, 0.0, 0.0),
        "handover": Handover(
            3, "a", [HeldEntry("e1", 5, entries[0]), HeldEntry("n" * 64, 2**53, entries[1])]
        ),
        "handover, empty": Handover(0, "", []),
        "handover's answer": HandoverAck(3),
        "summary": ZoneSummary("a", 1, 2, 1, 3, 4.5, ["e8", "e9"], {"zones/a": b"r", "rollout/0": b""}, 0, 2),
        "summary, defaults": ZoneSummary("z" * 64, 2**53, 0, 0, 0, 0.0, [], {}),
    }


# What other programs may send: older ones leave the last elements out, newer ones append some.
FOREIGN = {
    "report, short": ("01920107", Report(7)),
    "report, short entry": ("01930107" + "9193a16b01c40176", Report(7, [ReportEntry("k", 1, b"v")])),
    "report, newer": ("0194010790c0", Report(7, [])),
    "report, newer entry": ("0193010791" + "95a16b01c000c3", Report(7, [ReportEntry("k", 1, None, 0)])),
    "answer, short": ("01960290" + "01c30203", ReportAck([], 1, True, 2, 3)),
    "answer, newer": ("0199029001c30203c2c400c0", ReportAck([], 1, True, 2, 3)),
    "handover's answer, newer": ("01930405c0", HandoverAck(5)),
    "summary, short": ("019905a1610102010304" + "9080", ZoneSummary("a", 1, 2, 1, 3, 4, [], {})),
}

# Bytes that are no message, nor what comes down.
UNREADABLE = [
    "",
    "01",
    "02",
    "0290",
    "01c1",
    "019163",
    "019301ff90",
    "01" + "91" * 3000,
    "0193010791a0",
    "01a161",
    "81a16b",
    "81a16bff",
    "ff",
]

DOWN = {"empty": {}, "rooms": {"zones": b"\x01\x91\x80", "rollout": b""}}


def refusals() -> list[list[str]]:
    """Return, for each of UNREADABLE, the error code as a message and as what comes down, or ""."""
    found = []
    for data in UNREADABLE:
        codes = []
        for read in (messages.decode, messages.decode_broadcast):
            try:
                read(bytes.fromhex(data))
                codes.append("")
            except AggregationError as error:
                codes.append(error.code)
        found.append(codes)
    return found


def sizes() -> list[int]:
    """Return the bytes that elements take."""
    entries = [ReportEntry("k", 1, None), ReportEntry("zones/0", 70000, b"x" * 300, 12.5)]
    return [messages.encoded_size(e) for e in entries] + [
        messages.encoded_size(HeldEntry("e1", 1, e)) for e in entries
    ]


# --- decisions


class Listing:
    """A summarizer whose sums say everything: who said what last."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self.said: dict[Origin, dict[str, tuple[str | None, float]]] = {}

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Keep an entry."""
        self.said.setdefault(origin, {})[key] = (value.hex() if value is not None else None, at_ms)
        return True

    def forget(self, origin: Origin) -> None:
        """Forget an origin."""
        self.said.pop(origin, None)

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return all that is kept of these origins, in parts of one origin each."""
        return {
            f"{name}@{life}": json.dumps(sorted(self.said[name, life].items())).encode()
            for name, life in sorted(origins)
            if (name, life) in self.said
        }

    def broadcast(self, parts: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Ask for evidence in every third second."""
        return int(now_ms // 1000) % 3 == 0, f"{sorted(parts)} {int(now_ms // 2000)}".encode()


def pure_rules() -> list[Any]:
    """Return ranks of collectors and the derived limits."""
    collectors = [(f"p{n}", n % 3) for n in range(7)]
    return [
        [list(map(list, rank_collectors(zone, collectors))) for zone in ("", "a", "zone-b", "ü")],
        [derive_max_gossip_senders(renew) for renew in (1000.0, 10000.0, 60000.0)],
        [derive_max_gossip_senders(10000.0, changes) for changes in (0.0, 0.1, 5.0)],
        [gossip_interval_ms(n, 40.0, 10000.0) for n in (0, 1, 230, 400, 401, 4800)],
    ]


def ways(seed: int) -> str:
    """Return the digest of which way evidence takes while members come and go."""
    source = random.Random(seed)
    way, digest, now = DeliveryMode(source.choice([1, 20, 38]), 10000.0), Digest(), 0.0
    tellers, collectors, dumb = 10, 3, ()
    for _ in range(400):
        now += source.choice([250.0, 500.0, 3000.0])
        if source.random() < 0.1:
            tellers = source.choice([0, 1, 5, 18, 25, 60, 230])
            collectors, dumb = (
                source.choice([0, 3, 3, 3]),
                source.choice([(), (), (), ("p2", "p0", "p1", "p3")]),
            )
        digest.add([way.update(now, tellers, collectors, dumb), way.reason, way.collecting])
    return digest.hex()


def _sent(outs: list[OutgoingMessage]) -> list[Any]:
    return [[out.recipient, messages.encode(out.message)] for out in outs]


def _summary(source: random.Random, number: int) -> ZoneSummary:
    pieces = source.choice([1, 1, 2, 3])
    return ZoneSummary(
        source.choice("ab"),
        number,
        source.randrange(9),
        source.randrange(9),
        9,
        source.uniform(0, 99),
        ["e1"],
        {f"k{source.randrange(3)}": bytes([source.randrange(256)])},
        source.randrange(pieces),
        pieces,
    )


def merged(seed: int) -> str:
    """Return the digest of collectors' summaries, merged."""
    source = random.Random(seed)
    view, digest, now = MergedSummaries(AggregationTimings()), Digest(), 0.0
    collectors = [("p0", 1), ("p1", 1), ("p1", 2)]
    for step in range(250):
        now += source.choice([0.0, 50.0, 250.0, 900.0 if source.random() < 0.2 else 0.0])
        view.receive(now, source.choice(collectors), _summary(source, step // 6 + source.randrange(3)))
        if source.random() < 0.02:
            view.retain(source.sample(collectors, 2))
        digest.add(
            [
                [zone, list(t.collector), t.received_at_ms, messages.encode(t.summary)]
                for zone, t in sorted(view.current(now).items())
            ]
        )
        digest.add(
            [view.has_others(("p0", 1)), sorted((z, sorted(p.items())) for z, p in view.sums(now).items())]
        )
    return digest.hex()


class Collectors:
    """Three collectors and a network that loses, doubles and reorders; tellers tell whatever is drawn."""

    def __init__(self, seed: int) -> None:
        """Draw members and zones."""
        self.source = source = random.Random(seed)
        self.digest, self.now = Digest(), 0.0
        self.loss = source.choice([0.0, 0.1, 0.4])
        self.lives = {f"e{n}": 1 for n in range(source.randint(1, 24))}
        self.zone_of = {name: source.choice("abc") for name in self.lives}
        self.numbers = dict.fromkeys(self.lives, 0)
        self.alive = set(self.lives)
        self.names = ("p0", "p1", "p2")
        self.collects = {"p0", "p1"}
        self.collectors: dict[str, ReportCollector] = {}
        for name in self.names:
            folds = SummarizerRegistry()
            folds.add("listing", Listing())
            self.collectors[name] = ReportCollector((name, 1), AggregationTimings(), folds, 0.0)
        self.roster()

    def roster(self) -> None:
        """Tell all collectors of the members."""
        peers = [
            MemberInfo(
                name, life, self.zone_of[name], name in self.alive, self.source.random() < 0.98, True, False
            )
            for name, life in self.lives.items()
        ]
        peers += [MemberInfo(name, 1, "x", True, True, False, name in self.collects) for name in self.names]
        for collector in self.collectors.values():
            collector.update_members(peers, self.names)

    def _carry(self, sender: str, outs: list[OutgoingMessage]) -> None:
        self.digest.add([sender, _sent(outs)])
        todo = [(sender, out) for out in outs]
        while todo:
            name, out = todo.pop(self.source.randrange(len(todo)))
            if out.recipient not in self.collectors or self.source.random() < self.loss:
                continue
            for _ in range(1 + (self.source.random() < 0.1)):
                message = messages.decode(messages.encode(out.message))
                answers = self.collectors[out.recipient].receive(self.now, name, 1, message)
                self.digest.add(_sent(answers))
                todo += [(out.recipient, answer) for answer in answers]

    def _tell(self) -> None:
        source = self.source
        name = source.choice(sorted(self.lives))
        entries = []
        for _ in range(source.choice([0, 1, 1, 3])):
            self.numbers[name] += 1
            value = source.choice([None, b"v", bytes([source.randrange(256)]) * source.randrange(500)])
            number = max(1, self.numbers[name] - source.choice([0, 0, 0, 2]))
            entries.append(
                ReportEntry(f"k{source.randrange(4)}", number, value, source.choice([0.0, 0.0, 700.0]))
            )
        life = self.lives[name] - (source.random() < 0.05)
        to = source.choice(sorted(self.collectors))
        self.digest.add(
            _sent(self.collectors[to].receive(self.now, name, life, Report(self.numbers[name], entries)))
        )

    def _change(self) -> None:
        source = self.source
        if source.random() < 0.04:
            name = source.choice(sorted(self.lives))
            self.alive.symmetric_difference_update({name})
            if source.random() < 0.5:
                self.lives[name] += 1
            self.zone_of[name] = source.choice([self.zone_of[name], self.zone_of[name], *"abc"])
            self.roster()
        if source.random() < 0.02:
            self.collects.symmetric_difference_update({source.choice(self.names)})
            self.roster()
        if source.random() < 0.01:
            self.now += 3000.0  # all stood still

    def step(self) -> None:
        """Let some happen, and a tick of each collector."""
        source = self.source
        self.now += source.choice([50.0, 100.0, 250.0])
        for _ in range(source.randrange(5)):
            self._tell()
        if source.random() < 0.3:
            name = source.choice(sorted(self.lives))
            value = source.choice([None, b"spread", b"other"])
            for collector in self.collectors.values():
                collector.receive_gossip(self.now, name, self.lives[name], f"k{source.randrange(4)}", value)
        if source.random() < 0.1:
            self.collectors["p0"].record_cost(source.randrange(300), source.uniform(0, 90))
        self._change()
        for name, collector in self.collectors.items():
            if source.random() < 0.95:
                self._carry(name, collector.tick(self.now))

    def look(self) -> None:
        """Take what each collector says of itself into the digest."""
        for collector in self.collectors.values():
            self.digest.add(
                [collector.status(self.now), collector.zones(), collector.incomplete_zones(self.now)]
            )
            self.digest.add([collector.is_active(), collector.origin_count(), collector.entry_cost_ms])
            self.digest.add([list(collector.owner(zone)) for zone in "abcx"])


def collectors(seed: int) -> str:
    """Return the digest of all that three collectors send and hold."""
    stream = Collectors(seed)
    for step in range(150):
        stream.step()
        if step % 10 == 0:
            stream.look()
    return stream.digest.hex()


def teller(seed: int) -> str:
    """Return the digest of what one teller sends to collectors that come, go, answer and are silent."""
    source = random.Random(seed)
    one, digest, now = ReportSender("a", AggregationTimings(), random.Random(seed + 1), 0.0), Digest(), 0.0
    everybody = [(f"p{n}", life) for n in range(3) for life in (1, 2)]
    there, silent, at = everybody[:1], set[str](), 0
    for step in range(700):
        now += source.choice([5.0, 20.0, 100.0, 400.0])
        if source.random() < 0.02 or step == 0:
            there = source.sample(everybody, source.choice([0, 1, 2, 3, 3]))
            one.update_collectors(there)
        if source.random() < 0.02:
            silent = set(source.sample(["p0", "p1", "p2"], source.choice([0, 0, 1, 2, 3])))
        if source.random() < 0.1:
            value = source.choice(
                [None, b"", b"v", bytes([source.randrange(256)]) * source.choice([9, 600, 641])]
            )
            try:
                one.put(source.choice(["k0", "k1", "k2", "k" * 64, "k" * 65]), value, now)
            except AggregationError as error:
                digest.add(error.code)
        outs = one.tick(now)
        digest.add([now, _sent(outs)])
        for out in outs:
            if out.recipient in silent or source.random() < 0.1:
                continue
            at += source.choice([0, 1, 1])
            answer = ReportAck(
                [out.message.number],
                at,
                source.random() < 0.2,
                source.choice([100.0, 700.0]),
                source.choice([100.0, 900.0]),
                source.random() < 0.05,
                bytes([at % 5]),
            )
            for name, life in (one.collector, ("p9", 1)) if one.collector is not None else ():
                digest.add(one.receive(now + 3, name, life, answer))
        if source.random() < 0.05 and one.collector is not None:
            push = ReportAck(
                [], at + source.choice([0, 2]), source.random() < 0.5, 300.0, 800.0, source.random() < 0.2
            )
            digest.add(one.receive(now, *one.collector, push))
        due = one.next_due_ms()
        digest.add(
            [
                list(one.collector) if one.collector else None,
                due if due < math.inf else "never",
                one.broadcast,
            ]
        )
        digest.add(
            [
                one.is_evidence_requested(now),
                one.update_interval_ms(),
                one.is_acknowledged(),
                one.is_empty(),
                sorted(one.entries().items()),
            ]
        )
        digest.add(dict(one.counts))
    return digest.hex()


class Spread:
    """A process's own entries in a spread that goes nowhere."""

    def __init__(self) -> None:
        """Begin with none."""
        self.entries: dict[str, bytes] = {}

    def put(self, key: str, value: bytes) -> None:
        """Set an entry; now and then there is no room."""
        if len(self.entries) >= 3 and key not in self.entries:
            raise OriginFullError("no room")
        self.entries[key] = value

    def remove(self, key: str) -> None:
        """Remove an entry."""
        del self.entries[key]


class NoLog:
    """A log that nobody reads."""

    def info(self, *positional: Any, **fields: Any) -> None:
        """Pass over an event."""

    warning = info


class Processes:
    """Edges and planners whose evidence goes over a network of one place, in virtual time."""

    def __init__(self, seed: int) -> None:
        """Draw how many edges there are, and from how many on they tell collectors."""
        self.source = source = random.Random(seed)
        self.digest = Digest()
        self.planners = ["p0", "p1", "p2"]
        self.edges = [f"e{n}" for n in range(source.choice([3, 6]))]
        self.dead: set[str] = set()
        self.silent: set[str] = set()  # announce no collecting
        self.extra = source.choice([0, 100])  # members that only make the fleet large
        self.spreads = {name: Spread() for name in (*self.edges, *self.planners)}
        self.all = {name: self._carrier(name, source.choice([1, 2])) for name in self.spreads}
        self.view: tuple[Member, ...] = ()
        self.change()

    def _carrier(self, name: str, most: int) -> EvidenceChannel:
        collects = name in self.planners
        one = EvidenceChannel(
            (name, 1),
            ChannelSettings("ab"[len(self.spreads) % 2], self.planners, not collects, collects, most),
            self.spreads[name],
            clock=now_ms,
            source=random.Random(name),
            log=NoLog(),
        )
        one.summarizers.add("listing", Listing())
        one.send = lambda to, data: self._send(name, to, data)
        one.members = lambda: self.view
        return one

    def _send(self, sender: str, to: str, data: bytes) -> None:
        self.digest.add([now_ms(), sender, to, data])
        if to in self.all and to not in self.dead and sender not in self.dead and self.source.random() < 0.95:
            self.all[to].receive(sender, 1, data)

    def change(self) -> None:
        """Tell all processes of who is there."""
        found = []
        for name in self.all:
            announced = messages.CAPABILITY if name in self.planners and name not in self.silent else b""
            state = MemberState.DEAD if name in self.dead else MemberState.ALIVE
            role = "edge" if name in self.edges else "planner"
            found.append(Member(name, 1, role, "ab"[len(name) % 2], "", "", state, 0.0, announced))
        found += [
            Member(f"x{n}", 1, "edge", "c", "", "", MemberState.ALIVE, 0.0, b"") for n in range(self.extra)
        ]
        self.view = tuple(found)
        for one in self.all.values():
            one.on_members_changed()

    def _happen(self) -> None:
        source, name = self.source, self.source.choice(self.edges)
        key, value = (
            f"k{source.randrange(4)}",
            source.choice([None, b"v", bytes([source.randrange(256)]), b"x" * 700]),
        )
        self.all[name].publish(key, value)
        if source.random() < 0.3:
            for planner in self.planners:
                self.all[planner].receive_gossip((name, 1), key, value)
        if source.random() < 0.1:
            self.all[source.choice(self.planners)].receive(name, 1, b"\x02")
        if source.random() < 0.15:
            self.dead = set(source.sample(self.planners, source.choice([0, 0, 1, 3])))
            self.silent = set(source.sample(self.planners, source.choice([0, 0, 0, 1])))
            self.change()

    def _look(self) -> None:
        for name, one in self.all.items():
            self.digest.add(
                [
                    name,
                    one.uses_collectors,
                    one.is_evidence_requested(),
                    one.update_interval_ms(),
                    one.min_interval_ms(),
                    one.sender_count,
                ]
            )
            self.digest.add(
                [one.unsent, dict(one.rejected_by_code), one.broadcast("listing"), one.broadcast("nobody")]
            )
            self.digest.add([sorted(self.spreads[name].entries.items()), one.status()])

    async def run(self) -> None:
        """Let two minutes pass."""
        async with anyio.create_task_group() as group:
            for one in self.all.values():
                group.start_soon(one.run)
            for step in range(150):
                await anyio.sleep(self.source.choice([0.1, 0.3, 0.8, 2.0]))
                self._happen()
                if step % 10 == 0:
                    self._look()
            group.cancel_scope.cancel()


def carrier(seed: int) -> str:
    """Return the digest of all that some processes send, and what each says of itself."""

    async def run() -> str:
        stream = Processes(seed)
        await stream.run()
        return stream.digest.hex()

    return virtual.run(run)
