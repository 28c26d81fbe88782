"""Councils under seeded faults, and the judge of histories that no group can talk into anything."""

import random

import pytest

from cressrock.lab.councilsim import Plan, simulate
from cressrock.lab.histories import FOREVER, Operation, Verdict, judge, judge_key


@pytest.mark.parametrize("seed, seats", [(1, 3), (2, 5), (3, 3)])
def test_a_group_under_faults_keeps_what_it_decided_and_comes_back(seed, seats):
    result = simulate(Plan(seed=seed, seats=seats, faults=40))
    print(f"seed {seed}, {seats} seats: {dict(result.faults)}, {result.operations} operations")
    assert not result.broken, result.broken
    assert set(result.verdicts.values()) == {Verdict.LINEARIZABLE}
    assert result.restores > 0 and result.leaders > 3
    assert result.operations > 100 and sum(result.faults.values()) == 40


def test_one_seed_is_one_run():
    one, two = (simulate(Plan(seed=9, faults=10)) for _ in range(2))
    assert one == two


@pytest.mark.parametrize("changes", [{"stale_reads": True}, {"lying_disk": 4, "compact_at": 10**9}])
def test_a_group_that_is_broken_on_purpose_is_found_out(changes):
    for seed in range(1, 11):
        result = simulate(Plan(seed=seed, faults=40, **changes))
        if result.broken:
            print(f"seed {seed}: {result.broken[:200]}")
            return
    raise AssertionError("nothing was found")


def test_in_calm_the_first_leader_stays_and_decides_in_a_small_part_of_an_election():
    result = simulate(Plan(seed=4, faults=0, calm_ms=10_000))
    assert not result.broken and result.leaders == 1 and result.led_share > 0.9
    assert sorted(result.decide_ms)[len(result.decide_ms) // 2] < result.plan.timing.election_ms / 10


def read(result, called, returned):
    return Operation("x", "read", called, returned, result=result)


def write(value, called, returned=FOREVER):
    return Operation("x", "write", called, returned, value)


def swap(expected, value, result, called, returned=FOREVER):
    return Operation("x", "swap", called, returned, value, expected, result)


@pytest.mark.parametrize(
    "right, history",
    [
        (True, [write("a", 0, 1), read("a", 2, 3)]),
        (False, [write("a", 0, 1), read(None, 2, 3)]),  # stale
        (True, [write("a", 0, 5), read(None, 1, 2), read("a", 3, 4)]),
        (False, [write("a", 0, 5), read("a", 1, 2), read(None, 3, 4)]),  # back again
        (True, [write("a", 0), read(None, 1, 2), read("a", 8, 9)]),  # no answer: it took effect late
        (True, [write("a", 0), read(None, 8, 9)]),  # or never
        (False, [write("a", 0), read("a", 1, 2), read(None, 3, 4)]),
        (True, [write("a", 0, 1), swap("a", "b", True, 2, 3), swap("a", "c", False, 4, 5), read("b", 6, 7)]),
        (False, [write("a", 0, 1), swap("a", "b", True, 2, 5), swap("a", "c", True, 2, 5)]),  # both won
        (False, [write("a", 0, 1), write("b", 2, 3), read("b", 4, 5), read("a", 6, 7)]),  # lost
        (True, [write("a", 0, 9), write("b", 0, 9), read("b", 1, 2), read("a", 3, 4)]),
        (False, [read("a", 0, 1), write("a", 2, 3)]),  # before it was written
    ],
)
def test_histories_are_judged_by_clients_words_alone(right, history):
    assert judge_key(history) is (Verdict.LINEARIZABLE if right else Verdict.NOT)


def test_the_judge_agrees_with_trying_every_order():
    """Against brute force over all orders, on small random histories with answers right and wrong."""
    from itertools import permutations

    def fits(order):
        state = None
        for number, one in enumerate(order):
            if any(later.returned < one.called for later in order[number + 1 :]):
                return False
            if one.kind == "read" and one.result != state:
                return False
            if one.kind == "swap" and one.result != (state == one.expected):
                return False
            if one.kind == "write" or (one.kind == "swap" and state == one.expected):
                state = one.value
        return True

    source, seen = random.Random(7), set()
    for _ in range(300):
        history = []
        for _ in range(5):
            called = source.random()
            back = called + source.random() / 2
            kind = source.randrange(3)
            value, other = source.choice("ab"), source.choice(["a", "b", None])
            history.append(
                read(other, called, back)
                if kind == 0
                else write(value, called, back)
                if kind == 1
                else swap(other, value, source.random() < 0.5, called, back)
            )
        right = any(fits(order) for order in permutations(history))
        seen.add(right)
        assert judge_key(history) is (Verdict.LINEARIZABLE if right else Verdict.NOT), history
    assert seen == {True, False}


def test_keys_are_judged_apart_and_a_search_too_long_is_undecided():
    many = [write(str(number), 0, 100) for number in range(12)] + [read("none", 101, 102)]
    assert judge_key(many, most=1000) is Verdict.UNDECIDED
    other = Operation("y", "read", 0, 1, result="z")
    assert judge([write("a", 0, 1), other]) == {"x": Verdict.LINEARIZABLE, "y": Verdict.NOT}
