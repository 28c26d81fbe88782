"""A summarizer that lists all entries, and in-memory networks of collectors and channels on a fake clock."""

import json
import random

from cressrock.aggregation.channel import ChannelSettings, EvidenceChannel
from cressrock.aggregation.collector import ReportCollector
from cressrock.aggregation.members import MemberInfo
from cressrock.aggregation.messages import CAPABILITY, Report, ReportAck, ReportEntry, decode, encode
from cressrock.aggregation.sender import ReportSender
from cressrock.aggregation.timings import AggregationTimings
from cressrock.membership.packets import MemberState
from cressrock.membership.types import Member

TIMINGS = AggregationTimings()


class ListingSummarizer:
    """A summarizer whose sums list the last entries of every origin."""

    def __init__(self):
        self.reported = {}

    def receive(self, origin, key, value, at_ms):
        self.reported.setdefault(origin, {})[key] = value
        return True

    def forget(self, origin):
        self.reported.pop(origin, None)

    def summarize(self, zone, origins, now_ms):
        listing = {
            f"{name}@{incarnation}": as_hex_values(self.reported[name, incarnation])
            for name, incarnation in sorted(origins)
            if (name, incarnation) in self.reported
        }
        return {"all": json.dumps(listing, sort_keys=True).encode()}

    def broadcast(self, sums, now_ms):
        return False, b""


def as_hex_values(entries):
    """Return the hex values by key, without removed entries, as `ListingSummarizer` lists them."""
    return {key: value.hex() for key, value in sorted(entries.items()) if value is not None}


def edge_member(number, zone="a", incarnation=1, alive=True):
    return MemberInfo(f"e{number}", incarnation, zone, alive, True, sends_reports=True, is_collector=False)


def planner_member(name, is_collector=True):
    return MemberInfo(name, 1, "x", True, True, sends_reports=False, is_collector=is_collector)


def report(*entries, number=1):
    """Return a report; each entry is (key, version, value) or (key, version, value, age_ms)."""
    return Report(number, [ReportEntry(*entry) for entry in entries])


class CollectorNetwork:
    """Two collectors and a replica on a network that loses, repeats and reorders messages."""

    def __init__(self, source, senders, zone="a", loss=0.0):
        self.source, self.now_ms, self.loss, self.zone = source, 0.0, loss, zone
        self.members = [
            *(edge_member(number, zone) for number in range(senders)),
            planner_member("p0"),
            planner_member("p1"),
            planner_member("p2", is_collector=False),
        ]
        self.collectors = {
            name: ReportCollector((name, 1), TIMINGS, ListingSummarizer(), 0.0) for name in ("p0", "p1", "p2")
        }
        for collector in self.collectors.values():
            collector.update_members(self.members, ["p0", "p1", "p2"])

    def deliver(self, sender, outgoing_messages):
        """Deliver messages and all replies to them in random order; some are lost or delivered twice."""
        pending = [(sender, outgoing) for outgoing in outgoing_messages]
        while pending:
            name, outgoing = pending.pop(self.source.randrange(len(pending)))
            if outgoing.recipient not in self.collectors or self.source.random() < self.loss:
                continue
            for _ in range(1 + (self.source.random() < 0.2)):
                message = decode(encode(outgoing.message))
                answers = self.collectors[outgoing.recipient].receive(self.now_ms, name, 1, message)
                pending += [(outgoing.recipient, answer) for answer in answers]

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TIMINGS.summary_interval_ms
            for name in sorted(self.collectors):
                self.deliver(name, self.collectors[name].tick(self.now_ms))

    def listing(self):
        """Return the entries by origin that the replica has received in summaries."""
        current = self.collectors["p2"].summaries.current(self.now_ms)
        return json.loads(current[self.zone].summary.sums["all"]) if self.zone in current else {}

    def owner(self):
        """Return the name of the zone's collector."""
        return self.collectors["p0"].owner(self.zone)[0]


class SenderHarness:
    """One sender and its collectors, which acknowledge every report unless they are in `dead`."""

    def __init__(self, seed=1, collectors=3, window_ms=500.0):
        self.sender = ReportSender("a", TIMINGS, random.Random(seed), 0.0)
        self.now_ms, self.window_ms, self.broadcast_number = 0.0, window_ms, 0
        self.dead = set()
        self.sent = []  # (time in ms, collector name, size in bytes, message)
        self.received = {}  # by collector name: the values it received, by key
        self.update_collectors([(f"p{n}", 1) for n in range(collectors)])

    def update_collectors(self, collectors):
        self.collectors = collectors
        self.sender.update_collectors(collectors)

    def remove_collector(self, name):
        self.update_collectors([collector for collector in self.collectors if collector[0] != name])

    def put(self, key, value):
        self.sender.put(key, value, self.now_ms)

    def run(self, duration_ms, step_ms=10.0):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            for outgoing in self.sender.tick(self.now_ms):
                self._deliver(outgoing.recipient, outgoing.message)

    def _deliver(self, name, message):
        self.sent.append((self.now_ms, name, len(encode(message)), message))
        if name in self.dead:
            return
        for entry in message.entries:
            self.received.setdefault(name, {})[entry.key] = entry.value
        self.broadcast_number += 1
        ack = ReportAck([message.number], self.broadcast_number, False, self.window_ms, 500.0)
        self.sender.receive(self.now_ms, name, dict(self.collectors)[name], ack)


class InMemoryGossip:
    """A gossip store that only records its entries and the number of writes."""

    def __init__(self):
        self.stored, self.writes = {}, 0

    def put(self, key, value):
        self.stored[key] = value
        self.writes += 1

    def remove(self, key):
        self.stored.pop(key, None)


class NullLog:
    def info(self, event, **fields):
        pass

    warning = info


class ChannelNetwork:
    """The channels of several processes, with a fake clock and a shared list of members."""

    STEP_MS = 50.0

    def __init__(self, senders, replicas=3, max_gossip_senders=0):
        self.now_ms = 0.0
        self.replicas = [f"p{n}" for n in range(replicas)]
        edges = [f"e{n}" for n in range(senders)]
        self.channels = {name: self._channel(name, max_gossip_senders) for name in (*edges, *self.replicas)}
        self.members = {name: self._member(name) for name in self.channels}
        self.dead, self.datagrams = set(), []

    @property
    def edges(self):
        return [channel for name, channel in self.channels.items() if name.startswith("e")]

    def _channel(self, name, max_gossip_senders):
        is_collector = name in self.replicas
        channel = EvidenceChannel(
            (name, 1),
            ChannelSettings("a", self.replicas, not is_collector, is_collector, max_gossip_senders),
            InMemoryGossip(),
            clock=lambda: self.now_ms,
            source=random.Random(name),
            log=NullLog(),
        )
        channel.summarizers.add("listed", ListingSummarizer())
        channel.send = lambda recipient, data: self.datagrams.append((name, recipient, data))
        channel.members = lambda: tuple(self.members.values())
        return channel

    def _member(self, name):
        is_collector = name in self.replicas
        role, extra = ("planner", CAPABILITY) if is_collector else ("edge", b"")
        return Member(name, 1, role, "a", "", "", MemberState.ALIVE, 0.0, extra)

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += self.STEP_MS
            for name, channel in self.channels.items():
                if name not in self.dead:
                    channel.step()
            while self.datagrams:
                sender, recipient, data = self.datagrams.pop(0)
                if recipient in self.channels and recipient not in self.dead:
                    self.channels[recipient].receive(sender, 1, data)

    def announce_changes(self):
        for channel in self.channels.values():
            channel.on_members_changed()
