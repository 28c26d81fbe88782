"""The storage node's side of replication: rejections, and convergence of replicas."""

import random

import pytest

from cressrock.lab.rack import Rack
from cressrock.replication.headers import Rejection
from tests.replication.support import execute


def test_node_rejects_older_epochs_other_stores_and_reads_when_not_in_sync():
    rack = Rack(0, window_ms=0, life="s")
    assert execute(rack, "PUT", "/v/x", 1, "first", value="1").record.version == (1, 1)
    assert execute(rack, "PUT", "/v/x", 2, "first", value="2").record.version == (2, 1)
    late_write = execute(rack, "PUT", "/v/x", 1, "first", value="3")
    assert (
        late_write.reply.status == 409
        and late_write.rejection is Rejection.OLDER_EPOCH
        and late_write.epoch == 2
    )
    assert execute(rack, "PUT", "/v/x", 1, version="1.9", value="3").rejection is Rejection.OLDER_EPOCH
    # An in-sync replica serves reads of older epochs.
    assert execute(rack, "GET", "/v/x", 1).rejection is None
    assert execute(rack, "GET", "/v/x", 2, store_id="t").rejection is Rejection.OTHER_STORE
    assert execute(rack, "PUT", "/v/x", 3, "joining", version="3.1", value="4").record.version == (3, 1)
    assert execute(rack, "GET", "/v/x", 2).rejection is Rejection.NOT_IN_SYNC
    result = execute(rack, "GET", "/v/x", 3, "joining", sure="3.1")
    assert not result.record.committed and execute(rack, "GET", "/v/x", 3, "joining").record.committed


@pytest.mark.parametrize("seed", range(40))
def test_replicas_converge_in_whatever_order_writes_arrive(seed):
    draw = random.Random(seed)
    primary = Rack(0, window_ms=0, life="s")
    paths = ["/v/a", "/v/b", "/v/a/x", "/v/a/y", "/v/a/c", "/v/a/c/z"]
    log = []
    for number in range(60):
        path, method = draw.choice(paths), draw.choice(("PUT", "PUT", "MKCOL", "MKCOL", "DELETE"))
        result = execute(primary, method, path, 1 + number // 20, "first", value=str(number))
        if result.reply.status in (201, 204):
            log.append((method, path, result.record, str(number)))
    assert len(log) > 4
    replicas = [Rack(n, window_ms=0, life="s") for n in (1, 2)]
    for replica in replicas:
        arrivals = log + draw.sample(log, len(log) // 3)  # some writes arrive twice
        draw.shuffle(arrivals)
        for method, path, record, value in arrivals:
            execute(
                replica,
                method,
                path,
                3,
                version=str(record.version),
                value=value,
                cleared=str(record.cleared_version),
            )

    def contents(rack):
        return {
            k: (r.collection, r.etag, getattr(r.body, "body", None) and r.body.body.value)
            for k, r in rack.resources.items()
        }

    assert contents(replicas[0]) == contents(replicas[1]) == contents(primary), seed
