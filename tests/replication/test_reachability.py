"""What one process's attempts say of a replica, and what many say together."""

from cressrock.interface import Outcome
from cressrock.replication import reachability


def test_one_processs_bad_network_moves_no_first_copy():
    found = reachability.ReachabilityTracker()
    for now in (0.0, 100.0):
        found.record_outcome(7, Outcome.NO_CONNECTION, now)
    assert (
        not found.is_unreachable(7, 100.0)
        and found.is_unreachable(7, 200.0)
        and not found.is_unreachable(7, 9000.0)
    )
    assert found.report(7, 200.0, False) == reachability.UNREACHABLE
    found.record_outcome(7, Outcome.FULL, 300.0)  # a node that refuses is there
    assert found.report(7, 300.0, False) is None and found.report(7, 300.0, True) == reachability.REACHABLE
    found.record_node_list(
        {7}, {7, 8}, 1000.0
    )  # nothing is sent where no node is listed: the list itself says it
    found.record_node_list({7}, {7, 8}, 1400.0)
    assert not found.is_unreachable(8, 1400.0) and found.is_unreachable(8, 1500.0)
    found.record_node_list({7, 8}, {7, 8}, 1600.0)
    assert not found.is_unreachable(8, 9000.0)
    assert not reachability.is_lost({"d0": reachability.UNREACHABLE}, 2)
    assert reachability.is_lost(
        {"d0": reachability.UNREACHABLE, "d1": reachability.UNREACHABLE, "d2": reachability.REACHABLE}, 2
    )
    assert not reachability.is_lost(
        dict.fromkeys("ab", reachability.UNREACHABLE) | dict.fromkeys("cde", reachability.REACHABLE), 2
    )
