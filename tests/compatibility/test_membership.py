"""The membership speaks the recorded bytes and decides as recorded."""

from __future__ import annotations

import pytest

from cressrock.membership import packets as m
from cressrock.membership.settings import MembershipSettings
from tests.compatibility import membership_cases as cases
from tests.compatibility.canonical import canonical, load

RECORDED = load("membership")


def test_every_message_has_its_recorded_bytes_and_is_read_back():
    envelopes = cases.envelopes()
    assert len(envelopes) == len(RECORDED["datagrams"])
    for (cluster, sender, life, body), recorded in zip(envelopes, RECORDED["datagrams"], strict=True):
        assert m.encode(cluster, sender, life, body).hex() == recorded
        assert m.decode(bytes.fromhex(recorded), cluster) == m.Packet(sender, life, body)


def test_frames_and_sizes_are_as_recorded():
    assert m.encode_frame(b"body" * 100).hex() == RECORDED["frame"]
    assert [m.encoded_size(claim) for claim in cases.CLAIM_LISTS[3]] == RECORDED["sizes"]
    assert m.updates_capacity(1200, "cressrock", "edge-1") == RECORDED["room"]


def test_refused_bytes_have_their_recorded_reason():
    for recorded, code in RECORDED["refused"]:
        assert cases.refusal(bytes.fromhex(recorded)) == code


def test_default_settings_are_as_recorded():
    assert canonical(MembershipSettings()) == RECORDED["settings"]


@pytest.mark.parametrize("seed", cases.FLEET_SEEDS)
def test_a_simulated_fleet_decides_as_recorded(seed):
    assert cases.fleet_digest(seed) == RECORDED["fleets"][str(seed)]


@pytest.mark.parametrize("seed", cases.MERGE_SEEDS)
def test_arbitrary_messages_are_merged_as_recorded(seed):
    assert cases.merge_digest(seed) == RECORDED["merges"][str(seed)]
