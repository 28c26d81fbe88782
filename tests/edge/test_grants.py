"""Grant validation, checked exhaustively over all short sequences of actions."""

import itertools

import pytest

from cressrock.dispatch.ledger import Attempt, FenceTrip, Ledger
from cressrock.dispatch.reasons import Reason
from cressrock.edge.grants import GrantFence, GrantRejection, RejectedGrant
from cressrock.interface import Idempotency, Node, Outcome, RequestClass
from cressrock.link.messages import Grant

READ = RequestClass(latency_objective_ms=300, deadline_ms=9000, idempotency=Idempotency.ALWAYS)


def make_fence(**changes):
    """Return a ledger with operation `r` and node `n`, and a fence over it."""
    ledger = Ledger(drain_grace_ms=250, answer_slack_ms=8, max_open=10)
    ledger.update_nodes([Node("n", 0)], 0, complete=True)
    ledger.accept("r", "x", READ, 9000, 0)
    return ledger, GrantFence(ledger, **changes)


def grant(number, epoch, attempt=0, until=100.0):
    """Return a grant for operation `r` at node `n`."""
    return Grant(number, epoch, "r", attempt, "n", until)


def test_grant_is_valid_once_in_its_epoch_until_it_expires():
    ledger, fence = make_fence()
    assert fence.use("p", grant(1, 1), 0) == RejectedGrant(GrantRejection.NO_PLANNER, "r")
    assert fence.enter_epoch("p", 1)
    assert fence.use("q", grant(1, 1), 0).reason is GrantRejection.EPOCH
    assert fence.use("p", grant(1, 2), 0).reason is GrantRejection.EPOCH
    assert fence.use("p", grant(1, 1), 101).reason is GrantRejection.EXPIRED
    assert fence.use("p", grant(1, 1), 0).reason is GrantRejection.USED  # an earlier check used it up
    assert isinstance(fence.use("p", grant(2, 1), 0), Attempt)
    # The ledger refuses a second attempt while one is in flight.
    assert isinstance(fence.use("p", grant(3, 1, attempt=1), 0), FenceTrip)
    ledger.record_outcome("r", 0, Outcome.ERROR)
    assert fence.use("p", grant(4, 1, attempt=0), 0).reason is GrantRejection.ATTEMPT
    assert isinstance(fence.use("p", grant(5, 1, attempt=2), 0), Attempt)
    ledger.fail("r", Reason.ATTEMPTS)
    assert fence.use("p", grant(6, 1, attempt=3), 0).reason is GrantRejection.ANSWERED


def test_older_epoch_of_a_planner_is_refused():
    _, fence = make_fence()
    assert fence.enter_epoch("p", 2) and fence.enter_epoch("q", 1) and not fence.enter_epoch("p", 1)
    assert fence.planner == "q" and fence.enter_epoch("p", 2)


def test_forgotten_grant_numbers_count_as_used():
    _, fence = make_fence(max_used=5)
    fence.enter_epoch("p", 1)
    for number in range(50):
        fence.use("p", grant(number, 1, attempt=99), 0)
    assert all(fence.use("p", grant(n, 1), 0).reason is GrantRejection.USED for n in range(50))


ACTIONS = {
    "old grant": lambda fence, ledger, now: fence.use("p", grant(1, 1), now),
    "same again": lambda fence, ledger, now: fence.use("p", grant(1, 1), now),
    "old, next": lambda fence, ledger, now: fence.use("p", grant(2, 1, attempt=1), now),
    "new grant": lambda fence, ledger, now: fence.use("p", grant(1, 2, until=300.0), now),
    "other's": lambda fence, ledger, now: fence.use("q", grant(1, 1, until=300.0), now),
    "join old": lambda fence, ledger, now: fence.enter_epoch("p", 1),
    "join new": lambda fence, ledger, now: fence.enter_epoch("p", 2),
    "join other": lambda fence, ledger, now: fence.enter_epoch("q", 1),
    "leave": lambda fence, ledger, now: fence.leave_epoch(),
    "ended": lambda fence, ledger, now: end_attempt(ledger),
    "rejected": lambda fence, ledger, now: ledger.reject("r", Reason.SCHEDULER),
    "wait": None,
}


def end_attempt(ledger):
    """End the attempt of `r` that is in flight, if there is one."""
    if (attempt := attempt_in_flight(ledger)) is not None:
        ledger.record_outcome("r", attempt.number, Outcome.ERROR)


def attempt_in_flight(ledger):
    """Return the attempt of `r` that has no outcome yet."""
    entry = ledger.entries.get("r")
    return entry.attempt_in_flight() if entry is not None else None


def find_violation(depth, make=make_fence):
    """Try all sequences of `depth` actions; return how many, and the first violation or None."""
    count = 0
    for sequence in itertools.product(ACTIONS, repeat=depth):
        count += 1
        ledger, fence = make()
        now, seen_new, used, answered = 0.0, False, set(), False
        for name in sequence:
            if name == "wait":
                now += 150
                continue
            session = (fence.planner, fence.epoch)
            was_in_flight = attempt_in_flight(ledger) is not None
            result = ACTIONS[name](fence, ledger, now)
            seen_new |= name == "join new"
            if isinstance(result, Attempt):
                granter = ("q", 1) if name == "other's" else ("p", 2) if name == "new grant" else ("p", 1)
                key = (*granter, 2 if name == "old, next" else 1)
                late = now > (300 if granter != ("p", 1) else 100)
                fenced = session != granter or (granter == ("p", 1) and seen_new)
                if was_in_flight or answered or fenced or late:
                    return count, sequence
                if key in used and session == granter and "join" not in " ".join(sequence[1:]):
                    return count, sequence
                used.add(key)
            answered |= name == "rejected" and result is not None
    return count, None


def test_no_sequence_of_five_actions_violates_the_fence():
    count, broken = find_violation(5)
    assert broken is None and count == 12**5


class IgnoresEpoch(GrantFence):
    """Deliberate bug: accepts grants of any epoch."""

    def use(self, planner, grant, now):
        self.planner, self.epoch = planner, grant.epoch
        return super().use(planner, grant, now)


class IgnoresExpiry(GrantFence):
    """Deliberate bug: accepts expired grants."""

    def use(self, planner, grant, now):
        return super().use(planner, grant, min(now, 0.0))


@pytest.mark.parametrize("bug", [IgnoresEpoch, IgnoresExpiry])
def test_explorer_finds_a_seeded_bug(bug):
    def make():
        ledger, _ = make_fence()
        return ledger, bug(ledger)

    assert find_violation(4, make)[1] is not None
