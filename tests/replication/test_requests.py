"""A client's write as a state machine: evictions and acknowledgements."""

import pytest

from cressrock.replication.operations import Disposition, EvictReplicas, ReplicaResult
from cressrock.replication.records import Record, Version
from cressrock.replication.write import write_replicated
from tests.replication.support import IN_SYNC_SET


def test_a_write_that_may_have_run_is_never_refused_and_waits_for_the_decree():
    put = Record("/v/x", Version(3, 1))
    done = ReplicaResult(type("R", (), {"status": 201})(), record=put, epoch=3)
    steps = write_replicated(IN_SYNC_SET, "body")
    assert [o.zone for o in next(steps).operations] == ["a"]
    assert [o.zone for o in steps.send([done]).operations] == ["b"]
    assert steps.send([ReplicaResult(may_have_run=True)]) == EvictReplicas(("b",), IN_SYNC_SET)
    with pytest.raises(StopIteration) as stop:
        steps.send(None)  # no decree came to stand
    assert stop.value.value.disposition is Disposition.FAILED
    # A copy that is only busy is not put out for it; one known as gone is, before anything is sent.
    steps = write_replicated(IN_SYNC_SET, "body")
    next(steps)
    steps.send([done])
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
            next(steps)  # one that reaches nobody puts nobody out
    assert stop.value.value.disposition is Disposition.REJECTED
