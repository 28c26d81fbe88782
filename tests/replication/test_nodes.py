"""The storage node's side: what it rejects, and that replicas end the same."""

import random

import pytest

from cressrock.lab.rack import Rack
from cressrock.replication.headers import Rejection
from tests.replication.support import execute


def test_a_node_refuses_older_sets_other_stores_and_reads_of_a_copy_that_is_out():
    rack = Rack(0, window_ms=0, life="s")
    assert execute(rack, "PUT", "/v/x", 1, "first", value="1").record.version == (1, 1)
    assert execute(rack, "PUT", "/v/x", 2, "first", value="2").record.version == (2, 1)
    late = execute(rack, "PUT", "/v/x", 1, "first", value="3")
    assert late.reply.status == 409 and late.rejection is Rejection.OLDER_EPOCH and late.epoch == 2
    assert execute(rack, "PUT", "/v/x", 1, at="1.9", value="3").rejection is Rejection.OLDER_EPOCH
    assert execute(rack, "GET", "/v/x", 1).rejection is None  # still in its set: older readers see newer data
    assert execute(rack, "GET", "/v/x", 2, life="t").rejection is Rejection.OTHER_STORE
    assert execute(rack, "PUT", "/v/x", 3, "joining", at="3.1", value="4").record.version == (3, 1)
    assert execute(rack, "GET", "/v/x", 2).rejection is Rejection.NOT_IN_SYNC
    got = execute(rack, "GET", "/v/x", 3, "joining", sure="3.1")
    assert not got.record.committed and execute(rack, "GET", "/v/x", 3, "joining").record.committed


@pytest.mark.parametrize("seed", range(40))
def test_copies_end_the_same_in_whatever_order_writes_come(seed):
    draw = random.Random(seed)
    first = Rack(0, window_ms=0, life="s")
    paths = ["/v/a", "/v/b", "/v/a/x", "/v/a/y", "/v/a/c", "/v/a/c/z"]
    log = []
    for number in range(60):
        path, method = draw.choice(paths), draw.choice(("PUT", "PUT", "MKCOL", "MKCOL", "DELETE"))
        got = execute(first, method, path, 1 + number // 20, "first", value=str(number))
        if got.reply.status in (201, 204):
            log.append((method, path, got.record, str(number)))
    assert len(log) > 4
    copies = [Rack(n, window_ms=0, life="s") for n in (1, 2)]
    for copy in copies:
        late = log + draw.sample(log, len(log) // 3)  # some come twice
        draw.shuffle(late)
        for method, path, record, value in late:
            execute(
                copy,
                method,
                path,
                3,
                at=str(record.version),
                value=value,
                cleared=str(record.cleared_version),
            )

    def held(rack):
        return {
            k: (r.collection, r.etag, getattr(r.body, "body", None) and r.body.body.value)
            for k, r in rack.resources.items()
        }

    assert held(copies[0]) == held(copies[1]) == held(first), seed
