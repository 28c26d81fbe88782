"""Decisions in gossip: published once for each version and renewed in any order of arrival."""

import itertools

from cressrock.consensus import decisions
from cressrock.consensus.decision_gossip import (
    DecisionPublisher,
    DecisionReference,
    DecisionSubscriber,
    LeaseRenewal,
    encode_entry,
)


def decision(topic, version, value=b"v", renewal=0):
    return decisions.Decision(topic, version, value, 1000.0, "p0", renewal)


def test_a_decision_is_published_once_and_a_renewal_renews_all_current_ones():
    publisher, subscriber = DecisionPublisher(640), DecisionSubscriber()
    first = publisher.publish([decision("a", 5), decision("b", 6)], 70)
    assert [change.key for change in first] == ["decree/a", "decree/b", "beat/0"]
    for change in first:
        subscriber.receive_entry(change.key, change.value)
    again = publisher.publish([decision("a", 5), decision("b", 6)], 71)
    assert [change.key for change in again] == ["beat/0"]
    assert [(one.topic, one.renewal) for one in subscriber.receive_entry("beat/0", again[0].value)[0]] == [
        ("a", 71),
        ("b", 71),
    ]
    removed = publisher.publish([decision("b", 6)], 72)
    assert (removed[0].key, removed[0].value) == ("decree/a", None)
    assert [one.topic for one in subscriber.receive_entry("beat/0", removed[1].value)[0]] == ["b"]


def test_the_order_of_entries_does_not_matter():
    old, new = DecisionPublisher(640), DecisionPublisher(640)
    changes = old.publish([decision("a", 5), decision("b", 6)], 70) + new.publish(
        [decision("a", 9), decision("b", 6)], 90
    )
    entries = [(change.key, change.value) for change in changes]
    ends = set()
    for order in itertools.permutations(entries):
        subscriber = DecisionSubscriber()
        for key, value in order:
            subscriber.receive_entry(key, value)
        ends.add(
            tuple(sorted((one.topic, one.version, one.renewal) for one in subscriber.decisions.values()))
        )
    assert ends == {(("a", 9, 90), ("b", 6, 90))}


def test_a_large_decision_is_fetched_once_and_renewed_like_others():
    publisher, subscriber = DecisionPublisher(640), DecisionSubscriber()
    large = decision("rules", 8, b"x" * 5000, 60)
    reference, renewal = publisher.publish([large], 61)
    assert len(reference.value) < 100
    assert subscriber.receive_entry(reference.key, reference.value) == ([], ["rules"])
    assert subscriber.receive_entry("beat/0", renewal.value) == ([], [])
    (received,) = subscriber.receive_decision(large)
    assert (received.renewal, received.value) == (61, large.value)
    assert (
        subscriber.receive_entry(reference.key, reference.value) == ([], [])
        and not subscriber.pending_fetches
    )


def test_many_decisions_take_several_renewal_entries_and_dropped_ones_none():
    publisher = DecisionPublisher(640)
    renewals = [
        change
        for change in publisher.publish([decision(f"t{i}", i + 2**50) for i in range(100)], 7)
        if "beat" in change.key
    ]
    assert [change.key for change in renewals] == ["beat/0", "beat/1", "beat/2"]
    assert max(len(change.value) for change in renewals) <= 640
    assert [change.key for change in publisher.publish([], 8) if "beat" in change.key] == [
        "beat/0",
        "beat/1",
        "beat/2",
    ]


def test_unknown_entries_are_ignored_and_memory_is_bounded():
    subscriber = DecisionSubscriber(max_topics=4)
    for data in (b"", b"\x81", b"\x81\x00garbage", b"\x82" + b"x"):
        assert subscriber.receive_entry("beat/0", data) == ([], [])
    for version in range(50):
        subscriber.receive_entry("beat/0", encode_entry(LeaseRenewal(version, [version])))
        subscriber.receive_entry(
            f"decree/{version}", encode_entry(DecisionReference(f"m{version}", version, 0))
        )
        subscriber.receive_decision(decision(f"t{version}", version))
    assert (
        len(subscriber.renewals) <= 8
        and len(subscriber.pending_fetches) <= 4
        and len(subscriber.decisions) <= 4
    )


def test_golden():
    assert encode_entry(LeaseRenewal(7, [1, 300])).hex() == "8193a4626561740792" + "01cd012c"
    assert encode_entry(DecisionReference("a", 5, 6)).hex() == "8194a46d61726ba1610506"
