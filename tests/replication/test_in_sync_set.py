"""Encoding of in-sync sets, and the transitions that lose no acknowledged write."""

import random

import msgspec
import pytest

from cressrock.errors.replication import (
    InvalidSetError,
    OnlyReplicaError,
    TransitionNotAllowedError,
    UnknownSetVersionError,
)
from cressrock.replication import transitions
from cressrock.replication.in_sync_set import (
    AcceptedLoss,
    Replica,
    ReplicaState,
    decode_set,
    encode_set,
)
from cressrock.replication.records import RecordEntry, RecordPage, decode_page, encode_page
from tests.replication.support import IN_SYNC_SET

GOLDEN = "019503a1619395a161a2696ea26130000095a162a2696ea26230000095a163a46f776564a2633002019001"


def test_set_encoding_is_stable_and_invalid_data_is_rejected():
    assert encode_set(IN_SYNC_SET).hex() == GOLDEN and decode_set(bytes.fromhex(GOLDEN)) == IN_SYNC_SET
    with_extra_field = bytes((1,)) + msgspec.msgpack.encode(
        [*msgspec.msgpack.decode(encode_set(IN_SYNC_SET)[1:]), "new"]
    )
    assert decode_set(with_extra_field) == IN_SYNC_SET
    with pytest.raises(UnknownSetVersionError):
        decode_set(b"\x02" + encode_set(IN_SYNC_SET)[1:])
    draw = random.Random(1)
    for _ in range(2000):
        data = bytearray(encode_set(IN_SYNC_SET))
        for _ in range(draw.randrange(1, 4)):
            data[draw.randrange(len(data))] = draw.randrange(256)
        try:
            decode_set(bytes(data))
        except (InvalidSetError, UnknownSetVersionError):
            pass
    page = RecordPage((RecordEntry("/v/x", "1.2", "file", "1.2", True),), True)
    assert encode_page(page).hex() == "01929195a42f762f78a3312e32a466696c65a3312e32c3c3"
    assert decode_page(encode_page(page)) == page


def test_transitions_that_could_lose_acknowledged_writes_are_rejected():
    without_b = transitions.evict(IN_SYNC_SET, "b")
    assert (
        without_b.epoch == 4
        and without_b.replica("b") == Replica("b", ReplicaState.OUT_OF_SYNC, "b0", 3, 1)
        and without_b.write_zones == ("a",)
    )
    with pytest.raises(TransitionNotAllowedError):
        transitions.evict(IN_SYNC_SET, "a")  # the primary is replaced, not evicted
    with pytest.raises(TransitionNotAllowedError):
        transitions.evict(IN_SYNC_SET, "c")
    assert transitions.replace_primary(IN_SYNC_SET, "a").primary == "b"
    with pytest.raises(OnlyReplicaError):
        transitions.replace_primary(without_b, "a")
    joining = transitions.begin_joining(without_b, "b", "b0")
    assert joining.write_zones == ("a", "b") and joining.read_zones == ("a",)
    # The list was read under an older epoch.
    with pytest.raises(TransitionNotAllowedError):
        transitions.readmit(joining, transitions.CatchUpProof("b", joining.epoch - 1, "b0"))
    with pytest.raises(TransitionNotAllowedError):
        transitions.readmit(joining, transitions.CatchUpProof("b", joining.epoch, "b1"))  # another store
    assert transitions.readmit(joining, transitions.CatchUpProof("b", joining.epoch, "b0")).read_zones == (
        "a",
        "b",
    )
    # A store other than the evicted one lacks everything; a replica evicted while joining keeps its epoch.
    assert transitions.begin_joining(without_b, "b", "b1").replica("b").complete_epoch == 0
    assert transitions.evict(joining, "b").replica("b").complete_epoch == 3
    forced = transitions.force_primary(without_b, "b", "b0")
    assert forced.read_zones == ("b",) and forced.accepted_losses == (AcceptedLoss("a", 3, 4),)
    with pytest.raises(TransitionNotAllowedError):
        transitions.initial_set("a", {"a": "a0", "b": "b0"}, [0, 7])
    assert [transitions.rejoin_delay_ms(evictions, 1000, 5000) for evictions in (0, 1, 2, 3, 9)] == [
        1000,
        1000,
        2000,
        4000,
        5000,
    ]
