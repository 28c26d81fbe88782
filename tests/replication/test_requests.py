"""The state machine of a client's write: evictions and acknowledgements."""

import pytest

from cressrock.replication.operations import Disposition, EvictReplicas, ReplicaResult
from cressrock.replication.records import Record, Version
from cressrock.replication.write import write_replicated
from tests.replication.support import IN_SYNC_SET


def test_write_that_may_have_run_is_not_rejected_and_waits_for_the_eviction_decision():
    written_record = Record("/v/x", Version(3, 1))
    primary_result = ReplicaResult(type("R", (), {"status": 201})(), record=written_record, epoch=3)
    steps = write_replicated(IN_SYNC_SET, "body")
    assert [o.zone for o in next(steps).operations] == ["a"]
    assert [o.zone for o in steps.send([primary_result]).operations] == ["b"]
    assert steps.send([ReplicaResult(may_have_run=True)]) == EvictReplicas(("b",), IN_SYNC_SET)
    with pytest.raises(StopIteration) as stop:
        steps.send(None)  # the eviction was not decided
    assert stop.value.value.disposition is Disposition.FAILED
    # A replica that is only busy is not evicted; one known as unreachable is, before anything is sent.
    steps = write_replicated(IN_SYNC_SET, "body")
    next(steps)
    steps.send([primary_result])
    with pytest.raises(StopIteration) as stop:
        steps.send([ReplicaResult()])
    assert stop.value.value.disposition is Disposition.FAILED
    steps = write_replicated(IN_SYNC_SET, "body", unreachable=["b"])
    assert next(steps) == EvictReplicas(("b",), IN_SYNC_SET)
    with pytest.raises(StopIteration) as stop:
        steps.send(None)
    assert stop.value.value.disposition is Disposition.REJECTED
    for steps in (
        write_replicated(IN_SYNC_SET, "body", unreachable=["a", "b"]),
        write_replicated(None, "body"),
    ):
        with pytest.raises(StopIteration) as stop:
            next(steps)  # an edge that reaches no replica evicts none
    assert stop.value.value.disposition is Disposition.REJECTED
