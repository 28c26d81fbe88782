"""Order per key."""

from cressrock.interface import ClientLeft, Outcome, TimerFired
from tests.scheduler.support import ask, done, host, sent


def test_order_waits_for_the_earlier_and_rests_after_a_time_out():
    scheduler = host(depth=5.0, order_settle_ms=200.0)
    assert sent(scheduler.act(0.0, [ask("r1", cls=3, key="k"), ask("r2", cls=3, key="k")])) == ["r1"]
    # The earlier one is over by the client's leaving but still out: the later one waits.
    assert sent(scheduler.act(1.0, [ClientLeft("r1")])) == []
    assert sent(scheduler.act(2.0, [done("r1", Outcome.TIMEOUT, lag=2.0)])) == []
    assert sent(scheduler.act(150.0, [TimerFired(0)])) == []
    later = scheduler.act(203.0, [TimerFired(0)]) + scheduler.act(300.0, [TimerFired(0)])
    assert sent(later) == ["r2"]
