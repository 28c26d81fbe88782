"""Attempts whose answer is presumed lost."""

from cressrock.interface import AttemptEnded, Cancel, Outcome, TimerFired
from cressrock.scheduler.lost_attempts import MAX_LATENCY_MULTIPLE, MIN_LATENCY_MULTIPLE
from tests.scheduler.support import ask, done, finals, host, sent


def test_an_overtaken_attempt_frees_its_slot_and_is_tried_again():
    """Danger: one answer in ten lost on the way holds every slot of a healthy node until the deadline."""
    scheduler = host(depth=2.0, may_cancel=True)
    scheduler.act(0.0, [ask("lost", remaining=1500.0), ask("r0")])
    node = scheduler.endpoints.by_name["a"]
    actions, out = [], "r0"
    for step in range(1, 60):
        node.limit.window = 1.0
        new = ask(f"r{step}")
        events = [done(out, lag=5.0)] if out else []
        got = scheduler.act(5.0 * step, [*events, new])
        actions += got
        out = sent(got)[-1] if sent(got) else None
    assert "lost" not in node.in_flight
    assert [(a.request, a.attempt) for a in actions if isinstance(a, Cancel)] == [("lost", 0)]
    more = scheduler.act(300.0, [done("lost", Outcome.CANCELLED, lag=300.0)])
    assert finals(more) == [] and "lost" in scheduler.requests


def test_a_silence_of_all_attempts_is_not_taken_for_lost_answers():
    scheduler = host(depth=4.0, may_cancel=True)
    scheduler.act(0.0, [ask(f"r{i}") for i in range(4)])
    actions = scheduler.act(200.0, [TimerFired(0)])
    assert not any(isinstance(a, Cancel) for a in actions)
    assert len(scheduler.endpoints.by_name["a"].in_flight) == 4


def test_when_an_attempt_counts_as_lost_is_learnt_from_what_became_of_those():
    """Danger: one multiple for all holds slots for lost answers here, and gives up slow ones there."""
    scheduler = host(depth=2.0, max_attempts=1)
    now = 0.0

    def overtaken(name, outcome):
        """Send one, let later ones overtake it until it counts as lost, then end it."""
        nonlocal now
        scheduler.act(now, [ask(name, remaining=1500.0)])
        for step in range(30):
            now += 40.0
            scheduler.act(now, [ask(f"{name}-{step}")])
            scheduler.act(now + 20.0, [done(f"{name}-{step}")])
        assert name in scheduler.endpoints.by_name["a"].presumed_lost
        scheduler.act(now + 25.0, [AttemptEnded(name, 0, outcome, True, 1225.0)])
        now += 30.0

    scheduler.act(now, [ask("first")])
    scheduler.act(now + 20.0, [done("first")])
    now += 25.0
    assert scheduler.lost_attempts.latency_multiple == MAX_LATENCY_MULTIPLE
    for number in range(6):
        overtaken(f"l{number}", Outcome.TIMEOUT)
    assert scheduler.lost_attempts.latency_multiple == MIN_LATENCY_MULTIPLE
    for number in range(9):
        overtaken(f"s{number}", Outcome.OK)
    assert scheduler.lost_attempts.latency_multiple == MAX_LATENCY_MULTIPLE
