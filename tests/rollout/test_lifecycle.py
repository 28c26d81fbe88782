"""The replicated state of a rollout: its encoding, and its transitions from start to end."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cressrock.errors.rollout import (
    InvalidRulesError,
    RolloutAlreadyEndedError,
    RolloutInProgressError,
    RolloutNotFoundError,
    UnknownRulesVersionError,
)
from cressrock.rollout import evidence, lifecycle
from cressrock.rollout.evidence import (
    CountsEntry,
    LocalRollback,
    OutcomeCounts,
    decode_counts,
    decode_rollback,
)
from cressrock.rollout.lifecycle import (
    MAX_ENDED_DIGESTS,
    RolloutState,
    RolloutStatus,
    advance,
    end_rollout,
    start_rollout,
)
from cressrock.rollout.plan import document_digest
from cressrock.settings import rules
from tests.rollout.support import PLAN


def test_encoded_entries_match_golden_bytes():
    state = RolloutState(3, "running", "ab" * 12, 1, 2, "cd" * 12, 0, "why", {"x": 1.0}, ["ef" * 12])
    assert lifecycle.encode(state).hex() == (
        "9b0103a772756e6e696e67b86162616261626162616261626162616261626162616261620102b8636463646364636463"
        "64636463646364636463646364636400a377687981a178cb3ff000000000000091b86566656665666566656665666566"
        "65666566656665666566"
    )
    assert lifecycle.decode(lifecycle.encode(state)) == state
    counts_entry = CountsEntry(bytes(12), OutcomeCounts([1, 2], [[0, 1]] * 5))
    assert (
        evidence.encode(counts_entry).hex()
        == "9301c40c0000000000000000000000009292010295920001920001920001920001920001"
    )
    rollback = LocalRollback(bytes(12), "w")
    assert evidence.encode(rollback).hex() == "9301c40c000000000000000000000000a177"
    # Additional fields of a later release are ignored; an unknown format version is a distinct error.
    extended = msgspec.msgpack.encode([*msgspec.msgpack.decode(lifecycle.encode(state)), "more"])
    assert lifecycle.decode(extended) == state
    with pytest.raises(UnknownRulesVersionError):
        lifecycle.decode(msgspec.msgpack.encode([2, "anything"]))
    with pytest.raises(UnknownRulesVersionError):
        decode_counts(msgspec.msgpack.encode([2, "anything"]))
    assert (
        len(evidence.encode(CountsEntry(bytes(12), OutcomeCounts([2**53, 2**53], [[2**53, 2**53]] * 5))))
        <= 640
    )
    largest = msgspec.structs.replace(
        state,
        reason="w" * 120,
        statistics={f"marks {n:02}": 1e300 for n in range(12)},
        ended_digests=["0" * 12] * MAX_ENDED_DIGESTS,
    )
    assert (
        len(lifecycle.encode(largest)) <= 600
    )  # small enough to be gossiped in full, so that no seat has to be asked for it


@given(st.binary(max_size=64))
def test_arbitrary_bytes_are_decoded_or_rejected_with_a_typed_error(data):
    for decode_bytes in (lifecycle.decode, decode_counts, decode_rollback, rules.read):
        try:
            decode_bytes(data)
        except (InvalidRulesError, UnknownRulesVersionError):
            pass


def test_a_rollout_advances_through_its_stages_and_cannot_be_restarted_unchanged():
    state = start_rollout(None, b"one")
    with pytest.raises(RolloutInProgressError):
        start_rollout(state, b"two")
    for stage in (1, 2):
        state = advance(state, PLAN, {})
        assert (state.stage, state.running) == (stage, True)
    state = advance(state, PLAN, {"answers": 5.0})
    assert (state.status, state.good_digest, state.good_slot) == ("done", document_digest(b"one"), 0)
    with pytest.raises(RolloutAlreadyEndedError):
        start_rollout(state, b"one")  # it is already the good version
    with pytest.raises(RolloutNotFoundError):
        end_rollout(state, RolloutStatus.WITHDRAWN, "", {})
    state = start_rollout(state, b"two")
    assert (state.document_slot, state.good_slot) == (1, 0)  # never overwrites the good version's document
    state = end_rollout(state, RolloutStatus.HALTED, "worse", {})
    assert (state.good_digest, state.running) == (document_digest(b"one"), False)
    with pytest.raises(RolloutAlreadyEndedError):
        start_rollout(state, b"two")
    for number in range(40):
        state = end_rollout(start_rollout(state, b"x%d" % number), RolloutStatus.EXPIRED, "", {})
    assert len(state.ended_digests) == MAX_ENDED_DIGESTS
