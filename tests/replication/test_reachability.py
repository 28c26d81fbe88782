"""Reachability by one process's attempts, and by the reports of many processes."""

from cressrock.interface import Outcome
from cressrock.replication import reachability


def test_one_process_with_a_bad_network_does_not_replace_a_primary():
    tracker = reachability.ReachabilityTracker()
    for now_ms in (0.0, 100.0):
        tracker.record_outcome(7, Outcome.NO_CONNECTION, now_ms)
    assert (
        not tracker.is_unreachable(7, 100.0)
        and tracker.is_unreachable(7, 200.0)
        and not tracker.is_unreachable(7, 9000.0)
    )
    assert tracker.report(7, 200.0, False) == reachability.UNREACHABLE
    tracker.record_outcome(7, Outcome.FULL, 300.0)  # a node that rejects work is reachable
    assert (
        tracker.report(7, 300.0, False) is None and tracker.report(7, 300.0, True) == reachability.REACHABLE
    )
    # Without a listed node there are no attempts: the node list is the evidence.
    tracker.record_node_list({7}, {7, 8}, 1000.0)
    tracker.record_node_list({7}, {7, 8}, 1400.0)
    assert not tracker.is_unreachable(8, 1400.0) and tracker.is_unreachable(8, 1500.0)
    tracker.record_node_list({7, 8}, {7, 8}, 1600.0)
    assert not tracker.is_unreachable(8, 9000.0)
    assert not reachability.is_lost({"d0": reachability.UNREACHABLE}, 2)
    assert reachability.is_lost(
        {"d0": reachability.UNREACHABLE, "d1": reachability.UNREACHABLE, "d2": reachability.REACHABLE}, 2
    )
    assert not reachability.is_lost(
        dict.fromkeys("ab", reachability.UNREACHABLE) | dict.fromkeys("cde", reachability.REACHABLE), 2
    )
