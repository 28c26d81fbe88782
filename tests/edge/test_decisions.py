"""The edge's decisions with and without a planner: one decider at a time, nothing counted twice."""

from cressrock.edge.grants import GrantRejection
from cressrock.edge.operations import Decider, OrderedAttempt
from cressrock.interface import (
    Arrival,
    ClientLeft,
    Fail,
    Idempotency,
    LimitLease,
    Node,
    NodeState,
    Outcome,
    RequestClass,
    RetryBudgetUsage,
    Send,
)
from cressrock.link import messages


def test_edge_without_planner_decides_and_leases_locally(edge):
    assert edge.arrive(0, "a") == [Send("a", "n")]
    assert not edge.scheduler.of_kind(LimitLease)
    edge.scheduler.sends = False
    edge.arrive(500, "b", plan=1)
    assert edge.scheduler.of_kind(LimitLease) == [LimitLease("v", 1.0, 1500.0)]


def test_edge_without_scheduler_offers_waiting_operations_to_the_next_planner(edge_without_scheduler):
    assert edge_without_scheduler.arrive(0, "a") == []
    assert edge_without_scheduler.core.planner_joined("p", 7, 500)
    (offer,) = edge_without_scheduler.up()
    # It waited too long to be counted in a retry budget.
    assert (offer.operation, offer.earlier_attempts, offer.counted_in_budget) == ("a", 0, True)


def test_units_are_leased_to_the_planner_once_and_only_with_a_recent_stamp(edge):
    edge.core.planner_joined("p", 7, 1000)
    edge.arrive(1000, "a", plan=1)
    (offer,) = edge.up()
    assert (offer.leased_units, offer.stamp) == (1.0, 0)
    edge.arrive(1900, "b", plan=1)
    # The only stamp, the handshake, is too old: the lease would expire almost immediately.
    assert edge.up()[0].leased_units == 0.0
    edge.core.receive_order("p", messages.ClockStamp(4))
    edge.turn(1950)
    assert edge.up(messages.LimitLease) == [messages.LimitLease(3, 1950, "v", 1, 1.0, 4)]
    edge.core.receive_order("p", messages.ClockStamp(5))
    edge.turn(1990)
    assert edge.up(messages.LimitLease) == []  # the demand is already covered
    edge.core.receive_order("q", messages.ClockStamp(9))
    edge.turn(1995)
    assert edge.core.session.stamp == 5


def test_handed_over_operation_carries_its_attempts_and_whether_it_was_counted(edge):
    edge.arrive(0, "a")
    edge.core.planner_joined("p", 7, 10)
    assert edge.up() == []  # the local scheduler's attempt is in flight
    edge.end(20, "a", Outcome.ERROR)
    (offer,) = edge.up()
    assert (offer.earlier_attempts, offer.counted_in_budget) == (1, True)
    assert ClientLeft("a") in edge.scheduler.events
    assert edge.grant(30, "a", 1) == [Send("a", "n")]
    edge.core.planner_lost(40)
    assert edge.turn(40) == []  # the planner's attempt is still in flight
    edge.end(50, "a", Outcome.RESET, 1)
    (again,) = edge.scheduler.of_kind(Arrival)[1:]
    assert (again.earlier_attempts, again.counted_in_budget, again.remaining_ms) == (2, True, 3950)


def test_new_operation_is_counted_only_by_its_first_planner(edge):
    edge.core.planner_joined("p", 7, 0)
    edge.arrive(0, "a")
    (offer,) = edge.up()
    assert not offer.counted_in_budget
    edge.core.planner_lost(100)
    edge.core.planner_joined("q", 8, 200)
    edge.turn(200)
    assert [offer.counted_in_budget for offer in edge.up()] == [True]


def test_offer_delayed_by_missing_credit_is_not_counted(edge):
    edge.core.planner_joined("p", 7, 0)
    edge.arrive(0, "a")
    edge.arrive(0, "b")
    assert not edge.core.outbox.pop_next(1.0).counted_in_budget
    assert edge.core.outbox.pop_next(1.5).counted_in_budget


def test_grant_after_a_rejected_one_keeps_the_planners_attempt_number(edge):
    edge.core.planner_joined("p", 7, 0)
    edge.arrive(0, "a")
    edge.up()
    edge.ledger.update_nodes([Node("n", 0, state=NodeState.DRAINING)], 0, complete=True)
    assert edge.grant(500, "a", 0) == []
    ended, draining = edge.core.outbox
    assert (ended.attempt, ended.outcome, draining.node) == (0, "moot", "n")
    edge.ledger.update_nodes([Node("n", 0)], 600, complete=True)
    assert edge.grant(600, "a", 1) == [Send("a", "n")]
    # For the ledger this is the first attempt.
    assert [attempt.number for attempt in edge.ledger.entries["a"].attempts] == [0]
    edge.up(messages.AttemptEnded)
    edge.end(700, "a", Outcome.ERROR)
    assert [event.attempt for event in edge.up(messages.AttemptEnded)] == [1]  # the planner's number


