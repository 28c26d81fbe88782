"""Collectors: reports merge whatever the network does, and what is old or unknown is not kept."""

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
    as_listed,
    edge_member,
    report,
)


def drawn_reports(source, senders):
    """Return (sender, entry) in the order in which they were published; each sender's versions grow."""
    reports = []
    for number in range(senders):
        for version in range(1, source.randint(1, 6) + 1):
            key, value = f"k{source.randrange(3)}", source.choice([None, bytes([source.randrange(256)])])
            reports.append((f"e{number}", ReportEntry(key, version, value)))
    return reports


def lost_doubled_and_late(source, reports):
    """Return reports as they arrive: the newest of each key does, others are lost, repeated or reordered."""
    newest = {(name, entry.key): index for index, (name, entry) in enumerate(reports)}
    arrived = [one for i, one in enumerate(reports) if i in newest.values() or source.random() < 0.6]
    arrived += source.choices(reports, k=source.randint(0, 10))
    source.shuffle(arrived)
    return arrived


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**32))
def test_two_collectors_come_to_the_newest_entries_whatever_is_lost_doubled_or_late(seed):
    source = random.Random(seed)
    senders = source.randint(1, 12)
    zone = source.choice(["a", "b", "c", "d"])
    network = CollectorNetwork(source, senders, zone=zone, loss=source.choice([0.0, 0.3]))
    reports = drawn_reports(source, senders)
    newest, published = {}, set()
    for name, entry in reports:
        newest.setdefault(name, {})[entry.key] = entry.value
        published.add((f"{name}@1", entry.key, entry.value.hex() if entry.value is not None else None))
    for number, (name, entry) in enumerate(lost_doubled_and_late(source, reports)):
        for collector in source.sample(["p0", "p1"], source.randint(1, 2)):
            network.collectors[collector].receive(network.now_ms, name, 1, Report(number, [entry]))
        if source.random() < 0.3:
            network.run(TIMINGS.summary_interval_ms)
            # On the way too: nobody is counted twice, and nothing that nobody published.
            for origin, entries in network.listing().items():
                assert all((origin, key, value) in published for key, value in entries.items()), seed
    network.run(12000)
    network.loss = 0.0
    network.run(2000)
    expected = {f"{name}@1": as_listed(entries) for name, entries in newest.items()}
    assert network.listing() == expected, seed
    owner = network.owner()
    other = "p1" if owner == "p0" else "p0"
    assert network.collectors[owner].origin_count() == senders
    assert network.collectors[other].origin_count() == 0, "who does not collect it holds nothing"


def test_a_collector_that_stood_still_forgets_and_asks_for_everything():
    network = CollectorNetwork(random.Random(1), 3)
    collector = network.collectors[network.owner()]
    collector.receive(0.0, "e1", 1, report(("k", 1, b"x")))
    network.run(500)
    assert collector.origin_count() == 1
    late_ms = network.now_ms + 5000
    # What lay in its socket meanwhile is of unknown age.
    assert collector.receive(late_ms, "e2", 1, report(("k", 1, b"y"))) == []
    assert collector.origin_count() == 0 and collector.tick(late_ms + 100) == []
    ticks = (collector.tick(late_ms + 200 + step * 100) for step in range(20))
    sends = next(sends for sends in ticks if sends)
    asked = {
        outgoing.recipient
        for outgoing in sends
        if isinstance(outgoing.message, ReportAck) and outgoing.message.resend_all
    }
    assert asked == {"e0", "e1", "e2"}
    pushes = Counter()
    for step in range(200):  # and not again and again
        now_ms = late_ms + 3000 + step * 250
        for outgoing in collector.tick(now_ms):
            is_push = isinstance(outgoing.message, ReportAck)
            pushes[outgoing.recipient] += is_push
            if is_push and outgoing.recipient != "e2":
                answers = collector.receive(now_ms, outgoing.recipient, 1, Report(step, []))
                assert not answers[0].message.resend_all
    assert pushes["e0"] <= 1 and pushes["e1"] <= 1 and 1 < pushes["e2"] <= 22, pushes


def test_reports_of_the_unknown_the_dead_and_former_incarnations_are_not_kept():
    network = CollectorNetwork(random.Random(1), 3)
    collector = network.collectors["p0"]
    entry = report(("k", 1, b"x"))
    assert collector.receive(1.0, "nobody", 1, entry) == []
    assert collector.receive(1.0, "e1", 0, entry) == []
    assert collector.receive(1.0, "e1", 1, entry) != []
    assert collector.origin_count() == 1
    collector.update_members([edge_member(1, incarnation=2), *network.members[3:]], ["p0"])
    assert collector.origin_count() == 0


def test_of_one_origin_a_bounded_number_of_entries_is_kept():
    network = CollectorNetwork(random.Random(1), 3)
    collector = network.collectors["p0"]
    for _ in range(3):
        for key in range(MAX_ENTRIES_PER_ORIGIN + 50):
            collector.receive(3.0, "e1", 1, report((f"k{key}", 1, b"x")))
    assert len(collector.store.origins["e1"].entries) == MAX_ENTRIES_PER_ORIGIN


def test_what_an_older_process_gossips_counts_and_gives_way_to_what_it_reports():
    collector = CollectorNetwork(random.Random(1), 2).collectors["p0"]
    collector.receive_gossip(1.0, "e0", 1, "k", b"old")
    assert collector.summarizer.reported[("e0", 1)] == {"k": b"old"}
    collector.receive(2.0, "e0", 1, report(("k", 1, b"new")))
    collector.receive_gossip(3.0, "e0", 1, "k", b"older")
    assert collector.summarizer.reported[("e0", 1)] == {"k": b"new"}


def test_summaries_and_handovers_of_who_does_not_collect_are_not_taken():
    collector = CollectorNetwork(random.Random(1), 2).collectors["p0"]
    summary = ZoneSummary("a", 5, 1, 1, 1, 0.0, [], {})
    handover = Handover(1, "a", [HeldEntry("e1", 1, ReportEntry("k", 1, b""))])
    for sender, incarnation in (("e0", 1), ("p1", 7), ("nobody", 1)):
        assert collector.receive(1.0, sender, incarnation, summary) == []
        assert collector.receive(1.0, sender, incarnation, handover) == []
    assert collector.origin_count() == 0 and collector.summaries.current(1.0) == {}


def test_an_entry_grows_older_by_what_its_sender_and_each_collector_held_it(monkeypatch):
    collector = CollectorNetwork(random.Random(2), 1).collectors["p0"]
    published_at_ms = []
    monkeypatch.setattr(
        collector.summarizer, "receive", lambda origin, key, value, at_ms: published_at_ms.append(at_ms)
    )
    collector.receive(900.0, "e0", 1, report(("k", 1, b"x", 400.0)))
    assert published_at_ms == [500.0]
    # Handed over it grows older still.
    monkeypatch.setattr(collector.members, "owner", lambda zone: ("p1", 1))
    sends = [outgoing.message for outgoing in collector.tick(950.0)]
    handovers = [message for message in sends if isinstance(message, Handover)]
    assert handovers[0].entries[0].entry.age_ms == 450.0
