"""Repair keeps to its share of time and pauses while nodes are busy."""

from cressrock.replication.repair_pacer import RepairPacer


def test_pacer_limits_time_share_and_pauses_for_busy_nodes():
    pacer = RepairPacer(max_time_share=0.25, max_operations_per_s=1000.0, busy_load=0.8, pause_ms=250.0)
    pacer.record_operation(100.0, 10.0, rejected=False, load=0.5)
    assert pacer.wait_ms(100.0) == 30.0
    pacer.record_operation(200.0, 10.0, rejected=False, load=0.9)
    assert pacer.wait_ms(210.0) == 240.0
    pacer.record_operation(500.0, 10.0, rejected=True, load=0.0)
    assert pacer.wait_ms(500.0) == 250.0
