"""Attempts whose response is presumed lost."""

from cressrock.interface import AttemptEnded, Cancel, Outcome, TimerFired
from cressrock.scheduler.lost_attempts import MAX_LATENCY_MULTIPLE, MIN_LATENCY_MULTIPLE
from tests.scheduler.support import final_answers, host, make_arrival, make_attempt_ended, sent


def test_an_overtaken_attempt_frees_its_slot_and_is_cancelled():
    """With one response in ten lost, every slot of a healthy node would be held until the deadline."""
    scheduler = host(initial_window=2.0, may_cancel=True)
    scheduler.act(0.0, [make_arrival("lost", remaining_ms=1500.0), make_arrival("r0")])
    node = scheduler.endpoints.by_name["a"]
    actions, out = [], "r0"
    for step in range(1, 60):
        node.limit.window = 1.0
        new = make_arrival(f"r{step}")
        events = [make_attempt_ended(out, latency_ms=5.0)] if out else []
        got = scheduler.act(5.0 * step, [*events, new])
        actions += got
        out = sent(got)[-1] if sent(got) else None
    assert "lost" not in node.in_flight
    assert [(a.request, a.attempt) for a in actions if isinstance(a, Cancel)] == [("lost", 0)]
    more = scheduler.act(300.0, [make_attempt_ended("lost", Outcome.CANCELLED, latency_ms=300.0)])
    assert final_answers(more) == [] and "lost" in scheduler.requests


def test_attempts_are_not_presumed_lost_while_none_gets_a_response():
    scheduler = host(initial_window=4.0, may_cancel=True)
    scheduler.act(0.0, [make_arrival(f"r{i}") for i in range(4)])
    actions = scheduler.act(200.0, [TimerFired(0)])
    assert not any(isinstance(a, Cancel) for a in actions)
    assert len(scheduler.endpoints.by_name["a"].in_flight) == 4


def test_the_latency_multiple_adapts_to_how_presumed_lost_attempts_end():
    """A fixed multiple would either hold slots for lost responses or give up on slow ones."""
    scheduler = host(initial_window=2.0, max_attempts=1)
    now = 0.0

    def overtaken(name, outcome):
        """Send an attempt, let later ones overtake it until it is presumed lost, then end it."""
        nonlocal now
        scheduler.act(now, [make_arrival(name, remaining_ms=1500.0)])
        for step in range(30):
            now += 40.0
            scheduler.act(now, [make_arrival(f"{name}-{step}")])
            scheduler.act(now + 20.0, [make_attempt_ended(f"{name}-{step}")])
        assert name in scheduler.endpoints.by_name["a"].presumed_lost
        scheduler.act(now + 25.0, [AttemptEnded(name, 0, outcome, True, 1225.0)])
        now += 30.0

    scheduler.act(now, [make_arrival("first")])
    scheduler.act(now + 20.0, [make_attempt_ended("first")])
    now += 25.0
    assert scheduler.lost_attempts.latency_multiple == MAX_LATENCY_MULTIPLE
    for number in range(6):
        overtaken(f"l{number}", Outcome.TIMEOUT)
    assert scheduler.lost_attempts.latency_multiple == MIN_LATENCY_MULTIPLE
    for number in range(9):
        overtaken(f"s{number}", Outcome.OK)
    assert scheduler.lost_attempts.latency_multiple == MAX_LATENCY_MULTIPLE
