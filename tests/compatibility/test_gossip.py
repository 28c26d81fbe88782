"""The replicated state encodes and decodes the recorded bytes, and decides as recorded."""

from __future__ import annotations

import pytest

from cressrock.gossip.anti_entropy import AntiEntropySettings
from cressrock.gossip.settings import GossipStoreSettings
from tests.compatibility import gossip_cases as cases
from tests.compatibility.canonical import canonical, load

RECORDED = load("gossip")


def test_digests_deltas_and_full_state_parts_have_their_recorded_bytes():
    assert [data.hex() for data in cases.encoded_messages()] == RECORDED["encoded"]


def test_recorded_bytes_are_merged_into_the_recorded_state():
    assert [cases.merged_state(bytes.fromhex(data)) for data in RECORDED["encoded"]] == RECORDED["merged"]


def test_malformed_messages_are_rejected_with_the_recorded_error():
    assert [cases.merge_rejection_code(data) for data in cases.malformed_messages()] == RECORDED[
        "merge_refusals"
    ]
    assert [cases.digest_rejection_code(data) for data in cases.malformed_messages()] == RECORDED[
        "digest_refusals"
    ]


def test_default_settings_are_as_recorded():
    assert canonical([GossipStoreSettings(), AntiEntropySettings()]) == RECORDED["settings"]


def test_cached_membership_views_become_stale_as_recorded():
    assert cases.view_cache_steps() == RECORDED["viewing"]


@pytest.mark.parametrize("seed", cases.STORE_SEEDS)
def test_stores_that_exchange_decide_as_recorded(seed):
    assert cases.store_digest(seed) == RECORDED["stores"][str(seed)]


@pytest.mark.parametrize("seed", cases.ROUNDS_SEEDS)
def test_rounds_send_as_recorded(seed):
    assert cases.rounds_digest(seed) == RECORDED["rounds"][str(seed)]
