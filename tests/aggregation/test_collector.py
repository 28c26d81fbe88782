"""Collectors converge on an unreliable network and reject outdated or unknown senders."""

import random
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.aggregation.messages import (
    MAX_ENTRIES_PER_ORIGIN,
    Handover,
    HeldEntry,
    Report,
    ReportAck,
    ReportEntry,
    ZoneSummary,
)
from tests.aggregation.support import (
    TIMINGS,
    CollectorNetwork,
    as_hex_values,
    edge_member,
    report,
)


def random_reports(source, senders):
    """Return (sender, entry) in order of publication, with increasing versions per sender."""
    reports = []
    for number in range(senders):
        for version in range(1, source.randint(1, 6) + 1):
            key, value = f"k{source.randrange(3)}", source.choice([None, bytes([source.randrange(256)])])
            reports.append((f"e{number}", ReportEntry(key, version, value)))
    return reports


def lose_repeat_and_reorder(source, reports):
    """Return reports shuffled, with losses and repetitions; the newest of each key always arrives."""
    newest = {(name, entry.key): index for index, (name, entry) in enumerate(reports)}
    arrived = [
        sent_report for i, sent_report in enumerate(reports) if i in newest.values() or source.random() < 0.6
    ]
    arrived += source.choices(reports, k=source.randint(0, 10))
    source.shuffle(arrived)
    return arrived


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_collectors_converge_to_newest_entries_despite_loss_repetition_and_reordering(seed):
    source = random.Random(seed)
    senders = source.randint(1, 12)
    zone = source.choice(["a", "b", "c", "d"])
    network = CollectorNetwork(source, senders, zone=zone, loss=source.choice([0.0, 0.3]))
    reports = random_reports(source, senders)
    newest, published = {}, set()
    for name, entry in reports:
        newest.setdefault(name, {})[entry.key] = entry.value
        published.add((f"{name}@1", entry.key, entry.value.hex() if entry.value is not None else None))
    for number, (name, entry) in enumerate(lose_repeat_and_reorder(source, reports)):
        for collector in source.sample(["p0", "p1"], source.randint(1, 2)):
            network.collectors[collector].receive(network.now_ms, name, 1, Report(number, [entry]))
        if source.random() < 0.3:
            network.run(TIMINGS.summary_interval_ms)
            # Intermediate summaries contain only published entries and count no origin twice.
            for origin, entries in network.listing().items():
                assert all((origin, key, value) in published for key, value in entries.items()), seed
    network.run(12000)
    network.loss = 0.0
    network.run(2000)
    expected = {f"{name}@1": as_hex_values(entries) for name, entries in newest.items()}
    assert network.listing() == expected, seed
    owner = network.owner()
    other = "p1" if owner == "p0" else "p0"
    assert network.collectors[owner].origin_count() == senders
    assert network.collectors[other].origin_count() == 0, (
        "entries are left at the other collector after handover"
    )


def test_collector_drops_entries_and_requests_a_full_resend_after_a_pause():
    network = CollectorNetwork(random.Random(1), 3)
    collector = network.collectors[network.owner()]
    collector.receive(0.0, "e1", 1, report(("k", 1, b"x")))
    network.run(500)
    assert collector.origin_count() == 1
    resumed_at_ms = network.now_ms + 5000
    # The age of messages queued during the pause is unknown.
    assert collector.receive(resumed_at_ms, "e2", 1, report(("k", 1, b"y"))) == []
    assert collector.origin_count() == 0 and collector.tick(resumed_at_ms + 100) == []
    ticks = (collector.tick(resumed_at_ms + 200 + step * 100) for step in range(20))
    outgoing_messages = next(outgoing_messages for outgoing_messages in ticks if outgoing_messages)
    pushed_names = {
        outgoing.recipient
        for outgoing in outgoing_messages
        if isinstance(outgoing.message, ReportAck) and outgoing.message.resend_all
    }
    assert pushed_names == {"e0", "e1", "e2"}
    pushes = Counter()
    for step in range(200):  # pushes must not repeat without end
        now_ms = resumed_at_ms + 3000 + step * 250
        for outgoing in collector.tick(now_ms):
            is_push = isinstance(outgoing.message, ReportAck)
            pushes[outgoing.recipient] += is_push
            if is_push and outgoing.recipient != "e2":
                answers = collector.receive(now_ms, outgoing.recipient, 1, Report(step, []))
                assert not answers[0].message.resend_all
    assert pushes["e0"] <= 1 and pushes["e1"] <= 1 and 1 < pushes["e2"] <= 22, pushes


def test_reports_from_unknown_members_and_other_incarnations_are_rejected():
    network = CollectorNetwork(random.Random(1), 3)
    collector = network.collectors["p0"]
    entry = report(("k", 1, b"x"))
    assert collector.receive(1.0, "nobody", 1, entry) == []
    assert collector.receive(1.0, "e1", 0, entry) == []
    assert collector.receive(1.0, "e1", 1, entry) != []
    assert collector.origin_count() == 1
    collector.update_members([edge_member(1, incarnation=2), *network.members[3:]], ["p0"])
    assert collector.origin_count() == 0


def test_entries_per_origin_are_bounded():
    network = CollectorNetwork(random.Random(1), 3)
    collector = network.collectors["p0"]
    for _ in range(3):
        for key in range(MAX_ENTRIES_PER_ORIGIN + 50):
            collector.receive(3.0, "e1", 1, report((f"k{key}", 1, b"x")))
    assert len(collector.store.origins["e1"].entries) == MAX_ENTRIES_PER_ORIGIN


def test_reported_entries_replace_gossiped_entries_of_the_same_origin():
    collector = CollectorNetwork(random.Random(1), 2).collectors["p0"]
    collector.receive_gossip(1.0, "e0", 1, "k", b"old")
    assert collector.summarizer.reported[("e0", 1)] == {"k": b"old"}
    collector.receive(2.0, "e0", 1, report(("k", 1, b"new")))
    collector.receive_gossip(3.0, "e0", 1, "k", b"older")
    assert collector.summarizer.reported[("e0", 1)] == {"k": b"new"}


def test_summaries_and_handovers_from_non_collectors_are_ignored():
    collector = CollectorNetwork(random.Random(1), 2).collectors["p0"]
    summary = ZoneSummary("a", 5, 1, 1, 1, 0.0, [], {})
    handover = Handover(1, "a", [HeldEntry("e1", 1, ReportEntry("k", 1, b""))])
    for sender, incarnation in (("e0", 1), ("p1", 7), ("nobody", 1)):
        assert collector.receive(1.0, sender, incarnation, summary) == []
        assert collector.receive(1.0, sender, incarnation, handover) == []
    assert collector.origin_count() == 0 and collector.summaries.current(1.0) == {}


def test_entry_age_includes_time_at_sender_and_collectors(monkeypatch):
    collector = CollectorNetwork(random.Random(2), 1).collectors["p0"]
    published_at_ms = []
    monkeypatch.setattr(
        collector.summarizer, "receive", lambda origin, key, value, at_ms: published_at_ms.append(at_ms)
    )
    collector.receive(900.0, "e0", 1, report(("k", 1, b"x", 400.0)))
    assert published_at_ms == [500.0]
    # The time held by this collector is added at handover.
    monkeypatch.setattr(collector.members, "owner", lambda zone: ("p1", 1))
    outgoing_messages = [outgoing.message for outgoing in collector.tick(950.0)]
    handovers = [message for message in outgoing_messages if isinstance(message, Handover)]
    assert handovers[0].entries[0].entry.age_ms == 450.0
