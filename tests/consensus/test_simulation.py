"""Simulated consensus groups under seeded faults, and the linearizability checker for client histories."""

import random

import pytest

from cressrock.lab.councilsim import Plan, simulate
from cressrock.lab.histories import FOREVER, Operation, Verdict, judge, judge_key


@pytest.mark.parametrize("seed, replica_count", [(1, 3), (2, 5), (3, 3)])
def test_a_group_under_faults_keeps_its_decisions_and_recovers(seed, replica_count):
    result = simulate(Plan(seed=seed, seats=replica_count, faults=40))
    print(f"seed {seed}, {replica_count} replicas: {dict(result.faults)}, {result.operations} operations")
    assert not result.broken, result.broken
    assert set(result.verdicts.values()) == {Verdict.LINEARIZABLE}
    assert result.restores > 0 and result.leaders > 3
    assert result.operations > 100 and sum(result.faults.values()) == 40


def test_the_same_seed_gives_the_same_run():
    first, second = (simulate(Plan(seed=9, faults=10)) for _ in range(2))
    assert first == second


@pytest.mark.parametrize("changes", [{"stale_reads": True}, {"lying_disk": 4, "compact_at": 10**9}])
def test_a_deliberately_broken_group_is_detected(changes):
    for seed in range(1, 11):
        result = simulate(Plan(seed=seed, faults=40, **changes))
        if result.broken:
            print(f"seed {seed}: {result.broken[:200]}")
            return
    raise AssertionError("no seed from 1 to 10 exposed the deliberately broken group")


def test_without_faults_the_first_leader_stays_and_commits_within_a_tenth_of_the_election_time():
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
    "is_linearizable, history",
    [
        (True, [write("a", 0, 1), read("a", 2, 3)]),
        (False, [write("a", 0, 1), read(None, 2, 3)]),  # stale read
        (True, [write("a", 0, 5), read(None, 1, 2), read("a", 3, 4)]),
        (False, [write("a", 0, 5), read("a", 1, 2), read(None, 3, 4)]),  # returns to an older value
        (True, [write("a", 0), read(None, 1, 2), read("a", 8, 9)]),  # no response: the write took effect late
        (True, [write("a", 0), read(None, 8, 9)]),  # no response: the write never took effect
        (False, [write("a", 0), read("a", 1, 2), read(None, 3, 4)]),
        (True, [write("a", 0, 1), swap("a", "b", True, 2, 3), swap("a", "c", False, 4, 5), read("b", 6, 7)]),
        (
            False,
            [write("a", 0, 1), swap("a", "b", True, 2, 5), swap("a", "c", True, 2, 5)],
        ),  # both swaps succeeded
        (
            False,
            [write("a", 0, 1), write("b", 2, 3), read("b", 4, 5), read("a", 6, 7)],
        ),  # the later write was lost
        (True, [write("a", 0, 9), write("b", 0, 9), read("b", 1, 2), read("a", 3, 4)]),
        (False, [read("a", 0, 1), write("a", 2, 3)]),  # read before the write started
    ],
)
def test_histories_are_judged_from_client_operations_alone(is_linearizable, history):
    assert judge_key(history) is (Verdict.LINEARIZABLE if is_linearizable else Verdict.NOT)


def test_the_checker_agrees_with_brute_force():
    """Compares the checker with brute force over all orders, on small random histories, valid and invalid."""
    from itertools import permutations

    def explains_history(order):
        state = None
        for number, operation in enumerate(order):
            if any(later.returned < operation.called for later in order[number + 1 :]):
                return False
            if operation.kind == "read" and operation.result != state:
                return False
            if operation.kind == "swap" and operation.result != (state == operation.expected):
                return False
            if operation.kind == "write" or (operation.kind == "swap" and state == operation.expected):
                state = operation.value
        return True

    random_source, seen = random.Random(7), set()
    for _ in range(300):
        history = []
        for _ in range(5):
            called = random_source.random()
            returned = called + random_source.random() / 2
            kind = random_source.randrange(3)
            value, other = random_source.choice("ab"), random_source.choice(["a", "b", None])
            history.append(
                read(other, called, returned)
                if kind == 0
                else write(value, called, returned)
                if kind == 1
                else swap(other, value, random_source.random() < 0.5, called, returned)
            )
        is_linearizable = any(explains_history(order) for order in permutations(history))
        seen.add(is_linearizable)
        assert judge_key(history) is (Verdict.LINEARIZABLE if is_linearizable else Verdict.NOT), history
    assert seen == {True, False}


def test_keys_are_checked_independently_and_a_search_over_its_limit_is_undecided():
    many = [write(str(number), 0, 100) for number in range(12)] + [read("none", 101, 102)]
    assert judge_key(many, most=1000) is Verdict.UNDECIDED
    other = Operation("y", "read", 0, 1, result="z")
    assert judge([write("a", 0, 1), other]) == {"x": Verdict.LINEARIZABLE, "y": Verdict.NOT}
