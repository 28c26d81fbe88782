"""Grants: every sequence of a small world, tried against the real code."""

import itertools

import pytest

from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger
from cressrock.dispatch.reasons import Reason
from cressrock.edge.grants import Grants, Stale, Unused
from cressrock.interface import Idempotency, Node, Outcome, RequestClass
from cressrock.link.messages import Grant

READ = RequestClass(latency_objective_ms=300, deadline_ms=9000, idempotency=Idempotency.ALWAYS)


def world(**changes):
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=10)
    ledger.update_nodes([Node("n", 0)], 0, complete=True)
    ledger.accept("r", "x", READ, 9000, 0)
    return ledger, Grants(ledger, **changes)


def grant(number, epoch, attempt=0, until=100.0):
    return Grant(number, epoch, "r", attempt, "n", until)


def test_a_grant_is_used_once_in_its_epoch_and_its_time():
    ledger, grants = world()
    assert grants.use("p", grant(1, 1), 0) == Unused(Stale.AWAY, "r")
    assert grants.joined("p", 1)
    assert grants.use("q", grant(1, 1), 0).reason is Stale.EPOCH
    assert grants.use("p", grant(1, 2), 0).reason is Stale.EPOCH
    assert grants.use("p", grant(1, 1), 101).reason is Stale.EXPIRED
    assert grants.use("p", grant(1, 1), 0).reason is Stale.USED  # looked at once is used
    assert isinstance(grants.use("p", grant(2, 1), 0), Attempt)
    assert isinstance(grants.use("p", grant(3, 1, attempt=1), 0), FenceTrip)  # the ledger: one is out
    ledger.record_outcome("r", 0, Outcome.ERROR)
    assert grants.use("p", grant(4, 1, attempt=0), 0).reason is Stale.ATTEMPT
    assert isinstance(grants.use("p", grant(5, 1, attempt=2), 0), Attempt)
    ledger.fail("r", Reason.ATTEMPTS)
    assert grants.use("p", grant(6, 1, attempt=3), 0).reason is Stale.OVER


def test_a_former_life_of_a_planner_is_not_joined_again():
    _, grants = world()
    assert grants.joined("p", 2) and grants.joined("q", 1) and not grants.joined("p", 1)
    assert grants.planner == "q" and grants.joined("p", 2)


def test_what_is_remembered_of_used_grants_is_bounded_and_forgets_on_the_safe_side():
    _, grants = world(max_used=5)
    grants.joined("p", 1)
    for number in range(50):
        grants.use("p", grant(number, 1, attempt=99), 0)
    assert all(grants.use("p", grant(n, 1), 0).reason is Stale.USED for n in range(50))


ACTIONS = {
    "old grant": lambda g, led, now: g.use("p", grant(1, 1), now),
    "same again": lambda g, led, now: g.use("p", grant(1, 1), now),
    "old, next": lambda g, led, now: g.use("p", grant(2, 1, attempt=1), now),
    "new grant": lambda g, led, now: g.use("p", grant(1, 2, until=300.0), now),
    "other's": lambda g, led, now: g.use("q", grant(1, 1, until=300.0), now),
    "join old": lambda g, led, now: g.joined("p", 1),
    "join new": lambda g, led, now: g.joined("p", 2),
    "join other": lambda g, led, now: g.joined("q", 1),
    "away": lambda g, led, now: g.away(),
    "ended": lambda g, led, now: _end(led),
    "refused": lambda g, led, now: led.refuse("r", Reason.SCHEDULER),
    "wait": None,
}


def _end(ledger):
    entry = ledger.entries.get("r")
    out = entry.out() if entry is not None else None
    if out is not None:
        ledger.ended("r", out.number, Outcome.ERROR)


def explore(depth, make=world):
    """Try every sequence of actions; returns how many, and the first that breaks a promise."""
    count = 0
    for sequence in itertools.product(ACTIONS, repeat=depth):
        count += 1
        ledger, grants = make()
        now, seen_new, used, over = 0.0, False, set(), False
        for name in sequence:
            if name == "wait":
                now += 150
                continue
            session = (grants.planner, grants.epoch)
            entry = ledger.entries.get("r")
            out_before = entry is not None and entry.out() is not None
            result = ACTIONS[name](grants, ledger, now)
            seen_new |= name == "join new"
            if isinstance(result, Attempt):
                who = ("q", 1) if name == "other's" else ("p", 2) if name == "new grant" else ("p", 1)
                key = (*who, 2 if name == "old, next" else 1)
                late = now > (300 if who != ("p", 1) else 100)
                if out_before or over or session != who or late or (who == ("p", 1) and seen_new):
                    return count, sequence
                if key in used and session == who and "join" not in " ".join(sequence[1:]):
                    return count, sequence
                used.add(key)
            over |= name == "refused" and result is not None
    return count, None


def test_every_sequence_of_messages_losses_and_crashes_up_to_five_steps():
    count, broken = explore(5)
    assert broken is None and count == 12**5


class Trusting(Grants):
    """A seeded bug: takes any epoch's grants."""

    def use(self, planner, grant, now):
        self.planner, self.epoch = planner, grant.epoch
        return super().use(planner, grant, now)


class Timeless(Grants):
    """A seeded bug: never looks at the time."""

    def use(self, planner, grant, now):
        return super().use(planner, grant, min(now, 0.0))


@pytest.mark.parametrize("bug", [Trusting, Timeless])
def test_the_explorer_finds_a_seeded_bug(bug):
    def make():
        ledger, _ = world()
        return ledger, bug(ledger)

    assert explore(4, make)[1] is not None
