"""Per-key ordering."""

from cressrock.interface import ClientLeft, Outcome, TimerFired
from tests.scheduler.support import host, make_arrival, make_attempt_ended, sent


def test_a_request_waits_for_the_earlier_one_and_for_the_pause_after_its_time_out():
    scheduler = host(initial_window=5.0, order_settle_ms=200.0)
    assert sent(
        scheduler.act(0.0, [make_arrival("r1", cls=3, key="k"), make_arrival("r2", cls=3, key="k")])
    ) == ["r1"]
    # The first client left, but the attempt is still outstanding: the second request waits.
    assert sent(scheduler.act(1.0, [ClientLeft("r1")])) == []
    assert sent(scheduler.act(2.0, [make_attempt_ended("r1", Outcome.TIMEOUT, latency_ms=2.0)])) == []
    assert sent(scheduler.act(150.0, [TimerFired(0)])) == []
    later = scheduler.act(203.0, [TimerFired(0)]) + scheduler.act(300.0, [TimerFired(0)])
    assert sent(later) == ["r2"]