def test_key_order_is_kept_when_the_decider_changes(edge):
    edge.core.planner_joined("p", 7, 0)
    edge.arrive(0, "a", cls=1, key="k")
    edge.up()
    assert edge.grant(1, "a", 0)
    edge.core.planner_lost(10)
    assert edge.arrive(11, "b", cls=1, key="k") == []  # the previous planner's attempt holds the key
    assert edge.arrive(12, "c", cls=1, key="other") == [Send("c", "n")]
    assert edge.end(100, "a", Outcome.TIMEOUT) == [Fail("a")]
    assert edge.turn(399) == []  # the timed-out attempt may still run
    assert edge.turn(400) == [Send("b", "n")]


def test_grant_out_of_key_order_is_rejected(edge):
    edge.arrive(0, "a", cls=1, key="k")
    edge.core.planner_joined("p", 7, 10)
    edge.arrive(11, "b", cls=1, key="k")
    assert edge.up() == []
    edge.core.operations["b"].decider = Decider.PLANNER  # as if the planner had been offered it
    edge.core.table.undecided.clear()
    assert edge.grant(12, "b", 0) == []
    assert edge.core.grants.rejections[GrantRejection.ORDER] == 1


def test_grant_for_an_operation_with_another_decider_is_rejected(edge):
    edge.arrive(0, "a")
    edge.end(5, "a", Outcome.FULL)
    edge.core.planner_joined("p", 7, 10)
    edge.core.operations["a"].decider = Decider.LOCAL
    assert edge.grant(31, "a", 1) == []
    assert edge.core.grants.rejections[GrantRejection.DECIDER] == 1


def test_keyed_operation_that_may_have_run_stays_with_the_local_scheduler(edge):
    edge.scheduler.sends = False
    keyed = RequestClass(
        latency_objective_ms=1,
        deadline_ms=4000,
        idempotency=Idempotency.KEYED,
        deduplication_window_ms=4000,
    )
    edge.ledger.accept("a", "x", keyed, 4000, 0)
    edge.turn(0, Arrival("a", "v", "", 1.0, 4000.0, 0, 0))
    edge.ledger.send("a", "n", 1)
    edge.core.table.attempts_in_flight["a"] = OrderedAttempt(
        edge.core.operations["a"].decider, 0, "v", 0, 1.0
    )
    edge.end(10, "a", Outcome.RESET)
    edge.core.planner_joined("p", 7, 20)
    edge.turn(20)
    assert edge.up() == [] and edge.core.operations["a"].decider is Decider.LOCAL


def test_operation_whose_planner_is_lost_mid_attempt_fails_before_its_deadline(edge_without_scheduler):
    edge = edge_without_scheduler
    edge.core.planner_joined("p", 7, 0)
    edge.arrive(0, "a")
    edge.grant(1, "a", 0)
    edge.core.planner_lost(10)
    assert edge.turn(3949) == []
    assert edge.turn(3950) == [Fail("a")]
    assert not any(edge.ledger.fence_trips.values())


def test_next_decider_receives_requests_and_retries_of_others_once(edge):
    def reported():
        return [(event.retry_ages_ms, event.request_ages_ms) for event in edge.up(messages.BudgetHistory)]

    edge.arrive(0, "a")
    edge.end(10, "a", Outcome.ERROR)
    edge.core.planner_joined("p", 7, 1000)
    assert reported() == [([], [1000])]
    edge.turn(1000)
    edge.grant(1100, "a", 1)
    edge.end(1200, "a", Outcome.ERROR, 1)
    edge.core.planner_lost(1300)
    edge.turn(1300)
    assert edge.scheduler.of_kind(RetryBudgetUsage) == [RetryBudgetUsage((1100,), ())]
    edge.core.planner_joined("p", 7, 1400)  # same epoch: its own retries are not reported
    assert reported() == [([100], [])]  # the local retry at 1300
    edge.core.planner_lost(1500)
    edge.core.planner_joined("q", 8, 1600)
    assert reported() == [([500, 300], [1600])]
    edge.core.planner_lost(9000)
    edge.core.planner_joined("r", 9, 9100)
    assert edge.up(messages.BudgetHistory) == []  # outside the window
