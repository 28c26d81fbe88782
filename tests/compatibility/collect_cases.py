"""Example messages and seeded simulations of collectors, shared by `record_collect` and `test_collect`.

Results enter a digest as wire bytes or plain lists, so that it does not depend on class or field names.
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


def example_messages() -> dict[str, messages.AnyMessage]:
    """Return the example messages by the name under which they are recorded."""
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


# Messages of other program versions: older ones omit trailing elements, newer ones append some.
OTHER_VERSION_MESSAGES = {
    "report, short": ("01920107", Report(7)),
    "report, short entry": ("01930107" + "9193a16b01c40176", Report(7, [ReportEntry("k", 1, b"v")])),
    "report, newer": ("0194010790c0", Report(7, [])),
    "report, newer entry": ("0193010791" + "95a16b01c000c3", Report(7, [ReportEntry("k", 1, None, 0)])),
    "answer, short": ("01960290" + "01c30203", ReportAck([], 1, True, 2, 3)),
    "answer, newer": ("0199029001c30203c2c400c0", ReportAck([], 1, True, 2, 3)),
    "handover's answer, newer": ("01930405c0", HandoverAck(5)),
    "summary, short": ("019905a1610102010304" + "9080", ZoneSummary("a", 1, 2, 1, 3, 4, [], {})),
}

# Bytes that are neither a message nor a broadcast.
UNDECODABLE = [
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

BROADCASTS = {"empty": {}, "rooms": {"zones": b"\x01\x91\x80", "rollout": b""}}


def decoding_error_codes() -> list[list[str]]:
    """Return, for each of UNDECODABLE, the error code (or "") as a message and as a broadcast."""
    results = []
    for data in UNDECODABLE:
        codes_for_data = []
        for read in (messages.decode, messages.decode_broadcast):
            try:
                read(bytes.fromhex(data))
                codes_for_data.append("")
            except AggregationError as error:
                codes_for_data.append(error.code)
        results.append(codes_for_data)
    return results


def encoded_sizes() -> list[int]:
    """Return the encoded sizes of report entries and held entries in bytes."""
    entries = [ReportEntry("k", 1, None), ReportEntry("zones/0", 70000, b"x" * 300, 12.5)]
    return [messages.encoded_size(e) for e in entries] + [
        messages.encoded_size(HeldEntry("e1", 1, e)) for e in entries
    ]


# --- decisions


class ListingSummarizer:
    """A summarizer whose sums list the last entries of every origin."""

    def __init__(self) -> None:
        """Start without entries."""
        self.received: dict[Origin, dict[str, tuple[str | None, float]]] = {}

    def receive(self, origin: Origin, key: str, value: bytes | None, at_ms: float) -> bool:
        """Store an entry and its time; return True."""
        self.received.setdefault(origin, {})[key] = (value.hex() if value is not None else None, at_ms)
        return True

    def forget(self, origin: Origin) -> None:
        """Drop an origin's entries."""
        self.received.pop(origin, None)

    def summarize(self, zone: str, origins: Collection[Origin], now_ms: float) -> dict[str, bytes]:
        """Return the stored entries of these origins as JSON, one sum per origin."""
        return {
            f"{name}@{incarnation}": json.dumps(sorted(self.received[name, incarnation].items())).encode()
            for name, incarnation in sorted(origins)
            if (name, incarnation) in self.received
        }

    def broadcast(self, sums_by_zone: Mapping[str, Mapping[str, bytes]], now_ms: float) -> tuple[bool, bytes]:
        """Request evidence in every third second and broadcast the zones with sums."""
        return int(now_ms // 1000) % 3 == 0, f"{sorted(sums_by_zone)} {int(now_ms // 2000)}".encode()


def pure_rules() -> list[Any]:
    """Return rankings of collectors, derived limits and gossip intervals."""
    collectors = [(f"p{n}", n % 3) for n in range(7)]
    return [
        [list(map(list, rank_collectors(zone, collectors))) for zone in ("", "a", "zone-b", "ü")],
        [
            derive_max_gossip_senders(renewal_interval_ms)
            for renewal_interval_ms in (1000.0, 10000.0, 60000.0)
        ],
        [derive_max_gossip_senders(10000.0, changes) for changes in (0.0, 0.1, 5.0)],
        [gossip_interval_ms(n, 40.0, 10000.0) for n in (0, 1, 230, 400, 401, 4800)],
    ]


def delivery_mode_digest(seed: int) -> str:
    """Return the digest of the delivery mode over 400 steps with changing members."""
    source = random.Random(seed)
    mode, digest, time_ms = DeliveryMode(source.choice([1, 20, 38]), 10000.0), Digest(), 0.0
    senders, collectors, incapable_replicas = 10, 3, ()
    for _ in range(400):
        time_ms += source.choice([250.0, 500.0, 3000.0])
        if source.random() < 0.1:
            senders = source.choice([0, 1, 5, 18, 25, 60, 230])
            collectors, incapable_replicas = (
                source.choice([0, 3, 3, 3]),
                source.choice([(), (), (), ("p2", "p0", "p1", "p3")]),
            )
        digest.add(
            [mode.update(time_ms, senders, collectors, incapable_replicas), mode.reason, mode.collecting]
        )
    return digest.hex()


def _encode_outgoing(outgoing_messages: list[OutgoingMessage]) -> list[Any]:
    return [[outgoing.recipient, messages.encode(outgoing.message)] for outgoing in outgoing_messages]


def _random_summary(source: random.Random, number: int) -> ZoneSummary:
    chunk_count = source.choice([1, 1, 2, 3])
    return ZoneSummary(
        source.choice("ab"),
        number,
        source.randrange(9),
        source.randrange(9),
        9,
        source.uniform(0, 99),
        ["e1"],
        {f"k{source.randrange(3)}": bytes([source.randrange(256)])},
        source.randrange(chunk_count),
        chunk_count,
    )


def merged_summaries_digest(seed: int) -> str:
    """Return the digest of the summaries selected from random chunks of three collectors."""
    source = random.Random(seed)
    merged_view, digest, time_ms = MergedSummaries(AggregationTimings()), Digest(), 0.0
    collectors = [("p0", 1), ("p1", 1), ("p1", 2)]
    for step in range(250):
        time_ms += source.choice([0.0, 50.0, 250.0, 900.0 if source.random() < 0.2 else 0.0])
        merged_view.receive(
            time_ms, source.choice(collectors), _random_summary(source, step // 6 + source.randrange(3))
        )
        if source.random() < 0.02:
            merged_view.retain(source.sample(collectors, 2))
        digest.add(
            [
                [zone, list(received.collector), received.received_at_ms, messages.encode(received.summary)]
                for zone, received in sorted(merged_view.current(time_ms).items())
            ]
        )
        digest.add(
            [
                merged_view.has_others(("p0", 1)),
                sorted((zone, sorted(sums.items())) for zone, sums in merged_view.sums(time_ms).items()),
            ]
        )
    return digest.hex()


class CollectorSimulation:
    """Three collectors and random senders on a network that loses, repeats and reorders messages."""

    def __init__(self, seed: int) -> None:
        """Choose members, zones and the loss from `seed`."""
        self.source = source = random.Random(seed)
        self.digest, self.time_ms = Digest(), 0.0
        self.loss_fraction = source.choice([0.0, 0.1, 0.4])
        self.incarnations = {f"e{n}": 1 for n in range(source.randint(1, 24))}
        self.zone_of = {name: source.choice("abc") for name in self.incarnations}
        self.last_versions = dict.fromkeys(self.incarnations, 0)
        self.alive = set(self.incarnations)
        self.collector_names = ("p0", "p1", "p2")
        self.active_collectors = {"p0", "p1"}
        self.collectors: dict[str, ReportCollector] = {}
        for name in self.collector_names:
            registry = SummarizerRegistry()
            registry.add("listing", ListingSummarizer())
            self.collectors[name] = ReportCollector((name, 1), AggregationTimings(), registry, 0.0)
        self.announce_members()

    def announce_members(self) -> None:
        """Update the members at all collectors."""
        member_infos = [
            MemberInfo(
                name,
                incarnation,
                self.zone_of[name],
                name in self.alive,
                self.source.random() < 0.98,
                True,
                False,
            )
            for name, incarnation in self.incarnations.items()
        ]
        member_infos += [
            MemberInfo(name, 1, "x", True, True, False, name in self.active_collectors)
            for name in self.collector_names
        ]
        for collector in self.collectors.values():
            collector.update_members(member_infos, self.collector_names)

    def _deliver(self, sender: str, outgoing_messages: list[OutgoingMessage]) -> None:
        self.digest.add([sender, _encode_outgoing(outgoing_messages)])
        pending = [(sender, outgoing) for outgoing in outgoing_messages]
        while pending:
            name, outgoing = pending.pop(self.source.randrange(len(pending)))
            if outgoing.recipient not in self.collectors or self.source.random() < self.loss_fraction:
                continue
            for _ in range(1 + (self.source.random() < 0.1)):
                message = messages.decode(messages.encode(outgoing.message))
                replies = self.collectors[outgoing.recipient].receive(self.time_ms, name, 1, message)
                self.digest.add(_encode_outgoing(replies))
                pending += [(outgoing.recipient, reply) for reply in replies]

    def _send_report(self) -> None:
        source = self.source
        name = source.choice(sorted(self.incarnations))
        entries = []
        for _ in range(source.choice([0, 1, 1, 3])):
            self.last_versions[name] += 1
            value = source.choice([None, b"v", bytes([source.randrange(256)]) * source.randrange(500)])
            version = max(1, self.last_versions[name] - source.choice([0, 0, 0, 2]))
            entries.append(
                ReportEntry(f"k{source.randrange(4)}", version, value, source.choice([0.0, 0.0, 700.0]))
            )
        incarnation = self.incarnations[name] - (source.random() < 0.05)
        recipient_name = source.choice(sorted(self.collectors))
        self.digest.add(
            _encode_outgoing(
                self.collectors[recipient_name].receive(
                    self.time_ms, name, incarnation, Report(self.last_versions[name], entries)
                )
            )
        )

    def _apply_random_member_changes(self) -> None:
        source = self.source
        if source.random() < 0.04:
            name = source.choice(sorted(self.incarnations))
            self.alive.symmetric_difference_update({name})
            if source.random() < 0.5:
                self.incarnations[name] += 1
            self.zone_of[name] = source.choice([self.zone_of[name], self.zone_of[name], *"abc"])
            self.announce_members()
        if source.random() < 0.02:
            self.active_collectors.symmetric_difference_update({source.choice(self.collector_names)})
            self.announce_members()
        if source.random() < 0.01:
            self.time_ms += 3000.0  # a pause of all processes

    def step(self) -> None:
        """Send random reports, change members, and tick most of the collectors."""
        source = self.source
        self.time_ms += source.choice([50.0, 100.0, 250.0])
        for _ in range(source.randrange(5)):
            self._send_report()
        if source.random() < 0.3:
            name = source.choice(sorted(self.incarnations))
            value = source.choice([None, b"spread", b"other"])
            for collector in self.collectors.values():
                collector.receive_gossip(
                    self.time_ms, name, self.incarnations[name], f"k{source.randrange(4)}", value
                )
        if source.random() < 0.1:
            self.collectors["p0"].record_cost(source.randrange(300), source.uniform(0, 90))
        self._apply_random_member_changes()
        for name, collector in self.collectors.items():
            if source.random() < 0.95:
                self._deliver(name, collector.tick(self.time_ms))

    def record_state(self) -> None:
        """Add the state of each collector to the digest."""
        for collector in self.collectors.values():
            self.digest.add(
                [collector.status(self.time_ms), collector.zones(), collector.incomplete_zones(self.time_ms)]
            )
            self.digest.add([collector.is_active(), collector.origin_count(), collector.entry_cost_ms])
            self.digest.add([list(collector.owner(zone)) for zone in "abcx"])


def collector_digest(seed: int) -> str:
    """Return the digest of the messages and states of three collectors over 150 steps."""
    simulation = CollectorSimulation(seed)
    for step in range(150):
        simulation.step()
        if step % 10 == 0:
            simulation.record_state()
    return simulation.digest.hex()


def sender_digest(seed: int) -> str:
    """Return the digest of one sender's reports and state while collectors join, leave, answer or fail."""
    source = random.Random(seed)
    report_sender, digest, time_ms = (
        ReportSender("a", AggregationTimings(), random.Random(seed + 1), 0.0),
        Digest(),
        0.0,
    )
    known_collectors = [(f"p{n}", incarnation) for n in range(3) for incarnation in (1, 2)]
    present, silent_names, broadcast_number = known_collectors[:1], set[str](), 0
    for step in range(700):
        time_ms += source.choice([5.0, 20.0, 100.0, 400.0])
        if source.random() < 0.02 or step == 0:
            present = source.sample(known_collectors, source.choice([0, 1, 2, 3, 3]))
            report_sender.update_collectors(present)
        if source.random() < 0.02:
            silent_names = set(source.sample(["p0", "p1", "p2"], source.choice([0, 0, 1, 2, 3])))
        if source.random() < 0.1:
            value = source.choice(
                [None, b"", b"v", bytes([source.randrange(256)]) * source.choice([9, 600, 641])]
            )
            try:
                report_sender.put(source.choice(["k0", "k1", "k2", "k" * 64, "k" * 65]), value, time_ms)
            except AggregationError as error:
                digest.add(error.code)
        outgoing_messages = report_sender.tick(time_ms)
        digest.add([time_ms, _encode_outgoing(outgoing_messages)])
        for outgoing in outgoing_messages:
            if outgoing.recipient in silent_names or source.random() < 0.1:
                continue
            broadcast_number += source.choice([0, 1, 1])
            reply = ReportAck(
                [outgoing.message.number],
                broadcast_number,
                source.random() < 0.2,
                source.choice([100.0, 700.0]),
                source.choice([100.0, 900.0]),
                source.random() < 0.05,
                bytes([broadcast_number % 5]),
            )
            for name, incarnation in (
                (report_sender.collector, ("p9", 1)) if report_sender.collector is not None else ()
            ):
                digest.add(report_sender.receive(time_ms + 3, name, incarnation, reply))
        if source.random() < 0.05 and report_sender.collector is not None:
            push = ReportAck(
                [],
                broadcast_number + source.choice([0, 2]),
                source.random() < 0.5,
                300.0,
                800.0,
                source.random() < 0.2,
            )
            digest.add(report_sender.receive(time_ms, *report_sender.collector, push))
        due_ms = report_sender.next_due_ms()
        digest.add(
            [
                list(report_sender.collector) if report_sender.collector else None,
                due_ms if due_ms < math.inf else "never",
                report_sender.broadcast,
            ]
        )
        digest.add(
            [
                report_sender.is_evidence_requested(time_ms),
                report_sender.update_interval_ms(),
                report_sender.is_acknowledged(),
                report_sender.is_empty(),
                sorted(report_sender.entries().items()),
            ]
        )
        digest.add(dict(report_sender.counts))
    return digest.hex()


class BoundedGossip:
    """A gossip store that only records entries and holds at most three keys."""

    def __init__(self) -> None:
        """Start without entries."""
        self.entries: dict[str, bytes] = {}

    def put(self, key: str, value: bytes) -> None:
        """Set an entry.  Raises OriginFullError for a fourth key."""
        if len(self.entries) >= 3 and key not in self.entries:
            raise OriginFullError("no room")
        self.entries[key] = value

    def remove(self, key: str) -> None:
        """Remove an entry.  Raises KeyError if it does not exist."""
        del self.entries[key]


class NoLog:
    """A log that discards all events."""

    def info(self, *positional: Any, **fields: Any) -> None:
        """Discard an event."""

    warning = info


class ChannelSimulation:
    """The channels of edges and planners on an in-memory network, in virtual time."""

    def __init__(self, seed: int) -> None:
        """Choose the number of edges, the extra members and the gossip limits from `seed`."""
        self.source = source = random.Random(seed)
        self.digest = Digest()
        self.planners = ["p0", "p1", "p2"]
        self.edges = [f"e{n}" for n in range(source.choice([3, 6]))]
        self.dead: set[str] = set()
        self.incapable_planners: set[str] = set()  # planners that do not announce the capability
        self.extra_member_count = source.choice([0, 100])  # members without a channel, to enlarge the fleet
        self.gossip_stores = {name: BoundedGossip() for name in (*self.edges, *self.planners)}
        self.channels = {
            name: self._build_channel(name, source.choice([1, 2])) for name in self.gossip_stores
        }
        self.member_view: tuple[Member, ...] = ()
        self.update_member_view()

    def _build_channel(self, name: str, max_gossip_senders: int) -> EvidenceChannel:
        is_collector = name in self.planners
        channel = EvidenceChannel(
            (name, 1),
            ChannelSettings(
                "ab"[len(self.gossip_stores) % 2],
                self.planners,
                not is_collector,
                is_collector,
                max_gossip_senders,
            ),
            self.gossip_stores[name],
            clock=now_ms,
            source=random.Random(name),
            log=NoLog(),
        )
        channel.summarizers.add("listing", ListingSummarizer())
        channel.send = lambda recipient_name, data: self._send(name, recipient_name, data)
        channel.members = lambda: self.member_view
        return channel

    def _send(self, sender: str, recipient_name: str, data: bytes) -> None:
        self.digest.add([now_ms(), sender, recipient_name, data])
        if (
            recipient_name in self.channels
            and recipient_name not in self.dead
            and sender not in self.dead
            and self.source.random() < 0.95
        ):
            self.channels[recipient_name].receive(sender, 1, data)

    def update_member_view(self) -> None:
        """Rebuild the member list and notify all channels."""
        members = []
        for name in self.channels:
            announced = (
                messages.CAPABILITY if name in self.planners and name not in self.incapable_planners else b""
            )
            state = MemberState.DEAD if name in self.dead else MemberState.ALIVE
            role = "edge" if name in self.edges else "planner"
            members.append(Member(name, 1, role, "ab"[len(name) % 2], "", "", state, 0.0, announced))
        members += [
            Member(f"x{n}", 1, "edge", "c", "", "", MemberState.ALIVE, 0.0, b"")
            for n in range(self.extra_member_count)
        ]
        self.member_view = tuple(members)
        for channel in self.channels.values():
            channel.on_members_changed()

    def _apply_random_events(self) -> None:
        source, name = self.source, self.source.choice(self.edges)
        key, value = (
            f"k{source.randrange(4)}",
            source.choice([None, b"v", bytes([source.randrange(256)]), b"x" * 700]),
        )
        self.channels[name].publish(key, value)
        if source.random() < 0.3:
            for planner in self.planners:
                self.channels[planner].receive_gossip((name, 1), key, value)
        if source.random() < 0.1:
            self.channels[source.choice(self.planners)].receive(name, 1, b"\x02")
        if source.random() < 0.15:
            self.dead = set(source.sample(self.planners, source.choice([0, 0, 1, 3])))
            self.incapable_planners = set(source.sample(self.planners, source.choice([0, 0, 0, 1])))
            self.update_member_view()

    def _record_state(self) -> None:
        for name, channel in self.channels.items():
            self.digest.add(
                [
                    name,
                    channel.uses_collectors,
                    channel.is_evidence_requested(),
                    channel.update_interval_ms(),
                    channel.min_interval_ms(),
                    channel.sender_count,
                ]
            )
            self.digest.add(
                [
                    channel.unsent,
                    dict(channel.rejected_by_code),
                    channel.broadcast("listing"),
                    channel.broadcast("nobody"),
                ]
            )
            self.digest.add([sorted(self.gossip_stores[name].entries.items()), channel.status()])

    async def run(self) -> None:
        """Run all channels for 150 random events, about two minutes of virtual time."""
        async with anyio.create_task_group() as group:
            for channel in self.channels.values():
                group.start_soon(channel.run)
            for step in range(150):
                await anyio.sleep(self.source.choice([0.1, 0.3, 0.8, 2.0]))
                self._apply_random_events()
                if step % 10 == 0:
                    self._record_state()
            group.cancel_scope.cancel()


def channel_digest(seed: int) -> str:
    """Return the digest of all datagrams and states of the simulated channels."""

    async def run() -> str:
        simulation = ChannelSimulation(seed)
        await simulation.run()
        return simulation.digest.hex()

    return virtual.run(run)
