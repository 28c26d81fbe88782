"""The replicated state speaks the recorded bytes, reads them and decides as recorded."""

from __future__ import annotations

import pytest

from cressrock.gossip.anti_entropy import AntiEntropySettings
from cressrock.gossip.settings import GossipStoreSettings
from tests.compatibility import gossip_cases as cases
from tests.compatibility.canonical import canonical, load

RECORDED = load("gossip")


def test_digests_deltas_and_pieces_have_their_recorded_bytes():
    assert [data.hex() for data in cases.encoded()] == RECORDED["encoded"]


def test_recorded_bytes_are_merged_into_the_recorded_state():
    assert [cases.merged(bytes.fromhex(data)) for data in RECORDED["encoded"]] == RECORDED["merged"]


def test_malformed_bytes_are_refused_for_their_recorded_reason():
    assert [cases.merge_refusal(data) for data in cases.malformed()] == RECORDED["merge_refusals"]
    assert [cases.digest_refusal(data) for data in cases.malformed()] == RECORDED["digest_refusals"]


def test_default_settings_are_as_recorded():
    assert canonical([GossipStoreSettings(), AntiEntropySettings()]) == RECORDED["settings"]


def test_views_of_the_members_are_made_anew_when_recorded():
    assert cases.viewing_steps() == RECORDED["viewing"]


@pytest.mark.parametrize("seed", cases.STORE_SEEDS)
def test_stores_that_exchange_decide_as_recorded(seed):
    assert cases.store_digest(seed) == RECORDED["stores"][str(seed)]


@pytest.mark.parametrize("seed", cases.ROUNDS_SEEDS)
def test_rounds_send_as_recorded(seed):
    assert cases.rounds_digest(seed) == RECORDED["rounds"][str(seed)]
