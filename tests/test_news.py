"""Decrees in the spread: told once, renewed by beats, whatever order they come in."""

import itertools

from cressrock.consensus import decisions as d
from cressrock.consensus.decision_gossip import (
    DecisionPublisher,
    DecisionReference,
    DecisionSubscriber,
    LeaseRenewal,
    encode_entry,
)


def decree(topic, number, value=b"v", renewed=0):
    return d.Decision(topic, number, value, 1000.0, "p0", renewed)


def test_a_decree_is_told_once_and_a_beat_renews_all_that_stand():
    teller, taker = DecisionPublisher(640), DecisionSubscriber()
    first = teller.publish([decree("a", 5), decree("b", 6)], 70)
    assert [c.key for c in first] == ["decree/a", "decree/b", "beat/0"]
    for change in first:
        taker.receive_entry(change.key, change.value)
    again = teller.publish([decree("a", 5), decree("b", 6)], 71)
    assert [c.key for c in again] == ["beat/0"]
    assert [(x.topic, x.renewal) for x in taker.receive_entry("beat/0", again[0].value)[0]] == [
        ("a", 71),
        ("b", 71),
    ]
    gone = teller.publish([decree("b", 6)], 72)
    assert (gone[0].key, gone[0].value) == ("decree/a", None)
    assert [x.topic for x in taker.receive_entry("beat/0", gone[1].value)[0]] == ["b"]


def test_the_order_in_which_seats_are_heard_changes_nothing():
    old, new = DecisionPublisher(640), DecisionPublisher(640)
    told = old.publish([decree("a", 5), decree("b", 6)], 70) + new.publish(
        [decree("a", 9), decree("b", 6)], 90
    )
    entries = [(c.key, c.value) for c in told]
    ends = set()
    for order in itertools.permutations(entries):
        taker = DecisionSubscriber()
        for key, value in order:
            taker.receive_entry(key, value)
        ends.add(tuple(sorted((x.topic, x.version, x.renewal) for x in taker.decisions.values())))
    assert ends == {(("a", 9, 90), ("b", 6, 90))}


def test_a_large_decree_is_asked_for_once_and_renewed_like_others():
    teller, taker = DecisionPublisher(640), DecisionSubscriber()
    large = decree("rules", 8, b"x" * 5000, 60)
    mark, beat = teller.publish([large], 61)
    assert len(mark.value) < 100
    assert taker.receive_entry(mark.key, mark.value) == ([], ["rules"])
    assert taker.receive_entry("beat/0", beat.value) == ([], [])
    (found,) = taker.receive_decision(large)
    assert (found.renewal, found.value) == (61, large.value)
    assert taker.receive_entry(mark.key, mark.value) == ([], []) and not taker.pending_fetches


def test_many_decrees_take_several_entries_and_what_no_longer_stands_none():
    teller = DecisionPublisher(640)
    beats = [
        c for c in teller.publish([decree(f"t{i}", i + 2**50) for i in range(100)], 7) if "beat" in c.key
    ]
    assert [c.key for c in beats] == ["beat/0", "beat/1", "beat/2"]
    assert max(len(c.value) for c in beats) <= 640
    assert [c.key for c in teller.publish([], 8) if "beat" in c.key] == ["beat/0", "beat/1", "beat/2"]


def test_foreign_entries_are_passed_over_and_memory_is_bounded():
    taker = DecisionSubscriber(max_topics=4)
    for data in (b"", b"\x81", b"\x81\x00garbage", b"\x82" + b"x"):
        assert taker.receive_entry("beat/0", data) == ([], [])
    for number in range(50):
        taker.receive_entry("beat/0", encode_entry(LeaseRenewal(number, [number])))
        taker.receive_entry(f"decree/{number}", encode_entry(DecisionReference(f"m{number}", number, 0)))
        taker.receive_decision(decree(f"t{number}", number))
    assert len(taker.renewals) <= 8 and len(taker.pending_fetches) <= 4 and len(taker.decisions) <= 4


def test_golden():
    assert encode_entry(LeaseRenewal(7, [1, 300])).hex() == "8193a4626561740792" + "01cd012c"
    assert encode_entry(DecisionReference("a", 5, 6)).hex() == "8194a46d61726ba1610506"
