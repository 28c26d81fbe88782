"""Encodings and decisions of the membership match the recorded fixture."""

from __future__ import annotations

import pytest

from cressrock.membership import packets as wire
from cressrock.membership.settings import MembershipSettings
from tests.compatibility import membership_cases as cases
from tests.compatibility.canonical import canonical, load

RECORDED = load("membership")


def test_every_message_matches_its_recorded_encoding_both_ways():
    envelopes = cases.envelopes()
    assert len(envelopes) == len(RECORDED["datagrams"])
    for (cluster, sender, process_incarnation, body), recorded in zip(
        envelopes, RECORDED["datagrams"], strict=True
    ):
        assert wire.encode(cluster, sender, process_incarnation, body).hex() == recorded
        assert wire.decode(bytes.fromhex(recorded), cluster) == wire.Packet(sender, process_incarnation, body)


def test_frames_and_sizes_are_as_recorded():
    assert wire.encode_frame(b"body" * 100).hex() == RECORDED["frame"]
    assert [wire.encoded_size(update) for update in cases.UPDATE_LISTS[3]] == RECORDED["sizes"]
    assert wire.updates_capacity(1200, "cressrock", "edge-1") == RECORDED["room"]


def test_rejected_packets_have_their_recorded_error_codes():
    for recorded, code in RECORDED["refused"]:
        assert cases.rejection_code(bytes.fromhex(recorded)) == code


def test_default_settings_are_as_recorded():
    assert canonical(MembershipSettings()) == RECORDED["settings"]


@pytest.mark.parametrize("seed", cases.FLEET_SEEDS)
def test_a_simulated_fleet_decides_as_recorded(seed):
    assert cases.fleet_digest(seed) == RECORDED["fleets"][str(seed)]


@pytest.mark.parametrize("seed", cases.MERGE_SEEDS)
def test_arbitrary_messages_are_merged_as_recorded(seed):
    assert cases.merge_digest(seed) == RECORDED["merges"][str(seed)]
