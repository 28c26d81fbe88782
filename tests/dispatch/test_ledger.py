"""The ledger under any interleaving: exactly one answer, fences by the rules' fixed reading."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cressrock.dispatch.ledger import FenceTrip, Ledger, Verdict
from cressrock.dispatch.reasons import Fence, Reason
from cressrock.interface import DeduplicationScope, Idempotency, Node, NodeState, Outcome, RequestClass

KEYED = RequestClass(
    latency_objective_ms=500,
    deadline_ms=4000,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.SHARD,
    deduplication_window_ms=4000,
)
UNSAFE = RequestClass(latency_objective_ms=500, deadline_ms=4000)
READ = RequestClass(latency_objective_ms=300, deadline_ms=1500, idempotency=Idempotency.ALWAYS)
A, B, C = Node("a", 0, 0), Node("b", 0, 1), Node("c", 1, 0)


def ledger(**changes):
    found = Ledger(**({"drain_grace_ms": 250, "answer_slack_ms": 8, "max_open": 100} | changes))
    found.update_nodes([A, B, C], 0, complete=True)
    return found


def taken(cls=KEYED, **changes):
    found = ledger(**changes)
    found.accept("r", "x", cls, 4000, 0)
    return found


def fence(result):
    assert isinstance(result, FenceTrip)
    return result.fence


def test_a_keyed_write_that_may_have_run_stays_in_its_window_its_rack_and_alone():
    book = taken()
    book.send("r", "a", 10)
    assert fence(book.send("r", "a", 20)) is Fence.TWICE
    book.record_outcome("r", 0, Outcome.TIMEOUT)
    assert fence(book.send("r", "c", 30)) is Fence.GROUP
    assert not isinstance(book.send("r", "b", 40), FenceTrip)  # the same rack
    book.record_outcome("r", 3, Outcome.RESET)
    assert not isinstance(book.send("r", "a", 4010), FenceTrip)
    book.record_outcome("r", 4, Outcome.RESET)
    assert fence(book.send("r", "a", 4011)) is Fence.WINDOW


def test_a_window_begins_with_the_first_attempt_that_may_have_run():
    book = taken()
    book.send("r", "a", 0)
    book.record_outcome("r", 0, Outcome.FULL)  # proves that it never ran
    book.send("r", "c", 3000)
    book.record_outcome("r", 1, Outcome.ERROR)
    assert fence(book.send("r", "a", 3500)) is Fence.GROUP
    assert not isinstance(book.send("r", "c", 6900), FenceTrip)


def test_unsafe_work_is_sent_again_only_if_nothing_ran():
    book = taken(UNSAFE)
    book.send("r", "a", 0)
    book.record_outcome("r", 0, Outcome.NO_CONNECTION)
    assert not isinstance(book.send("r", "c", 10), FenceTrip)
    book.record_outcome("r", 1, Outcome.ERROR)
    assert fence(book.send("r", "c", 20)) is Fence.UNSAFE


def test_a_refusal_that_cannot_be_proved_becomes_a_failure():
    book = taken()
    book.send("r", "a", 0)
    assert book.reject("r", Reason.SCHEDULER) is Verdict.FAILED
    assert book.fence_trips[Fence.REFUSAL] == 1
    assert taken().reject("r", Reason.SCHEDULER) is Verdict.REJECTED


def test_a_drain_bars_a_node_after_its_grace_and_a_return_frees_it():
    book = taken(READ)
    draining = Node("a", 0, 0, 0, NodeState.DRAINING)
    book.update_nodes([draining, B], 100, complete=True)  # c is gone
    book.update_nodes([draining, B], 300, complete=True)  # told again: the first telling counts
    assert not isinstance(book.send("r", "a", 350), FenceTrip)
    book.record_outcome("r", 0, Outcome.ERROR)
    assert fence(book.send("r", "a", 351)) is Fence.DRAIN
    assert fence(book.send("r", "c", 351)) is Fence.DRAIN
    book.update_nodes([A, B], 360, complete=True)
    assert not isinstance(book.send("r", "a", 361), FenceTrip)


def test_what_was_entered_may_not_leave_once_a_rule_would_break():
    """Danger: a connection comes up between the order and the first byte."""
    drained = taken()
    drained.send("r", "a", 10)
    drained.update_nodes([Node("a", 0, 0, state=NodeState.DRAINING)], 20, complete=False)
    assert drained.may_leave("r", 0, 270) and not drained.may_leave("r", 0, 271)

    late = ledger()
    late.accept("r", "x", KEYED, 9000, 0)
    late.send("r", "a", 10)
    assert late.may_leave("r", 0, 8000)  # a first attempt has no window to keep
    late.record_outcome("r", 0, Outcome.RESET)
    late.send("r", "a", 4000)
    assert late.may_leave("r", 1, 4010) and not late.may_leave("r", 1, 4011)

    answered = taken()
    answered.send("r", "a", 10)
    answered.fail("r", Reason.DEADLINE)
    assert not answered.may_leave("r", 0, 20) and not answered.may_leave("none", 0, 20)


def test_what_nobody_answered_is_overdue_once():
    book = taken()
    assert book.next_overdue_ms() == 4008
    assert book.overdue(4007) == []
    assert book.overdue(4008) == ["r"]
    book.fail("r", Reason.OVERDUE)
    assert book.overdue(9000) == [] and not book.entries


def test_bounds_of_operations_and_nodes():
    book = ledger(max_open=1, max_nodes=3)
    assert book.accept("1", "x", READ, 100, 0) is not None
    assert book.accept("2", "x", READ, 100, 0) is None
    for index in range(20):
        book.update_nodes([Node(f"n{index}", 0)], index, complete=True)
    assert len(book.nodes) == 3 and len(book.withdrawn_at_ms) <= 3
    assert isinstance(book.send("1", "a", 5), FenceTrip)
    with pytest.raises(ValueError, match="held already"):
        book.accept("1", "x", READ, 100, 0)


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("send"), st.sampled_from("abc")),
        st.tuples(st.just("ended"), st.sampled_from(list(Outcome))),
        st.tuples(st.just("commit"), st.none()),
        st.tuples(st.just("refuse"), st.none()),
        st.tuples(st.just("fail"), st.none()),
        st.tuples(st.just("left"), st.none()),
        st.tuples(st.just("overdue"), st.none()),
        st.tuples(st.just("drain"), st.sampled_from("abc")),
        st.tuples(st.just("wait"), st.floats(0, 3000)),
    ),
    max_size=30,
)


@settings(max_examples=400, deadline=None)
@given(STEPS, st.sampled_from([KEYED, UNSAFE, READ]))
def test_any_interleaving_gives_exactly_one_answer(steps, cls):
    """Outcomes, deadlines, leavings, cancellations and orders in any order: one answer, then nothing sent."""
    book = taken(cls)
    now, out, answers, sent = 0.0, [], [], 0
    for what, detail in steps:
        if what == "wait":
            now += detail
        elif what == "send":
            attempt = book.send("r", detail, now)
            if not isinstance(attempt, FenceTrip):
                assert not answers, "sent after the answer"
                assert not out, "two attempts out at once"
                out.append(attempt.number)
                sent += 1
        elif what == "ended" and out:
            settled = book.record_outcome("r", out.pop(), detail)
            if settled.answered_now:
                answers.append(Verdict.SERVED)
            assert settled.is_answered == bool(answers)
        elif what == "commit" and out and book.commit("r"):
            answers.append(Verdict.SERVED)
        elif what == "refuse" and (verdict := book.reject("r", Reason.SCHEDULER)) is not None:
            answers.append(verdict)
        elif what == "fail" and (verdict := book.fail("r", Reason.DEADLINE)) is not None:
            answers.append(verdict)
        elif what == "left" and book.client_left("r"):
            answers.append(Verdict.LEFT)
        elif what == "drain":
            book.update_nodes([Node(detail, 0, 0, 0, NodeState.DRAINING)], now, complete=False)
        elif what == "overdue":
            for _ in book.overdue(now):
                answers.append(book.fail("r", Reason.OVERDUE))
        assert len(answers) <= 1
    if not answers:
        assert book.overdue(now + 10000) == ["r"] or now >= 4008
        assert book.fail("r", Reason.OVERDUE) is Verdict.FAILED
    for number in out:
        book.record_outcome("r", number, Outcome.OK)
    assert not book.entries, "an operation is held for ever"
    assert sum(book.answer_counts.values()) == 1
